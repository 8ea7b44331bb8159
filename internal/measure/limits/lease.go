package limits

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Times of the leases, a simple model of internal/core/lease.
const (
	leaseTerm          = 10 * time.Second
	leaseRenewInterval = 3 * time.Second
	membershipGrace    = 2 * time.Second // after a lease has expired, until its host is no longer a member
	leasePollInterval  = 500 * time.Millisecond
)

// Leases is the state that the hosts' core.Ownership views refer to. Invariant:
// a shard has one owner, which may act only within its lease.
type Leases struct {
	loop      *EventLoop
	StoreDown bool
	hosts     map[core.HostID]*hostLease
	order     []core.HostID
	shards    []core.Shard
	assigned  map[core.Shard]assignment
	// Handoff hands off a shard's state from an owner whose lease is valid.
	Handoff func(from, to core.HostID, s core.Shard)
}

// assignment is the owner of a shard with its fencing number.
type assignment struct {
	host  core.HostID
	fence core.Fence
}

// hostLease is one host's lease and membership view. It implements
// core.Ownership.
type hostLease struct {
	leases   *Leases
	id       core.HostID
	clock    Clock
	expiry   core.Instant // expiry in real time
	isolated bool         // cut off from the store
	stopped  bool         // paused or dead
	view     []core.Member
	viewIDs  []core.HostID
	owners   map[core.Shard]core.HostID
}

func newLeases(loop *EventLoop, shards []core.Shard) *Leases {
	l := &Leases{
		loop: loop, shards: shards, hosts: make(map[core.HostID]*hostLease),
		assigned: make(map[core.Shard]assignment),
	}
	loop.Every(leaseRenewInterval, l.renewAll)
	loop.Every(leasePollInterval, l.pollAll)
	return l
}

func (l *Leases) add(id core.HostID, c Clock) *hostLease {
	h := &hostLease{leases: l, id: id, clock: c, expiry: l.loop.Now.Add(leaseTerm), owners: make(map[core.Shard]core.HostID)}
	l.hosts[id] = h
	l.order = append(l.order, id)
	slices.Sort(l.order)
	return h
}

func (l *Leases) remove(id core.HostID) {
	l.hosts[id].stopped = true
	l.order = slices.DeleteFunc(l.order, func(h core.HostID) bool { return h == id && !l.loop.Now.Before(l.hosts[id].expiry) })
}

func (h *hostLease) reachesStore() bool { return !h.stopped && !h.isolated && !h.leases.StoreDown }

func (l *Leases) renewAll() {
	for _, id := range l.order {
		h := l.hosts[id]
		if !h.reachesStore() {
			continue
		}
		if h.expiry.Before(l.loop.Now) {
			l.raiseFences(id)
		}
		h.expiry = l.loop.Now.Add(leaseTerm)
	}
}

// raiseFences raises the fencing numbers of a host's shards: its lease had
// expired before the renewal.
func (l *Leases) raiseFences(id core.HostID) {
	for _, s := range l.shards {
		if a := l.assigned[s]; a.host == id {
			l.assigned[s] = assignment{id, a.fence + 1}
		}
	}
}

func (l *Leases) members() []core.Member {
	var out []core.Member
	for _, id := range l.order {
		if l.loop.Now.Before(l.hosts[id].expiry.Add(membershipGrace)) {
			out = append(out, core.Member{Host: id})
		}
	}
	return out
}

// pollAll updates the views of the hosts that reach the store, and assigns the
// shards whose owner changed: at once if the old owner can hand off, else after
// its lease has expired.
func (l *Leases) pollAll() {
	if l.StoreDown {
		return
	}
	live := l.members()
	for _, id := range l.order {
		if h := l.hosts[id]; h.reachesStore() {
			h.setView(live)
		}
	}
	for _, s := range l.shards {
		l.assign(s, live)
	}
}

func (h *hostLease) setView(live []core.Member) {
	if slices.Equal(h.view, live) {
		return
	}
	h.view = slices.Clone(live)
	h.viewIDs = h.viewIDs[:0]
	for _, m := range live {
		h.viewIDs = append(h.viewIDs, m.Host)
	}
	clear(h.owners)
}

func (l *Leases) assign(s core.Shard, live []core.Member) {
	ids := make([]core.HostID, 0, len(live))
	for _, m := range live {
		ids = append(ids, m.Host)
	}
	to, ok := core.Rendezvous(ids, uint8(s.Kind), s.Name)
	current := l.assigned[s]
	if !ok || to == current.host || !l.hosts[to].reachesStore() {
		return
	}
	if old := l.hosts[current.host]; old != nil && l.loop.Now.Before(old.expiry) {
		if !old.reachesStore() {
			return // until its lease has expired
		}
		l.Handoff(current.host, to, s)
	}
	l.assigned[s] = assignment{to, current.fence + 1}
}

// Self implements core.Ownership.
func (h *hostLease) Self() core.HostID { return h.id }

// Owner implements core.Ownership.
func (h *hostLease) Owner(s core.Shard) (core.HostID, bool) {
	if o, ok := h.owners[s]; ok {
		return o, true
	}
	o, ok := core.Rendezvous(h.viewIDs, uint8(s.Kind), s.Name)
	if ok {
		h.owners[s] = o
	}
	return o, ok
}

// Acting implements core.Ownership.
func (h *hostLease) Acting(_ core.Instant, s core.Shard) (core.Grant, bool) {
	a := h.leases.assigned[s]
	if a.host != h.id || !h.leases.loop.Now.Before(h.expiry) {
		return core.Grant{}, false
	}
	return core.Grant{Fence: a.fence, Until: h.clock.Read(h.expiry)}, true
}

// Serving implements core.Ownership.
func (h *hostLease) Serving(_ core.Instant, s core.Shard) bool {
	o, ok := h.Owner(s)
	return ok && o == h.id
}

// Members implements core.Ownership.
func (h *hostLease) Members() []core.Member { return h.view }
