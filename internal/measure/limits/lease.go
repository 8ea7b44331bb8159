package limits

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Times of the leases that stand in for internal/core/lease.
const (
	leaseTerm  = 10 * time.Second
	leaseRenew = 3 * time.Second
	leaseWait  = 2 * time.Second // over the term, before a lapsed host is no member
	leasePoll  = 500 * time.Millisecond
)

// Leases are the true state behind every host's core.Ownership: an owner acts
// alone, and only within its lease.
type Leases struct {
	loop      *Loop
	StoreDown bool
	hosts     map[core.HostID]*lessee
	order     []core.HostID
	shards    []core.Shard
	assigned  map[core.Shard]assignment
	// Handover moves a shard's state from an owner that gives it up.
	Handover func(from, to core.HostID, s core.Shard)
}

type assignment struct {
	host  core.HostID
	fence core.Fence
}

// lessee is one host's lease and its view of the others. It implements
// core.Ownership.
type lessee struct {
	all      *Leases
	id       core.HostID
	clock    Clock
	until    core.Instant // real
	isolated bool         // does not reach the store
	asleep   bool         // paused or dead
	view     []core.Member
	viewIDs  []core.HostID
	owners   map[core.Shard]core.HostID
}

func newLeases(loop *Loop, shards []core.Shard) *Leases {
	l := &Leases{
		loop: loop, shards: shards, hosts: make(map[core.HostID]*lessee),
		assigned: make(map[core.Shard]assignment),
	}
	loop.Every(leaseRenew, l.renewAll)
	loop.Every(leasePoll, l.pollAll)
	return l
}

func (l *Leases) add(id core.HostID, c Clock) *lessee {
	h := &lessee{all: l, id: id, clock: c, until: l.loop.Now.Add(leaseTerm), owners: make(map[core.Shard]core.HostID)}
	l.hosts[id] = h
	l.order = append(l.order, id)
	slices.Sort(l.order)
	return h
}

func (l *Leases) remove(id core.HostID) {
	l.hosts[id].asleep = true
	l.order = slices.DeleteFunc(l.order, func(h core.HostID) bool { return h == id && !l.loop.Now.Before(l.hosts[id].until) })
}

func (h *lessee) reaches() bool { return !h.asleep && !h.isolated && !h.all.StoreDown }

func (l *Leases) renewAll() {
	for _, id := range l.order {
		h := l.hosts[id]
		if !h.reaches() {
			continue
		}
		if h.until.Before(l.loop.Now) {
			l.refence(id)
		}
		h.until = l.loop.Now.Add(leaseTerm)
	}
}

// refence: a host whose lease had lapsed acts again under new numbers.
func (l *Leases) refence(id core.HostID) {
	for _, s := range l.shards {
		if a := l.assigned[s]; a.host == id {
			l.assigned[s] = assignment{id, a.fence + 1}
		}
	}
}

func (l *Leases) members() []core.Member {
	var out []core.Member
	for _, id := range l.order {
		if l.loop.Now.Before(l.hosts[id].until.Add(leaseWait)) {
			out = append(out, core.Member{Host: id})
		}
	}
	return out
}

// pollAll refreshes the views of the hosts that reach the store and assigns
// the shards whose owner's lease has ended or who gives them up.
func (l *Leases) pollAll() {
	if l.StoreDown {
		return
	}
	truth := l.members()
	for _, id := range l.order {
		if h := l.hosts[id]; h.reaches() {
			h.see(truth)
		}
	}
	for _, s := range l.shards {
		l.assign(s, truth)
	}
}

func (h *lessee) see(truth []core.Member) {
	if slices.Equal(h.view, truth) {
		return
	}
	h.view = slices.Clone(truth)
	h.viewIDs = h.viewIDs[:0]
	for _, m := range truth {
		h.viewIDs = append(h.viewIDs, m.Host)
	}
	clear(h.owners)
}

func (l *Leases) assign(s core.Shard, truth []core.Member) {
	ids := make([]core.HostID, 0, len(truth))
	for _, m := range truth {
		ids = append(ids, m.Host)
	}
	to, ok := core.Rendezvous(ids, uint8(s.Kind), s.Name)
	a := l.assigned[s]
	if !ok || to == a.host || !l.hosts[to].reaches() {
		return
	}
	if old := l.hosts[a.host]; old != nil && l.loop.Now.Before(old.until) {
		if !old.reaches() {
			return // waits for its lease to end
		}
		l.Handover(a.host, to, s)
	}
	l.assigned[s] = assignment{to, a.fence + 1}
}

// Self implements core.Ownership.
func (h *lessee) Self() core.HostID { return h.id }

// Owner implements core.Ownership.
func (h *lessee) Owner(s core.Shard) (core.HostID, bool) {
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
func (h *lessee) Acting(_ core.Instant, s core.Shard) (core.Grant, bool) {
	a := h.all.assigned[s]
	if a.host != h.id || !h.all.loop.Now.Before(h.until) {
		return core.Grant{}, false
	}
	return core.Grant{Fence: a.fence, Until: h.clock.Read(h.until)}, true
}

// Serving implements core.Ownership.
func (h *lessee) Serving(_ core.Instant, s core.Shard) bool {
	o, ok := h.Owner(s)
	return ok && o == h.id
}

// Members implements core.Ownership.
func (h *lessee) Members() []core.Member { return h.view }
