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

// Head is the one object whose conditional update accepts a configuration.
type Head struct {
	Version uint64    `cbor:"1,keyasint"` // rises by one with each acceptance
	Hash    string    `cbor:"2,keyasint"` // hex SHA-256 over the chunk hashes
	Chunks  []string  `cbor:"3,keyasint"` // hex SHA-256 of each chunk's content, in order
	By      string    `cbor:"4,keyasint"` // the operator
	At      time.Time `cbor:"5,keyasint"`
	Token   string    `cbor:"6,keyasint"` // the writer's own, to tell its write after a lost answer
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHead reads the stored form of a head.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	err := cbor.Unmarshal(b, &h)
	return h, err
}
