package residency

import (
	"time"

	"gentiancroft/internal/core"
)

// demand merges the repetitions of a Demand: its highest weight and version and its
// latest deadline.
type demand struct {
	merged        Demand
	lastReceived  core.Instant // of the latest repetition
	firstReceived core.Instant // of the first one
	deadline      core.Instant // until the adapter must be loaded for a request to be on time
}

// AddDemand adds or repeats a demand of this host or another one. Demands for unknown
// replicas are ignored.
func (m *Machine) AddDemand(now core.Instant, d Demand) {
	r := m.byID[d.Replica]
	if r == nil {
		return
	}
	if x := r.demands[d.Adapter.ID]; x != nil {
		x.lastReceived = now
		x.deadline = max(x.deadline, now.Add(d.Left))
		x.merged.Weight = max(x.merged.Weight, d.Weight)
		x.merged.Adapter.Version = max(x.merged.Adapter.Version, d.Adapter.Version)
		return
	}
	r.demands[d.Adapter.ID] = &demand{merged: d, lastReceived: now, firstReceived: now, deadline: now.Add(d.Left)}
}

// ApplyUse records a host's use of an adapter. Uses of unknown replicas are ignored.
func (m *Machine) ApplyUse(now core.Instant, from core.HostID, u Use) {
	r := m.byID[u.Replica]
	if r == nil {
		return
	}
	if res := r.residents[u.Adapter]; res != nil {
		res.lastUsed = now
	}
	if u.Begun > 0 {
		r.countRequests(now, u.Adapter, u.Begun)
	}
	if u.Running == 0 {
		delete(r.uses[u.Adapter], from)
		return
	}
	if r.uses[u.Adapter] == nil {
		r.uses[u.Adapter] = map[core.HostID]use{}
	}
	r.uses[u.Adapter][from] = use{running: u.Running, at: now}
}

// SetNewestVersion sets an adapter's newest version. A replica with an older version
// loads the newest when the older one is idle, if the adapter's popularity is at least
// minUpgradePopularity.
func (m *Machine) SetNewestVersion(model core.BaseModel, a core.AdapterRef) {
	m.newest[a.ID] = newestVersion{model: model, version: a.Version}
}

type newestVersion struct {
	model   core.BaseModel
	version int
}

// minUpgradeIdle is how long an adapter must be idle before another version replaces
// it. A replica first finishes all runs of the old version; until then it accepts no
// request for the adapter and no other order.
const minUpgradeIdle = 400 * time.Millisecond

// topDemand returns the best demand for an adapter that the replica can load now,
// either from a copy (copied) or from the weight store, or nil. Adapters that are
// loaded, being loaded, or loaded at an older version that is in use don't qualify.
func (m *Machine) topDemand(now core.Instant, r *replica, copied bool) *demand {
	var best *demand
	consider := func(a core.AdapterID, d *demand) {
		_, hasModel := r.models[d.merged.Model]
		if !hasModel || r.copies[a] != copied {
			return
		}
		if res := r.residents[a]; res != nil {
			newer := res.state == ready && res.version < d.merged.Adapter.Version
			if !newer || r.running(now, a) > 0 || now.Sub(res.lastUsed) < minUpgradeIdle {
				return
			}
		}
		if best == nil || ranksBefore(now, r, d, r, best) {
			best = d
		}
	}
	for a, d := range r.demands {
		consider(a, d)
	}
	if best != nil {
		return best
	}
	for a, n := range m.newest {
		if r.residents[a] != nil && r.popularities[a].Now(now, popularityHalfLife) >= minUpgradePopularity {
			consider(a, &demand{merged: Demand{Replica: r.id, Model: n.model, Adapter: core.AdapterRef{ID: a, Version: n.version}}})
		}
	}
	return best
}

// minUpgradePopularity is the popularity from which an adapter's newest version is
// loaded without a demand.
const minUpgradePopularity = 0.5

// ranksBefore reports whether demand a of replica ra goes before demand b of rb:
// those for which a request can still be on time first, then those with more waiting
// requests, then those of the replica whose last fetch is longest ago, then the older
// ones. Under overload this loads as many adapters as possible on time; first come,
// first served would make all of them late.
func ranksBefore(now core.Instant, ra *replica, a *demand, rb *replica, b *demand) bool {
	if x, y := ra.onTime(now, a), rb.onTime(now, b); x != y {
		return x
	}
	if a.merged.Weight != b.merged.Weight {
		return a.merged.Weight > b.merged.Weight
	}
	if ra.lastFetch != rb.lastFetch {
		return ra.lastFetch < rb.lastFetch
	}
	if a.firstReceived != b.firstReceived {
		return a.firstReceived < b.firstReceived
	}
	return a.merged.Adapter.ID < b.merged.Adapter.ID
}

// onTime reports whether a load that starts now ends before the demand's deadline.
func (r *replica) onTime(now core.Instant, d *demand) bool {
	loadTime := FetchLoadTime
	if r.copies[d.merged.Adapter.ID] {
		loadTime = copyLoadTime
	}
	return now.Add(loadTime) <= d.deadline
}
