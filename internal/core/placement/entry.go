package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/pick"
)

// Retry hints of refusals.
const (
	retryNoUpstream = time.Second
	retryOverloaded = 2 * time.Second
	retryNoLoad     = 3 * time.Second
)

// requestState is what a request of this host's callers waits for or has.
type requestState uint8

const (
	awaitingLoad   requestState = iota + 1 // a load of its adapter
	awaitingTicket                         // a ticket
	hasTicket
)

// request is one request of this host's callers.
type request struct {
	PlacementRequest
	state         requestState
	seq           uint64
	upstream      core.UpstreamID
	owner         core.HostID
	formerOwners  []core.HostID // earlier owners of the upstream; this host's view of ownership may lag
	lastSent      core.Instant  // the last ticket request
	validUntil    core.Instant  // end of the ticket
	fence         core.Fence
	waitedForLoad bool
	running       bool
	confirmed     bool // the current owner has issued or confirmed the ticket
	rejections    int  // answers other than a ticket
}

// loadRequest is this host's outstanding load request for one adapter.
type loadRequest struct {
	adapter     core.AdapterRef
	pool        string
	waiting     []core.RequestID // in order of arrival
	newArrivals int              // callers since it was last sent
	lastSent    core.Instant
	estimate    time.Duration // expected wait, as reported by the loader
}

// entry is the state of the entry host: its callers' requests.
type entry struct {
	requests       map[core.RequestID]*request
	loadRequests   map[core.AdapterRef]*loadRequest
	owners         map[core.HostID]*ownerSync
	seq            uint64
	lastLoader     core.HostID
	lastSweep      core.Instant
	placingWaiters bool // placing the requests that waited for an adapter now loaded
}

// ownerSync is when one owner last got the list of this host's outstanding
// requests.
type ownerSync struct {
	lastSent  core.Instant
	emptyLeft int // lists left to send after the last request there has ended
}

// maxEmptyLists is how many lists an owner gets after this host's last request
// there has ended. A lost release is repaired by any one of them.
const maxEmptyLists = 3

// sweepInterval is the time between two checks of all requests.
const sweepInterval = 250 * time.Millisecond

// maxRejections is how many answers other than a ticket a request may get
// before it is refused.
const maxRejections = 50

func newEntry() entry {
	return entry{
		requests:     map[core.RequestID]*request{},
		loadRequests: map[core.AdapterRef]*loadRequest{},
		owners:       map[core.HostID]*ownerSync{},
	}
}

func (m *Machine) addRequest(req PlacementRequest) {
	if old := m.entry.requests[req.Request]; old != nil {
		m.withdraw(old, TicketEnd{NotReached: true})
	}
	r := &request{PlacementRequest: req}
	m.entry.requests[req.Request] = r
	m.place(r)
}

func (m *Machine) nextSeq() uint64 {
	m.entry.seq++
	return m.entry.seq
}

// place requests a ticket from the owner of an upstream that can serve r, or
// waits for a load of r's adapter, or refuses r.
func (m *Machine) place(r *request) {
	if !m.now.Before(r.Deadline) {
		m.refuse(r, core.Refuse(core.CodeDeadlineExceeded, retryNoLoad, "no upstream was free before the deadline"))
		return
	}
	if m.view.snapshot == nil {
		m.refuse(r, core.Refuse(core.CodeHostCutOff, retryNoUpstream, "no configuration yet"))
		return
	}
	q := pick.Request{PrefixHash: r.Prefix, Class: r.Class, Domain: m.settings.Domain, Avoid: r.Avoid}
	d := m.chooser.Choose(&q, m.view.candidates(r.Pool, r.Adapter), m.rng)
	switch {
	case d.OK:
		m.logDecision("pick."+d.Reason, string(d.Upstream))
		m.requestTicket(r, d.Upstream)
	case r.Adapter == (core.AdapterRef{}) || !m.view.usable(r.Pool, r.Avoid):
		m.refuse(r, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "no upstream of pool "+r.Pool+" takes work: "+d.Reason))
	default:
		m.logDecision("pick.cold", d.Reason)
		m.awaitLoad(r)
	}
}

// requestTicket sends r's ticket request to the owner of u.
func (m *Machine) requestTicket(r *request, u core.UpstreamID) {
	r.state = awaitingTicket
	r.upstream = u
	r.owner, r.formerOwners = "", nil
	r.seq = m.nextSeq()
	m.view.upstreams[u].ownRequests++
	m.sendTicketRequest(r)
}

// sendTicketRequest sends r's ticket request or restatement to the upstream's
// current owner. Without an owner it sends nothing; the sweep retries.
func (m *Machine) sendTicketRequest(r *request) {
	owner, ok := m.ownership.Owner(core.Shard{Kind: core.ShardUpstream, Name: string(r.upstream)})
	r.lastSent = m.now
	if !ok {
		return
	}
	if r.owner != owner {
		if r.owner != "" {
			r.formerOwners = append(r.formerOwners, r.owner)
		}
		r.owner = owner
		r.confirmed = false
		r.seq = m.nextSeq()
	}
	m.trackOwner(owner)
	m.send(owner, Message{TicketRequest: &TicketRequestMessage{
		Request: r.Request, Seq: r.seq, Upstream: r.upstream, Adapter: r.Adapter,
		Workspace: r.Workspace, Weight: r.Weight, Class: r.Class, Cost: r.Cost,
		Remaining: r.Deadline.Sub(m.now), Sent: m.now, Restated: r.state == hasTicket, Counted: r.waitedForLoad,
	}})
}

func (m *Machine) trackOwner(owner core.HostID) {
	p := m.entry.owners[owner]
	if p == nil {
		p = &ownerSync{lastSent: m.now}
		m.entry.owners[owner] = p
	}
	p.emptyLeft = maxEmptyLists
}

// receiveTicketReply handles an owner's answer. A ticket that matches no open
// ticket request is late: it is returned immediately, unless the request may be
// running on it.
func (m *Machine) receiveTicketReply(from core.HostID, reply TicketReplyMessage) {
	r := m.entry.requests[reply.Request]
	if reply.Kind == ReplyUnknownRequest {
		if r != nil && r.owner == from && r.state != awaitingLoad {
			m.sendTicketRequest(r)
		}
		return
	}
	if r == nil || r.seq != reply.Seq || r.state == awaitingLoad {
		if reply.Kind == ReplyTicket && (r == nil || r.state == awaitingLoad || r.upstream != reply.Upstream) {
			m.trackOwner(from)
			m.send(from, Message{Release: &ReleaseMessage{Request: reply.Request, Seq: reply.Seq, Upstream: reply.Upstream, End: TicketEnd{NotReached: true}}})
		}
		return
	}
	m.updateLoad(reply)
	r.confirmed = r.confirmed || reply.Kind == ReplyTicket
	if r.state == hasTicket {
		return
	}
	switch reply.Kind {
	case ReplyTicket:
		m.acceptTicket(r, reply)
	case ReplyNotOwner:
		r.rejections++ // the sweep retries with the current owner
	case ReplyNotLoaded:
		m.view.markAbsent(r.upstream, r.Adapter)
		m.placeElsewhere(r, reply.Kind)
	case ReplyLeaving, ReplyOtherReplica:
		m.placeElsewhere(r, reply.Kind)
	case ReplyOverloaded:
		m.uncount(r)
		m.refuse(r, core.Refuse(core.CodeOverloaded, retryOverloaded, "too many requests wait for "+string(r.upstream)))
	}
}

func (m *Machine) updateLoad(reply TicketReplyMessage) {
	if x := m.view.upstreams[reply.Upstream]; x != nil {
		x.reportedLoad, x.ownAtReport = reply.Load, x.ownRequests
	}
}

// acceptTicket gives a ticket to the caller's request, or requests another if
// it has already expired.
func (m *Machine) acceptTicket(r *request, reply TicketReplyMessage) {
	r.validUntil = reply.Sent.Add(reply.TTL)
	if !m.now.Before(r.validUntil) {
		m.logDecision("ticket.ended", "the ticket expired before it arrived")
		m.sendTicketRequest(r)
		return
	}
	r.state = hasTicket
	r.fence = reply.Fence
	x := m.view.upstreams[r.upstream]
	if x == nil {
		m.withdraw(r, TicketEnd{NotReached: true})
		m.place(r)
		return
	}
	m.logDecision("ticket", string(r.upstream))
	m.result.Decisions = append(m.result.Decisions, Decision{Request: r.Request, Ticket: &Ticket{
		Upstream:      r.upstream,
		Address:       x.config.Address,
		Adapter:       r.Adapter,
		Grant:         core.Grant{Fence: reply.Fence, Until: r.validUntil},
		WaitedForLoad: r.waitedForLoad,
	}})
}

// placeElsewhere places r again after an owner rejected it.
func (m *Machine) placeElsewhere(r *request, why ReplyKind) {
	m.uncount(r)
	r.rejections++
	if r.rejections > maxRejections {
		m.refuse(r, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "no upstream would take the request"))
		return
	}
	if why == ReplyLeaving {
		r.Avoid = append(slices.Clone(r.Avoid), r.upstream)
	}
	m.place(r)
}

// renewTicket requests a new ticket from the same owner after one expired
// before its use.
func (m *Machine) renewTicket(id core.RequestID) {
	r := m.entry.requests[id]
	if r == nil || r.state != hasTicket || r.running {
		return
	}
	m.logDecision("ticket.renew", "the ticket expired before the dispatch")
	r.state = awaitingTicket
	m.sendTicketRequest(r)
}

// release ends a request at this host and returns its ticket.
func (m *Machine) release(id core.RequestID, e TicketEnd) {
	r := m.entry.requests[id]
	if r == nil {
		return
	}
	if e.AdapterMissing {
		m.view.markAbsent(r.upstream, r.Adapter)
	}
	m.withdraw(r, e)
	delete(m.entry.requests, id)
}

// withdraw cancels r's load request or ticket request, or returns its ticket.
func (m *Machine) withdraw(r *request, e TicketEnd) {
	if r.state == awaitingLoad {
		m.cancelLoadRequest(r)
		return
	}
	m.uncount(r)
	if r.owner == "" {
		return
	}
	m.trackOwner(r.owner)
	m.send(r.owner, Message{Release: &ReleaseMessage{Request: r.Request, Seq: r.seq, Upstream: r.upstream, End: e}})
}

func (m *Machine) uncount(r *request) {
	if x := m.view.upstreams[r.upstream]; x != nil && r.state != awaitingLoad {
		x.ownRequests--
	}
}

func (m *Machine) refuse(r *request, why *core.Refusal) {
	delete(m.entry.requests, r.Request)
	m.logDecision("refused."+string(why.Code), why.Message)
	m.result.Decisions = append(m.result.Decisions, Decision{Request: r.Request, Refusal: why})
}

// tickEntry retries unanswered ticket requests, refuses those past their
// deadline, restates tickets to new owners, and sends outstanding lists.
func (m *Machine) tickEntry() {
	if m.now.Sub(m.entry.lastSweep) < sweepInterval {
		return
	}
	m.entry.lastSweep = m.now
	for _, id := range slices.SortedFunc(maps.Keys(m.entry.requests), cmp.Compare) {
		m.sweepRequest(m.entry.requests[id])
	}
	m.sweepLoadRequests()
	m.sendOutstandingLists()
}

func (m *Machine) sweepRequest(r *request) {
	if r.state == awaitingLoad {
		if !m.now.Before(r.Deadline) {
			m.cancelLoadRequest(r)
			m.refuse(r, core.Refuse(core.CodeDeadlineExceeded, m.loadRetryAfter(r.Adapter), "the adapter was not loaded before the deadline"))
		}
		return
	}
	owner, ok := m.ownership.Owner(core.Shard{Kind: core.ShardUpstream, Name: string(r.upstream)})
	moved := ok && owner != r.owner
	switch {
	case r.state == awaitingTicket && !m.now.Before(r.Deadline):
		m.withdraw(r, TicketEnd{NotReached: true})
		m.refuse(r, core.Refuse(core.CodeDeadlineExceeded, retryOverloaded, "no place came free before the deadline"))
	case r.state == awaitingTicket && (moved || m.now.Sub(r.lastSent) >= m.settings.RetryInterval):
		m.sendTicketRequest(r)
	case r.state == hasTicket && (moved || !r.confirmed && m.now.Sub(r.lastSent) >= m.settings.RetryInterval):
		m.logDecision("restate", string(r.upstream))
		m.sendTicketRequest(r)
	}
}

// sendOutstandingLists sends every owner the list of this host's outstanding
// requests there.
func (m *Machine) sendOutstandingLists() {
	due := map[core.HostID][]core.RequestID{}
	for _, h := range slices.Sorted(maps.Keys(m.entry.owners)) {
		if p := m.entry.owners[h]; m.now.Sub(p.lastSent) >= m.settings.OutstandingInterval {
			due[h] = []core.RequestID{}
		}
	}
	if len(due) == 0 {
		return
	}
	for _, r := range m.entry.requests {
		if r.state == awaitingLoad {
			continue
		}
		r.addTo(due, r.owner)
		for i, h := range r.formerOwners {
			if h != r.owner && !slices.Contains(r.formerOwners[:i], h) {
				r.addTo(due, h)
			}
		}
	}
	for _, h := range slices.Sorted(maps.Keys(due)) {
		m.sendOutstandingList(h, due[h])
	}
}

// addTo adds r to an owner's outstanding list if one is due. Invariant: former
// owners get r listed too, so one that still owns the upstream keeps its pin
// for r.
func (r *request) addTo(due map[core.HostID][]core.RequestID, h core.HostID) {
	if ids, ok := due[h]; ok {
		due[h] = append(ids, r.Request)
	}
}

func (m *Machine) sendOutstandingList(h core.HostID, ids []core.RequestID) {
	slices.Sort(ids)
	p := m.entry.owners[h]
	p.lastSent = m.now
	if len(ids) == 0 {
		p.emptyLeft--
	}
	if p.emptyLeft <= 0 {
		delete(m.entry.owners, h)
	}
	m.send(h, Message{Outstanding: &OutstandingMessage{MaxSeq: m.entry.seq, Requests: ids}})
}
