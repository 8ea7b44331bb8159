package lease

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// poller is what a host keeps to read the heartbeats of all batches.
type poller struct {
	assigned   bool // by its rank in its failure domain, the fleet's size or the settings
	polls      bool // assigned, or leading a batch
	pollers    []core.HostID
	nextRead   core.Instant
	readFailed bool         // the latest read failed, or this host did not poll
	readsSince core.Instant // reads have succeeded since
	heartbeats map[uint64]*memberHeartbeat
	objects    map[string]batchObject
	fencing    []uint64
	anyFenced  bool // a member was fenced at the latest view or has been since
}

// memberHeartbeat is one member's heartbeat as read by this host.
type memberHeartbeat struct {
	seq      uint64
	ack      uint64
	seqAt    core.Instant // when this host first read seq, by its own clock
	fenced   bool
	fencedAt core.Instant
}

// batchObject is one batch's object as last read.
type batchObject struct {
	batch   HeartbeatBatch
	version uint64
}

// unchangedFor returns how long this host has seen a heartbeat unchanged,
// counting only the time since reads last failed.
func (p *poller) unchangedFor(now core.Instant, hb *memberHeartbeat) time.Duration {
	return now.Sub(max(hb.seqAt, p.readsSince))
}

// syncMembers drops the heartbeats of removed members and starts to track those
// of new ones.
func (p *poller) syncMembers(h *Head, now core.Instant) {
	present := make(map[uint64]bool, len(h.Members))
	for i := range h.Members {
		n := h.Members[i].Number
		present[n] = true
		if p.heartbeats[n] == nil {
			p.heartbeats[n] = &memberHeartbeat{seqAt: now}
		}
	}
	p.anyFenced = false
	for n, s := range p.heartbeats {
		if !present[n] {
			delete(p.heartbeats, n)
			continue
		}
		p.anyFenced = p.anyFenced || s.fenced
	}
}

// readHeartbeats reads all heartbeats once per period and keeps a watch on the
// head.
func (m *Machine) readHeartbeats(now core.Instant) {
	p := &m.poller
	p.polls = m.number != 0 && (p.assigned || m.leadership.leading)
	if !p.polls {
		p.readFailed = true // after this gap, earlier reads don't prove that a heartbeat has stopped
		return
	}
	if now >= p.nextRead && m.calls.ready(now, callBatchList) {
		p.nextRead = now.Add(m.settings.PollInterval)
		if len(m.head.Members) <= m.settings.MaxSmallFleet {
			p.nextRead = now.Add(m.settings.RenewInterval)
		}
		m.call(now, callBatchList, core.ObjectCall{Op: core.ObjectList, Key: HeartbeatsPrefix})
	}
	if m.calls.ready(now, callWatch) {
		m.call(now, callWatch, core.ObjectCall{Op: core.ObjectWatch, Key: HeadKey, IfVersion: m.newestObjectVersion})
	}
}

// batchListDone handles the heartbeats of all batches.
func (m *Machine) batchListDone(now core.Instant, r core.ObjectResult) {
	p := &m.poller
	if r.Status != core.ObjectOK {
		p.readFailed = true
		return
	}
	if p.readFailed {
		p.readFailed, p.readsSince = false, now
	}
	for _, o := range r.Objects {
		b, err := DecodeHeartbeatBatch(o.Value)
		if err != nil || o.Version < p.objects[o.Key].version {
			continue
		}
		p.objects[o.Key] = batchObject{batch: b, version: o.Version}
		m.noteNewerView(now, b.MaxHeadVersion, 0)
		m.recordBatch(now, b)
	}
	m.raiseLowestApplied(m.lowestAppliedNow())
	m.fence(now)
}

// recordBatch records the heartbeats of one batch. An outdated read changes
// nothing.
func (m *Machine) recordBatch(now core.Instant, b HeartbeatBatch) {
	for _, p := range b.Entries {
		s := m.poller.heartbeats[p.Number]
		if s == nil {
			continue
		}
		if p.Seq > s.seq {
			s.seq, s.seqAt = p.Seq, now
		}
		s.ack = max(s.ack, p.Ack)
		if p.Fenced && !s.fenced {
			s.fenced, s.fencedAt, m.poller.anyFenced = true, now, true
		}
	}
}

// lowestAppliedNow returns the lowest view that a member may act under, by the
// heartbeats read. A member that joined in version n acts under n or later.
func (m *Machine) lowestAppliedNow() uint64 {
	lowest := m.head.Version
	for i := range m.head.Members {
		n := m.head.Members[i].Number
		ack := n
		if s := m.poller.heartbeats[n]; s != nil {
			ack = max(ack, s.ack)
		}
		if n == m.number {
			ack = m.head.Version
		}
		lowest = min(lowest, ack)
	}
	return lowest
}

// leaseExpired reports whether a member's lease has certainly expired.
func (m *Machine) leaseExpired(now core.Instant, e *Entry) bool {
	s := m.poller.heartbeats[e.Number]
	return s != nil && m.poller.polls && !m.poller.readFailed && e.Host != m.Self() &&
		m.poller.unchangedFor(now, s) > m.settings.fenceAfter()
}

// rankDelay returns how long this host waits before it takes an action that all
// pollers could take: its rank among the pollers that are not suspected, times
// the stagger.
func (m *Machine) rankDelay(now core.Instant, key string) time.Duration {
	var live []core.HostID
	for _, id := range m.poller.pollers {
		i, ok := m.head.find(id)
		if !ok {
			continue
		}
		if s := m.poller.heartbeats[m.head.Members[i].Number]; id == m.Self() || (s != nil && m.poller.unchangedFor(now, s) < m.settings.SuspectAfter) {
			live = append(live, id)
		}
	}
	return time.Duration(rank(live, m.Self(), key)) * m.settings.Stagger
}

// fence marks as fenced the members of one batch whose leases have expired. The
// update is conditional on the object version that this host has read: a
// heartbeat written since makes it fail, and a later writer reads the mark.
func (m *Machine) fence(now core.Instant) {
	p := &m.poller
	if !m.HasLease(now) || !m.calls.ready(now, callFence) {
		return
	}
	key := ""
	var numbers []uint64
	for i := range m.head.Members {
		e := &m.head.Members[i]
		k := e.key()
		if (key != "" && k != key) || (k == m.ownBatchKey && m.leadership.leading) || !m.leaseExpired(now, e) {
			continue
		}
		s := p.heartbeats[e.Number]
		if s.fenced || p.unchangedFor(now, s) < m.settings.fenceAfter()+m.rankDelay(now, k) {
			continue
		}
		key, numbers = k, append(numbers, e.Number)
	}
	if key == "" {
		return
	}
	o := p.objects[key]
	b := o.batch
	b.Entries = slices.Clone(b.Entries)
	for _, n := range numbers {
		p := b.record(n)
		p.Fenced = true
		b.set(p)
	}
	value, err := EncodeHeartbeatBatch(b)
	if err != nil {
		return
	}
	p.fencing = numbers
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: o.version}
	if o.version == 0 {
		call = core.ObjectCall{Op: core.ObjectCreate, Key: key, Value: value}
	}
	m.call(now, callFence, call)
}

// fenceWriteDone handles the result of a fencing update. After a conflict or an
// unknown result the next read shows what happened.
func (m *Machine) fenceWriteDone(now core.Instant, r core.ObjectResult) {
	if r.Status != core.ObjectOK {
		return
	}
	for _, n := range m.poller.fencing {
		if s := m.poller.heartbeats[n]; s != nil && !s.fenced {
			s.fenced, s.fencedAt, m.poller.anyFenced = true, now.Add(-m.settings.Term), true
		}
	}
}

// removable returns the fenced members that this host may remove now, given its
// rank.
func (p *poller) removable(m *Machine, now core.Instant) []core.HostID {
	if !p.anyFenced || !p.polls || !m.HasLease(now) {
		return nil
	}
	var hosts []core.HostID
	for i := range m.head.Members {
		e := &m.head.Members[i]
		s := p.heartbeats[e.Number]
		if s == nil || !s.fenced || e.Host == m.Self() {
			continue
		}
		if now.Sub(s.fencedAt) >= m.rankDelay(now, HeadKey) {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts
}
