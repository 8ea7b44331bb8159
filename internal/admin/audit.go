package admin

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Bounds of the audit trail.
const (
	AuditRetention = 100_000 // versions whose records are kept
	pruneInterval  = 100     // versions between two prunings, and in one page
	pageDigits     = 2       // last digits of the version, which differ within a page
	maxRecordBytes = 32 << 10
	versionDigits  = 16
)

// Record is an entry of the audit trail: who changed the configuration, what, and
// from which version to which.
type Record struct {
	Version     uint64          `cbor:"1,keyasint" json:"version"`
	WriteID     string          `cbor:"2,keyasint" json:"token"`      // of the head that the change wrote
	From        uint64          `cbor:"3,keyasint" json:"from"`       // the version that the change was made from
	FromWriteID string          `cbor:"4,keyasint" json:"from_token"` // of the head of version From
	By          string          `cbor:"5,keyasint" json:"by"`
	Via         string          `cbor:"6,keyasint" json:"via"`
	At          time.Time       `cbor:"7,keyasint" json:"at"`
	Hash        string          `cbor:"8,keyasint" json:"hash"` // of the new document
	Changes     []config.Change `cbor:"9,keyasint" json:"changes"`
	Omitted     int             `cbor:"10,keyasint" json:"omitted,omitempty"` // changes left out because of maxRecordBytes
	Signature   string          `cbor:"11,keyasint" json:"signature,omitempty"`
}

// newRecord returns the record of a plan that is accepted with head h. It leaves
// out changes from the end until the record fits maxRecordBytes.
func newRecord(operator Operator, p *Plan, h config.Head) Record {
	r := Record{
		Version:     h.Version,
		WriteID:     h.WriteID,
		From:        p.Base.Head.Version,
		FromWriteID: p.Base.Head.WriteID,
		By:          h.By,
		Via:         operator.Via,
		At:          h.At,
		Hash:        h.Hash,
		Changes:     p.Changes,
	}
	if operator.Key != "" {
		r.Signature = r.sign(operator.Key)
	}
	for len(r.Changes) > 0 && len(r.encode()) > maxRecordBytes {
		half := len(r.Changes) / 2
		r.Omitted += len(r.Changes) - half
		r.Changes = r.Changes[:half]
	}
	return r
}

// sign returns the keyed hash over the version, the tokens of its head and of the
// one before, the operator and the hash of the document.
func (r Record) sign(key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	fmt.Fprintf(mac, "%d\n%s\n%s\n%s\n%s", r.Version, r.WriteID, r.FromWriteID, r.By, r.Hash)
	return hex.EncodeToString(mac.Sum(nil))
}

// SignedBy reports whether a record was signed with an operator's key; false for
// an unsigned record.
func (r Record) SignedBy(key string) bool {
	return r.Signature != "" && hmac.Equal([]byte(r.Signature), []byte(r.sign(key)))
}

func (r Record) key() string { return versionPrefix(r.Version) + r.WriteID }

func (r Record) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(Damaged.Wrap(err)) // these field types always encode
	}
	return b
}

// versionPrefix returns the common prefix of the keys of one version's records.
func versionPrefix(version uint64) string {
	return fmt.Sprintf("%s%0*d-", config.AuditPrefix, versionDigits, version)
}

// pagePrefix returns the common prefix of the keys in the page with a version.
func pagePrefix(version uint64) string {
	p := versionPrefix(version)
	return p[:len(p)-1-pageDigits]
}

// History returns the records of accepted changes from one version to another,
// newest first; fewer where older ones were pruned. A record belongs to an
// accepted change exactly if its token is that of the head, or is named as the
// previous one by the next newer accepted record.
func (s *Service) History(ctx context.Context, from, to uint64) ([]Record, error) {
	head, err := s.loadHead(ctx)
	if err != nil {
		return nil, err
	}
	version, writeID := head.Head.Version, head.Head.WriteID
	to = min(to, version)
	if from == 0 {
		from = 1
	}
	var out []Record
	for version >= from && version > 0 {
		page, err := s.recordPage(ctx, version)
		if err != nil {
			return nil, err
		}
		pageStart := version - version%pruneInterval
		for ; version >= max(pageStart, from) && version > 0; version-- {
			i := slices.IndexFunc(page, func(r Record) bool { return r.Version == version && r.WriteID == writeID })
			if i < 0 {
				return out, nil // older records were pruned
			}
			if version <= to {
				out = append(out, page[i])
			}
			writeID = page[i].FromWriteID
		}
	}
	return out, nil
}

// recordPage returns the records in the page with a version.
func (s *Service) recordPage(ctx context.Context, version uint64) ([]Record, error) {
	r := s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectList, Key: pagePrefix(version)})
	if r.Status != core.ObjectOK {
		return nil, Unavailable.New("the object API does not answer")
	}
	var out []Record
	for _, o := range r.Objects {
		var record Record
		if cbor.Unmarshal(o.Value, &record) != nil || !strings.HasSuffix(o.Key, record.WriteID) {
			continue // not an audit record
		}
		out = append(out, record)
	}
	return out, nil
}

// pruneRecords deletes the page of records that exceeds AuditRetention. It also
// deletes the page before that one, in case its pruning failed. It is best
// effort.
func (s *Service) pruneRecords(ctx context.Context, version uint64) {
	if version%pruneInterval != 0 || version <= AuditRetention+pruneInterval {
		return
	}
	oldest := version - AuditRetention - pruneInterval
	for _, v := range []uint64{oldest, oldest - min(oldest, pruneInterval)} {
		r := s.api.Do(ctx, core.ObjectCall{Op: core.ObjectList, Key: pagePrefix(v)})
		for _, o := range r.Objects {
			s.api.Do(ctx, core.ObjectCall{Op: core.ObjectDelete, Key: o.Key, IfVersion: o.Version})
		}
	}
}
