package once

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
)

// Error is the class of this package's errors.
var Error = errs.Class("once")

// RecordPrefix is the object key prefix of records. A record's key is this prefix, its
// bucket in two hex digits, "/" and the hash of workspace and idempotency key.
const RecordPrefix = "once/record/"

// phase is the progress of a recorded request.
type phase uint8

// Phases of a record. A released record is deleted.
const (
	phaseRunning phase = iota + 1 // may have been dispatched
	phaseDone                     // ran; Outcome is its response
	phaseUnknown                  // ended; whether it ran is unknown
)

// record is the stored state of a non-idempotent request.
type record struct {
	Token   string        `cbor:"1,keyasint"` // of the entry that created it
	Body    uint64        `cbor:"2,keyasint"` // hash of the request's body
	Phase   phase         `cbor:"3,keyasint"`
	Outcome *core.Outcome `cbor:"4,keyasint,omitempty"` // nil if it was too large to keep
}

func (r record) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(Error.Wrap(err)) // plain fields always encode
	}
	return b
}

func decodeRecord(b []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return record{}, Error.Wrap(err)
	}
	return r, nil
}

// recordKey returns the object key of a workspace's idempotency key. Both are
// hashed, the workspace with its length, so that no two pairs share a key and any
// bytes may be used.
func recordKey(ws core.WorkspaceID, key string) string {
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(ws)) + ":" + string(ws)))
	h.Write([]byte(key))
	sum := hex.EncodeToString(h.Sum(nil))
	return RecordPrefix + sum[:2] + "/" + sum
}
