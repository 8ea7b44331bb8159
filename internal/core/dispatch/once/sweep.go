package once

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// Expiry without clocks that must agree: MarkKey holds the store's versions at
// successive epochs. The sweeper adds an epoch only after it has itself
// watched the marks stand for EpochTerm, so that Retention epochs last at least
// Retention x EpochTerm, whoever sweeps. A record whose version is below the
// oldest mark has not been written for that long and is deleted.
const (
	MarkKey   = "once/marks"
	EpochTerm = time.Hour
	Retention = 24 // epochs that a record stands after its last write

	sweepBuckets = 256
	sweepEvery   = EpochTerm / sweepBuckets // one bucket a time
	sweepDeletes = 64                       // deletes in flight at most
	sweepRetry   = 30 * time.Second
)

// sweeperName is the name whose rendezvous host sweeps.
const sweeperName = "once"

// marks are the store's versions at the last epochs, oldest first.
type marks struct {
	Versions []uint64 `cbor:"1,keyasint"`
}

// sweeper is the state of the host that deletes expired records.
type sweeper struct {
	active  bool
	tag     uint64 // of the read or write of the marks, or of a list
	kind    core.ObjectOp
	version uint64       // of the marks as last seen
	since   core.Instant // when this version was first seen here
	marks   marks
	bucket  int
	due     core.Instant
	deletes map[uint64]bool
	doomed  []core.Object
}

// sweep sends the sweeper's next call.
func (m *Machine) sweep(now core.Instant, own core.Ownership) {
	s := &m.sweeper
	if !sweeps(own) {
		*s = sweeper{deletes: s.deletes} // what it saw is not kept over a gap
		return
	}
	if !s.active {
		*s = sweeper{active: true, due: now, deletes: map[uint64]bool{}}
	}
	m.deleteDoomed()
	if s.tag != 0 || now.Before(s.due) || len(s.doomed) > 0 {
		return
	}
	s.due = now.Add(sweepEvery)
	switch {
	case s.version == 0 && s.kind == 0:
		m.sweepCall(core.ObjectCall{Op: core.ObjectGet, Key: MarkKey})
	case s.version == 0:
		m.sweepCall(core.ObjectCall{Op: core.ObjectCreate, Key: MarkKey, Value: encodeMarks(marks{})})
	case now.Sub(s.since) >= EpochTerm:
		next := marks{Versions: append(append([]uint64(nil), s.marks.Versions...), s.version)}
		if over := len(next.Versions) - Retention; over > 0 {
			next.Versions = next.Versions[over:]
		}
		m.sweepCall(core.ObjectCall{Op: core.ObjectUpdate, Key: MarkKey, Value: encodeMarks(next), IfVersion: s.version})
	case len(s.marks.Versions) >= Retention:
		m.sweepCall(core.ObjectCall{Op: core.ObjectList, Key: bucketPrefix(s.bucket)})
		s.bucket = (s.bucket + 1) % sweepBuckets
	}
}

// sweeps tells whether this host is the one that deletes. Two at once do no
// harm: every delete is conditional.
func sweeps(own core.Ownership) bool {
	if own == nil {
		return false
	}
	members := own.Members()
	hosts := make([]core.HostID, 0, len(members))
	for _, x := range members {
		hosts = append(hosts, x.Host)
	}
	home, ok := core.Rendezvous(hosts, 0, sweeperName)
	return ok && home == own.Self()
}

func bucketPrefix(bucket int) string {
	const digits = "0123456789abcdef"
	return Prefix + string(digits[bucket>>4]) + string(digits[bucket&15]) + "/"
}

func encodeMarks(x marks) []byte {
	b, err := cbor.Marshal(x)
	if err != nil {
		panic(Error.Wrap(err)) // plain fields always encode
	}
	return b
}

func (m *Machine) sweepCall(c core.ObjectCall) {
	c.Tag = m.nextTag()
	m.sweeper.tag = c.Tag
	m.sweeper.kind = c.Op
	m.out.Calls = append(m.out.Calls, c)
}

// deleteDoomed sends deletes of expired records, a bounded number at a time.
func (m *Machine) deleteDoomed() {
	s := &m.sweeper
	for len(s.doomed) > 0 && len(s.deletes) < sweepDeletes {
		o := s.doomed[0]
		s.doomed = s.doomed[1:]
		tag := m.nextTag()
		s.deletes[tag] = true
		m.out.Calls = append(m.out.Calls, core.ObjectCall{Tag: tag, Op: core.ObjectDelete, Key: o.Key, IfVersion: o.Version})
	}
}

// swept takes the end of a sweeper's call.
func (m *Machine) swept(now core.Instant, r core.ObjectResult) {
	s := &m.sweeper
	if s.deletes[r.Tag] {
		delete(s.deletes, r.Tag) // a lost delete is made up for at the next round
		m.deleteDoomed()
		return
	}
	if !s.active || r.Tag != s.tag {
		return
	}
	s.tag = 0
	if r.Status == core.ObjectUnavailable || r.Status == core.ObjectUnknown {
		s.due = now.Add(sweepRetry)
		s.kind, s.version = 0, 0 // read the marks again, and watch them anew
		return
	}
	switch s.kind {
	case core.ObjectList:
		m.listed(r)
	default:
		m.marked(now, r)
	}
}

// marked takes the marks as they stand.
func (m *Machine) marked(now core.Instant, r core.ObjectResult) {
	s := &m.sweeper
	if r.Status == core.ObjectNotFound {
		return // kind is ObjectGet: the next call creates them
	}
	var x marks
	if r.Status == core.ObjectConflict || cbor.Unmarshal(r.Object.Value, &x) != nil {
		s.kind, s.version = 0, 0
		return
	}
	if r.Object.Version != s.version {
		s.version, s.since, s.marks = r.Object.Version, now, x
	}
}

// listed dooms the expired records of a bucket.
func (m *Machine) listed(r core.ObjectResult) {
	s := &m.sweeper
	oldest := s.marks.Versions[0]
	for _, o := range r.Objects {
		if o.Version < oldest {
			s.doomed = append(s.doomed, core.Object{Key: o.Key, Version: o.Version})
		}
	}
	m.deleteDoomed()
}
