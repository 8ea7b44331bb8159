package residency

import (
	"slices"

	"gentiancroft/internal/core"
)

// fetchCandidate is a demand that a replica would load from the weight store.
type fetchCandidate struct {
	replica *replica
	fence   core.Fence
	demand  *demand
}

// orderFetches orders loads from the weight store up to the limit, the best demands
// of all replicas first.
func (m *Machine) orderFetches(now core.Instant, all []fetchCandidate, out *Output) {
	slices.SortStableFunc(all, func(a, b fetchCandidate) int {
		if ranksBefore(now, a.replica, a.demand, b.replica, b.demand) {
			return -1
		}
		return 1
	})
	free := m.maxFetches - m.fetchesInFlight()
	for _, f := range all[:min(max(free, 0), len(all))] {
		if o, ok := m.loadOrder(now, f.replica, f.demand); ok {
			f.replica.lastFetch = now
			m.send(f.replica, o, f.fence, out)
		}
	}
}

// minFetches is the limit of concurrent loads from the weight store for a host that
// owns few replicas.
const minFetches = 2

// updateFetchLimit sets how many loads from the weight store may run concurrently.
func (m *Machine) updateFetchLimit(fenceOf FenceFunc) {
	ordered := 0
	for _, r := range m.all() {
		if _, ok := fenceOf(r.id); ok && m.services[r.service].slots > 0 {
			ordered++
		}
	}
	m.maxFetches = max(int(m.settings.FetchesPerReplica*float64(ordered)+0.5), minFetches)
}

// advance appends the probes and orders that are due at a replica to out. It returns
// the demand to load from the weight store next, or nil.
func (m *Machine) advance(now core.Instant, r *replica, fence core.Fence, out *Output) *demand {
	limit, ok := m.services[r.service]
	if !ok {
		return nil
	}
	r.expire(now, m.settings.DemandTTL)
	if !r.probing && (!r.synced && r.probeAt == 0 || r.probeAt != 0 && now >= r.probeAt) {
		r.probing = true
		r.probeAt = 0
		out.Probes = append(out.Probes, Probe{Replica: r.id, Address: r.address})
	}
	if r.order != nil || !r.synced || r.modelLoadingSince != 0 {
		return nil
	}
	if r.resend != nil {
		m.sendAgain(now, r, fence, out)
		return nil
	}
	if o, ok := m.loadModelOrder(r, limit); ok {
		m.send(r, o, fence, out)
		return nil
	}
	if o, ok := r.checkOrder(now); ok {
		r.checking = true
		m.send(r, o, fence, out)
		return nil
	}
	if r.loadsInFlight() >= m.settings.MaxLoads {
		return nil
	}
	if d := m.topDemand(now, r, true); d != nil {
		if o, ok := m.loadOrder(now, r, d); ok {
			m.send(r, o, fence, out)
			return nil
		}
	}
	return m.topDemand(now, r, false)
}

// send completes an order, records it as the replica's open one and appends it to out.
func (m *Machine) send(r *replica, o Order, fence core.Fence, out *Output) {
	m.lastOrderID++
	o.ID, o.Replica, o.Address = m.lastOrderID, r.id, r.address
	o.ExpectedSequence, o.Owner, o.Fence = r.sequence, m.settings.Self, fence
	r.order = &o
	r.sends = 1
	m.byOrder[o.ID] = r
	out.Orders = append(out.Orders, o)
}

// sendAgain sends an order again whose answer was lost, if it is due.
func (m *Machine) sendAgain(now core.Instant, r *replica, fence core.Fence, out *Output) {
	again := r.resend
	if now < again.at {
		return
	}
	r.resend = nil
	if !again.order.Load && r.running(now, again.order.Adapter.ID) > 0 {
		r.resync(now) // it has come into use again
		return
	}
	r.checking = again.check
	m.send(r, again.order, fence, out)
	r.sends = again.sends + 1
}

// loadOrder returns the order that loads a demand's adapter or, if the replica has no room for
// it, the order that evicts another adapter; false if none can be evicted.
func (m *Machine) loadOrder(now core.Instant, r *replica, d *demand) (Order, bool) {
	replaces := r.residents[d.merged.Adapter.ID] != nil
	if !replaces && !r.hasRoom(m.services[r.service], d.merged.Model) {
		return m.evictionOrder(now, r)
	}
	return Order{Load: true, Model: d.merged.Model, Adapter: d.merged.Adapter}, true
}

// loadModelOrder returns the order that loads the service's first base model, and
// false if the replica has a model or no room for it, or the service has none.
func (m *Machine) loadModelOrder(r *replica, limit limits) (Order, bool) {
	if len(r.models) > 0 || len(limit.models) == 0 || !r.fits(limit, limit.models[0].Weights) {
		return Order{}, false
	}
	return Order{Load: true, Model: limit.models[0].Name}, true
}

// evictionOrder returns the order that unloads the least popular adapter, and false if
// none may be evicted or an unload is in progress. Invariant: an adapter with running
// requests that have been reported isn't unloaded.
func (m *Machine) evictionOrder(now core.Instant, r *replica) (Order, bool) {
	var victimID core.AdapterID
	var victim *resident
	lowest := 0.0
	for a, res := range r.residents {
		if res.state == unloading {
			return Order{}, false // this makes room
		}
		if !r.evictable(now, a, res) {
			continue
		}
		popularity := r.popularities[a].Now(now, popularityHalfLife)
		if victim == nil || lessPopular(popularity, res, a, lowest, victim, victimID) {
			victimID, victim, lowest = a, res, popularity
		}
	}
	if victim == nil {
		return Order{}, false
	}
	return Order{Model: r.modelOf(victim), Adapter: core.AdapterRef{ID: victimID, Version: victim.version}}, true
}

// evictable reports whether a resident adapter may be unloaded now.
func (r *replica) evictable(now core.Instant, a core.AdapterID, res *resident) bool {
	return res.state == ready && now.Sub(res.since) >= minResidentTime && r.running(now, a) == 0
}

// updateFull determines whether the replica can take another adapter.
func (m *Machine) updateFull(now core.Instant, r *replica) {
	full := !r.hasRoomForAny(m.services[r.service])
	for a, res := range r.residents {
		full = full && res.state != unloading && !r.evictable(now, a, res)
	}
	if full != r.full {
		r.full, r.changed = full, true
	}
}

// fetchesInFlight is the number of adapters that the synced replicas are loading from
// the weight store.
func (m *Machine) fetchesInFlight() int {
	n := 0
	for _, r := range m.byID {
		if !r.synced {
			continue
		}
		for _, res := range r.residents {
			if res.state == loading && !res.fromCopy {
				n++
			}
		}
	}
	return n
}
