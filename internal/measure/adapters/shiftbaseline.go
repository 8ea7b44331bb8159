package adapters

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// streamPolicy chooses the engine of a request and whether the adapter is to be loaded on a further
// one. Baselines use the current state of all engines and decide without delay.
type streamPolicy interface {
	engine(b *streamBaseline, c *streamCall) int
	copyTo(b *streamBaseline, c *streamCall, chosen int) int // an engine, or -1
}

// streamBaseline is a fleet of engines that stream, whose requests one policy assigns.
type streamBaseline struct {
	clock    clock
	rng      *core.Rand
	policy   streamPolicy
	engines  []*streamEngine
	waiting  []map[int][]*streamRun  // requests that wait for an adapter, by engine
	lastUse  []map[int]time.Duration // of each adapter, by engine
	transits int
	score    *shiftScore
	copied   map[int]time.Duration // when a copy of an adapter was last loaded
}

// runStreamBaseline runs a trace through a policy.
func runStreamBaseline(trace []streamCall, p streamPolicy, seed uint64) *shiftScore {
	b := &streamBaseline{rng: core.NewRand(seed), policy: p, score: &shiftScore{}, copied: map[int]time.Duration{}}
	b.engines = newStreamEngines(&b.clock, trace)
	for range b.engines {
		b.waiting = append(b.waiting, map[int][]*streamRun{})
		b.lastUse = append(b.lastUse, map[int]time.Duration{})
	}
	calls := slices.Clone(trace)
	for i := range calls {
		c := &calls[i]
		b.clock.after(c.at, func() { b.arrive(c) })
	}
	b.score.run(&b.clock, b.engines, calls)
	return b.score
}

func (b *streamBaseline) arrive(c *streamCall) {
	i := b.policy.engine(b, c)
	e := b.engines[i]
	b.lastUse[i][c.adapter] = b.clock.now
	r := &streamRun{call: c, unread: c.prompt}
	r.first = func() { c.first = b.clock.now - c.at }
	r.done = func(bool) { c.largestGap = r.events.LargestGap }
	if other := b.policy.copyTo(b, c, i); other >= 0 {
		b.copied[c.adapter] = b.clock.now
		b.load(other, c.adapter)
	}
	if e.loaded[c.adapter] {
		e.start(r)
		return
	}
	b.waiting[i][c.adapter] = append(b.waiting[i][c.adapter], r)
	b.load(i, c.adapter)
}

// load loads an adapter, in the place of the least recently used one that no request uses. Where all
// are in use, it tries again.
func (b *streamBaseline) load(i, a int) {
	const retryInterval = 20 * time.Millisecond
	e := b.engines[i]
	if e.loaded[a] || e.transits[a] {
		return
	}
	if len(e.loaded)+len(e.transits) >= streamSlots {
		victim := b.leastUsed(i)
		if victim < 0 {
			b.clock.after(retryInterval, func() { b.load(i, a) })
			return
		}
		delete(e.loaded, victim)
	}
	b.score.loads++
	e.transits[a] = true
	b.transits++
	slowed := max(1, float64(b.transits)/transitsAtFull)
	d := time.Duration(float64(adapterFetchTime) * slowed)
	if e.copies[a] {
		d = adapterCopyTime
	}
	b.clock.after(d, func() { b.loaded(i, a) })
}

func (b *streamBaseline) loaded(i, a int) {
	e := b.engines[i]
	b.transits--
	delete(e.transits, a)
	e.loaded[a], e.copies[a] = true, true
	for _, r := range b.waiting[i][a] {
		e.start(r)
	}
	delete(b.waiting[i], a)
}

func (b *streamBaseline) leastUsed(i int) int {
	best := -1
	for _, a := range slices.Sorted(intKeys(b.engines[i].loaded)) {
		if !b.engines[i].uses(a) && (best < 0 || b.lastUse[i][a] < b.lastUse[i][best]) {
			best = a
		}
	}
	return best
}

// requests is the number of requests that run or wait at an engine.
func (b *streamBaseline) requests(i int) int {
	n := len(b.engines[i].running)
	for _, list := range b.waiting[i] {
		n += len(list)
	}
	return n
}

// emptiest returns the engine with the fewest requests among those that suit, -1 if none does.
func (b *streamBaseline) emptiest(suits func(i int) bool) int {
	best, fewest := -1, 0
	for i := range b.engines {
		if !suits(i) {
			continue
		}
		if n := b.requests(i); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	return best
}

// noCopies is the part of policies that load an adapter only where a request waits for it.
type noCopies struct{}

func (noCopies) copyTo(*streamBaseline, *streamCall, int) int { return -1 }

// leastOccupied sends each request to the engine with the fewest requests.
type leastOccupied struct{ noCopies }

func (leastOccupied) engine(b *streamBaseline, _ *streamCall) int {
	return b.emptiest(func(int) bool { return true })
}

// twoChoices sends each request to the emptier one of two random engines that have its adapter, or
// of two random ones if fewer have it.
type twoChoices struct{ noCopies }

func (twoChoices) engine(b *streamBaseline, c *streamCall) int {
	var from []int
	for i, e := range b.engines {
		if e.loaded[c.adapter] || e.transits[c.adapter] {
			from = append(from, i)
		}
	}
	pick := func() int {
		if len(from) > 1 {
			return from[b.rng.IntN(len(from))]
		}
		return b.rng.IntN(len(b.engines))
	}
	first, second := pick(), pick()
	if b.requests(second) < b.requests(first) {
		return second
	}
	return first
}

// boundedHash sends each request to the first engine in its adapter's order (rendezvous hashing)
// whose load is within a factor of the mean.
type boundedHash struct{ noCopies }

func (boundedHash) engine(b *streamBaseline, c *streamCall) int {
	const bound = 1.25
	sum := 0
	for i := range b.engines {
		sum += b.requests(i)
	}
	limit := bound * float64(sum+1) / float64(len(b.engines))
	best, top := -1, uint64(0)
	for i := range b.engines {
		if s := core.Score(core.HostID(strconv.Itoa(i)), 0, strconv.Itoa(c.adapter)); s > top && float64(b.requests(i)) < limit {
			best, top = i, s
		}
	}
	return max(best, 0)
}

// formerChoice is the choice of build 48aacaf with full knowledge: the least occupied places and
// queued prompts among the engines that have the adapter, and one more copy a second from an
// occupancy of 0.6.
type formerChoice struct{}

func (formerChoice) engine(b *streamBaseline, c *streamCall) int {
	best, lowest := -1, 0.0
	for i, e := range b.engines {
		if !e.loaded[c.adapter] && !e.transits[c.adapter] {
			continue
		}
		queued := c.prompt
		for _, r := range e.running {
			queued += r.unread
		}
		cost := float64(b.requests(i)+1)/streamPlaces + float64(queued)/readSpeed/shiftObjective.Seconds()
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return b.emptiest(func(i int) bool { return len(b.engines[i].loaded) < streamSlots || b.leastUsed(i) >= 0 })
	}
	return best
}

func (formerChoice) copyTo(b *streamBaseline, c *streamCall, chosen int) int {
	const threshold, interval = 0.6, time.Second
	busy := float64(b.requests(chosen)) / streamPlaces
	if last, ok := b.copied[c.adapter]; busy < threshold || ok && b.clock.now-last < interval {
		return -1
	}
	return b.emptiest(func(i int) bool { return i != chosen && !b.engines[i].loaded[c.adapter] })
}
