package feed

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is a feed message between hosts; exactly one field is set.
type Message struct {
	Ping          *Ping          `cbor:"1,keyasint,omitempty"`
	Pong          *Pong          `cbor:"2,keyasint,omitempty"`
	Values        *Values        `cbor:"3,keyasint,omitempty"`
	ValuesAck     *ValuesAck     `cbor:"4,keyasint,omitempty"`
	BucketSums    *BucketSums    `cbor:"5,keyasint,omitempty"`
	Digests       *Digests       `cbor:"6,keyasint,omitempty"`
	ValuesRequest *ValuesRequest `cbor:"7,keyasint,omitempty"`
	ChunkRequest  *ChunkRequest  `cbor:"8,keyasint,omitempty"`
	ChunkPart     *ChunkPart     `cbor:"9,keyasint,omitempty"`
}

// Ping is sent by a host to its parent and makes it the parent's child.
type Ping struct {
	Echo          int64  `cbor:"1,keyasint"`           // the sender's clock; returned in the Pong
	Sum           uint64 `cbor:"2,keyasint"`           // over all keys and stamps
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"` // newest configuration that the sender has received a head of
}

// Pong answers a Ping. NewestVersion was the newest configuration as of
// VersionAge before the Pong was sent; VersionKnown is false if the sender has
// never determined the newest version.
type Pong struct {
	Echo          int64         `cbor:"1,keyasint"`
	Sum           uint64        `cbor:"2,keyasint"`
	VersionKnown  bool          `cbor:"3,keyasint,omitempty"`
	NewestVersion uint64        `cbor:"4,keyasint,omitempty"`
	VersionAge    time.Duration `cbor:"5,keyasint,omitempty"`
}

// Values carries changed values. Seq counts the messages of one link.
type Values struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
}

// ValuesAck acknowledges Values, so that the next message may be sent.
type ValuesAck struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// BucketSums starts a repair. It holds the sums of the sender's values by bucket.
type BucketSums struct {
	Sums []uint64 `cbor:"1,keyasint"`
}

// Digests lists the keys and stamps of the sender's values in the buckets that
// differ.
type Digests struct {
	BucketBits uint64   `cbor:"1,keyasint"` // bit set of the buckets that differ
	Items      []Digest `cbor:"2,keyasint"`
}

// Digest is the hash of a key and its stamp.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Fence core.Fence
	Seq   uint64
}

// ValuesRequest requests the values of keys, given by their hashes.
type ValuesRequest struct {
	IDs []uint64 `cbor:"1,keyasint"`
}

// ChunkRequest requests a chunk of the configuration from an offset on.
type ChunkRequest struct {
	Hash   string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// ChunkPart is a part of a chunk of the configuration.
type ChunkPart struct {
	Hash   string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// Output holds the effects of one event: object calls and messages to send.
type Output = core.Output[Message]
