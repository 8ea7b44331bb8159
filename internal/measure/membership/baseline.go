package membership

import (
	"time"

	"gentiancroft/internal/core"
)

// The two baselines are small models on the same latencies, sizes and slow
// link; they pay for nothing but the changes themselves.

// headBytes is the size of a head that names every chunk.
const headBytes = chunkCount*68 + 100

// baseline is the fleet of a baseline: places only.
type baseline struct {
	f     *Fleet
	hosts []*Host
	bytes []int
	link  []core.Instant // the slow host's link is busy until
	p     *progress
	out   forced
}

func newBaseline(seed uint64, n int) *baseline {
	b := &baseline{f: NewFleet(seed), bytes: make([]int, n), link: make([]core.Instant, n)}
	places := Places(domainsFor(n))
	for i := range n {
		id := core.HostID(rune('a'+i%26)) + core.HostID(rune('0'+i/26%10)) + core.HostID(rune('0'+i/260))
		b.hosts = append(b.hosts, &Host{Member: core.Member{Host: id, Domain: places[i%len(places)].Domain, Region: places[i%len(places)].Region}})
		b.f.Order = append(b.f.Order, id)
	}
	slow := b.hosts[n-1].Member.Host
	b.p = &progress{accepted: map[uint64]core.Instant{}, reached: map[core.HostID]uint64{}, out: &b.out, slow: slow}
	return b
}

// transfer is how long a payload takes from one host to another (-1: the
// store, in r1).
func (b *baseline) transfer(from, to, size int) time.Duration {
	h := b.hosts[to]
	var d time.Duration
	switch {
	case from >= 0:
		d = b.f.latency(b.hosts[from], h, size)
	case h.Member.Region == "r1":
		d = storeServes
	default:
		d = storeServes + betweenRegion
	}
	if h.Member.Host == b.p.slow {
		took := time.Duration(size) * time.Second / slowBytes
		b.link[to] = max(b.link[to], b.f.Now).Add(took)
		d += b.link[to].Sub(b.f.Now)
	}
	b.bytes[to] += size
	if from >= 0 {
		b.bytes[from] += size
	}
	return d
}

func (b *baseline) finish(n int) forced {
	b.f.Run(drainFor)
	b.p.finish(b.f.Now, b.f.Order, changes)
	total, most := 0, 0
	for _, x := range b.bytes {
		total, most = total+x, max(most, x)
	}
	b.out.perHost, b.out.busiest = float64(total)/float64(n)/changes, float64(most)/changes
	return b.out
}

// eachWatching has every host watch the store and read what changed. The store
// answers its stated rate of reads.
func eachWatching(seed uint64, n int) forced {
	b := newBaseline(seed, n)
	var busy core.Instant
	calls := 0
	for v := uint64(1); v <= changes; v++ {
		b.p.accepted[v] = b.f.Now
		for i := range n {
			calls += 2 // the watch's answer and the chunk
			busy = max(busy, b.f.Now).Add(2 * storeAnswers)
			wait := busy.Sub(b.f.Now)
			d := b.transfer(-1, i, headBytes+chunkBytes)
			id := b.hosts[i].Member.Host
			b.f.After(wait+2*d, func() { b.p.reach(b.f.Now, id, v) })
		}
		b.f.Run(changeEvery)
	}
	b.out.calls = float64(calls) / (changes * changeEvery).Seconds()
	return b.finish(n)
}

// coupledRelay has hosts store and forward over a tree of the same fan-out.
// A host takes the next change once all its children have taken the last one:
// the back-pressure of bounded buffers.
func coupledRelay(seed uint64, n int) forced {
	b := newBaseline(seed, n)
	const fanOut = 4
	taken := make([]uint64, n)  // versions that a host has received
	passed := make([]uint64, n) // versions that all its children have
	var pass func(i int)
	receive := func(i int, v uint64) {
		taken[i] = v
		b.p.reach(b.f.Now, b.hosts[i].Member.Host, v)
		pass(i)
	}
	var offered uint64
	pass = func(i int) {
		v := passed[i] + 1
		if v > taken[i] {
			return
		}
		left := 0
		done := func() {
			left--
			if left > 0 {
				return
			}
			passed[i] = v
			if i == 0 && passed[0] < offered {
				receive(0, passed[0]+1)
				return
			}
			if i > 0 {
				return
			}
		}
		for c := i*fanOut + 1; c <= i*fanOut+fanOut && c < n; c++ {
			left++
			b.f.After(b.transfer(i, c, headBytes+chunkBytes), func() {
				receive(c, v)
				b.ready(c, passed, v, done)
			})
		}
		if left == 0 {
			left = 1
			done()
		}
	}
	for v := uint64(1); v <= changes; v++ {
		b.p.accepted[v] = b.f.Now
		offered = v
		if passed[0] == v-1 && taken[0] == v-1 {
			receive(0, v)
		}
		b.f.Run(changeEvery)
	}
	const watchers = 1
	b.out.calls = watchers * 2 / changeEvery.Seconds()
	return b.finish(n)
}

// ready waits until a child has passed a version on and so takes the next.
func (b *baseline) ready(c int, passed []uint64, v uint64, done func()) {
	const poll = 5 * time.Millisecond
	if passed[c] >= v {
		done()
		return
	}
	b.f.After(poll, func() { b.ready(c, passed, v, done) })
}
