package placement

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/pick"
)

// scanEvery is the time between two looks at which shards are this host's.
const scanEvery = 200 * time.Millisecond

// Machine is one host's placement. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *core.Rand
	chooser  pick.Chooser

	view   *view
	entry  entry
	owned  owners
	loader *loader // nil unless the loader shard is this host's
	orders uint64  // last order number
	// greeted is the loader that has been told what this host loads.
	greeted core.HostID

	now     core.Instant
	own     core.Ownership
	out     Result
	inbox   []Message // to this host itself
	scanned core.Instant
}

// New returns the placement of a host without a configuration.
func New(s Settings, rng *core.Rand) *Machine {
	return &Machine{
		settings: s.withDefaults(),
		rng:      rng,
		chooser:  pick.Default(),
		view:     newView(),
		entry:    newEntry(),
		owned:    owners{byID: map[core.UpstreamID]*owned{}},
	}
}

// step runs one event and what it sends to this host itself.
func (m *Machine) step(now core.Instant, own core.Ownership, f func()) Result {
	m.now, m.own, m.out = now, own, Result{}
	f()
	for len(m.inbox) > 0 {
		next := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.receive(m.settings.Self, next)
	}
	return m.out
}

// Configure puts a configuration in force.
func (m *Machine) Configure(now core.Instant, own core.Ownership, s *config.Snapshot) Result {
	return m.step(now, own, func() {
		m.view.configure(s)
		m.scan()
		m.configureOwned()
	})
}

// Ask looks for an upstream for a request. The decision may come with this or
// a later result. Asking again with the same identity replaces the earlier ask.
func (m *Machine) Ask(now core.Instant, own core.Ownership, a Ask) Result {
	return m.step(now, own, func() { m.ask(a) })
}

// Withdraw ends an ask whose caller has gone, with or without a ticket.
func (m *Machine) Withdraw(now core.Instant, own core.Ownership, id core.RequestID) Result {
	return m.step(now, own, func() { m.release(id, End{NotReached: true}) })
}

// Release gives a ticket back after its use.
func (m *Machine) Release(now core.Instant, own core.Ownership, id core.RequestID, e End) Result {
	return m.step(now, own, func() { m.release(id, e) })
}

// Valid reports whether a request's ticket may still be used to dispatch. Ask
// it immediately before the dispatch, and again after any pause; where it says
// no, call Renew. Keeps: no request starts on a ticket that has ended.
func (m *Machine) Valid(now core.Instant, id core.RequestID) bool {
	r := m.entry.requests[id]
	return r != nil && r.state == ticketed && now.Before(r.until)
}

// Renew asks anew for a request whose ticket ended before it was used.
func (m *Machine) Renew(now core.Instant, own core.Ownership, id core.RequestID) Result {
	return m.step(now, own, func() { m.renew(id) })
}

// Dispatched says that a request was sent to its upstream.
func (m *Machine) Dispatched(id core.RequestID) {
	if r := m.entry.requests[id]; r != nil {
		r.running = true
	}
}

// Peer handles a message from another host.
func (m *Machine) Peer(now core.Instant, own core.Ownership, from core.HostID, msg Message) Result {
	return m.step(now, own, func() { m.receive(from, msg) })
}

// Tick lets time pass; call it every 50 to 250 ms.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	return m.step(now, own, func() {
		if now.Sub(m.scanned) >= scanEvery {
			m.scan()
		}
		m.tickOwned()
		m.greetLoader()
		m.tickLoader()
		m.tickEntry()
	})
}

// Report handles a polled report of an upstream that this host owns.
func (m *Machine) Report(now core.Instant, own core.Ownership, r core.UpstreamReport) Result {
	return m.step(now, own, func() { m.report(r) })
}

// OrderDone handles the end of an adapter order.
func (m *Machine) OrderDone(now core.Instant, own core.Ownership, d core.OrderDone) Result {
	return m.step(now, own, func() { m.orderDone(d) })
}

// Learned handles a residency that another host has published.
func (m *Machine) Learned(now core.Instant, own core.Ownership, r Residency) Result {
	return m.step(now, own, func() { m.learned(r) })
}

// HostLost drops what a host that left the membership waits for. Its tickets
// stay pinned until the upstream's reports clear them.
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

// Leaving takes the platform's list of upstreams that are leaving. The list
// lags; the configuration and an upstream's own report count as well.
func (m *Machine) Leaving(now core.Instant, own core.Ownership, upstreams []core.UpstreamID) Result {
	return m.step(now, own, func() {
		m.view.setLeaving(upstreams)
		m.configureOwned()
	})
}

// Polls lists the upstreams that this host polls, sorted.
func (m *Machine) Polls() []core.UpstreamID {
	ids := make([]core.UpstreamID, 0, len(m.owned.list))
	for _, o := range m.owned.list {
		ids = append(ids, o.id)
	}
	return ids
}

// Idle reports whether no caller of this host waits or holds a ticket.
func (m *Machine) Idle() bool { return len(m.entry.requests) == 0 }

func (m *Machine) send(to core.HostID, msg Message) {
	if to == m.settings.Self {
		m.inbox = append(m.inbox, msg)
		return
	}
	m.out.Send(to, msg)
}

func (m *Machine) note(name, reason string) {
	m.out.Notes = append(m.out.Notes, Note{Name: name, Reason: reason})
}

func (m *Machine) receive(from core.HostID, msg Message) {
	switch {
	case msg.Ask != nil:
		m.asked(from, *msg.Ask)
	case msg.Answer != nil:
		m.answered(from, *msg.Answer)
	case msg.Release != nil:
		m.released(from, *msg.Release)
	case msg.Hold != nil:
		m.held(from, *msg.Hold)
	case msg.Want != nil:
		m.wanted(from, *msg.Want)
	case msg.Wanted != nil:
		m.located(*msg.Wanted)
	case msg.Load != nil:
		m.load(from, *msg.Load)
	case msg.LoadDone != nil:
		m.loadDone(*msg.LoadDone)
	case msg.Loading != nil:
		m.loadingElsewhere(from, *msg.Loading)
	case msg.Spread != nil:
		m.spread(*msg.Spread)
	}
}

// scan takes up the shards that have come to this host and drops those that
// have gone.
func (m *Machine) scan() {
	m.scanned = m.now
	if m.view.snapshot == nil {
		return
	}
	m.scanOwned()
	m.scanLoader()
}
