package lease

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// watcher is the part of a host that reads all heartbeats.
type watcher struct {
	assigned bool // by its place in its failure domain
	polls    bool // assigned, or leading
	pollers  []core.HostID
	next     core.Instant
	broken   bool         // the latest reading failed
	since    core.Instant // readings have succeeded since
	seen     map[uint64]*seen
	objects  map[string]observed
	fencing  []uint64
	fenced   bool // some member is, or was at the latest view
}

// seen is one member's heartbeat as this host has watched it.
type seen struct {
	seq      uint64
	ack      uint64
	at       core.Instant // this host's clock when it first saw seq
	fenced   bool
	fencedAt core.Instant
}

// observed is one batch's object as last read.
type observed struct {
	beat    Beat
	version uint64
}

// silence is how long this host has itself watched a heartbeat stand, without
// a failed reading since.
func (w *watcher) silence(now core.Instant, s *seen) time.Duration {
	return now.Sub(max(s.at, w.since))
}

// forget drops what is known about hosts that are members no more, and begins
// to watch new ones.
func (w *watcher) forget(h *Head, now core.Instant) {
	present := make(map[uint64]bool, len(h.Members))
	for i := range h.Members {
		n := h.Members[i].Number
		present[n] = true
		if w.seen[n] == nil {
			w.seen[n] = &seen{at: now}
		}
	}
	w.fenced = false
	for n, s := range w.seen {
		if !present[n] {
			delete(w.seen, n)
			continue
		}
		w.fenced = w.fenced || s.fenced
	}
}

// workWatch reads the heartbeats once a period and keeps a watch on the head.
func (m *Machine) workWatch(now core.Instant) {
	w := &m.watch
	w.polls = m.number != 0 && (w.assigned || m.lead.leading)
	if !w.polls {
		w.broken = true // a gap: what was seen before it proves no silence
		return
	}
	if now >= w.next && m.calls.ready(now, callBeats) {
		w.next = now.Add(m.set.Poll)
		if len(m.head.Members) <= m.set.SmallFleet {
			w.next = now.Add(m.set.Renew)
		}
		m.call(now, callBeats, core.ObjectCall{Op: core.ObjectList, Key: BeatsPrefix})
	}
	if m.calls.ready(now, callWatch) {
		m.call(now, callWatch, core.ObjectCall{Op: core.ObjectWatch, Key: HeadKey, IfVersion: m.headSeen})
	}
}

// beatsListed takes all heartbeats.
func (m *Machine) beatsListed(now core.Instant, r core.ObjectResult) {
	w := &m.watch
	if r.Status != core.ObjectOK {
		w.broken = true
		return
	}
	if w.broken {
		w.broken, w.since = false, now
	}
	for _, o := range r.Objects {
		b, err := DecodeBeat(o.Value)
		if err != nil || o.Version < w.objects[o.Key].version {
			continue
		}
		w.objects[o.Key] = observed{beat: b, version: o.Version}
		m.hint(now, b.Head, 0)
		m.observe(now, b)
	}
	m.settle(m.settledNow())
	m.fence(now)
}

// observe takes one batch's heartbeats. An old reading changes nothing.
func (m *Machine) observe(now core.Instant, b Beat) {
	for _, p := range b.Entries {
		s := m.watch.seen[p.Number]
		if s == nil {
			continue
		}
		if p.Seq > s.seq {
			s.seq, s.at = p.Seq, now
		}
		s.ack = max(s.ack, p.Ack)
		if p.Fenced && !s.fenced {
			s.fenced, s.fencedAt, m.watch.fenced = true, now, true
		}
	}
}

// settledNow is the lowest view that a member may act under. A member that
// joined in version n acts under n or later.
func (m *Machine) settledNow() uint64 {
	low := m.head.Version
	for i := range m.head.Members {
		n := m.head.Members[i].Number
		ack := n
		if s := m.watch.seen[n]; s != nil {
			ack = max(ack, s.ack)
		}
		if n == m.number {
			ack = m.head.Version
		}
		low = min(low, ack)
	}
	return low
}

// overdue reports whether a member's lease has surely ended.
func (m *Machine) overdue(now core.Instant, e *Entry) bool {
	s := m.watch.seen[e.Number]
	return s != nil && m.watch.polls && !m.watch.broken && e.Host != m.Self() &&
		m.watch.silence(now, s) > m.set.fenceAfter()
}

// turn spaces the hosts that could do the same thing; the leader of a batch
// fences its own members in passing, so others give it one period more.
func (m *Machine) turn(key string) time.Duration {
	var live []core.HostID
	for _, id := range m.watch.pollers {
		i, ok := m.head.find(id)
		if !ok {
			continue
		}
		if s := m.watch.seen[m.head.Members[i].Number]; id == m.Self() || (s != nil && m.watch.silence(s.at, s) < m.set.SuspectAfter) {
			live = append(live, id)
		}
	}
	return time.Duration(rank(live, m.Self(), key)) * m.set.Stagger
}

// fence marks the members of one batch whose leases have ended. The update is
// conditional on the very object that showed their silence: a heartbeat
// written since makes it fail, and one written later finds the mark.
func (m *Machine) fence(now core.Instant) {
	w := &m.watch
	if !m.Holding(now) || !m.calls.ready(now, callFence) {
		return
	}
	key := ""
	var numbers []uint64
	for i := range m.head.Members {
		e := &m.head.Members[i]
		k := e.key()
		if (key != "" && k != key) || (k == m.batch && m.lead.leading) || !m.overdue(now, e) {
			continue
		}
		s := w.seen[e.Number]
		if s.fenced || w.silence(now, s) < m.set.fenceAfter()+m.turn(k) {
			continue
		}
		key, numbers = k, append(numbers, e.Number)
	}
	if key == "" {
		return
	}
	o := w.objects[key]
	b := o.beat
	b.Entries = slices.Clone(b.Entries)
	for _, n := range numbers {
		p := b.pulse(n)
		p.Fenced = true
		b.put(p)
	}
	value, err := EncodeBeat(b)
	if err != nil {
		return
	}
	w.fencing = numbers
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: o.version}
	if o.version == 0 {
		call = core.ObjectCall{Op: core.ObjectCreate, Key: key, Value: value}
	}
	m.call(now, callFence, call)
}

// fenceWritten takes the end of a fencing update. After a conflict or a lost
// answer the next reading shows what happened.
func (m *Machine) fenceWritten(now core.Instant, r core.ObjectResult) {
	if r.Status != core.ObjectOK {
		return
	}
	for _, n := range m.watch.fencing {
		if s := m.watch.seen[n]; s != nil && !s.fenced {
			s.fenced, s.fencedAt, m.watch.fenced = true, now.Add(-m.set.Term), true
		}
	}
}

// removable lists the fenced members whose removal is this host's turn.
func (w *watcher) removable(m *Machine, now core.Instant) []core.HostID {
	if !w.fenced || !w.polls || !m.Holding(now) {
		return nil
	}
	var hosts []core.HostID
	for i := range m.head.Members {
		e := &m.head.Members[i]
		s := w.seen[e.Number]
		if s == nil || !s.fenced || e.Host == m.Self() {
			continue
		}
		if now.Sub(s.fencedAt) >= m.turn(HeadKey) {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts
}
