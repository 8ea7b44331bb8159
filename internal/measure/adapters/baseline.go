package adapters

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// policy chooses engines and evictions of a baseline. Baselines use the current
// state of all engines and decide without delay.
type policy interface {
	engine(b *baseline, c *call) int
	victim(b *baseline, e int) int // an adapter to evict, or -1
}

// waiter is a request that waits for its adapter or for a place in the batch.
type waiter struct {
	call    *call
	stalled bool
	ready   time.Duration // time at which its adapter was loaded
}

// baseline is a fleet whose requests one policy assigns.
type baseline struct {
	workload       *workload
	clock          clock
	policy         policy
	engines        []*engine
	store          *weightStore
	slots          int
	lastUse        []map[int]time.Duration // last use of each adapter, by engine
	loading        []map[int]bool          // adapters that load or wait for a slot, by engine
	waiting        []map[int][]*waiter     // requests that wait for an adapter, by engine
	queue          [][]*waiter             // requests that wait for a place in the batch, by engine
	waitingForSlot [][]int                 // adapters that wait for a slot, by engine
	restarts       []int                   // restarts by engine; a load that spans one fails
	score          *score
	upcoming       map[int][]time.Duration // times of use of each adapter, in order
}

// runBaseline runs a trace through a policy.
func runBaseline(d deployment, slots int, w *workload, p policy) *score {
	b := &baseline{workload: w, policy: p, slots: slots, score: newScore(), upcoming: map[int][]time.Duration{}}
	b.store = &weightStore{clock: &b.clock, rate: d.storeRate}
	for i := range d.engines {
		b.engines = append(b.engines, newEngine(&b.clock, i))
		b.lastUse = append(b.lastUse, map[int]time.Duration{})
		b.loading = append(b.loading, map[int]bool{})
		b.waiting = append(b.waiting, map[int][]*waiter{})
	}
	b.queue = make([][]*waiter, d.engines)
	b.waitingForSlot = make([][]int, d.engines)
	b.restarts = make([]int, d.engines)
	for i := range w.calls {
		c := &w.calls[i]
		b.upcoming[c.adapter] = append(b.upcoming[c.adapter], c.at)
		b.clock.after(c.at, func() { b.arrive(c) })
	}
	b.clock.after(restartAt, func() { b.restart(restartedEngine) })
	b.clock.after(halfRateFrom, func() { b.store.accrue(); b.store.rate = d.storeRate / 2 })
	b.clock.after(halfRateUntil, func() { b.store.accrue(); b.store.rate = d.storeRate })
	before := 0
	b.clock.after(warmUp, func() { before = b.store.loads })
	b.clock.runUntil(runTime)
	b.score.collect(b.engines, b.store, before)
	return b.score
}

func (b *baseline) arrive(c *call) {
	e := b.policy.engine(b, c)
	w := &waiter{call: c, ready: c.at}
	b.lastUse[e][c.adapter] = b.clock.now
	if b.engines[e].loaded[c.adapter] {
		b.queue[e] = append(b.queue[e], w)
		b.startQueued(e)
		return
	}
	w.stalled = true
	b.waiting[e][c.adapter] = append(b.waiting[e][c.adapter], w)
	b.clock.after(requestTimeout, func() { b.refuse(e, w) })
	if !b.loading[e][c.adapter] {
		b.loading[e][c.adapter] = true
		b.waitingForSlot[e] = append(b.waitingForSlot[e], c.adapter)
		b.startLoads(e)
	}
}

func (b *baseline) refuse(e int, w *waiter) {
	list := b.waiting[e][w.call.adapter]
	if i := slices.Index(list, w); i >= 0 {
		b.waiting[e][w.call.adapter] = slices.Delete(list, i, i+1)
		b.score.recordRefused(w.call, b.clock.now)
	}
}

// startLoads starts the loads that wait for a slot and evicts adapters for them.
func (b *baseline) startLoads(e int) {
	for len(b.waitingForSlot[e]) > 0 {
		inProgress := len(b.loading[e]) - len(b.waitingForSlot[e])
		if len(b.engines[e].loaded)+inProgress >= b.slots {
			evicted := b.policy.victim(b, e)
			if evicted < 0 {
				return
			}
			delete(b.engines[e].loaded, evicted)
		}
		a := b.waitingForSlot[e][0]
		b.waitingForSlot[e] = b.waitingForSlot[e][1:]
		generation := b.restarts[e]
		b.store.load(func() { b.loadDone(e, a, generation) })
	}
}

func (b *baseline) loadDone(e, a, generation int) {
	if generation != b.restarts[e] {
		return
	}
	delete(b.loading[e], a)
	b.engines[e].loaded[a] = true
	for _, w := range b.waiting[e][a] {
		w.ready = b.clock.now
		b.queue[e] = append(b.queue[e], w)
	}
	delete(b.waiting[e], a)
	b.startQueued(e)
	b.startLoads(e)
}

func (b *baseline) startQueued(e int) {
	for len(b.queue[e]) > 0 && len(b.engines[e].batch) < batchSize {
		w := b.queue[e][0]
		b.queue[e] = b.queue[e][1:]
		b.score.recordServed(w.call, b.clock.now+linkDelay, w.stalled, w.ready-w.call.at)
		ok := b.engines[e].start(w.call.adapter, w.call.tokens, func(ok bool) {
			if !ok {
				b.score.aborted++
			}
			b.clock.after(0, func() { b.startQueued(e); b.startLoads(e) })
		})
		if !ok {
			b.score.faults++
		}
	}
}

// restart restarts an engine and assigns the requests that wait there again.
func (b *baseline) restart(e int) {
	b.restarts[e]++
	b.engines[e].restart()
	requeued := b.queue[e]
	for _, a := range slices.Sorted(intKeys(b.waiting[e])) {
		requeued = append(requeued, b.waiting[e][a]...)
	}
	b.queue[e], b.waitingForSlot[e] = nil, nil
	b.waiting[e], b.loading[e] = map[int][]*waiter{}, map[int]bool{}
	for _, w := range requeued {
		b.arrive(w.call)
	}
}

// pinned reports whether an adapter runs a request or has one queued.
func (b *baseline) pinned(e, a int) bool {
	return b.engines[e].running[a] > 0 || slices.ContainsFunc(b.queue[e], func(w *waiter) bool { return w.call.adapter == a })
}

// pending returns the number of requests that run or wait on an engine.
func (b *baseline) pending(e int) int {
	n := len(b.engines[e].batch) + len(b.queue[e])
	for _, list := range b.waiting[e] {
		n += len(list)
	}
	return n
}

// leastUsed returns the least recently used adapter that is not pinned, or -1.
func (b *baseline) leastUsed(e int) int {
	best := -1
	for _, a := range slices.Sorted(intKeys(b.engines[e].loaded)) {
		if !b.pinned(e, a) && (best < 0 || b.lastUse[e][a] < b.lastUse[e][best]) {
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
		if b.pending(e) < b.pending(best) {
			best = e
		}
	}
	return best
}

func (leastLoaded) victim(b *baseline, e int) int { return b.leastUsed(e) }

// consistentHash sends all requests of an adapter to one engine, by rendezvous
// hash.
type consistentHash struct{}

func (consistentHash) engine(b *baseline, c *call) int {
	best, top := 0, uint64(0)
	for e := range b.engines {
		if s := core.Score(core.HostID(strconv.Itoa(e)), 0, strconv.Itoa(c.adapter)); s > top {
			best, top = e, s
		}
	}
	return best
}

func (consistentHash) victim(b *baseline, e int) int { return b.leastUsed(e) }
