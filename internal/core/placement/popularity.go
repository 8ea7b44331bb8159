package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// adapterPopularity is the popularity of an adapter that is not loaded.
type adapterPopularity struct {
	score       float64 // as of updated
	updated     core.Instant
	lastRequest core.Instant
	pool        string
}

// Pacing of prefetches and of the removal of old popularity records.
const (
	prefetchInterval = time.Second
	minPrefetchScore = 2.0 // requests within one half-life
	prefetchMargin   = 1.5 // times the eviction cost of the victim
	pruneInterval    = time.Minute
	minRetainedScore = 0.05 // requests within one half-life
)

// countRequests adds requests to the popularity of an adapter that is not
// loaded.
func (l *loader) countRequests(a core.AdapterRef, pool string, add float64, now core.Instant, halfLife time.Duration) {
	p := l.popularity[a]
	p.pool = pool
	p.score = core.Decay(p.score, now.Sub(p.updated), halfLife) + add
	p.updated, p.lastRequest = now, now
	l.popularity[a] = p
}

// setPopularity stores the popularity reported for an adapter that is not
// loaded or needs a replica.
func (l *loader) setPopularity(p AdapterPopularity, pool string, now core.Instant) {
	l.popularity[p.Adapter] = adapterPopularity{score: p.Score, updated: now, lastRequest: now.Add(-p.Idle), pool: pool}
}

// absentPopularity returns the decayed popularity of an adapter as of now, 0 if
// none is stored.
func (m *Machine) absentPopularity(a core.AdapterRef) float64 {
	p, ok := m.loader.popularity[a]
	if !ok {
		return 0
	}
	return core.Decay(p.score, m.now.Sub(p.updated), m.settings.PopularityHalfLife)
}

// receiveReplicaRequest handles an owner's request for a further replica of an
// adapter that is too busy for one upstream.
func (m *Machine) receiveReplicaRequest(req ReplicaRequestMessage) {
	l := m.loader
	if l == nil || l.candidates[req.Adapter] != nil {
		return
	}
	l.setPopularity(AdapterPopularity{Adapter: req.Adapter, Score: req.Score}, req.Pool, m.now)
	m.addBackground(req.Adapter, req.Pool)
}

// addBackground adds a load candidate without waiting callers.
func (m *Machine) addBackground(a core.AdapterRef, pool string) {
	m.loader.candidates[a] = &loadCandidate{
		adapter: a, pool: pool, waitingByHost: map[core.HostID]int{}, added: m.now, class: core.Overnight, background: true,
	}
}

// prefetch loads the most popular adapter that no upstream has loaded, while
// the loader is idle and its budget full, as after an engine restarted empty.
func (m *Machine) prefetch() {
	l := m.loader
	if m.now.Sub(l.lastPrune) >= pruneInterval {
		l.lastPrune = m.now
		m.prunePopularity()
	}
	idle := len(l.candidates) == 0 && len(l.inFlight) == 0 && l.budget >= maxBudget
	if !idle || m.now.Sub(l.lastPrefetch) < prefetchInterval {
		return
	}
	l.lastPrefetch = m.now
	if a, ok := m.mostPopular(); ok {
		m.logDecision("prefetch", a.String())
		m.addBackground(a, l.popularity[a].pool)
		m.startLoads()
	}
}

func (m *Machine) mostPopular() (core.AdapterRef, bool) {
	var best core.AdapterRef
	highest := minPrefetchScore
	for a, p := range m.loader.popularity {
		score := min(m.absentPopularity(a), maxIdleScore(m.now.Sub(p.lastRequest), m.settings.PopularityHalfLife))
		better := score > highest || (score == highest && compareRefs(a, best) < 0)
		if better && len(m.view.loadedOn[a]) == 0 {
			best, highest = a, score
		}
	}
	return best, best != (core.AdapterRef{})
}

func (m *Machine) prunePopularity() {
	for a := range m.loader.popularity {
		if m.absentPopularity(a) < minRetainedScore {
			delete(m.loader.popularity, a)
		}
	}
}

// maxHandoffAdapters is how many of the most popular adapters a leaving loader
// hands off.
const maxHandoffAdapters = 500

// handoffPopularity is the popularity of one adapter in a handoff.
type handoffPopularity struct {
	AdapterPopularity
	Pool string `cbor:"4,keyasint"`
}

// handOffLoader stops acting as loader and returns the popularity of adapters
// that are not loaded. Load requests and running loads are reported anew to the
// successor.
func (m *Machine) handOffLoader(now core.Instant) []byte {
	l := m.loader
	if l == nil {
		return nil
	}
	all := make([]handoffPopularity, 0, len(l.popularity))
	for a, p := range l.popularity {
		score := core.Decay(p.score, now.Sub(p.updated), m.settings.PopularityHalfLife)
		all = append(all, handoffPopularity{AdapterPopularity{Adapter: a, Score: score, Idle: now.Sub(p.lastRequest)}, p.pool})
	}
	slices.SortFunc(all, func(x, y handoffPopularity) int {
		if c := cmp.Compare(y.Score, x.Score); c != 0 {
			return c
		}
		return compareRefs(x.Adapter, y.Adapter)
	})
	m.loader = nil
	b, err := cbor.Marshal(all[:min(len(all), maxHandoffAdapters)])
	if err != nil {
		return nil
	}
	return b
}

// adoptPopularity adds the popularity that a leaving loader handed off. Wrong
// or missing state costs extra loads and has no other effect.
func (m *Machine) adoptPopularity(state []byte) {
	var all []handoffPopularity
	if cbor.Unmarshal(state, &all) != nil {
		return
	}
	for _, p := range all {
		if _, known := m.loader.popularity[p.Adapter]; !known {
			m.loader.setPopularity(p.AdapterPopularity, p.Pool, m.now)
		}
	}
}
