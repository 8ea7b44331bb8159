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
	HeadKey          = "members/head"
	HeartbeatsPrefix = "members/beats/"
)

// Head is the current membership, with the latest changes that led to it.
type Head struct {
	Version uint64         `cbor:"1,keyasint"` // of the view; each update increments it
	Members []Entry        `cbor:"2,keyasint"` // sorted by host
	Log     []MemberChange `cbor:"3,keyasint"` // oldest first
	LogFrom uint64         `cbor:"4,keyasint"` // Log holds every change from this version on
}

// Entry is one member of the head.
type Entry struct {
	core.Member `cbor:"1,keyasint"`
	Number      uint64 `cbor:"2,keyasint"`           // version of the head that the host joined in; identifies it in heartbeats
	Batch       int    `cbor:"3,keyasint,omitempty"` // number of its heartbeat batch within the failure domain
}

// MemberChangeKind is the kind of a change to a member.
type MemberChangeKind uint8

// Kinds of membership change.
const (
	Joined        MemberChangeKind = iota + 1
	MarkedLeaving                  // as leaving: the host owns no shards from this version on
	Removed                        // its lease has expired or it has released its membership
)

// MemberChange is one member's change in one version of the head.
type MemberChange struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Kind    MemberChangeKind
	Host    core.HostID
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHead decodes the stored form of a head.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	err := cbor.Unmarshal(b, &h)
	return h, Error.Wrap(err)
}

// find returns the index of a host in Members, or where it would be inserted
// and false.
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

// clone copies the head, including the slices that an update changes.
func (h *Head) clone() Head {
	c := *h
	c.Members = slices.Clone(h.Members)
	c.Log = slices.Clone(h.Log)
	return c
}

// batchFor returns the lowest-numbered batch of a failure domain that has fewer
// than size members.
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

// join adds a host that is not a member yet.
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

// markLeaving marks a member as leaving.
func (h *Head) markLeaving(id core.HostID) {
	if i, ok := h.find(id); ok && !h.Members[i].Leaving {
		h.Members[i].Leaving = true
		h.Log = append(h.Log, MemberChange{Version: h.Version, Kind: MarkedLeaving, Host: id})
	}
}

// remove removes a member.
func (h *Head) remove(id core.HostID) {
	if i, ok := h.find(id); ok {
		h.Members = slices.Delete(h.Members, i, i+1)
		h.Log = append(h.Log, MemberChange{Version: h.Version, Kind: Removed, Host: id})
	}
}

// trimLog drops the oldest changes beyond the limit, always all changes of a
// version together.
func (h *Head) trimLog(maxChanges int) {
	if h.LogFrom == 0 {
		h.LogFrom = 1
	}
	for len(h.Log) > maxChanges {
		h.LogFrom = h.Log[0].Version + 1
		for len(h.Log) > 0 && h.Log[0].Version < h.LogFrom {
			h.Log = h.Log[1:]
		}
	}
}

// batchKey returns the key of a batch's heartbeat object.
func batchKey(d core.Domain, batch int) string {
	return HeartbeatsPrefix + string(d) + "/" + strconv.Itoa(batch)
}

// key returns the key of the heartbeat object that holds this member's
// heartbeat.
func (e *Entry) key() string { return batchKey(e.Domain, e.Batch) }

// HeartbeatBatch is the stored object with the heartbeats of one batch.
type HeartbeatBatch struct {
	Leader         core.HostID       `cbor:"1,keyasint"`
	MaxHeadVersion uint64            `cbor:"2,keyasint"` // newest head that a leader of the batch has used; one with an older head must not write
	WriteToken     uint64            `cbor:"3,keyasint"` // random number of the leader's last write; a fencing host leaves it unchanged
	Entries        []HeartbeatRecord `cbor:"4,keyasint"` // sorted by number
}

// HeartbeatRecord is the stored heartbeat of one member.
type HeartbeatRecord struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Seq    uint64
	Ack    uint64 // view that the member acts under
	Fenced bool   // permanent: no later heartbeat of this member counts
}

// EncodeHeartbeatBatch returns the stored form of a batch.
func EncodeHeartbeatBatch(b HeartbeatBatch) ([]byte, error) { return cbor.Marshal(b) }

// DecodeHeartbeatBatch decodes the stored form of a batch.
func DecodeHeartbeatBatch(b []byte) (HeartbeatBatch, error) {
	var v HeartbeatBatch
	err := cbor.Unmarshal(b, &v)
	return v, Error.Wrap(err)
}

// find returns the index of a member's heartbeat, or where it would be inserted
// and false.
func (b *HeartbeatBatch) find(number uint64) (int, bool) {
	return slices.BinarySearchFunc(b.Entries, number, func(p HeartbeatRecord, n uint64) int {
		if p.Number < n {
			return -1
		}
		if p.Number > n {
			return 1
		}
		return 0
	})
}

// record returns a member's heartbeat, or an empty one.
func (b *HeartbeatBatch) record(number uint64) HeartbeatRecord {
	if i, ok := b.find(number); ok {
		return b.Entries[i]
	}
	return HeartbeatRecord{Number: number}
}

// set adds or replaces a member's heartbeat.
func (b *HeartbeatBatch) set(record HeartbeatRecord) {
	i, ok := b.find(record.Number)
	if ok {
		b.Entries[i] = record
		return
	}
	b.Entries = slices.Insert(b.Entries, i, record)
}
