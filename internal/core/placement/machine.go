package placement

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/pick"
)

// scanInterval is the time between two checks of which shards this host owns.
const scanInterval = 200 * time.Millisecond

// Machine is one host's placement. It does no I/O: its methods return effects
// as a Result. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *core.Rand
	chooser  pick.Chooser

	view        *view
	entry       entry
	owned       ownedUpstreams
	loader      *loader // nil unless this host owns the loader shard
	lastOrderID uint64  // last order number
	// loadsReportedTo is the loader that got this host's list of loads.
	loadsReportedTo core.HostID

	now       core.Instant
	ownership core.Ownership
	result    Result
	inbox     []Message // from this host to itself
	lastScan  core.Instant
}

// New returns the placement of a host without a configuration. It refuses every
// request until Configure is called.
func New(s Settings, rng *core.Rand) *Machine {
	return &Machine{
		settings: s.withDefaults(),
		rng:      rng,
		chooser:  pick.Default(),
		view:     newView(),
		entry:    newEntry(),
		owned:    ownedUpstreams{byID: map[core.UpstreamID]*ownedUpstream{}},
	}
}

// step runs one event and the messages that this host sends to itself.
func (m *Machine) step(now core.Instant, own core.Ownership, f func()) Result {
	m.now, m.ownership, m.result = now, own, Result{}
	f()
	for len(m.inbox) > 0 {
		next := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.receive(m.settings.Self, next)
	}
	return m.result
}

// Configure puts a configuration in force.
func (m *Machine) Configure(now core.Instant, own core.Ownership, s *config.Snapshot) Result {
	return m.step(now, own, func() {
		m.view.configure(s)
		m.updateOwnership()
		m.configureOwned()
	})
}

// Place places a request on an upstream. The decision comes in this or a later
// Result. A second call with the same request ID replaces the first.
func (m *Machine) Place(now core.Instant, own core.Ownership, req PlacementRequest) Result {
	return m.step(now, own, func() { m.addRequest(req) })
}

// Cancel ends a request whose caller is gone, with or without a ticket.
func (m *Machine) Cancel(now core.Instant, own core.Ownership, id core.RequestID) Result {
	return m.step(now, own, func() { m.release(id, TicketEnd{NotReached: true}) })
}

// Release returns a ticket after its use. It ignores an unknown request.
func (m *Machine) Release(now core.Instant, own core.Ownership, id core.RequestID, e TicketEnd) Result {
	return m.step(now, own, func() { m.release(id, e) })
}

// TicketValid reports whether a request's ticket may still be used to dispatch. Call
// it immediately before the dispatch and again after any pause; on false
// request a new one. Invariant: no request starts on an expired ticket.
func (m *Machine) TicketValid(now core.Instant, id core.RequestID) bool {
	r := m.entry.requests[id]
	return r != nil && r.state == hasTicket && now.Before(r.validUntil)
}

// RenewTicket requests a new ticket for a request whose ticket expired unused.
func (m *Machine) RenewTicket(now core.Instant, own core.Ownership, id core.RequestID) Result {
	return m.step(now, own, func() { m.renewTicket(id) })
}

// RecordDispatch records that a request was sent to its upstream.
func (m *Machine) RecordDispatch(id core.RequestID) {
	if r := m.entry.requests[id]; r != nil {
		r.running = true
	}
}

// HandleMessage handles a message from another host.
func (m *Machine) HandleMessage(now core.Instant, own core.Ownership, from core.HostID, msg Message) Result {
	return m.step(now, own, func() { m.receive(from, msg) })
}

// Tick runs the timers; call it every 50 to 250 ms.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	return m.step(now, own, func() {
		if now.Sub(m.lastScan) >= scanInterval {
			m.updateOwnership()
		}
		m.tickOwned()
		m.reportLoads()
		m.tickLoader()
		m.tickEntry()
	})
}

// Report handles a polled report of an upstream that this host owns.
func (m *Machine) Report(now core.Instant, own core.Ownership, r core.UpstreamReport) Result {
	return m.step(now, own, func() { m.applyReport(r) })
}

// OrderDone handles the result of an adapter order.
func (m *Machine) OrderDone(now core.Instant, own core.Ownership, d core.OrderDone) Result {
	return m.step(now, own, func() { m.orderDone(d) })
}

// ReceiveResidency handles a residency that another host published.
func (m *Machine) ReceiveResidency(now core.Instant, own core.Ownership, r Residency) Result {
	return m.step(now, own, func() { m.receiveResidency(r) })
}

// HostLost drops the queued requests and load requests of a host that left the
// membership. Its tickets stay pinned until the upstream's reports clear them.
func (m *Machine) HostLost(now core.Instant, own core.Ownership, h core.HostID) Result {
	return m.step(now, own, func() {
		for _, o := range m.owned.list {
			o.hostLost(h)
		}
		if m.loader != nil {
			m.loader.hostLost(h)
		}
	})
}

// SetLeavingUpstreams replaces the platform's list of leaving upstreams. The list lags; the
// configuration and an upstream's own report count as well.
func (m *Machine) SetLeavingUpstreams(now core.Instant, own core.Ownership, upstreams []core.UpstreamID) Result {
	return m.step(now, own, func() {
		m.view.setLeaving(upstreams)
		m.configureOwned()
	})
}

// OwnedUpstreams lists the upstreams that this host has to poll, sorted by ID.
func (m *Machine) OwnedUpstreams() []core.UpstreamID {
	ids := make([]core.UpstreamID, 0, len(m.owned.list))
	for _, o := range m.owned.list {
		ids = append(ids, o.id)
	}
	return ids
}

// Idle reports whether no request of this host's callers is open.
func (m *Machine) Idle() bool { return len(m.entry.requests) == 0 }

func (m *Machine) send(to core.HostID, msg Message) {
	if to == m.settings.Self {
		m.inbox = append(m.inbox, msg)
		return
	}
	m.result.Send(to, msg)
}

func (m *Machine) logDecision(name, reason string) {
	m.result.LogEntries = append(m.result.LogEntries, LogEntry{Name: name, Reason: reason})
}

func (m *Machine) receive(from core.HostID, msg Message) {
	switch {
	case msg.TicketRequest != nil:
		m.receiveTicketRequest(from, *msg.TicketRequest)
	case msg.TicketReply != nil:
		m.receiveTicketReply(from, *msg.TicketReply)
	case msg.Release != nil:
		m.receiveRelease(from, *msg.Release)
	case msg.Outstanding != nil:
		m.receiveOutstandingList(from, *msg.Outstanding)
	case msg.LoadRequest != nil:
		m.receiveLoadRequest(from, *msg.LoadRequest)
	case msg.LoadReply != nil:
		m.receiveLoadReply(*msg.LoadReply)
	case msg.LoadOrder != nil:
		m.receiveLoad(from, *msg.LoadOrder)
	case msg.LoadDone != nil:
		m.receiveLoadDone(*msg.LoadDone)
	case msg.LoadReport != nil:
		m.receiveLoadReport(from, *msg.LoadReport)
	case msg.ReplicaRequest != nil:
		m.receiveReplicaRequest(*msg.ReplicaRequest)
	}
}

// updateOwnership adds the shards that this host now owns and drops those it no
// longer does.
func (m *Machine) updateOwnership() {
	m.lastScan = m.now
	if m.view.snapshot == nil {
		return
	}
	m.updateOwned()
	m.updateLoader()
}
