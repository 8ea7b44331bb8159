package once

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// Expiry does not depend on synchronized clocks: one object holds the store's
// versions at successive epochs. The collector adds an epoch only after it has
// itself seen that object unchanged for the full duration, so that no epoch is
// shorter, whichever host collects. A record whose version is below the oldest
// epoch's has not been written for the whole retention and is deleted.
const (
	EpochsKey       = "once/marks"
	EpochDuration   = time.Hour
	RetentionEpochs = 24 // epochs that a record is kept after its last write

	bucketCount         = 256
	bucketInterval      = EpochDuration / bucketCount // one bucket at a time
	maxDeletesInFlight  = 64
	collectorRetryDelay = 30 * time.Second
)

// collectorName is the rendezvous name; its best host is the collector.
const collectorName = "once"

// epochVersions are the store's versions at the last epochs, oldest first.
type epochVersions struct {
	Versions []uint64 `cbor:"1,keyasint"`
}

// collectorState is the state of the host that deletes expired records.
type collectorState struct {
	active    bool
	tag       uint64 // of the call in flight that reads or writes the epochs or lists a bucket
	kind      core.ObjectOp
	version   uint64       // of the epochs object as last read; 0: not read
	seenSince core.Instant // when this host first saw this version
	epochs    epochVersions
	bucket    int
	due       core.Instant
	deletes   map[uint64]bool
	expired   []core.Object
}

// collect sends the collector's next call if this host is the collector.
func (m *Machine) collect(now core.Instant, own core.Ownership) {
	s := &m.collector
	if !isCollector(own) {
		*s = collectorState{deletes: s.deletes} // observations from before a gap do not count
		return
	}
	if !s.active {
		*s = collectorState{active: true, due: now, deletes: map[uint64]bool{}}
	}
	m.deleteExpired()
	if s.tag != 0 || now.Before(s.due) || len(s.expired) > 0 {
		return
	}
	s.due = now.Add(bucketInterval)
	switch {
	case s.version == 0 && s.kind == 0:
		m.collectorCall(core.ObjectCall{Op: core.ObjectGet, Key: EpochsKey})
	case s.version == 0:
		m.collectorCall(core.ObjectCall{Op: core.ObjectCreate, Key: EpochsKey, Value: encodeEpochs(epochVersions{})})
	case now.Sub(s.seenSince) >= EpochDuration:
		next := epochVersions{Versions: append(append([]uint64(nil), s.epochs.Versions...), s.version)}
		if over := len(next.Versions) - RetentionEpochs; over > 0 {
			next.Versions = next.Versions[over:]
		}
		m.collectorCall(core.ObjectCall{Op: core.ObjectUpdate, Key: EpochsKey, Value: encodeEpochs(next), IfVersion: s.version})
	case len(s.epochs.Versions) >= RetentionEpochs:
		m.collectorCall(core.ObjectCall{Op: core.ObjectList, Key: bucketPrefix(s.bucket)})
		s.bucket = (s.bucket + 1) % bucketCount
	}
}

// isCollector reports whether this host deletes expired records. Two collectors at
// the same time are safe: every delete is conditional.
func isCollector(own core.Ownership) bool {
	if own == nil {
		return false
	}
	members := own.Members()
	hosts := make([]core.HostID, 0, len(members))
	for _, x := range members {
		hosts = append(hosts, x.Host)
	}
	host, ok := core.Rendezvous(hosts, 0, collectorName)
	return ok && host == own.Self()
}

func bucketPrefix(bucket int) string {
	const digits = "0123456789abcdef"
	return RecordPrefix + string(digits[bucket>>4]) + string(digits[bucket&15]) + "/"
}

func encodeEpochs(x epochVersions) []byte {
	b, err := cbor.Marshal(x)
	if err != nil {
		panic(Error.Wrap(err)) // plain fields always encode
	}
	return b
}

func (m *Machine) collectorCall(c core.ObjectCall) {
	c.Tag = m.nextTag()
	m.collector.tag = c.Tag
	m.collector.kind = c.Op
	m.out.Calls = append(m.out.Calls, c)
}

// deleteExpired sends deletes of expired records, a bounded number at a time.
func (m *Machine) deleteExpired() {
	s := &m.collector
	for len(s.expired) > 0 && len(s.deletes) < maxDeletesInFlight {
		o := s.expired[0]
		s.expired = s.expired[1:]
		tag := m.nextTag()
		s.deletes[tag] = true
		m.out.Calls = append(m.out.Calls, core.ObjectCall{Tag: tag, Op: core.ObjectDelete, Key: o.Key, IfVersion: o.Version})
	}
}

// handleCollectorResult applies the result of a collector's call.
func (m *Machine) handleCollectorResult(now core.Instant, r core.ObjectResult) {
	s := &m.collector
	if s.deletes[r.Tag] {
		delete(s.deletes, r.Tag) // a failed delete is repeated in the next round
		m.deleteExpired()
		return
	}
	if !s.active || r.Tag != s.tag {
		return
	}
	s.tag = 0
	if r.Status == core.ObjectUnavailable || r.Status == core.ObjectUnknown {
		s.due = now.Add(collectorRetryDelay)
		s.kind, s.version = 0, 0 // read the epochs object again and restart its observation
		return
	}
	switch s.kind {
	case core.ObjectList:
		m.handleList(r)
	default:
		m.handleEpochs(now, r)
	}
}

// handleEpochs applies the epochs object as read or written.
func (m *Machine) handleEpochs(now core.Instant, r core.ObjectResult) {
	s := &m.collector
	if r.Status == core.ObjectNotFound {
		return // kind is ObjectGet: the next call creates the object
	}
	var x epochVersions
	if r.Status == core.ObjectConflict || cbor.Unmarshal(r.Object.Value, &x) != nil {
		s.kind, s.version = 0, 0
		return
	}
	if r.Object.Version != s.version {
		s.version, s.seenSince, s.epochs = r.Object.Version, now, x
	}
}

// handleList queues the expired records of a bucket for deletion.
func (m *Machine) handleList(r core.ObjectResult) {
	s := &m.collector
	oldest := s.epochs.Versions[0]
	for _, o := range r.Objects {
		if o.Version < oldest {
			s.expired = append(s.expired, core.Object{Key: o.Key, Version: o.Version})
		}
	}
	m.deleteExpired()
}
