package lease

import (
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
)

// Error is the class of this package's errors.
var Error = errs.Class("lease")

// Keys in the object API.
const (
	HeadKey     = "members/head"
	BeatsPrefix = "members/beats/"
)

// Head is the membership in force, with the changes that led to it.
type Head struct {
	Version uint64         `cbor:"1,keyasint"` // of the view; rises by one with each update
	Members []Entry        `cbor:"2,keyasint"` // sorted by host
	Log     []MemberChange `cbor:"3,keyasint"` // oldest first
	LogFrom uint64         `cbor:"4,keyasint"` // Log holds every change from this version on
}

// Entry is one member.
type Entry struct {
	core.Member `cbor:"1,keyasint"`
	Number      uint64 `cbor:"2,keyasint"` // the version that it joined in; names it in heartbeats
	Batch       int    `cbor:"3,keyasint,omitempty"`
}

// MemberChangeKind tells what happened to a member.
type MemberChangeKind uint8

// Kinds of change.
const (
	Joined  MemberChangeKind = iota + 1
	Marked                   // as leaving: it owns nothing from here on
	Removed                  // gone: its lease has ended or it has stopped of its own accord
)

// MemberChange is one member's change in one version.
type MemberChange struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Kind    MemberChangeKind
	Host    core.HostID
}

// EncodeHead returns the stored form.
func EncodeHead(h Head) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHead reads the stored form.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	err := cbor.Unmarshal(b, &h)
	return h, Error.Wrap(err)
}

// find returns the index of a host.
func (h *Head) find(id core.HostID) (int, bool) {
	return slices.BinarySearchFunc(h.Members, id, func(e Entry, id core.HostID) int {
		if e.Host < id {
			return -1
		}
		if e.Host > id {
			return 1
		}
		return 0
	})
}

// clone copies what next may change.
func (h *Head) clone() Head {
	c := *h
	c.Members = slices.Clone(h.Members)
	c.Log = slices.Clone(h.Log)
	return c
}

// batchFor is the first batch of a failure domain with room.
func (h *Head) batchFor(d core.Domain, size int) int {
	counts := map[int]int{}
	for _, e := range h.Members {
		if e.Domain == d {
			counts[e.Batch]++
		}
	}
	batch := 0
	for counts[batch] >= size {
		batch++
	}
	return batch
}

func (h *Head) join(m core.Member, size int) {
	i, found := h.find(m.Host)
	if found {
		return
	}
	m.Leaving = false
	e := Entry{Member: m, Number: h.Version, Batch: h.batchFor(m.Domain, size)}
	h.Members = slices.Insert(h.Members, i, e)
	h.Log = append(h.Log, MemberChange{Version: h.Version, Kind: Joined, Host: m.Host})
}

func (h *Head) mark(id core.HostID) {
	if i, ok := h.find(id); ok && !h.Members[i].Leaving {
		h.Members[i].Leaving = true
		h.Log = append(h.Log, MemberChange{Version: h.Version, Kind: Marked, Host: id})
	}
}

func (h *Head) remove(id core.HostID) {
	if i, ok := h.find(id); ok {
		h.Members = slices.Delete(h.Members, i, i+1)
		h.Log = append(h.Log, MemberChange{Version: h.Version, Kind: Removed, Host: id})
	}
}

// trim bounds the log. A version is dropped whole.
func (h *Head) trim(most int) {
	if h.LogFrom == 0 {
		h.LogFrom = 1
	}
	for len(h.Log) > most {
		h.LogFrom = h.Log[0].Version + 1
		for len(h.Log) > 0 && h.Log[0].Version < h.LogFrom {
			h.Log = h.Log[1:]
		}
	}
}

// batchKey names the heartbeat object of a batch.
func batchKey(d core.Domain, batch int) string {
	return BeatsPrefix + string(d) + "/" + strconv.Itoa(batch)
}

// key names the heartbeat object that carries a member.
func (e *Entry) key() string { return batchKey(e.Domain, e.Batch) }

// Beat is the heartbeats of one batch.
type Beat struct {
	Leader  core.HostID `cbor:"1,keyasint"`
	Head    uint64      `cbor:"2,keyasint"` // no leader with an older head may write
	Token   uint64      `cbor:"3,keyasint"` // of the leader's last write; a fencing host leaves it
	Entries []Pulse     `cbor:"4,keyasint"` // sorted by number
}

// Pulse is one member's heartbeat as written.
type Pulse struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Seq    uint64
	Ack    uint64 // the view that the member acts under
	Fenced bool   // for good: no later heartbeat of this member counts
}

// EncodeBeat returns the stored form.
func EncodeBeat(b Beat) ([]byte, error) { return cbor.Marshal(b) }

// DecodeBeat reads the stored form.
func DecodeBeat(b []byte) (Beat, error) {
	var v Beat
	err := cbor.Unmarshal(b, &v)
	return v, Error.Wrap(err)
}

// find returns the index of a member's heartbeat.
func (b *Beat) find(number uint64) (int, bool) {
	return slices.BinarySearchFunc(b.Entries, number, func(p Pulse, n uint64) int {
		if p.Number < n {
			return -1
		}
		if p.Number > n {
			return 1
		}
		return 0
	})
}

// pulse returns a member's heartbeat, or an empty one.
func (b *Beat) pulse(number uint64) Pulse {
	if i, ok := b.find(number); ok {
		return b.Entries[i]
	}
	return Pulse{Number: number}
}

// put sets a member's heartbeat.
func (b *Beat) put(p Pulse) {
	i, ok := b.find(p.Number)
	if ok {
		b.Entries[i] = p
		return
	}
	b.Entries = slices.Insert(b.Entries, i, p)
}
