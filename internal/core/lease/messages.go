package lease

import "gentiancroft/internal/core"

// Message is a lease message between hosts; exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Ack       *Ack       `cbor:"2,keyasint,omitempty"`
	Leading   *Leading   `cbor:"3,keyasint,omitempty"`
	HandOver  *HandOver  `cbor:"4,keyasint,omitempty"`
	Received  *Received  `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is sent by a member to the leader of its batch.
type Heartbeat struct {
	Number uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Nonce  uint64 `cbor:"3,keyasint"` // distinguishes two processes with one identity
	View   uint64 `cbor:"4,keyasint"` // the member acts under this view
}

// Ack reports that a heartbeat has been written, or why it can't be.
type Ack struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Nonce   uint64 `cbor:"2,keyasint"`
	Settled uint64 `cbor:"3,keyasint"`
	Head    uint64 `cbor:"4,keyasint"`           // the leader's view
	Down    bool   `cbor:"5,keyasint,omitempty"` // not written: the store doesn't answer the leader
	Fenced  bool   `cbor:"6,keyasint,omitempty"` // the member has been fenced
}

// Leading announces a batch's leader, or that Leader asks Next to take over.
type Leading struct {
	Leader core.HostID `cbor:"1,keyasint"`
	Next   core.HostID `cbor:"2,keyasint,omitempty"`
}

// HandOver passes a shard's state to its owner under View. Custody says that
// the sender was entitled to act on the shard until it adopted View, and has
// stopped.
type HandOver struct {
	Shard   core.Shard `cbor:"1,keyasint"`
	View    uint64     `cbor:"2,keyasint"`
	Custody bool       `cbor:"3,keyasint,omitempty"`
	State   []byte     `cbor:"4,keyasint,omitempty"`
}

// Received acknowledges a HandOver, which ends its resending.
type Received struct {
	Shard core.Shard `cbor:"1,keyasint"`
	View  uint64     `cbor:"2,keyasint"`
}

// Output holds the effects of one event: object calls and messages to send.
type Output = core.Output[Message]
