package relaynode

import (
	"cmp"
	"math"
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
	// shortageInterval is copyInterval while requests for the adapter are predicted to miss a
	// target. It is about as long as a load takes: an earlier demand would not know its result.
	shortageInterval = 250 * time.Millisecond
	// copyTargetOccupancy is the occupancy below which a replica takes a copy. A fuller one would
	// soon be short of places itself.
	copyTargetOccupancy = 0.8
	// copyWait is how long a request waits for another copy of its adapter before it is sent to a
	// replica where it will be late: the order, the load and the report that
	// it is done.
	copyWait = 600 * time.Millisecond
	// copyPlacesFraction is the part of a replica's places that one of its adapters can count on: it
	// shares them with the others.
	copyPlacesFraction = 0.4
	// maxCopiesAtOnce bounds the copies that are demanded at once. The weight store slows down
	// beyond 48 adapters in transit, which other adapters need too.
	maxCopiesAtOnce = 16
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
		if m.mayLoadAt(r, x, reachable) {
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

// mayLoadAt reports whether a request could run at a replica once its adapter is loaded there.
func (m *Machine) mayLoadAt(r *request, x *replicas.Replica, reachable func(core.UpstreamID) bool) bool {
	ready := !x.Unavailable() && !x.Down(m.now) && x.Pause(m.now) == 0 && !m.evacuated(x)
	return ready && x.HasModel(r.arrival.Model) && r.mayGoOnAt(x) && m.mayBeginAt(r, x) && reachable(x.ID) && m.ownerReaches(x.ID)
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
		if m.saturated(r, x) && m.canRun(r, x) {
			continue // it has the adapter; a copy at another replica is what helps
		}
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
	rankLimited  // it takes few requests, because it names a limit or is cold
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
	if ok && version < m.versions[a].newest() && m.extraDemandDue(r, demandInterval) {
		m.demandOnPreferred(r)
	}
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

// demandCopy demands more copies of an adapter where the best replica that has it is busy, or is
// predicted to miss a target.
func (m *Machine) demandCopy(r *request, best *replicas.Replica) {
	if !r.usesAdapter() {
		return
	}
	s := m.newScorer(r)
	busy := m.utilization(r, best)
	switch {
	case s.missesTarget(best):
		m.demandCopies(r, &s, s.late(best))
	case busy >= copyUtilizationThreshold && m.moreCopiesHelp(r, best) && m.extraDemandDue(r, copyInterval):
		m.demandCopiesAt(r, 1, func(x *replicas.Replica) bool { return m.utilization(r, x) <= busy/2 })
	}
}

// moreCopiesHelp reports whether a replica is busy because of a request's adapter or its queued
// prompts. An adapter with few requests is best kept where it is, however many others run there: a
// copy would cost the place of another adapter.
func (m *Machine) moreCopiesHelp(r *request, x *replicas.Replica) bool {
	copies, needed := m.copies(r)
	return needed > copies || m.promptPressure(r, x, 0) >= copyUtilizationThreshold
}

// extraDemandDue reports whether the last demand for a copy or a newer version of a request's adapter
// is at least an interval ago. If so, it records one now.
func (m *Machine) extraDemandDue(r *request, interval time.Duration) bool {
	a := r.arrival.Adapter
	if m.lastExtraDemand[a] != 0 && m.now.Sub(m.lastExtraDemand[a]) < interval {
		return false
	}
	m.lastExtraDemand[a] = m.now
	return true
}

// demandCopies demands copies of the adapter of a request that is predicted to miss a target at the
// best replica with it; late is set where the first event is late. Every host demands the first copies in
// the same order of replicas, so that all hosts together demand no more than one of them does.
func (m *Machine) demandCopies(r *request, s *scorer, late bool) {
	copies, needed := m.copies(r)
	if needed <= copies && !late && m.sameAdapter(r) < 2 {
		return // no other request would use the copy
	}
	interval, wanted := shortageInterval, min(needed-copies, maxCopiesAtOnce)
	if wanted <= 0 {
		interval, wanted = copyInterval, 1
	}
	if m.extraDemandDue(r, interval) {
		m.demandCopiesAt(r, wanted, func(x *replicas.Replica) bool { return m.takesCopy(r, s, x) })
	}
}

// demandCopiesAt demands a number of copies at the most preferred replicas for which suits returns
// true. Limited replicas get none.
func (m *Machine) demandCopiesAt(r *request, wanted int, suits func(*replicas.Replica) bool) {
	for _, x := range m.preferredReplicas(r) {
		if _, ok := x.AdapterVersion(r.arrival.Adapter); ok || m.limited(x) || !suits(x) {
			continue
		}
		if m.sendDemand(r, x) {
			wanted--
		}
		if wanted <= 0 {
			return
		}
	}
}

// takesCopy reports whether a replica that lacks a request's adapter can load it and would then
// run the request in time.
func (m *Machine) takesCopy(r *request, s *scorer, x *replicas.Replica) bool {
	return !x.Full(m.now) && x.Occupancy() < copyTargetOccupancy && !s.missesTarget(x)
}

// copies returns how many replicas have a request's adapter loaded, at least 1, and how many the
// fleet's requests for it need. The other hosts are taken to have as large a part of their requests
// for it as this one.
func (m *Machine) copies(r *request) (n, needed int) {
	own, all, places := 0, 0, 0
	replicas := m.replicas.ByService(r.service.ID)
	for _, x := range replicas {
		own, all, places = own+x.OwnRequests, all+x.Load(), places+x.Batch
		if _, ok := x.AdapterVersion(r.arrival.Adapter); ok {
			n++
		}
	}
	same := m.sameAdapter(r)
	// The request itself says nothing of the other hosts: most are the only ones for their adapter.
	running := 1 + float64(max(same-1, 0))*float64(max(all, 1))/float64(max(own, 1))
	perCopy := float64(places) / float64(max(len(replicas), 1)) * copyPlacesFraction
	return max(n, 1), int(math.Ceil(running / max(perCopy, 1)))
}

// sameAdapter returns how many requests of this host are for a request's adapter, itself included.
func (m *Machine) sameAdapter(r *request) int {
	n := 0
	for _, other := range m.requests.byID {
		if other.arrival.Adapter == r.arrival.Adapter && !other.closed {
			n++
		}
	}
	return n
}

// copyOverdue reports whether the copy that a request waits for is to be demanded again, or no longer
// waited for.
func (m *Machine) copyOverdue(r *request) bool {
	return m.now.Sub(r.lastDemand) >= shortageInterval || m.copyWaitOver(r)
}

// copyWaitOver reports whether a request has waited for a copy of its adapter as long as it may.
func (m *Machine) copyWaitOver(r *request) bool {
	return r.copyAwaitedSince != 0 && m.now.Sub(r.copyAwaitedSince) >= copyWait
}

// hasOwner reports whether a replica has an owner that this host reaches.
func (m *Machine) hasOwner(id core.UpstreamID) bool {
	if _, ok := m.orderFence(id); ok {
		return true
	}
	owner, ok := m.fleet.ByName(string(m.shards.Owner(m.shards.Of(id))))
	return ok && m.fleet.Reachable(m.now, owner.Host)
}

// awaitBetterCopy lets a request wait for another copy of its adapter where a copy would be loaded
// and have sent the first event well before the best replica that has the adapter now. A request
// waits so once, for no longer than a load takes.
func (m *Machine) awaitBetterCopy(r *request, best *replicas.Replica) bool {
	if m.copyWaitOver(r) || !r.usesAdapter() || r.attempt > 0 || r.route.LatencyTarget <= 0 {
		return false
	}
	if m.promptDelay(best, r.arrival.Prompt) < r.route.LatencyTarget+copyWait || !m.awaitCopy(r) {
		return false
	}
	if r.copyAwaitedSince == 0 {
		r.copyAwaitedSince = m.now
	}
	return true
}

// awaitCopy lets a request wait for another copy of its adapter where all replicas that have it are
// saturated. It returns false where none can load it that would run it in time.
func (m *Machine) awaitCopy(r *request) bool {
	if !r.usesAdapter() {
		return false
	}
	s := m.newScorer(r)
	reachable := m.reachable()
	loads := func(x *replicas.Replica) bool {
		_, has := x.AdapterVersion(r.arrival.Adapter)
		return !has && !m.limited(x) && m.takesCopy(r, &s, x) && m.mayLoadAt(r, x, reachable) && m.hasOwner(x.ID)
	}
	if !slices.ContainsFunc(m.replicas.ByService(r.service.ID), loads) {
		return false
	}
	m.beginAdapterWait(r)
	r.awaitsCopy, r.lastDemand = true, m.now
	m.demandCopies(r, &s, true)
	return true
}
