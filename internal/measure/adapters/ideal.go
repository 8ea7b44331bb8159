package adapters

import (
	"math"
	"slices"
	"sort"
	"time"
)

// idealPolicy is a policy that uses data that no real policy has, to bound what
// any can reach. It sends a request to the least loaded engine that has or
// loads its adapter; else it loads the adapter where the evicted one is needed
// least.
type idealPolicy struct {
	// evictionRating rates an adapter for eviction: the highest is evicted
	// first.
	evictionRating func(b *baseline, a int) time.Duration
}

// clairvoyant evicts the adapter whose next use is farthest away, looking an
// hour ahead (Belady).
var clairvoyant = idealPolicy{evictionRating: (*baseline).nextUse}

// informed evicts the adapter that is least popular in the true current order.
// With independent arrivals, no policy without foresight loads less.
var informed = idealPolicy{evictionRating: func(b *baseline, a int) time.Duration {
	return time.Duration(b.workload.rank(b.clock.now, a))
}}

func (p idealPolicy) engine(b *baseline, c *call) int {
	best := -1
	for e := range b.engines {
		has := b.engines[e].loaded[c.adapter] || b.loading[e][c.adapter]
		if has && (best < 0 || b.pending(e) < b.pending(best)) {
			best = e
		}
	}
	if best >= 0 {
		return best
	}
	best, bestRating := 0, time.Duration(-1)
	for e := range b.engines {
		rating := p.slotRating(b, e)
		if rating > bestRating || (rating == bestRating && b.pending(e) < b.pending(best)) {
			best, bestRating = e, rating
		}
	}
	return best
}

// slotRating rates the slot that a load on an engine would use: the highest for
// a free one, 0 if loads wait already or no adapter can be evicted.
func (p idealPolicy) slotRating(b *baseline, e int) time.Duration {
	if len(b.engines[e].loaded)+len(b.loading[e]) < b.slots {
		return math.MaxInt64
	}
	if len(b.waitingForSlot[e]) > 0 {
		return 0
	}
	v := p.victim(b, e)
	if v < 0 {
		return 0
	}
	return p.evictionRating(b, v)
}

func (p idealPolicy) victim(b *baseline, e int) int {
	best, bestRating := -1, time.Duration(-1)
	for _, a := range slices.Sorted(intKeys(b.engines[e].loaded)) {
		if rating := p.evictionRating(b, a); rating > bestRating && !b.pinned(e, a) {
			best, bestRating = a, rating
		}
	}
	return best
}

// nextUse returns the time of an adapter's next use, or the maximum if there is
// none within an hour.
func (b *baseline) nextUse(a int) time.Duration {
	uses := b.upcoming[a]
	i := sort.Search(len(uses), func(i int) bool { return uses[i] > b.clock.now })
	if i == len(uses) || uses[i] > b.clock.now+time.Hour {
		return math.MaxInt64
	}
	return uses[i]
}
