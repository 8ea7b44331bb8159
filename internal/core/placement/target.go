package placement

import (
	"slices"

	"gentiancroft/internal/core"
)

// Cost of a slot, in the worth of a victim, that load and failure domain add.
const (
	loadCost   = 0.5 // of a whole batch
	domainCost = 0.1 // of a failure domain that holds the adapter already
)

// loadTarget chooses the upstream that loads an adapter: a free slot or the
// least worth victim, little load, and a failure domain of its own.
func (m *Machine) loadTarget(n *need, most float64) (core.UpstreamID, bool) {
	for _, avoid := range [][]core.UpstreamID{n.avoid, nil} {
		if u, ok := m.cheapest(n, avoid, most); ok {
			return u, true
		}
	}
	return "", false
}

func (m *Machine) cheapest(n *need, avoid []core.UpstreamID, most float64) (core.UpstreamID, bool) {
	var best *seen
	var least float64
	for _, x := range m.view.pools[n.pool] {
		if x.leaving() || m.view.ejected(x) || m.view.listed[x.Upstream] || slices.Contains(avoid, x.Upstream) {
			continue
		}
		if m.view.holds(x.Upstream, n.adapter) {
			continue
		}
		cost, ok := m.slotCost(x, most)
		if !ok {
			continue
		}
		cost += loadCost * float64(x.estimate()) / float64(max(x.config.Batch, 1))
		if m.domainHolds(n.adapter, x.config.Domain) {
			cost += domainCost
		}
		if best == nil || cost < least {
			best, least = x, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.Upstream, true
}

// slotCost is what the next slot of an upstream costs, after the loads that
// are on their way to it.
func (m *Machine) slotCost(x *seen, most float64) (float64, bool) {
	taken := 0
	for _, t := range m.loader.transits {
		if t.upstream == x.Upstream && !slices.Contains(x.Loading, t.adapter) {
			taken++
		}
	}
	if taken < x.Free {
		return 0, true
	}
	i := taken - max(x.Free, 0)
	if i >= len(x.Victims) || (most >= 0 && x.Victims[i] > most) {
		return 0, false
	}
	return x.Victims[i], true
}

func (m *Machine) domainHolds(a core.AdapterRef, d core.Domain) bool {
	return slices.ContainsFunc(m.view.holders[a], func(x *seen) bool { return x.config.Domain == d })
}
