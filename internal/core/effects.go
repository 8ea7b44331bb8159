package core

import "time"

// ObjectOp is an operation of the platform's object API.
type ObjectOp uint8

// Operations. Each counts as one call, also a watch that waits.
const (
	ObjectGet    ObjectOp = iota + 1
	ObjectCreate          // fails with Conflict where the key exists
	ObjectUpdate          // fails with Conflict unless the version is IfVersion
	ObjectDelete          // fails with Conflict unless the version is IfVersion; 0 deletes any
	ObjectList            // all objects whose key starts with Key
	ObjectWatch           // returns keys that start with Key once one is newer than IfVersion, or nothing after its timeout
)

// ObjectCall is one call to the object API. Tag is chosen by the caller and returned
// with the result.
type ObjectCall struct {
	Tag       uint64
	Op        ObjectOp
	Key       string
	Value     []byte
	IfVersion uint64
	Wait      time.Duration // of a watch: its timeout; 0: the client's default
	Stale     bool          // of a list: the result may be seconds old
}

// ObjectStatus is the status of a finished object call.
type ObjectStatus uint8

// Statuses of an object call.
const (
	ObjectOK          ObjectStatus = iota + 1
	ObjectNotFound                 // Get, Update or Delete of a missing key
	ObjectConflict                 // the condition did not hold; nothing was changed
	ObjectUnavailable              // the call did not reach the store
	ObjectUnknown                  // no answer: a write may have been applied
	ObjectHistoryGone              // of a watch: the changes since IfVersion are no longer stored; list the objects instead
)

// Object is a stored value. Versions increase across the whole store.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"` // of a watch: the key was deleted as of Version
}

// ObjectResult is the result of the call with the same Tag.
type ObjectResult struct {
	Tag     uint64
	Status  ObjectStatus
	Object  Object   // of Get, Create and Update; after a conflicting Update the stored one, if known
	Objects []Object // of List and Watch
	Version uint64   // the store's version as of a List or Watch
}

// Send is a message for another host. It may be lost, duplicated or reordered.
type Send[M any] struct {
	To      HostID
	Message M
}

// Output collects the effects that a machine returns for one event.
type Output[M any] struct {
	Calls []ObjectCall
	Sends []Send[M]
}

// Send appends a message.
func (o *Output[M]) Send(to HostID, m M) { o.Sends = append(o.Sends, Send[M]{To: to, Message: m}) }

// Call appends an object call.
func (o *Output[M]) Call(c ObjectCall) { o.Calls = append(o.Calls, c) }
