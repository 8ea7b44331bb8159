package residency

import (
	"slices"

	"gentiancroft/internal/core"
)

// candidate is an adapter that a replica would have to load from the weight store.
type candidate struct {
	replica *replica
	fence   core.Fence
	demand  *demand
}

// fetch orders, of what the replicas wait for, as much as may be on its way, the
// best demands of all replicas first.
func (m *Machine) fetch(now core.Instant, all []candidate, out *Output) {
	slices.SortStableFunc(all, func(a, b candidate) int {
		if better(now, a.replica, a.demand, b.replica, b.demand) {
			return -1
		}
		return 1
	})
	free := m.fetches - m.fetching()
	for _, f := range all[:min(max(free, 0), len(all))] {
		if o, ok := m.load(now, f.replica, f.demand); ok {
			f.replica.fetched = now
			m.give(f.replica, o, f.fence, out)
		}
	}
}

// leastFetches is how many adapters may be on their way however few replicas
// this host orders.
const leastFetches = 2

// allot sets how many adapters may be on their way from the weight store.
func (m *Machine) allot(act Actor) {
	ordered := 0
	for _, r := range m.all() {
		if _, ok := act(r.id); ok && m.services[r.service].slots > 0 {
			ordered++
		}
	}
	m.fetches = max(int(m.settings.Fetches*float64(ordered)+0.5), leastFetches)
}

// advance does what is due at a replica. It returns the demand that the replica
// would have to fetch an adapter for, nil where there is none.
func (m *Machine) advance(now core.Instant, r *replica, fence core.Fence, out *Output) *demand {
	limit, ok := m.services[r.service]
	if !ok {
		return nil
	}
	r.expire(now, m.settings.DemandFor)
	if !r.probing && (!r.synced && r.probe == 0 || r.probe != 0 && now >= r.probe) {
		r.probing = true
		r.probe = 0
		out.Probes = append(out.Probes, Probe{Replica: r.id, Address: r.address})
	}
	if r.order != nil || !r.synced || r.busy != 0 {
		return nil
	}
	if o, ok := m.loadModel(r, limit); ok {
		m.give(r, o, fence, out)
		return nil
	}
	if o, ok := r.check(now); ok {
		r.checks = true
		m.give(r, o, fence, out)
		return nil
	}
	if r.transit() >= m.settings.InTransit {
		return nil
	}
	if w := m.topDemand(now, r, true); w != nil {
		if o, ok := m.load(now, r, w); ok {
			m.give(r, o, fence, out)
			return nil
		}
	}
	return m.topDemand(now, r, false)
}

// give sends an order to a replica.
func (m *Machine) give(r *replica, o Order, fence core.Fence, out *Output) {
	m.next++
	o.ID, o.Replica, o.Address = m.next, r.id, r.address
	o.Expected, o.Holder, o.Fence = r.sequence, m.settings.Self, fence
	r.order = &o
	m.byOrder[o.ID] = r
	out.Orders = append(out.Orders, o)
}

// load orders what a demand asks for, or makes room for it.
func (m *Machine) load(now core.Instant, r *replica, w *demand) (Order, bool) {
	replaces := r.residents[w.want.Adapter.ID] != nil
	if len(r.residents) >= m.services[r.service].slots && !replaces {
		return m.makeRoom(now, r, w.want.Model)
	}
	return Order{Load: true, Model: w.want.Model, Adapter: w.want.Adapter}, true
}

// loadModel loads the service's model into a replica that has none.
func (m *Machine) loadModel(r *replica, limit limits) (Order, bool) {
	if len(r.models) > 0 || len(limit.models) == 0 {
		return Order{}, false
	}
	return Order{Load: true, Model: limit.models[0].Name}, true
}

// makeRoom unloads the adapter that requests have named least, older requests
// counting less. Keeps: an adapter that a request is known to use is not
// unloaded.
func (m *Machine) makeRoom(now core.Instant, r *replica, model core.BaseModel) (Order, bool) {
	var victim core.AdapterID
	var unpopular *resident
	least := 0.0
	for a, i := range r.residents {
		if i.state == unloading {
			return Order{}, false // room is on its way
		}
		if i.state != ready || now.Sub(i.since) < keepAtLeast || r.running(now, a) > 0 {
			continue
		}
		h := r.popularities[a].Now(now, popularityHalf)
		if unpopular == nil || lessPopular(h, i, a, least, unpopular, victim) {
			victim, unpopular, least = a, i, h
		}
	}
	if unpopular == nil {
		return Order{}, false
	}
	return Order{Model: model, Adapter: core.AdapterRef{ID: victim, Version: unpopular.version}}, true
}

// fetching is how many adapters are on their way from the weight store to the
// replicas of this host.
func (m *Machine) fetching() int {
	n := 0
	for _, r := range m.known {
		if !r.synced {
			continue
		}
		for _, i := range r.residents {
			if i.state == loading && !i.copied {
				n++
			}
		}
	}
	return n
}
