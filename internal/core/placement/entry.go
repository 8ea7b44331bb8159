package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/pick"
)

// Retry hints of final refusals.
const (
	retryNoUpstream = time.Second
	retryOverloaded = 2 * time.Second
	retryNoLoad     = 3 * time.Second
)

// askState is where a request of this host's callers stands.
type askState uint8

const (
	wanting  askState = iota + 1 // waits for a load
	asking                       // waits for a ticket
	ticketed                     // holds a ticket
)

// request is one request of this host's callers.
type request struct {
	Ask
	state    askState
	seq      uint64
	upstream core.UpstreamID
	owner    core.HostID
	former   []core.HostID // owners before, by this host's view, which may lag
	sent     core.Instant  // of the last ask
	until    core.Instant  // of the ticket
	fence    core.Fence
	stalled  bool
	running  bool
	known    bool // its present owner has answered
	bounces  int  // answers other than a ticket
}

// wish is an adapter that callers of this host wait for.
type wish struct {
	adapter core.AdapterRef
	pool    string
	waiting []core.RequestID // in order of arrival
	arrived int              // since the last want
	sent    core.Instant
	wait    time.Duration // the loader's estimate
}

// entry is the part of a host that callers are connected to.
type entry struct {
	requests map[core.RequestID]*request
	wishes   map[core.AdapterRef]*wish
	peers    map[core.HostID]*holding
	seq      uint64
	loaderAt core.HostID
	swept    core.Instant
	waking   bool // placing requests whose adapter has just been located
}

// holding is this host's account with one owner.
type holding struct {
	sent  core.Instant
	spare int // accounts still to send after the last request there
}

// spareHolds is how many accounts follow the last request at an owner, so that
// its release can be lost that often.
const spareHolds = 3

// sweepEvery is the time between two looks at every request.
const sweepEvery = 250 * time.Millisecond

// maxBounces is after how many other answers a request is refused.
const maxBounces = 50

func newEntry() entry {
	return entry{
		requests: map[core.RequestID]*request{},
		wishes:   map[core.AdapterRef]*wish{},
		peers:    map[core.HostID]*holding{},
	}
}

func (m *Machine) ask(a Ask) {
	if old := m.entry.requests[a.Request]; old != nil {
		m.leave(old, End{NotReached: true})
	}
	r := &request{Ask: a}
	m.entry.requests[a.Request] = r
	m.place(r)
}

func (m *Machine) nextSeq() uint64 {
	m.entry.seq++
	return m.entry.seq
}

// place asks the owner of an upstream that can serve r, or waits for a load.
func (m *Machine) place(r *request) {
	if !m.now.Before(r.Deadline) {
		m.refuse(r, core.Refuse(core.CodeDeadline, retryNoLoad, "no upstream was free before the deadline"))
		return
	}
	if m.view.snapshot == nil {
		m.refuse(r, core.Refuse(core.CodeCutOff, retryNoUpstream, "no configuration yet"))
		return
	}
	q := pick.Request{Prefix: r.Prefix, Class: r.Class, Domain: m.settings.Domain, Avoid: r.Avoid}
	d := m.chooser.Choose(&q, m.view.candidates(r.Pool, r.Adapter), m.rng)
	switch {
	case d.OK:
		m.note("pick."+d.Reason, string(d.Upstream))
		m.askOwner(r, d.Upstream)
	case r.Adapter == (core.AdapterRef{}) || !m.view.usable(r.Pool, r.Avoid):
		m.refuse(r, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "no upstream of pool "+r.Pool+" takes work: "+d.Reason))
	default:
		m.note("pick.cold", d.Reason)
		m.want(r)
	}
}

// askOwner sends r's ask to the owner of u.
func (m *Machine) askOwner(r *request, u core.UpstreamID) {
	r.state = asking
	r.upstream = u
	r.owner, r.former = "", nil
	r.seq = m.nextSeq()
	m.view.seen[u].mine++
	m.resend(r)
}

// resend sends r's ask, or its restatement, to the present owner.
func (m *Machine) resend(r *request) {
	owner, ok := m.own.Owner(core.Shard{Kind: core.ShardUpstream, Name: string(r.upstream)})
	r.sent = m.now
	if !ok {
		return
	}
	if r.owner != owner {
		if r.owner != "" {
			r.former = append(r.former, r.owner)
		}
		r.owner = owner
		r.known = false
		r.seq = m.nextSeq()
	}
	m.touch(owner)
	m.send(owner, Message{Ask: &AskMessage{
		Request: r.Request, Seq: r.seq, Upstream: r.upstream, Adapter: r.Adapter,
		Workspace: r.Workspace, Weight: r.Weight, Class: r.Class, Cost: r.Cost,
		Remaining: r.Deadline.Sub(m.now), Sent: m.now, Running: r.state == ticketed, Counted: r.stalled,
	}})
}

func (m *Machine) touch(owner core.HostID) {
	p := m.entry.peers[owner]
	if p == nil {
		p = &holding{sent: m.now}
		m.entry.peers[owner] = p
	}
	p.spare = spareHolds
}

// answered handles an owner's answer. One that fits no open ask is late: a
// ticket in it is given back at once, unless the request may be running on it.
func (m *Machine) answered(from core.HostID, a AnswerMessage) {
	r := m.entry.requests[a.Request]
	if a.Kind == AnswerUnknown {
		if r != nil && r.owner == from && r.state != wanting {
			m.resend(r)
		}
		return
	}
	if r == nil || r.seq != a.Seq || r.state == wanting {
		if a.Kind == AnswerTicket && (r == nil || r.state == wanting || r.upstream != a.Upstream) {
			m.touch(from)
			m.send(from, Message{Release: &ReleaseMessage{Request: a.Request, Seq: a.Seq, Upstream: a.Upstream, End: End{NotReached: true}}})
		}
		return
	}
	m.corrected(a)
	r.known = r.known || a.Kind == AnswerTicket
	if r.state == ticketed {
		return
	}
	switch a.Kind {
	case AnswerTicket:
		m.ticket(r, a)
	case AnswerNotOwner:
		r.bounces++ // the sweep asks the owner of then
	case AnswerNotResident:
		m.view.lost(r.upstream, r.Adapter)
		m.elsewhere(r, a.Kind)
	case AnswerLeaving, AnswerElsewhere:
		m.elsewhere(r, a.Kind)
	case AnswerOverloaded:
		m.leaveView(r)
		m.refuse(r, core.Refuse(core.CodeOverloaded, retryOverloaded, "too many requests wait for "+string(r.upstream)))
	}
}

func (m *Machine) corrected(a AnswerMessage) {
	if x := m.view.seen[a.Upstream]; x != nil {
		x.load, x.counted = a.Load, x.mine
	}
}

// ticket hands a ticket to the caller's request unless it has ended already.
func (m *Machine) ticket(r *request, a AnswerMessage) {
	r.until = a.Sent.Add(a.Valid)
	if !m.now.Before(r.until) {
		m.note("ticket.ended", "it took longer than its validity")
		m.resend(r)
		return
	}
	r.state = ticketed
	r.fence = a.Fence
	x := m.view.seen[r.upstream]
	if x == nil {
		m.leave(r, End{NotReached: true})
		m.place(r)
		return
	}
	m.note("ticket", string(r.upstream))
	m.out.Decisions = append(m.out.Decisions, Decision{Request: r.Request, Ticket: &Ticket{
		Upstream: r.upstream,
		Address:  x.config.Address,
		Adapter:  r.Adapter,
		Grant:    core.Grant{Fence: a.Fence, Until: r.until},
		Stalled:  r.stalled,
	}})
}

// elsewhere looks again after an owner would not take r.
func (m *Machine) elsewhere(r *request, why AnswerKind) {
	m.leaveView(r)
	r.bounces++
	if r.bounces > maxBounces {
		m.refuse(r, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "no upstream would take the request"))
		return
	}
	if why == AnswerLeaving {
		r.Avoid = append(slices.Clone(r.Avoid), r.upstream)
	}
	m.place(r)
}

// renew asks the same owner anew for a ticket that ended before its use.
func (m *Machine) renew(id core.RequestID) {
	r := m.entry.requests[id]
	if r == nil || r.state != ticketed || r.running {
		return
	}
	m.note("ticket.renew", "it ended before the dispatch")
	r.state = asking
	m.resend(r)
}

// release ends a request at this host.
func (m *Machine) release(id core.RequestID, e End) {
	r := m.entry.requests[id]
	if r == nil {
		return
	}
	if e.Missing {
		m.view.lost(r.upstream, r.Adapter)
	}
	m.leave(r, e)
	delete(m.entry.requests, id)
}

// leave takes r back from wherever it waits or runs.
func (m *Machine) leave(r *request, e End) {
	if r.state == wanting {
		m.unwant(r)
		return
	}
	m.leaveView(r)
	if r.owner == "" {
		return
	}
	m.touch(r.owner)
	m.send(r.owner, Message{Release: &ReleaseMessage{Request: r.Request, Seq: r.seq, Upstream: r.upstream, End: e}})
}

func (m *Machine) leaveView(r *request) {
	if x := m.view.seen[r.upstream]; x != nil && r.state != wanting {
		x.mine--
	}
}

func (m *Machine) refuse(r *request, why *core.Refusal) {
	delete(m.entry.requests, r.Request)
	m.note("refused."+string(why.Code), why.Message)
	m.out.Decisions = append(m.out.Decisions, Decision{Request: r.Request, Refusal: why})
}

// tickEntry repeats unanswered asks, ends those past their deadline, follows
// owners that moved, and sends accounts.
func (m *Machine) tickEntry() {
	if m.now.Sub(m.entry.swept) < sweepEvery {
		return
	}
	m.entry.swept = m.now
	for _, id := range slices.SortedFunc(maps.Keys(m.entry.requests), cmp.Compare) {
		m.sweep(m.entry.requests[id])
	}
	m.sweepWishes()
	m.sendHolds()
}

func (m *Machine) sweep(r *request) {
	if r.state == wanting {
		if !m.now.Before(r.Deadline) {
			m.unwant(r)
			m.refuse(r, core.Refuse(core.CodeDeadline, m.loadRetry(r.Adapter), "the adapter was not loaded before the deadline"))
		}
		return
	}
	owner, ok := m.own.Owner(core.Shard{Kind: core.ShardUpstream, Name: string(r.upstream)})
	moved := ok && owner != r.owner
	switch {
	case r.state == asking && !m.now.Before(r.Deadline):
		m.leave(r, End{NotReached: true})
		m.refuse(r, core.Refuse(core.CodeDeadline, retryOverloaded, "no place came free before the deadline"))
	case r.state == asking && (moved || m.now.Sub(r.sent) >= m.settings.Repeat):
		m.resend(r)
	case r.state == ticketed && (moved || !r.known && m.now.Sub(r.sent) >= m.settings.Repeat):
		m.note("restate", string(r.upstream))
		m.resend(r)
	}
}

// sendHolds tells every owner which requests this host still has there.
func (m *Machine) sendHolds() {
	due := map[core.HostID][]core.RequestID{}
	for _, h := range slices.Sorted(maps.Keys(m.entry.peers)) {
		if p := m.entry.peers[h]; m.now.Sub(p.sent) >= m.settings.HoldEvery {
			due[h] = []core.RequestID{}
		}
	}
	if len(due) == 0 {
		return
	}
	for _, r := range m.entry.requests {
		if r.state == wanting {
			continue
		}
		r.list(due, r.owner)
		for i, h := range r.former {
			if h != r.owner && !slices.Contains(r.former[:i], h) {
				r.list(due, h)
			}
		}
	}
	for _, h := range slices.Sorted(maps.Keys(due)) {
		m.sendHold(h, due[h])
	}
}

// list adds r to an owner's account. Keeps: an owner that this host wrongly took
// for a former one goes on pinning what runs on its ticket.
func (r *request) list(due map[core.HostID][]core.RequestID, h core.HostID) {
	if ids, ok := due[h]; ok {
		due[h] = append(ids, r.Request)
	}
}

func (m *Machine) sendHold(h core.HostID, ids []core.RequestID) {
	slices.Sort(ids)
	p := m.entry.peers[h]
	p.sent = m.now
	if len(ids) == 0 {
		p.spare--
	}
	if p.spare <= 0 {
		delete(m.entry.peers, h)
	}
	m.send(h, Message{Hold: &HoldMessage{Upto: m.entry.seq, Requests: ids}})
}
