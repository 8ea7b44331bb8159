package adapters

import (
	"math"
	"slices"
	"sort"
	"time"
)

// bound is a policy that knows what no real one can: it sends a request where
// its adapter is, loads on demand where the slot is worth least, and evicts
// what is worth least.
type bound struct {
	// spare rates an adapter: the higher, the sooner it may go.
	spare func(b *baseline, a int) time.Duration
}

// clairvoyant knows every use within the next hour (Belady).
var clairvoyant = bound{spare: (*baseline).next}

// informed knows the true popularity order at every moment but not the draws.
// With independent arrivals nothing without foresight loads less.
var informed = bound{spare: func(b *baseline, a int) time.Duration {
	return time.Duration(b.workload.rank(b.clock.now, a))
}}

func (p bound) engine(b *baseline, c *call) int {
	best := -1
	for e := range b.engines {
		has := b.engines[e].holds[c.adapter] || b.loading[e][c.adapter]
		if has && (best < 0 || b.load1(e) < b.load1(best)) {
			best = e
		}
	}
	if best >= 0 {
		return best
	}
	best, far := 0, time.Duration(-1)
	for e := range b.engines {
		at := p.slot(b, e)
		if at > far || (at == far && b.load1(e) < b.load1(best)) {
			best, far = e, at
		}
	}
	return best
}

// slot rates the slot that a load would take.
func (p bound) slot(b *baseline, e int) time.Duration {
	if len(b.engines[e].holds)+len(b.loading[e]) < b.slots {
		return math.MaxInt64
	}
	if len(b.blocked[e]) > 0 {
		return 0
	}
	v := p.victim(b, e)
	if v < 0 {
		return 0
	}
	return p.spare(b, v)
}

func (p bound) victim(b *baseline, e int) int {
	best, far := -1, time.Duration(-1)
	for _, a := range slices.Sorted(mapKeys(b.engines[e].holds)) {
		if s := p.spare(b, a); s > far && !b.pinned(e, a) {
			best, far = a, s
		}
	}
	return best
}

// next is the next use of an adapter.
func (b *baseline) next(a int) time.Duration {
	uses := b.upcoming[a]
	i := sort.Search(len(uses), func(i int) bool { return uses[i] > b.clock.now })
	if i == len(uses) || uses[i] > b.clock.now+time.Hour {
		return math.MaxInt64
	}
	return uses[i]
}
