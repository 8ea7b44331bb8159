package placement

import (
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
	if s == nil {
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
