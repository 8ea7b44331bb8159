package placement

import (
	"slices"

	"gentiancroft/internal/core"
)

// Additions to the cost of a slot, in units of a victim's eviction cost.
const (
	loadCost   = 0.5 // times the load as a fraction of the batch
	domainCost = 0.1 // if the adapter is loaded in the same failure domain already
)

// loadTarget chooses the upstream that loads an adapter: one with a free slot
// or a low eviction cost, little load, and in a failure domain without the
// adapter. It returns false if no upstream has a slot within maxCost.
func (m *Machine) loadTarget(c *loadCandidate, maxCost float64) (core.UpstreamID, bool) {
	for _, avoid := range [][]core.UpstreamID{c.avoid, nil} {
		if u, ok := m.cheapestUpstream(c, avoid, maxCost); ok {
			return u, true
		}
	}
	return "", false
}

func (m *Machine) cheapestUpstream(c *loadCandidate, avoid []core.UpstreamID, maxCost float64) (core.UpstreamID, bool) {
	var best *upstreamView
	var lowest float64
	for _, x := range m.view.pools[c.pool] {
		if x.leaving() || m.view.ejected(x) || m.view.listedLeaving[x.Upstream] || slices.Contains(avoid, x.Upstream) {
			continue
		}
		if m.view.hasAdapter(x.Upstream, c.adapter) {
			continue
		}
		cost, ok := m.slotCost(x, maxCost)
		if !ok {
			continue
		}
		cost += loadCost * float64(x.estimatedLoad()) / float64(max(x.config.Batch, 1))
		if m.domainHasAdapter(c.adapter, x.config.Domain) {
			cost += domainCost
		}
		if best == nil || cost < lowest {
			best, lowest = x, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.Upstream, true
}

// slotCost returns the eviction cost of an upstream's next slot after the loads
// under way to it, 0 for a free slot, and false if none is within maxCost.
func (m *Machine) slotCost(x *upstreamView, maxCost float64) (float64, bool) {
	taken := 0
	for _, t := range m.loader.inFlight {
		if t.upstream == x.Upstream && !slices.Contains(x.Loading, t.adapter) {
			taken++
		}
	}
	if taken < x.FreeSlots {
		return 0, true
	}
	i := taken - max(x.FreeSlots, 0)
	if i >= len(x.EvictionCosts) || (maxCost >= 0 && x.EvictionCosts[i] > maxCost) {
		return 0, false
	}
	return x.EvictionCosts[i], true
}

func (m *Machine) domainHasAdapter(a core.AdapterRef, d core.Domain) bool {
	return slices.ContainsFunc(m.view.loadedOn[a], func(x *upstreamView) bool { return x.config.Domain == d })
}
