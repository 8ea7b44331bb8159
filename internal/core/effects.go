package core

import "time"

// ObjectOp is an operation of the platform's object API.
type ObjectOp uint8

// Operations. Every one counts as a call, a waiting watch as one.
const (
	ObjectGet    ObjectOp = iota + 1
	ObjectCreate          // fails with Conflict where the key exists
	ObjectUpdate          // fails with Conflict unless the version is IfVersion
	ObjectDelete          // fails with Conflict unless the version is IfVersion; 0 deletes any
	ObjectList            // all objects whose key starts with Key
	ObjectWatch           // answers once a key under Key is newer than IfVersion, or with none at its time-out
)

// ObjectCall is one call to the object API. Tag is the caller's own and comes
// back with the result.
type ObjectCall struct {
	Tag       uint64
	Op        ObjectOp
	Key       string
	Value     []byte
	IfVersion uint64
	Wait      time.Duration // of a watch: how long it may stay unanswered; 0: the client's own time
	Stale     bool          // of a list: the answer may be seconds old
}

// ObjectStatus is how an object call ended.
type ObjectStatus uint8

// Ends of an object call.
const (
	ObjectOK          ObjectStatus = iota + 1
	ObjectNotFound                 // Get, Update or Delete of a missing key
	ObjectConflict                 // the condition did not hold; nothing changed
	ObjectUnavailable              // the call did not reach the store
	ObjectUnknown                  // no answer: a write may have taken effect
	ObjectHistoryGone              // of a watch: changes since IfVersion are no longer kept; list again
)

// Object is one stored value. Versions rise over the whole store.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"` // of a watch: the key is gone as of Version
}

// ObjectResult is the end of the call with the same Tag.
type ObjectResult struct {
	Tag     uint64
	Status  ObjectStatus
	Object  Object   // of Get, Create, Update; of a conflicting Update the present one if known
	Objects []Object // of List and Watch
	Version uint64   // the store's version as of a List or Watch
}

// Send is a message for another host. It may be lost, doubled or reordered.
type Send[M any] struct {
	To      HostID
	Message M
}

// Output collects what a machine wants done after one event.
type Output[M any] struct {
	Calls []ObjectCall
	Sends []Send[M]
}

// Send appends a message.
func (o *Output[M]) Send(to HostID, m M) { o.Sends = append(o.Sends, Send[M]{To: to, Message: m}) }

// Call appends an object call.
func (o *Output[M]) Call(c ObjectCall) { o.Calls = append(o.Calls, c) }
