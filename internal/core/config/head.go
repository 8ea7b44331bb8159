package config

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Keys of the configuration in the object API.
const (
	HeadKey     = "config/head"
	ChunkPrefix = "config/chunk/" // followed by the chunk's hash
	AuditPrefix = "config/audit/" // followed by the version, zero-padded
)

// Head is the stored object that names the accepted configuration. A version is
// accepted by a conditional update of it.
type Head struct {
	Version uint64    `cbor:"1,keyasint"` // increased by one with each accepted configuration
	Hash    string    `cbor:"2,keyasint"` // hex SHA-256 over the chunk hashes
	Chunks  []string  `cbor:"3,keyasint"` // hex SHA-256 of each chunk's content, in order
	By      string    `cbor:"4,keyasint"` // the operator
	At      time.Time `cbor:"5,keyasint"`
	WriteID string    `cbor:"6,keyasint"` // random, identifies the writer's own write if its result is unknown
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHead parses the stored form of a head.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	err := cbor.Unmarshal(b, &h)
	return h, err
}
