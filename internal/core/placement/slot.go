package placement

import (
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// slotState is where an adapter stands on an upstream.
type slotState uint8

const (
	loading   slotState = iota + 1
	resident            // tickets may be given
	unloading           // no tickets; an order is on its way
	doubtful            // no tickets until a report settles it
)

// slot is one adapter on an upstream.
type slot struct {
	adapter core.AdapterRef
	state   slotState
	pins    int
	foreign int          // requests of a former owner's tickets, by the reports
	since   core.Instant // of the state
	score   float64      // requests within one half-life, as of touched
	touched core.Instant
}

// ready reports whether tickets may be given for the adapter.
func (s *slot) ready() bool { return s != nil && s.state == resident }

func (s *slot) become(state slotState, now core.Instant) { s.state, s.since = state, now }

// popularity decays the score to now.
func (s *slot) popularity(now core.Instant, halfLife time.Duration) float64 {
	return core.Decay(s.score, now.Sub(s.touched), halfLife)
}

// touch counts one request.
func (s *slot) touch(now core.Instant, halfLife time.Duration) {
	s.score = s.popularity(now, halfLife) + 1
	s.touched = now
}

func (m *Machine) popular(s *slot) Popular {
	return Popular{Adapter: s.adapter, Score: s.popularity(m.now, m.settings.HalfLife), Idle: m.now.Sub(s.touched)}
}

// replicaDiscount is what an adapter is worth on one upstream while another
// holds it too, relative to the only copy.
const replicaDiscount = 0.3

// idleBound is the score of an adapter that is used once per idle time. A
// formerly busy adapter that has gone quiet is worth no more.
func idleBound(idle, halfLife time.Duration) float64 {
	return float64(halfLife) / math.Ln2 / float64(max(idle, 1))
}

// worth is what evicting an adapter would cost: its popularity, less where
// another upstream holds it too.
func (m *Machine) worth(o *owned, s *slot) float64 {
	w := s.popularity(m.now, m.settings.HalfLife)
	w = min(w, idleBound(m.now.Sub(s.touched), m.settings.HalfLife))
	if len(m.view.holders[s.adapter]) > 1 {
		w *= replicaDiscount
	}
	return w
}

// evictable reports whether an adapter may be taken away. Keeps: an adapter
// that serves a request, or may by an outstanding ticket, is never evicted.
func (m *Machine) evictable(o *owned, s *slot) bool {
	return o.settled && s.state == resident && s.pins == 0 && s.foreign == 0 && o.queue.Waiting(s.adapter) == 0
}

// victim is the least worth adapter that may be evicted, or nil.
func (m *Machine) victim(o *owned, most float64) *slot {
	var best *slot
	least := math.Inf(1)
	for _, s := range o.slots {
		if !m.evictable(o, s) {
			continue
		}
		w := m.worth(o, s)
		if w < least || (w == least && compareRefs(s.adapter, best.adapter) < 0) {
			best, least = s, w
		}
	}
	if best == nil || (most >= 0 && least > most) {
		return nil
	}
	return best
}

// nowRoom has a slot published as soon as there is one on a full upstream:
// loads may be waiting for it.
func (m *Machine) nowRoom(o *owned) {
	if o.full && (len(o.slots) < o.config.Slots || m.victim(o, unbounded) != nil) {
		o.dirty = true
	}
}

// victimsPublished is how many of the least worth are told to the loader.
const victimsPublished = 3

func (m *Machine) residency(o *owned) Residency {
	r := Residency{
		Upstream: o.id, Fence: o.fence, Seq: o.seq,
		Load: o.lastLoad, Suspect: o.health.Suspect(), Leaving: m.leavingNow(o), Warmth: o.health.Warmth(m.now),
		Free: o.config.Slots - len(o.slots),
	}
	for _, s := range o.slots {
		switch s.state {
		case resident:
			r.Adapters = append(r.Adapters, m.popular(s))
		case loading:
			r.Loading = append(r.Loading, s.adapter)
		}
		if m.evictable(o, s) {
			r.Victims = append(r.Victims, m.worth(o, s))
		}
	}
	slices.SortFunc(r.Adapters, func(a, b Popular) int { return compareRefs(a.Adapter, b.Adapter) })
	slices.SortFunc(r.Loading, compareRefs)
	slices.Sort(r.Victims)
	r.Victims = slices.Clip(r.Victims[:min(len(r.Victims), victimsPublished)])
	return r
}
