package feed

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is a feed message between hosts; exactly one field is set.
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

// Ping is sent by a host to its parent and makes it the parent's child.
type Ping struct {
	Echo    int64  `cbor:"1,keyasint"`           // the sender's clock; returned in the Pong
	Sum     uint64 `cbor:"2,keyasint"`           // over all keys and stamps
	Version uint64 `cbor:"3,keyasint,omitempty"` // newest configuration that the sender has received a head of
}

// Pong answers a Ping. Age before it was sent, Version was the newest
// configuration; Known is false if the sender has never learned which is the
// newest.
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

// Got acknowledges Values, so that the next message may be sent.
type Got struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Buckets starts a repair. It holds the sums of the sender's values by bucket.
type Buckets struct {
	Sums []uint64 `cbor:"1,keyasint"`
}

// Digests lists the keys and stamps of the sender's values in the buckets that
// differ.
type Digests struct {
	Buckets uint64   `cbor:"1,keyasint"` // bit set of the buckets that differ
	Items   []Digest `cbor:"2,keyasint"`
}

// Digest is the hash of a key and its stamp.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Fence core.Fence
	Seq   uint64
}

// Need requests the values of keys, given by their hashes.
type Need struct {
	IDs []uint64 `cbor:"1,keyasint"`
}

// Want requests a chunk of the configuration from an offset on.
type Want struct {
	Hash   string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// Part is a part of a chunk of the configuration.
type Part struct {
	Hash   string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// Output holds the effects of one event: object calls and messages to send.
type Output = core.Output[Message]
