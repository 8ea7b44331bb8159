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
	KeepVersions   = 100_000 // versions whose records are kept
	pruneEvery     = 100     // versions between two prunings; a page of keys
	pageDigits     = 2       // of the version that one page spans
	maxRecordBytes = 32 << 10
	versionDigits  = 16
)

// Record tells who changed the configuration, from which version to which, and
// what.
type Record struct {
	Version   uint64          `cbor:"1,keyasint" json:"version"`
	Token     string          `cbor:"2,keyasint" json:"token"`      // that of the head it led to
	From      uint64          `cbor:"3,keyasint" json:"from"`       // the version before
	FromToken string          `cbor:"4,keyasint" json:"from_token"` // that of the head before
	By        string          `cbor:"5,keyasint" json:"by"`
	Via       string          `cbor:"6,keyasint" json:"via"`
	At        time.Time       `cbor:"7,keyasint" json:"at"`
	Hash      string          `cbor:"8,keyasint" json:"hash"` // of the document it led to
	Changes   []config.Change `cbor:"9,keyasint" json:"changes"`
	Omitted   int             `cbor:"10,keyasint" json:"omitted,omitempty"` // changes over the bound on a record
	Signature string          `cbor:"11,keyasint" json:"signature,omitempty"`
}

// newRecord describes a plan that leads to a head.
func newRecord(who Operator, p *Plan, h config.Head) Record {
	r := Record{
		Version:   h.Version,
		Token:     h.WriteID,
		From:      p.Base.Head.Version,
		FromToken: p.Base.Head.WriteID,
		By:        h.By,
		Via:       who.Via,
		At:        h.At,
		Hash:      h.Hash,
		Changes:   p.Changes,
	}
	if who.Key != "" {
		r.Signature = r.sign(who.Key)
	}
	for len(r.Changes) > 0 && len(r.encode()) > maxRecordBytes {
		half := len(r.Changes) / 2
		r.Omitted += len(r.Changes) - half
		r.Changes = r.Changes[:half]
	}
	return r
}

// sign covers what was accepted, by whom, and after what.
func (r Record) sign(key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	fmt.Fprintf(mac, "%d\n%s\n%s\n%s\n%s", r.Version, r.Token, r.FromToken, r.By, r.Hash)
	return hex.EncodeToString(mac.Sum(nil))
}

// SignedBy reports whether a record was signed with an operator's key.
func (r Record) SignedBy(key string) bool {
	return r.Signature != "" && hmac.Equal([]byte(r.Signature), []byte(r.sign(key)))
}

func (r Record) key() string { return versionPrefix(r.Version) + r.Token }

func (r Record) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(Damaged.Wrap(err)) // plain fields always encode
	}
	return b
}

// versionPrefix is what the keys of one version's records start with.
func versionPrefix(version uint64) string {
	return fmt.Sprintf("%s%0*d-", config.AuditPrefix, versionDigits, version)
}

// pagePrefix is what the keys of a page of versions start with.
func pagePrefix(version uint64) string {
	p := versionPrefix(version)
	return p[:len(p)-1-pageDigits]
}

// History returns the records of accepted changes from one version to another,
// newest first. A record is of an accepted change exactly if the head, or the
// accepted record after it, names its token.
func (s *Service) History(ctx context.Context, from, to uint64) ([]Record, error) {
	head, err := s.loadHead(ctx)
	if err != nil {
		return nil, err
	}
	want, token := head.Head.Version, head.Head.WriteID
	to = min(to, want)
	if from == 0 {
		from = 1
	}
	var out []Record
	for want >= from && want > 0 {
		page, err := s.page(ctx, want)
		if err != nil {
			return nil, err
		}
		last := want - want%pruneEvery
		for ; want >= max(last, from) && want > 0; want-- {
			i := slices.IndexFunc(page, func(r Record) bool { return r.Version == want && r.Token == token })
			if i < 0 {
				return out, nil // pruned from here on
			}
			if want <= to {
				out = append(out, page[i])
			}
			token = page[i].FromToken
		}
	}
	return out, nil
}

// page lists the records of the page that holds a version.
func (s *Service) page(ctx context.Context, version uint64) ([]Record, error) {
	r := s.do(ctx, core.ObjectCall{Op: core.ObjectList, Key: pagePrefix(version)})
	if r.Status != core.ObjectOK {
		return nil, Unavailable.New("the object API does not answer")
	}
	var out []Record
	for _, o := range r.Objects {
		var x Record
		if cbor.Unmarshal(o.Value, &x) != nil || !strings.HasSuffix(o.Key, x.Token) {
			continue // not one of ours
		}
		out = append(out, x)
	}
	return out, nil
}

// prune deletes the records that fell out of the bound, a page at a time. The
// page before it is looked at again, in case that pruning failed.
func (s *Service) prune(ctx context.Context, version uint64) {
	if version%pruneEvery != 0 || version <= KeepVersions+pruneEvery {
		return
	}
	oldest := version - KeepVersions - pruneEvery
	for _, v := range []uint64{oldest, oldest - min(oldest, pruneEvery)} {
		r := s.api.Do(ctx, core.ObjectCall{Op: core.ObjectList, Key: pagePrefix(v)})
		for _, o := range r.Objects {
			s.api.Do(ctx, core.ObjectCall{Op: core.ObjectDelete, Key: o.Key, IfVersion: o.Version})
		}
	}
}
