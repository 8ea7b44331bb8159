package placement

import (
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// slotState is the state of an adapter on an upstream.
type slotState uint8

const (
	loading   slotState = iota + 1
	resident            // tickets may be issued
	unloading           // no tickets; an unload order is under way
	uncertain           // no tickets until a report shows whether it is loaded
)

// slot is one adapter on an upstream.
type slot struct {
	adapter             core.AdapterRef
	state               slotState
	pins                int
	formerOwnerRequests int // requests on a former owner's tickets, by the reports
	stateSince          core.Instant
	score               float64 // requests within one half-life, as of lastRequest
	lastRequest         core.Instant
}

// ready reports whether tickets may be issued for the adapter.
func (s *slot) ready() bool { return s != nil && s.state == resident }

func (s *slot) setState(state slotState, now core.Instant) { s.state, s.stateSince = state, now }

// popularity returns the score decayed to now.
func (s *slot) popularity(now core.Instant, halfLife time.Duration) float64 {
	return core.Decay(s.score, now.Sub(s.lastRequest), halfLife)
}

// countRequest adds one request to the score.
func (s *slot) countRequest(now core.Instant, halfLife time.Duration) {
	s.score = s.popularity(now, halfLife) + 1
	s.lastRequest = now
}

func (m *Machine) popularityOf(s *slot) AdapterPopularity {
	return AdapterPopularity{Adapter: s.adapter, Score: s.popularity(m.now, m.settings.PopularityHalfLife), Idle: m.now.Sub(s.lastRequest)}
}

// replicaDiscount is the factor on an adapter's eviction cost while another
// upstream has it loaded too.
const replicaDiscount = 0.3

// maxIdleScore is the score of an adapter that gets one request per idle time.
// It bounds the eviction cost of a formerly popular adapter that has become
// idle.
func maxIdleScore(idle, halfLife time.Duration) float64 {
	return float64(halfLife) / math.Ln2 / float64(max(idle, 1))
}

// evictionCost returns the adapter's popularity, bounded by maxIdleScore and
// discounted while another upstream has it loaded too.
func (m *Machine) evictionCost(o *ownedUpstream, s *slot) float64 {
	cost := s.popularity(m.now, m.settings.PopularityHalfLife)
	cost = min(cost, maxIdleScore(m.now.Sub(s.lastRequest), m.settings.PopularityHalfLife))
	if len(m.view.loadedOn[s.adapter]) > 1 {
		cost *= replicaDiscount
	}
	return cost
}

// evictable reports whether an adapter may be evicted. Invariant: an adapter
// that serves a request, or may by an outstanding ticket, is never evicted.
func (m *Machine) evictable(o *ownedUpstream, s *slot) bool {
	return o.reconciled && s.state == resident && s.pins == 0 && s.formerOwnerRequests == 0 && o.queue.Waiting(s.adapter) == 0
}

// victim returns the evictable adapter with the lowest eviction cost, or nil if
// there is none within maxCost. A negative maxCost is no limit.
func (m *Machine) victim(o *ownedUpstream, maxCost float64) *slot {
	var best *slot
	lowest := math.Inf(1)
	for _, s := range o.slots {
		if !m.evictable(o, s) {
			continue
		}
		cost := m.evictionCost(o, s)
		if cost < lowest || (cost == lowest && compareRefs(s.adapter, best.adapter) < 0) {
			best, lowest = s, cost
		}
	}
	if best == nil || (maxCost >= 0 && lowest > maxCost) {
		return nil
	}
	return best
}

// publishIfRoom marks a full upstream for publication as soon as it has a slot
// available: loads may wait for it.
func (m *Machine) publishIfRoom(o *ownedUpstream) {
	if o.publishedFull && (len(o.slots) < o.config.Slots || m.victim(o, noCostLimit) != nil) {
		o.publishNow = true
	}
}

// maxPublishedVictims is how many of the lowest eviction costs are published.
const maxPublishedVictims = 3

func (m *Machine) residency(o *ownedUpstream) Residency {
	r := Residency{
		Upstream: o.id, Fence: o.fence, Seq: o.seq,
		Load: o.publishedLoad, Suspect: o.health.Ejected(), Leaving: m.isLeaving(o), SlowStartWeight: o.health.SlowStartWeight(m.now),
		FreeSlots: o.config.Slots - len(o.slots),
	}
	for _, s := range o.slots {
		switch s.state {
		case resident:
			r.Adapters = append(r.Adapters, m.popularityOf(s))
		case loading:
			r.Loading = append(r.Loading, s.adapter)
		}
		if m.evictable(o, s) {
			r.EvictionCosts = append(r.EvictionCosts, m.evictionCost(o, s))
		}
	}
	slices.SortFunc(r.Adapters, func(a, b AdapterPopularity) int { return compareRefs(a.Adapter, b.Adapter) })
	slices.SortFunc(r.Loading, compareRefs)
	slices.Sort(r.EvictionCosts)
	r.EvictionCosts = slices.Clip(r.EvictionCosts[:min(len(r.EvictionCosts), maxPublishedVictims)])
	return r
}
