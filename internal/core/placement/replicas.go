package placement

import (
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Hysteresis of replicas. A further one is asked for only while an upstream
// has been crowded for a while and one adapter is a large part of it; one too
// many is not removed but worth less (replicaDiscount), so it goes first when
// a slot is needed.
const (
	crowdedAbove  = 0.75 // of the batch, running and waiting
	calmBelow     = 0.5
	crowdedFor    = 2 * time.Second
	replicaShare  = 0.25 // of the batch on one adapter
	replicaPause  = 5 * time.Second
	replicaSettle = crowdedFor
)

// relieve asks the loader for one more replica of the adapter that crowds o.
func (m *Machine) relieve(o *owned) {
	load := float64(m.loadOf(o)) / float64(max(o.config.Batch, 1))
	switch {
	case load < calmBelow:
		o.crowded = 0
		return
	case load < crowdedAbove:
		return
	case o.crowded == 0:
		o.crowded = m.now
		return
	case m.now.Sub(o.crowded) < crowdedFor:
		return
	}
	s := m.busiest(o)
	if s == nil || m.calmHolder(o, s.adapter) {
		return
	}
	loader, ok := m.own.Owner(LoaderShard)
	if !ok {
		return
	}
	o.crowded = m.now.Add(replicaPause - replicaSettle)
	m.note("replica.wanted", s.adapter.String()+" crowds "+string(o.id))
	m.send(loader, Message{Spread: &SpreadMessage{
		Adapter: s.adapter, Pool: o.config.Pool, Score: s.popularity(m.now, m.settings.HalfLife),
	}})
}

// calmHolder reports whether another upstream that holds an adapter has room:
// then the requests should go there, and no further replica is needed.
func (m *Machine) calmHolder(o *owned, a core.AdapterRef) bool {
	for _, x := range m.view.holders[a] {
		usable := x.Upstream != o.id && !x.leaving() && !m.view.listed[x.Upstream] && !m.view.ejected(x)
		if usable && float64(x.estimate()) < calmBelow*float64(x.config.Batch) {
			return true
		}
	}
	return false
}

// share sends what waits for an adapter on full upstreams to a new replica.
func (m *Machine) share(a core.AdapterRef) {
	for _, o := range m.owned.list {
		if o.queue.Waiting(a) == 0 || m.occupied(o) < o.config.Batch || !m.calmHolder(o, a) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(o.asks)) {
			if o.asks[id].Adapter == a {
				o.queue.Remove(id)
				m.answerQueued(o, id, AnswerElsewhere)
			}
		}
	}
}

// busiest is the adapter with the most requests running and waiting, where
// they are a large part of the batch.
func (m *Machine) busiest(o *owned) *slot {
	var best *slot
	most := 0
	for _, s := range o.slots {
		n := s.pins + o.queue.Waiting(s.adapter)
		if n > most || (n == most && best != nil && compareRefs(s.adapter, best.adapter) < 0) {
			best, most = s, n
		}
	}
	if best == nil || best.state != resident || best.adapter == (core.AdapterRef{}) ||
		float64(most) < replicaShare*float64(o.config.Batch) {
		return nil
	}
	return best
}
