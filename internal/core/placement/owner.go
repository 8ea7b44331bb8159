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

// queuedRequest is a ticket request that waits at the owner.
type queuedRequest struct {
	TicketRequestMessage
	from     core.HostID
	received core.Instant
}

// ownedUpstream is one upstream whose shard this host owns.
type ownedUpstream struct {
	id         core.UpstreamID
	shard      core.Shard
	config     *config.Upstream
	fence      core.Fence
	ownedSince core.Instant // when this host became owner, or got a new fencing number

	// reconciled: every ticket of former owners has ended, or its request shows
	// in the reports. Invariant: a new owner evicts nothing before.
	reconciled      bool
	reported        bool // a report has come since ownedSince
	incarnation     string
	reportedRunning int // requests running, by the last report

	slots          map[core.AdapterRef]*slot
	removedAt      map[core.AdapterRef]core.Instant // when the adapter was unloaded
	pins           map[core.RequestID]*pin
	ticketRequests map[core.RequestID]*queuedRequest
	queue          *admission.Queue
	loadJobs       map[core.AdapterRef]*loadJob
	health         *health.Tracker

	publishNow      bool // publish the residency at once
	publishSoon     bool // publish it within publishDelay
	seq             uint64
	lastPublished   core.Instant
	publishedLoad   int
	publishedFull   bool         // as published: no free slot and no victim
	publishedScarce bool         // as published: few free slots and victims
	saturatedSince  core.Instant // when the load became too high; zero: it is not
}

// ownedUpstreams are the upstreams that this host owns, with their adapter
// orders; list is sorted by ID.
type ownedUpstreams struct {
	list          []*ownedUpstream
	byID          map[core.UpstreamID]*ownedUpstream
	orders        map[uint64]*order
	earlyHandoffs []earlyHandoff
}

// Intervals of publication. Changes of residency are published sooner.
const (
	publishInterval       = 10 * time.Second // load alone: every answer to a ticket request carries it too
	scarcePublishInterval = 2 * time.Second  // few slots available: the loader chooses by them
	publishDelay          = 500 * time.Millisecond
)

func (m *Machine) updateOwned() {
	kept := m.owned.list[:0]
	for _, o := range m.owned.list {
		owner, _ := m.ownership.Owner(o.shard)
		if m.view.upstreams[o.id] != nil && (owner == m.settings.Self || m.ownership.Serving(m.now, o.shard)) {
			kept = append(kept, o)
			continue
		}
		m.logDecision("owner.dropped", string(o.id))
		delete(m.owned.byID, o.id)
	}
	clear(m.owned.list[len(kept):])
	m.owned.list = kept
	for i := range m.view.snapshot.Document.Upstreams {
		u := &m.view.snapshot.Document.Upstreams[i]
		shard := core.Shard{Kind: core.ShardUpstream, Name: string(u.ID)}
		if m.owned.byID[u.ID] == nil && m.ownership.Serving(m.now, shard) {
			m.addOwned(shard, u)
		}
	}
	if len(m.owned.earlyHandoffs) > 0 {
		m.adoptEarlyHandoffs()
	}
}

func (m *Machine) addOwned(shard core.Shard, u *config.Upstream) *ownedUpstream {
	o := &ownedUpstream{
		id: u.ID, shard: shard, config: u, ownedSince: m.now,
		slots:          map[core.AdapterRef]*slot{},
		removedAt:      map[core.AdapterRef]core.Instant{},
		pins:           map[core.RequestID]*pin{},
		ticketRequests: map[core.RequestID]*queuedRequest{},
		loadJobs:       map[core.AdapterRef]*loadJob{},
		queue:          admission.NewQueue(admission.QueueSettings{MaxItems: m.settings.MaxQueued}),
		health:         health.NewTracker(health.Settings{}),
	}
	if g, ok := m.ownership.Acting(m.now, shard); ok {
		o.fence = g.Fence
	}
	m.owned.byID[u.ID] = o
	m.owned.list = append(m.owned.list, o)
	slices.SortFunc(m.owned.list, func(a, b *ownedUpstream) int { return cmp.Compare(a.id, b.id) })
	m.logDecision("owner.taken", string(u.ID))
	return o
}

// checkFence treats a new fencing number as a new ownership: between two leases
// another host may have issued tickets and evicted adapters. Pins stay; what is
// loaded has to be reported anew.
func (m *Machine) checkFence(o *ownedUpstream) {
	g, ok := m.ownership.Acting(m.now, o.shard)
	if !ok || g.Fence == o.fence {
		return
	}
	m.logDecision("owner.refenced", string(o.id))
	o.fence, o.seq = g.Fence, 0
	o.ownedSince, o.reconciled, o.reported = m.now, false, false
	clear(o.slots)
	clear(o.removedAt)
	clear(o.loadJobs)
	o.publishNow = true
}

func (m *Machine) configureOwned() {
	for _, o := range m.owned.list {
		if x := m.view.upstreams[o.id]; x != nil {
			o.config = x.config
			o.publishNow = true
		}
	}
	m.publish()
}

func (m *Machine) isLeaving(o *ownedUpstream) bool {
	x := m.view.upstreams[o.id]
	return o.config.Leaving || m.view.listedLeaving[o.id] || (x != nil && x.Leaving)
}

// receiveTicketRequest handles a ticket request or a restatement. Invariant:
// one pin per request, however often the message arrives.
func (m *Machine) receiveTicketRequest(from core.HostID, req TicketRequestMessage) {
	o := m.owned.byID[req.Upstream]
	if o == nil || !m.ownership.Serving(m.now, o.shard) {
		m.reply(nil, from, &req, ReplyNotOwner)
		return
	}
	if p := o.pins[req.Request]; p != nil {
		if req.Seq < p.seq {
			return // late message of an earlier attempt
		}
		if req.Seq == p.seq || req.Restated {
			p.seq, p.lastConfirmed, p.entryLost = req.Seq, m.now, false
			m.reply(o, from, &req, ReplyTicket)
			return
		}
		m.unpin(o, req.Request, TicketEnd{NotReached: true})
	}
	if req.Restated {
		m.pin(o, from, &req, queueItem(from, &req, m.now))
		m.reply(o, from, &req, ReplyTicket)
		return
	}
	if q := o.ticketRequests[req.Request]; q != nil {
		if req.Seq >= q.Seq {
			q.TicketRequestMessage, q.from, q.received = req, from, m.now
		}
		return
	}
	m.enqueue(o, from, req)
}

func (m *Machine) enqueue(o *ownedUpstream, from core.HostID, req TicketRequestMessage) {
	if m.isLeaving(o) {
		m.reply(o, from, &req, ReplyLeaving)
		return
	}
	if s := o.slots[req.Adapter]; s != nil && !req.Counted {
		s.countRequest(m.now, m.settings.PopularityHalfLife)
	}
	if o.reported && !m.residentOrLoading(o, req.Adapter) {
		m.reply(o, from, &req, ReplyNotLoaded)
		return
	}
	o.ticketRequests[req.Request] = &queuedRequest{TicketRequestMessage: req, from: from, received: m.now}
	for _, shed := range o.queue.Push(m.now, queueItem(from, &req, m.now)) {
		m.replyQueued(o, shed.Request, ReplyOverloaded)
	}
	m.issueTickets(o)
}

// residentOrLoading reports whether an adapter is loaded or being loaded. It is
// true for the zero adapter.
func (m *Machine) residentOrLoading(o *ownedUpstream, a core.AdapterRef) bool {
	if a == (core.AdapterRef{}) {
		return true
	}
	s := o.slots[a]
	return s != nil && (s.state == resident || s.state == loading)
}

func queueItem(from core.HostID, req *TicketRequestMessage, now core.Instant) admission.Item {
	return admission.Item{
		Request: req.Request, Entry: from, Workspace: req.Workspace, Weight: req.Weight,
		Class: req.Class, Cost: req.Cost, Adapter: req.Adapter, Deadline: now.Add(req.Remaining),
	}
}

func (m *Machine) reply(o *ownedUpstream, to core.HostID, req *TicketRequestMessage, k ReplyKind) {
	msg := TicketReplyMessage{Request: req.Request, Seq: req.Seq, Upstream: req.Upstream, Kind: k, Sent: req.Sent}
	if o != nil {
		msg.Load = m.currentLoad(o)
		msg.Fence = o.fence
	}
	if k == ReplyTicket {
		msg.TTL = m.settings.TicketTTL
	}
	m.send(to, Message{TicketReply: &msg})
}

func (m *Machine) replyQueued(o *ownedUpstream, id core.RequestID, k ReplyKind) {
	q := o.ticketRequests[id]
	if q == nil {
		return
	}
	delete(o.ticketRequests, id)
	m.reply(o, q.from, &q.TicketRequestMessage, k)
}

func (m *Machine) currentLoad(o *ownedUpstream) int { return m.occupiedPlaces(o) + o.queue.Len() }

// occupiedPlaces returns how many places of the batch are taken. A pin of a
// lost entry host counts only while the upstream reports more running requests
// than the other pins explain.
func (m *Machine) occupiedPlaces(o *ownedUpstream) int {
	lost := 0
	for _, p := range o.pins {
		if p.entryLost {
			lost++
		}
	}
	live := len(o.pins) - lost
	unexplained := max(o.reportedRunning-live, 0)
	if !o.reconciled {
		return live + unexplained
	}
	return live + min(lost, unexplained)
}

// ticketsAllowed reports whether tickets may be issued: an engine's loaded
// adapters have to be reported first; a plain service has none.
func (o *ownedUpstream) ticketsAllowed() bool {
	return o.reported || o.config.Kind == config.UpstreamService
}

// issueTickets issues tickets while the batch has room. It drops a request that
// has not been repeated for a ticket's validity: the ticket would arrive
// expired.
func (m *Machine) issueTickets(o *ownedUpstream) {
	if !o.ticketsAllowed() || !m.ownership.Serving(m.now, o.shard) {
		return
	}
	if m.isLeaving(o) {
		m.rejectWaiting(o) // Invariant: a leaving upstream receives no new work.
		return
	}
	ready := func(a core.AdapterRef) bool { return a == (core.AdapterRef{}) || o.slots[a].ready() }
	for room := o.config.Batch - m.occupiedPlaces(o); room > 0 && o.queue.Len() > 0; {
		it, ok := o.nextItem(m.now, room, ready)
		if !ok {
			return
		}
		q := o.ticketRequests[it.Request]
		if m.now.Sub(q.received) >= m.settings.TicketTTL {
			delete(o.ticketRequests, it.Request)
			continue
		}
		m.pin(o, q.from, &q.TicketRequestMessage, it)
		m.replyQueued(o, it.Request, ReplyTicket)
		room--
	}
}

// Places of a batch that are reserved, as divisors of its size.
const (
	urgentReserveDivisor = 4  // 1/urgentReserveDivisor closed to overnight work
	shareReserveDivisor  = 16 // 1/shareReserveDivisor closed to workspaces that used more than their share
)

// nextItem pops the item that gets one of the free places. The last places are
// reserved for classes above overnight, and the very last for workspaces within
// their share, so that these don't wait for the end of another's request.
func (o *ownedUpstream) nextItem(now core.Instant, room int, ready func(core.AdapterRef) bool) (admission.Item, bool) {
	minClass := core.Overnight
	if room <= o.config.Batch/urgentReserveDivisor {
		minClass = core.Normal
	}
	if room <= o.config.Batch/shareReserveDivisor {
		return o.queue.PopUnderShare(now, minClass, ready)
	}
	return o.queue.PopUpTo(now, minClass, ready)
}

func (m *Machine) tickOwned() {
	for _, o := range m.owned.list {
		m.checkFence(o)
		for _, it := range o.queue.Expire(m.now) {
			delete(o.ticketRequests, it.Request) // its entry host refuses it by its own clock
		}
		for _, p := range o.pins {
			p.entryLost = p.entryLost || m.now.Sub(p.lastConfirmed) >= m.settings.EntryTimeout
		}
		m.expireLoadJobs(o)
		m.issueTickets(o)
		m.requestReplica(o)
		m.publishIfRoom(o)
		if o.publishSoon && m.now.Sub(o.lastPublished) >= publishDelay {
			o.publishNow = true
		}
		interval := publishInterval
		if o.publishedScarce {
			interval = scarcePublishInterval
		}
		if m.loadChanged(o) && m.now.Sub(o.lastPublished) >= interval {
			o.publishNow = true
		}
	}
	m.publish()
}

// In a fleet of more than smallFleetUpstreams upstreams a load has to change by
// 1/loadStepDivisor of a batch to be published, which costs a message to every
// host.
const (
	smallFleetUpstreams = 64
	loadStepDivisor     = 8
)

// loadChanged reports whether the load differs enough from the published one.
func (m *Machine) loadChanged(o *ownedUpstream) bool {
	step := 1
	if len(m.view.upstreams) > smallFleetUpstreams {
		step = max(1, o.config.Batch/loadStepDivisor)
	}
	change := m.currentLoad(o) - o.publishedLoad
	return max(change, -change) >= step
}

// publish publishes the upstreams marked publishNow and applies them to this
// host's own view.
func (m *Machine) publish() {
	for _, o := range m.owned.list {
		if !o.publishNow {
			continue
		}
		o.publishNow, o.publishSoon = false, false
		o.seq++
		o.lastPublished, o.publishedLoad = m.now, m.currentLoad(o)
		r := m.residency(o)
		o.publishedFull = r.FreeSlots <= 0 && len(r.EvictionCosts) == 0
		o.publishedScarce = r.FreeSlots+len(r.EvictionCosts) < maxPublishedVictims
		m.result.Publish = append(m.result.Publish, r)
		m.applyResidency(r)
	}
}
