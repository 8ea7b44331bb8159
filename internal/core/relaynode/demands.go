package relaynode

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// A request whose adapter no replica has loaded demands it of the host that orders the replica
// where it is to be loaded. So do requests for another copy or a newer version.

const (
	// preferenceKind separates the scores of adapters' preferred replicas from other
	// scores.
	preferenceKind = 23
	// demandInterval is the minimum time between two demands for an adapter.
	demandInterval = 400 * time.Millisecond
	// dispatchToFirstEvent is the time from a request's dispatch to its first event.
	dispatchToFirstEvent = 60 * time.Millisecond
	// copyUtilizationThreshold is the utilization of the chosen replica from which the
	// adapter is loaded on another one.
	copyUtilizationThreshold = 0.6
	// copyInterval is the minimum time between two demands for another copy of an
	// adapter.
	copyInterval = time.Second
)

// preferredReplicas returns the replicas on which an adapter can be loaded, in order
// of preference (rendezvous hashing): the order does not change unless the replicas
// do.
func (m *Machine) preferredReplicas(r *request) []*replicas.Replica {
	type scored struct {
		*replicas.Replica
		score uint64
	}
	name := string(r.arrival.Adapter)
	var all []scored
	reachable := m.reachable()
	for _, x := range m.replicas.ByService(r.service.ID) {
		if !x.Unavailable() && !x.Down(m.now) && x.Pause(m.now) == 0 && !m.evacuated(x) && x.HasModel(r.arrival.Model) && r.mayGoOnAt(x) && m.mayBeginAt(r, x) && reachable(x.ID) && m.ownerReaches(x.ID) {
			all = append(all, scored{x, core.Score(core.HostID(x.ID), preferenceKind, name)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ordered := make([]*replicas.Replica, len(all))
	for i, x := range all {
		ordered[i] = x.Replica
	}
	return ordered
}

// demandAdapter demands the request's adapter, unless that was done within
// demandInterval.
func (m *Machine) demandAdapter(r *request) {
	if r.lastDemand != 0 && m.now.Sub(r.lastDemand) < demandInterval {
		return
	}
	if m.demandOnPreferred(r) {
		r.lastDemand = m.now
	}
}

// demandOnPreferred sends a demand to the owner of the first preferred replica that
// has one, and returns false where none has. Replicas that can't load it now come last.
// If an older version is loaded there, the next replica gets a demand as well: the older
// version is replaced only once it is no longer in use.
func (m *Machine) demandOnPreferred(r *request) (demanded bool) {
	preferred := m.preferredReplicas(r)
	slices.SortStableFunc(preferred, func(a, b *replicas.Replica) int { return m.loadRank(r, a) - m.loadRank(r, b) })
	for _, x := range preferred {
		_, older := x.AdapterVersion(r.arrival.Adapter)
		if !m.sendDemand(r, x) {
			continue
		}
		demanded = true
		if !older {
			return true
		}
	}
	return demanded
}

// Ranks of replicas for loading an adapter; the lowest is best.
const (
	rankLoadable = iota
	rankBusy     // its prompts take longer than the objective
	rankLimited  // it takes few requests
	rankFull     // no slot can be freed
)

// loadRank returns how suitable a replica is for loading a request's adapter.
func (m *Machine) loadRank(r *request, x *replicas.Replica) int {
	switch {
	case x.Full(m.now):
		return rankFull
	case m.limited(x):
		return rankLimited
	case m.utilization(r, x) >= 1:
		return rankBusy
	}
	return rankLoadable
}

// demandNewerVersion demands the newest version of an adapter while an older one
// still serves.
func (m *Machine) demandNewerVersion(r *request, x *replicas.Replica) {
	a := r.arrival.Adapter
	version, ok := x.AdapterVersion(a)
	if !ok || version >= m.versions[a].newest() || m.lastExtraDemand[a] != 0 && m.now.Sub(m.lastExtraDemand[a]) < demandInterval {
		return
	}
	m.lastExtraDemand[a] = m.now
	m.demandOnPreferred(r)
}

// sendDemand sends a demand for an adapter to the owner of a replica. It returns
// false where the replica has no reachable owner.
func (m *Machine) sendDemand(r *request, x *replicas.Replica) bool {
	d := residency.Demand{
		Replica: x.ID,
		Model:   r.arrival.Model,
		Adapter: core.AdapterRef{ID: r.arrival.Adapter, Version: m.versions[r.arrival.Adapter].newest()},
		Weight:  m.waitingCount(r.arrival.Adapter),
		Left:    r.arrivedAt.Add(r.route.LatencyTarget).Sub(m.now) - dispatchToFirstEvent,
	}
	if _, ok := m.orderFence(x.ID); ok {
		m.residency.AddDemand(m.now, d)
		m.sendOrders()
		return true
	}
	return m.sendToOwner(x.ID, Message{Demands: []residency.Demand{d}})
}

// waitingCount returns how many requests of this host wait for an adapter, at least
// 1.
func (m *Machine) waitingCount(a core.AdapterID) int {
	n := 0
	for _, r := range m.requests.byID {
		if r.stage == stageWaiting && r.arrival.Adapter == a {
			n++
		}
	}
	return max(n, 1)
}

// demandCopy demands another copy of an adapter where the replicas that have it
// loaded are busy.
func (m *Machine) demandCopy(r *request, best *replicas.Replica) {
	a := r.arrival.Adapter
	if a == "" || r.service.Engine == nil || m.lastExtraDemand[a] != 0 && m.now.Sub(m.lastExtraDemand[a]) < copyInterval {
		return
	}
	busy := m.utilization(r, best)
	if busy < copyUtilizationThreshold {
		return
	}
	m.lastExtraDemand[a] = m.now
	for _, x := range m.preferredReplicas(r) {
		if _, ok := x.AdapterVersion(a); ok || m.limited(x) || m.utilization(r, x) > busy/2 {
			continue
		}
		m.sendDemand(r, x)
		return
	}
}
