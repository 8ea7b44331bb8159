package placement

import (
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Hysteresis of replicas. A further replica is requested only while an upstream
// has been saturated for some time and one adapter is a large part of its load.
// A surplus replica is not removed; its lower eviction cost (replicaDiscount)
// makes it the first victim when a slot is needed.
const (
	saturatedFraction  = 0.75 // of the batch, running and waiting
	spareFraction      = 0.5
	saturationDelay    = 2 * time.Second
	minAdapterFraction = 0.25 // of the batch, by one adapter
	replicaInterval    = 5 * time.Second
	replicaDelay       = saturationDelay
)

// requestReplica requests one more replica of the adapter that saturates o.
func (m *Machine) requestReplica(o *ownedUpstream) {
	load := float64(m.currentLoad(o)) / float64(max(o.config.Batch, 1))
	switch {
	case load < spareFraction:
		o.saturatedSince = 0
		return
	case load < saturatedFraction:
		return
	case o.saturatedSince == 0:
		o.saturatedSince = m.now
		return
	case m.now.Sub(o.saturatedSince) < saturationDelay:
		return
	}
	s := m.busiestAdapter(o)
	if s == nil || m.hasSpareReplica(o, s.adapter) {
		return
	}
	loader, ok := m.ownership.Owner(LoaderShard)
	if !ok {
		return
	}
	o.saturatedSince = m.now.Add(replicaInterval - replicaDelay)
	m.logDecision("replica.wanted", s.adapter.String()+" saturates "+string(o.id))
	m.send(loader, Message{ReplicaRequest: &ReplicaRequestMessage{
		Adapter: s.adapter, Pool: o.config.Pool, Score: s.popularity(m.now, m.settings.PopularityHalfLife),
	}})
}

// hasSpareReplica reports whether another usable upstream has the adapter
// loaded and has room: requests should go there, and no further replica is
// needed.
func (m *Machine) hasSpareReplica(o *ownedUpstream, a core.AdapterRef) bool {
	for _, x := range m.view.loadedOn[a] {
		usable := x.Upstream != o.id && !x.leaving() && !m.view.listedLeaving[x.Upstream] && !m.view.ejected(x)
		if usable && float64(x.estimatedLoad()) < spareFraction*float64(x.config.Batch) {
			return true
		}
	}
	return false
}

// redirectWaiting sends requests that wait for an adapter on full upstreams to
// a replica with room.
func (m *Machine) redirectWaiting(a core.AdapterRef) {
	for _, o := range m.owned.list {
		if o.queue.Waiting(a) == 0 || m.occupiedPlaces(o) < o.config.Batch || !m.hasSpareReplica(o, a) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(o.ticketRequests)) {
			if o.ticketRequests[id].Adapter == a {
				o.queue.Remove(id)
				m.replyQueued(o, id, ReplyOtherReplica)
			}
		}
	}
}

// busiestAdapter returns the adapter with the most requests running and
// waiting, or nil if they are a small part of the batch or it is not loaded.
func (m *Machine) busiestAdapter(o *ownedUpstream) *slot {
	var best *slot
	highest := 0
	for _, s := range o.slots {
		n := s.pins + o.queue.Waiting(s.adapter)
		if n > highest || (n == highest && best != nil && compareRefs(s.adapter, best.adapter) < 0) {
			best, highest = s, n
		}
	}
	if best == nil || best.state != resident || best.adapter == (core.AdapterRef{}) ||
		float64(highest) < minAdapterFraction*float64(o.config.Batch) {
		return nil
	}
	return best
}
