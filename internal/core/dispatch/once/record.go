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

// Prefix is where records are kept in the object API. A record's key is
// Prefix, its bucket in two hex digits, "/" and the hash of workspace and
// idempotency key.
const Prefix = "once/record/"

// phase tells how far a recorded request has come.
type phase uint8

// Phases of a record. A released record is deleted.
const (
	phaseRunning phase = iota + 1 // may have been dispatched
	phaseDone                     // ran; Outcome is its answer
	phaseUnknown                  // over, and nobody knows whether it ran
)

// record is what the object API keeps of a non-idempotent request.
type record struct {
	Token   string        `cbor:"1,keyasint"` // the Begin that made it
	Body    uint64        `cbor:"2,keyasint"` // hash of the request's body
	Phase   phase         `cbor:"3,keyasint"`
	Outcome *core.Outcome `cbor:"4,keyasint,omitempty"` // nil where it was too large to keep
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

// recordKey names the record of a workspace's idempotency key. Both are hashed
// with their lengths, so that no two pairs share a key and any bytes may be used.
func recordKey(ws core.WorkspaceID, key string) string {
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(ws)) + ":" + string(ws)))
	h.Write([]byte(key))
	sum := hex.EncodeToString(h.Sum(nil))
	return Prefix + sum[:2] + "/" + sum
}
