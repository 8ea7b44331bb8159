package lease

import "gentiancroft/internal/core"

// Message is what hosts tell one another about leases; exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Ack       *Ack       `cbor:"2,keyasint,omitempty"`
	Leading   *Leading   `cbor:"3,keyasint,omitempty"`
	HandOver  *HandOver  `cbor:"4,keyasint,omitempty"`
	Received  *Received  `cbor:"5,keyasint,omitempty"`
}

// Heartbeat goes from a member to the leader of its batch.
type Heartbeat struct {
	Number uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Nonce  uint64 `cbor:"3,keyasint"` // tells two processes with one identity apart
	View   uint64 `cbor:"4,keyasint"` // that the member acts under
}

// Ack says that a heartbeat has been written, or why it won't be.
type Ack struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Nonce   uint64 `cbor:"2,keyasint"`
	Settled uint64 `cbor:"3,keyasint"`
	Head    uint64 `cbor:"4,keyasint"`           // the leader's view
	Down    bool   `cbor:"5,keyasint,omitempty"` // not written: the store does not answer the leader
	Fenced  bool   `cbor:"6,keyasint,omitempty"` // the member has been fenced
}

// Leading announces a batch's leader, or that it resigns in favour of Next.
type Leading struct {
	Leader core.HostID `cbor:"1,keyasint"`
	Next   core.HostID `cbor:"2,keyasint,omitempty"`
}

// HandOver passes a shard to its owner under View. With Custody the sender was
// acting until it adopted View and has stopped.
type HandOver struct {
	Shard   core.Shard `cbor:"1,keyasint"`
	View    uint64     `cbor:"2,keyasint"`
	Custody bool       `cbor:"3,keyasint,omitempty"`
	State   []byte     `cbor:"4,keyasint,omitempty"`
}

// Received ends the resending of a HandOver.
type Received struct {
	Shard core.Shard `cbor:"1,keyasint"`
	View  uint64     `cbor:"2,keyasint"`
}

// Output is what the machine wants done after one event.
type Output = core.Output[Message]
