package feed

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is what hosts tell one another in the feed; exactly one field is set.
type Message struct {
	Ping    *Ping    `cbor:"1,keyasint,omitempty"`
	Pong    *Pong    `cbor:"2,keyasint,omitempty"`
	Values  *Values  `cbor:"3,keyasint,omitempty"`
	Got     *Got     `cbor:"4,keyasint,omitempty"`
	Buckets *Buckets `cbor:"5,keyasint,omitempty"`
	Digests *Digests `cbor:"6,keyasint,omitempty"`
	Need    *Need    `cbor:"7,keyasint,omitempty"`
	Want    *Want    `cbor:"8,keyasint,omitempty"`
	Part    *Part    `cbor:"9,keyasint,omitempty"`
}

// Ping goes from a host to its parent and makes it the parent's child.
type Ping struct {
	Echo    int64  `cbor:"1,keyasint"`           // the sender's clock; only the sender reads it
	Sum     uint64 `cbor:"2,keyasint"`           // over all keys and stamps
	Version uint64 `cbor:"3,keyasint,omitempty"` // the newest configuration that the sender knows
}

// Pong answers a Ping. As of Age before it was sent, Version was the newest
// configuration; Known is false where the sender never learned that.
type Pong struct {
	Echo    int64         `cbor:"1,keyasint"`
	Sum     uint64        `cbor:"2,keyasint"`
	Known   bool          `cbor:"3,keyasint,omitempty"`
	Version uint64        `cbor:"4,keyasint,omitempty"`
	Age     time.Duration `cbor:"5,keyasint,omitempty"`
}

// Values carries changed values. Seq counts the messages of one link.
type Values struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
}

// Got returns the credit that Values took.
type Got struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Buckets starts a repair: the sums of the sender's values by bucket.
type Buckets struct {
	Sums []uint64 `cbor:"1,keyasint"`
}

// Digests lists the keys and stamps of the buckets that differ.
type Digests struct {
	Buckets uint64   `cbor:"1,keyasint"` // a bit for each that differs
	Items   []Digest `cbor:"2,keyasint"`
}

// Digest is a key, by its hash, and its stamp.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Fence core.Fence
	Seq   uint64
}

// Need asks for the values of keys by their hashes.
type Need struct {
	IDs []uint64 `cbor:"1,keyasint"`
}

// Want asks for a chunk of the configuration from an offset on.
type Want struct {
	Hash   string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// Part is a part of a chunk.
type Part struct {
	Hash   string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// Output is what the machine wants done after one event.
type Output = core.Output[Message]
