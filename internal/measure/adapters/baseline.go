package adapters

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// policy is how a baseline chooses an engine and a victim. Baselines see every
// engine without lag and decide in no time.
type policy interface {
	engine(b *baseline, c *call) int
	victim(b *baseline, e int) int // an adapter, or -1
}

// waiter is a request that waits for its adapter or for a batch place.
type waiter struct {
	call    *call
	stalled bool
	ready   time.Duration // when its adapter was there
}

// baseline is a fleet under a policy with one view of everything.
type baseline struct {
	workload *workload
	clock    clock
	policy   policy
	engines  []*engine
	store    *store
	slots    int
	used     []map[int]time.Duration // last use of each adapter, by engine
	loading  []map[int]bool
	waiting  []map[int][]*waiter // for an adapter, by engine
	queue    [][]*waiter         // for a batch place
	blocked  [][]int             // adapters that wait for a free slot
	ended    []int               // generation, to drop loads across a restart
	score    *score
	upcoming map[int][]time.Duration // every use of an adapter, in order
}

// runBaseline plays a trace through a policy.
func runBaseline(d deployment, slots int, w *workload, p policy) *score {
	b := &baseline{workload: w, policy: p, slots: slots, score: newScore(), upcoming: map[int][]time.Duration{}}
	b.store = &store{clock: &b.clock, rate: d.storeRate}
	for i := range d.engines {
		b.engines = append(b.engines, newEngine(&b.clock, i))
		b.used = append(b.used, map[int]time.Duration{})
		b.loading = append(b.loading, map[int]bool{})
		b.waiting = append(b.waiting, map[int][]*waiter{})
	}
	b.queue = make([][]*waiter, d.engines)
	b.blocked = make([][]int, d.engines)
	b.ended = make([]int, d.engines)
	for i := range w.calls {
		c := &w.calls[i]
		b.upcoming[c.adapter] = append(b.upcoming[c.adapter], c.at)
		b.clock.after(c.at, func() { b.arrive(c) })
	}
	b.clock.after(restartAt, func() { b.restart(restarted) })
	b.clock.after(halfRateAt, func() { b.store.accrue(); b.store.rate = d.storeRate / 2 })
	b.clock.after(halfRateEnd, func() { b.store.accrue(); b.store.rate = d.storeRate })
	before := 0
	b.clock.after(warmUp, func() { before = b.store.loads })
	b.clock.runUntil(runTime)
	b.score.collect(b.engines, b.store, before)
	return b.score
}

func (b *baseline) arrive(c *call) {
	e := b.policy.engine(b, c)
	w := &waiter{call: c, ready: c.at}
	b.used[e][c.adapter] = b.clock.now
	if b.engines[e].holds[c.adapter] {
		b.queue[e] = append(b.queue[e], w)
		b.pump(e)
		return
	}
	w.stalled = true
	b.waiting[e][c.adapter] = append(b.waiting[e][c.adapter], w)
	b.clock.after(patience, func() { b.giveUp(e, w) })
	if !b.loading[e][c.adapter] {
		b.loading[e][c.adapter] = true
		b.blocked[e] = append(b.blocked[e], c.adapter)
		b.load(e)
	}
}

func (b *baseline) giveUp(e int, w *waiter) {
	list := b.waiting[e][w.call.adapter]
	if i := slices.Index(list, w); i >= 0 {
		b.waiting[e][w.call.adapter] = slices.Delete(list, i, i+1)
		b.score.gaveUp(w.call, b.clock.now)
	}
}

// load starts what waits for a slot, evicting as the policy says.
func (b *baseline) load(e int) {
	for len(b.blocked[e]) > 0 {
		under := len(b.loading[e]) - len(b.blocked[e])
		if len(b.engines[e].holds)+under >= b.slots {
			v := b.policy.victim(b, e)
			if v < 0 {
				return
			}
			delete(b.engines[e].holds, v)
		}
		a := b.blocked[e][0]
		b.blocked[e] = b.blocked[e][1:]
		generation := b.ended[e]
		b.store.load(func() { b.loaded(e, a, generation) })
	}
}

func (b *baseline) loaded(e, a, generation int) {
	if generation != b.ended[e] {
		return
	}
	delete(b.loading[e], a)
	b.engines[e].holds[a] = true
	for _, w := range b.waiting[e][a] {
		w.ready = b.clock.now
		b.queue[e] = append(b.queue[e], w)
	}
	delete(b.waiting[e], a)
	b.pump(e)
	b.load(e)
}

func (b *baseline) pump(e int) {
	for len(b.queue[e]) > 0 && len(b.engines[e].batch) < batchPlaces {
		w := b.queue[e][0]
		b.queue[e] = b.queue[e][1:]
		b.score.served(w.call, b.clock.now+linkTime, w.stalled, w.ready-w.call.at)
		ok := b.engines[e].start(w.call.adapter, w.call.tokens, func(ok bool) {
			if !ok {
				b.score.cut++
			}
			b.clock.after(0, func() { b.pump(e); b.load(e) })
		})
		if !ok {
			b.score.faults++
		}
	}
}

// restart loses what the engine holds and runs; what waits asks again.
func (b *baseline) restart(e int) {
	b.ended[e]++
	b.engines[e].restart()
	again := b.queue[e]
	for _, a := range slices.Sorted(mapKeys(b.waiting[e])) {
		again = append(again, b.waiting[e][a]...)
	}
	b.queue[e], b.blocked[e] = nil, nil
	b.waiting[e], b.loading[e] = map[int][]*waiter{}, map[int]bool{}
	for _, w := range again {
		b.arrive(w.call)
	}
}

// pinned reports whether an adapter serves or is about to.
func (b *baseline) pinned(e, a int) bool {
	return b.engines[e].running[a] > 0 || slices.ContainsFunc(b.queue[e], func(w *waiter) bool { return w.call.adapter == a })
}

func (b *baseline) load1(e int) int {
	n := len(b.engines[e].batch) + len(b.queue[e])
	for _, list := range b.waiting[e] {
		n += len(list)
	}
	return n
}

// leastUsed is the adapter that was used longest ago and may go.
func (b *baseline) leastUsed(e int) int {
	best := -1
	for _, a := range slices.Sorted(mapKeys(b.engines[e].holds)) {
		if !b.pinned(e, a) && (best < 0 || b.used[e][a] < b.used[e][best]) {
			best = a
		}
	}
	return best
}

// leastLoaded sends each request to the least loaded engine.
type leastLoaded struct{}

func (leastLoaded) engine(b *baseline, _ *call) int {
	best := 0
	for e := range b.engines {
		if b.load1(e) < b.load1(best) {
			best = e
		}
	}
	return best
}

func (leastLoaded) victim(b *baseline, e int) int { return b.leastUsed(e) }

// hashed sends each adapter to an engine of its own by rendezvous hash.
type hashed struct{}

func (hashed) engine(b *baseline, c *call) int {
	best, top := 0, uint64(0)
	for e := range b.engines {
		if s := core.Score(core.HostID(strconv.Itoa(e)), 0, strconv.Itoa(c.adapter)); s > top {
			best, top = e, s
		}
	}
	return best
}

func (hashed) victim(b *baseline, e int) int { return b.leastUsed(e) }
