package lease

import "gentiancroft/internal/core"

// Message is a lease message between hosts; exactly one field is set.
type Message struct {
	Heartbeat    *Heartbeat    `cbor:"1,keyasint,omitempty"`
	Ack          *Ack          `cbor:"2,keyasint,omitempty"`
	LeaderChange *LeaderChange `cbor:"3,keyasint,omitempty"`
	Handoff      *Handoff      `cbor:"4,keyasint,omitempty"`
	HandoffAck   *HandoffAck   `cbor:"5,keyasint,omitempty"`
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
	Seq               uint64 `cbor:"1,keyasint"`
	Nonce             uint64 `cbor:"2,keyasint"`
	LowestAppliedView uint64 `cbor:"3,keyasint"`
	LeaderView        uint64 `cbor:"4,keyasint"`           // the leader's view
	StoreDown         bool   `cbor:"5,keyasint,omitempty"` // not written: the store doesn't answer the leader
	Fenced            bool   `cbor:"6,keyasint,omitempty"` // the member has been fenced
}

// LeaderChange announces a batch's leader, or requests that Next take over from Leader.
type LeaderChange struct {
	Leader core.HostID `cbor:"1,keyasint"`
	Next   core.HostID `cbor:"2,keyasint,omitempty"`
}

// Handoff passes a shard's state to its owner under View. SenderStopped says
// that the sender was entitled to act on the shard until it adopted View, and has
// stopped.
type Handoff struct {
	Shard         core.Shard `cbor:"1,keyasint"`
	View          uint64     `cbor:"2,keyasint"`
	SenderStopped bool       `cbor:"3,keyasint,omitempty"`
	State         []byte     `cbor:"4,keyasint,omitempty"`
}

// HandoffAck acknowledges a Handoff, which ends its resending.
type HandoffAck struct {
	Shard core.Shard `cbor:"1,keyasint"`
	View  uint64     `cbor:"2,keyasint"`
}

// Output holds the effects of one event: object calls and messages to send.
type Output = core.Output[Message]
