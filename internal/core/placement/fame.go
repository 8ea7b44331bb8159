package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// fame is the remembered popularity of an adapter that is not resident.
type fame struct {
	score float64 // as of at
	at    core.Instant
	last  core.Instant // its last request
	pool  string
}

// Pacing of work that no caller waits for.
const (
	prefetchEvery  = time.Second
	prefetchLeast  = 2.0 // requests within one half-life
	prefetchMargin = 1.5 // times the worth of what it evicts
	pruneEvery     = time.Minute
	forgetBelow    = 0.05 // requests within one half-life
)

// famed counts requests for an adapter that is not resident.
func (l *loader) famed(a core.AdapterRef, pool string, add float64, now core.Instant, halfLife time.Duration) {
	f := l.fame[a]
	f.pool = pool
	f.score = core.Decay(f.score, now.Sub(f.at), halfLife) + add
	f.at, f.last = now, now
	l.fame[a] = f
}

// remember keeps what an owner knew of an adapter that it holds no more.
func (l *loader) remember(p Popular, pool string, now core.Instant) {
	l.fame[p.Adapter] = fame{score: p.Score, at: now, last: now.Add(-p.Idle), pool: pool}
}

// remembered is an adapter's popularity while it is not resident.
func (m *Machine) remembered(a core.AdapterRef) float64 {
	f, ok := m.loader.fame[a]
	if !ok {
		return 0
	}
	return core.Decay(f.score, m.now.Sub(f.at), m.settings.HalfLife)
}

// spread takes an owner's word that an adapter is too busy for one upstream.
func (m *Machine) spread(s SpreadMessage) {
	l := m.loader
	if l == nil || l.needs[s.Adapter] != nil {
		return
	}
	l.remember(Popular{Adapter: s.Adapter, Score: s.Score}, s.Pool, m.now)
	m.background(s.Adapter, s.Pool)
}

// background adds a need that no caller waits for.
func (m *Machine) background(a core.AdapterRef, pool string) {
	m.loader.needs[a] = &need{
		adapter: a, pool: pool, hosts: map[core.HostID]int{}, since: m.now, class: core.Overnight, spread: true,
	}
}

// prefetch brings the most popular absent adapter back while the whole budget
// is idle, as after an engine came back empty.
func (m *Machine) prefetch() {
	l := m.loader
	if m.now.Sub(l.pruned) >= pruneEvery {
		l.pruned = m.now
		m.pruneFame()
	}
	idle := len(l.needs) == 0 && len(l.transits) == 0 && l.tokens >= tokenBurst
	if !idle || m.now.Sub(l.prefetched) < prefetchEvery {
		return
	}
	l.prefetched = m.now
	if a, ok := m.mostFamous(); ok {
		m.note("prefetch", a.String())
		m.background(a, l.fame[a].pool)
		m.pumpLoader()
	}
}

func (m *Machine) mostFamous() (core.AdapterRef, bool) {
	var best core.AdapterRef
	top := prefetchLeast
	for a, f := range m.loader.fame {
		w := min(m.remembered(a), idleBound(m.now.Sub(f.last), m.settings.HalfLife))
		more := w > top || (w == top && compareRefs(a, best) < 0)
		if more && len(m.view.holders[a]) == 0 {
			best, top = a, w
		}
	}
	return best, best != (core.AdapterRef{})
}

func (m *Machine) pruneFame() {
	for a := range m.loader.fame {
		if m.remembered(a) < forgetBelow {
			delete(m.loader.fame, a)
		}
	}
}

// handoverFame is how many of the best remembered adapters a leaving loader
// hands over.
const handoverFame = 500

// famous is one remembered adapter in a hand-over.
type famous struct {
	Popular
	Pool string `cbor:"4,keyasint"`
}

// departingLoader stops acting as loader and returns what it remembers. What
// is wanted and in transit is stated anew to its successor.
func (m *Machine) departingLoader(now core.Instant) []byte {
	l := m.loader
	if l == nil {
		return nil
	}
	all := make([]famous, 0, len(l.fame))
	for a, f := range l.fame {
		score := core.Decay(f.score, now.Sub(f.at), m.settings.HalfLife)
		all = append(all, famous{Popular{Adapter: a, Score: score, Idle: now.Sub(f.last)}, f.pool})
	}
	slices.SortFunc(all, func(x, y famous) int {
		if c := cmp.Compare(y.Score, x.Score); c != 0 {
			return c
		}
		return compareRefs(x.Adapter, y.Adapter)
	})
	m.loader = nil
	b, err := cbor.Marshal(all[:min(len(all), handoverFame)])
	if err != nil {
		return nil
	}
	return b
}

// adoptFame takes up what a leaving loader remembered. Wrong or missing, it
// costs loads and breaks nothing.
func (m *Machine) adoptFame(state []byte) {
	var all []famous
	if cbor.Unmarshal(state, &all) != nil {
		return
	}
	for _, f := range all {
		if _, known := m.loader.fame[f.Adapter]; !known {
			m.loader.remember(f.Popular, f.Pool, m.now)
		}
	}
}
