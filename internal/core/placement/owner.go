package placement

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/health"
)

// pin keeps an adapter on its upstream for one ticket.
type pin struct {
	from    core.HostID
	seq     uint64
	adapter core.AdapterRef
	item    admission.Item
	heard   core.Instant // last word of its holder
	lost    bool         // the holder is gone or silent
}

// queued is an ask that waits for its ticket.
type queued struct {
	AskMessage
	from  core.HostID
	heard core.Instant
}

// owned is one upstream whose shard is this host's.
type owned struct {
	id     core.UpstreamID
	shard  core.Shard
	config *config.Upstream
	fence  core.Fence
	since  core.Instant // when this host took it up

	// settled: every ticket of former owners has ended, or its request shows
	// in the reports. Keeps: a new owner evicts nothing it can't know idle.
	settled     bool
	reported    bool // a report has come since then
	incarnation string
	running     int // by the last report

	slots  map[core.AdapterRef]*slot
	gone   map[core.AdapterRef]core.Instant // when it was unloaded or lost
	pins   map[core.RequestID]*pin
	asks   map[core.RequestID]*queued
	queue  *admission.Queue
	jobs   map[core.AdapterRef]*job
	health *health.Tracker

	dirty     bool
	seq       uint64
	published core.Instant
	lastLoad  int
	loader    core.HostID // that has heard what this upstream loads
}

// owners are the upstreams of this host, sorted by identity.
type owners struct {
	list   []*owned
	byID   map[core.UpstreamID]*owned
	orders map[uint64]*order
}

// Publication of load, which structural changes do not wait for.
const publishEvery = 2 * time.Second

func (m *Machine) scanOwned() {
	kept := m.owned.list[:0]
	for _, o := range m.owned.list {
		if m.view.seen[o.id] != nil && m.own.Serving(m.now, o.shard) {
			kept = append(kept, o)
			continue
		}
		m.note("owner.dropped", string(o.id))
		delete(m.owned.byID, o.id)
	}
	clear(m.owned.list[len(kept):])
	m.owned.list = kept
	for i := range m.view.snapshot.Document.Upstreams {
		u := &m.view.snapshot.Document.Upstreams[i]
		shard := core.Shard{Kind: core.ShardUpstream, Name: string(u.ID)}
		if m.owned.byID[u.ID] == nil && m.own.Serving(m.now, shard) {
			m.takeUp(shard, u)
		}
	}
}

func (m *Machine) takeUp(shard core.Shard, u *config.Upstream) *owned {
	o := &owned{
		id: u.ID, shard: shard, config: u, since: m.now,
		slots:  map[core.AdapterRef]*slot{},
		gone:   map[core.AdapterRef]core.Instant{},
		pins:   map[core.RequestID]*pin{},
		asks:   map[core.RequestID]*queued{},
		jobs:   map[core.AdapterRef]*job{},
		queue:  admission.NewQueue(admission.QueueSettings{Bound: m.settings.QueueLimit}),
		health: health.NewTracker(health.Settings{}),
	}
	m.refence(o)
	m.owned.byID[u.ID] = o
	m.owned.list = append(m.owned.list, o)
	slices.SortFunc(m.owned.list, func(a, b *owned) int { return cmp.Compare(a.id, b.id) })
	m.note("owner.taken", string(u.ID))
	return o
}

// refence takes a rise of the fencing number as a new ownership: between two
// terms another host may have handed out tickets.
func (m *Machine) refence(o *owned) {
	g, ok := m.own.Acting(m.now, o.shard)
	if !ok || g.Fence == o.fence {
		return
	}
	o.fence, o.seq = g.Fence, 0
	o.since, o.settled = m.now, false
	o.dirty = true
}

func (m *Machine) configureOwned() {
	for _, o := range m.owned.list {
		if x := m.view.seen[o.id]; x != nil {
			o.config = x.config
			o.dirty = true
		}
	}
	m.flush()
}

func (m *Machine) leavingNow(o *owned) bool {
	x := m.view.seen[o.id]
	return o.config.Leaving || m.view.listed[o.id] || (x != nil && x.Leaving)
}

// asked handles an entry host's ask or restatement. Keeps: one pin for one
// request, however often it is asked for.
func (m *Machine) asked(from core.HostID, a AskMessage) {
	o := m.owned.byID[a.Upstream]
	if o == nil || !m.own.Serving(m.now, o.shard) {
		m.answer(nil, from, &a, AnswerNotOwner)
		return
	}
	if p := o.pins[a.Request]; p != nil {
		if a.Seq < p.seq {
			return // an earlier attempt's, late
		}
		if a.Seq == p.seq || a.Running {
			p.seq, p.heard, p.lost = a.Seq, m.now, false
			m.answer(o, from, &a, AnswerTicket)
			return
		}
		m.unpin(o, a.Request, End{NotReached: true})
	}
	if a.Running {
		m.pin(o, from, &a, item(from, &a, m.now))
		m.answer(o, from, &a, AnswerTicket)
		return
	}
	if q := o.asks[a.Request]; q != nil {
		if a.Seq >= q.Seq {
			q.AskMessage, q.from, q.heard = a, from, m.now
		}
		return
	}
	m.enqueue(o, from, a)
}

func (m *Machine) enqueue(o *owned, from core.HostID, a AskMessage) {
	if m.leavingNow(o) {
		m.answer(o, from, &a, AnswerLeaving)
		return
	}
	if s := o.slots[a.Adapter]; s != nil {
		s.touch(m.now, m.settings.HalfLife)
	}
	if o.reported && !m.comes(o, a.Adapter) {
		m.answer(o, from, &a, AnswerNotResident)
		return
	}
	o.asks[a.Request] = &queued{AskMessage: a, from: from, heard: m.now}
	for _, shed := range o.queue.Push(m.now, item(from, &a, m.now)) {
		m.answerQueued(o, shed.Request, AnswerOverloaded)
	}
	m.pump(o)
}

// comes reports whether an adapter is resident or on its way.
func (m *Machine) comes(o *owned, a core.AdapterRef) bool {
	if a == (core.AdapterRef{}) {
		return true
	}
	s := o.slots[a]
	return s != nil && (s.state == resident || s.state == loading)
}

func item(from core.HostID, a *AskMessage, now core.Instant) admission.Item {
	return admission.Item{
		Request: a.Request, Entry: from, Workspace: a.Workspace, Weight: a.Weight,
		Class: a.Class, Cost: a.Cost, Adapter: a.Adapter, Deadline: now.Add(a.Remaining),
	}
}

func (m *Machine) answer(o *owned, to core.HostID, a *AskMessage, k AnswerKind) {
	msg := AnswerMessage{Request: a.Request, Seq: a.Seq, Upstream: a.Upstream, Kind: k, Sent: a.Sent}
	if o != nil {
		msg.Load = m.loadOf(o)
		msg.Fence = o.fence
	}
	if k == AnswerTicket {
		msg.Valid = m.settings.Validity
	}
	m.send(to, Message{Answer: &msg})
}

func (m *Machine) answerQueued(o *owned, id core.RequestID, k AnswerKind) {
	q := o.asks[id]
	if q == nil {
		return
	}
	delete(o.asks, id)
	m.answer(o, q.from, &q.AskMessage, k)
}

func (m *Machine) loadOf(o *owned) int { return m.occupied(o) + o.queue.Len() }

// occupied is how many batch places are taken. A lost holder's pin counts only
// as far as the upstream reports more running than is accounted for.
func (m *Machine) occupied(o *owned) int {
	lost := 0
	for _, p := range o.pins {
		if p.lost {
			lost++
		}
	}
	live := len(o.pins) - lost
	unexplained := max(o.running-live, 0)
	if !o.settled {
		return live + unexplained
	}
	return live + min(lost, unexplained)
}

// pump hands out tickets while the batch has room. An ask whose asker has been
// silent for a ticket's whole validity could not use one.
func (m *Machine) pump(o *owned) {
	if !o.reported || !m.own.Serving(m.now, o.shard) {
		return
	}
	ready := func(a core.AdapterRef) bool { return a == (core.AdapterRef{}) || o.slots[a].ready() }
	for room := o.config.Batch - m.occupied(o); room > 0 && o.queue.Len() > 0; {
		it, ok := o.queue.Pop(m.now, ready)
		if !ok {
			return
		}
		q := o.asks[it.Request]
		if m.now.Sub(q.heard) >= m.settings.Validity {
			delete(o.asks, it.Request)
			continue
		}
		m.pin(o, q.from, &q.AskMessage, it)
		m.answerQueued(o, it.Request, AnswerTicket)
		room--
	}
}

func (m *Machine) pin(o *owned, from core.HostID, a *AskMessage, it admission.Item) {
	o.pins[a.Request] = &pin{from: from, seq: a.Seq, adapter: a.Adapter, item: it, heard: m.now}
	if s := o.slots[a.Adapter]; s != nil {
		s.pins++
	}
}

func (m *Machine) unpin(o *owned, id core.RequestID, e End) {
	p := o.pins[id]
	delete(o.pins, id)
	if s := o.slots[p.adapter]; s != nil {
		s.pins--
	}
	if e.Used > 0 || e.NotReached {
		o.queue.Settle(p.item.Workspace, p.item.Charged, p.item.Cost, e.Used)
	}
}

func (m *Machine) released(from core.HostID, r ReleaseMessage) {
	o := m.owned.byID[r.Upstream]
	if o == nil {
		return
	}
	if q := o.asks[r.Request]; q != nil && q.Seq <= r.Seq {
		delete(o.asks, r.Request)
		o.queue.Remove(r.Request)
	}
	p := o.pins[r.Request]
	if p == nil || p.seq > r.Seq || p.from != from {
		return
	}
	m.unpin(o, r.Request, r.End)
	if r.End.Missing {
		m.doubt(o, p.adapter, "an engine did not hold it")
	}
	if !r.End.NotReached || r.End.Crashed {
		o.health.Served(m.now, !r.End.Crashed)
	}
	m.pump(o)
	m.flush()
}

// held compares an entry host's account with what this host has from it.
func (m *Machine) held(from core.HostID, h HoldMessage) {
	for _, o := range m.owned.list {
		m.heldAt(o, from, h)
	}
}

func (m *Machine) heldAt(o *owned, from core.HostID, h HoldMessage) {
	var over []core.RequestID
	for id, p := range o.pins {
		if p.from != from || p.seq > h.Upto {
			continue
		}
		if _, listed := slices.BinarySearch(h.Requests, id); listed {
			p.heard, p.lost = m.now, false
			continue
		}
		over = append(over, id)
	}
	for id, q := range o.asks {
		if _, listed := slices.BinarySearch(h.Requests, id); q.from == from && q.Seq <= h.Upto && !listed {
			delete(o.asks, id)
			o.queue.Remove(id)
		}
	}
	for _, id := range over {
		m.unpin(o, id, End{})
		m.note("pin.settled", "its release was lost")
	}
	if len(over) > 0 {
		m.pump(o)
	}
}

func (o *owned) hostLost(h core.HostID) {
	for _, p := range o.pins {
		if p.from == h {
			p.lost = true
		}
	}
	for id, q := range o.asks {
		if q.from == h {
			delete(o.asks, id)
			o.queue.Remove(id)
		}
	}
}

func (m *Machine) tickOwned() {
	for _, o := range m.owned.list {
		m.refence(o)
		for _, it := range o.queue.Expire(m.now) {
			delete(o.asks, it.Request) // its entry host refuses it by its own clock
		}
		for _, p := range o.pins {
			p.lost = p.lost || m.now.Sub(p.heard) >= m.settings.Silence
		}
		m.tickJobs(o)
		m.pump(o)
		m.greetLoader(o)
		if load := m.loadOf(o); load != o.lastLoad && m.now.Sub(o.published) >= publishEvery {
			o.dirty = true
		}
	}
	m.flush()
}

// flush publishes the upstreams whose residency has changed.
func (m *Machine) flush() {
	for _, o := range m.owned.list {
		if !o.dirty {
			continue
		}
		o.dirty = false
		o.seq++
		o.published, o.lastLoad = m.now, m.loadOf(o)
		r := m.residency(o)
		m.out.Publish = append(m.out.Publish, r)
		for _, a := range m.view.learn(r) {
			m.wake(a)
		}
		if m.loader != nil {
			m.loader.learned(r)
		}
	}
}
