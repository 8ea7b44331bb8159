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
	Stale     bool          // of a Get or List: the result may be seconds old

	NewConnection bool // of a Get: not over a kept connection, which may have gone silent while it was idle; a Watch never is
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

// Object is a stored value. Within an era, versions increase across the whole store.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"` // of a watch: the key was deleted as of Version
	Era     uint64 `json:"era,omitempty"`     // of the store that answered; 0: not given
}

// Revision returns the object's revision.
func (o Object) Revision() Revision { return Revision{Era: o.Era, Version: o.Version} }

// Revision orders the states of a store. A store that is restored from an older copy
// starts a new era and gives versions out again: versions of different eras can't be
// compared. The zero revision is before all others.
type Revision struct {
	Era     uint64 // 0: the store gives none
	Version uint64
}

// Before reports whether a revision is older than another.
func (r Revision) Before(other Revision) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	return r.Version < other.Version
}

// ObjectResult is the result of the call with the same Tag.
type ObjectResult struct {
	Tag     uint64
	Status  ObjectStatus
	Object  Object   // of Get, Create and Update; after a conflicting Update the stored one, if known
	Objects []Object // of List and Watch
	Version uint64   // the store's version as of a List or Watch
	Era     uint64   // of the store that answered; 0: not given, or no answer
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
