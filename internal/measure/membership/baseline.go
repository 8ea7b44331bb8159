package membership

import (
	"time"

	"gentiancroft/internal/core"
)

// The two baselines are small models with the same latencies, sizes and slow
// link. Their figures cover only the changes themselves, no other traffic.

// headBytes is the size of a configuration head, which names every chunk.
const headBytes = chunkCount*68 + 100

// baselineFleet is a fleet of hosts without machines.
type baselineFleet struct {
	fleet         *Fleet
	hosts         []*Host
	bytes         []int          // received and sent, by host
	linkBusyUntil []core.Instant // time until which a host's link is busy, used for the slow host
	progress      *rolloutProgress
	result        rollout
}

func newBaseline(seed uint64, n int) *baselineFleet {
	b := &baselineFleet{fleet: NewFleet(seed), bytes: make([]int, n), linkBusyUntil: make([]core.Instant, n)}
	places := Places(domainCount(n))
	for i := range n {
		id := core.HostID(rune('a'+i%26)) + core.HostID(rune('0'+i/26%10)) + core.HostID(rune('0'+i/260))
		b.hosts = append(b.hosts, &Host{Member: core.Member{Host: id, Domain: places[i%len(places)].Domain, Region: places[i%len(places)].Region}})
		b.fleet.HostOrder = append(b.fleet.HostOrder, id)
	}
	slow := b.hosts[n-1].Member.Host
	b.progress = &rolloutProgress{accepted: map[uint64]core.Instant{}, reached: map[core.HostID]uint64{}, result: &b.result, slow: slow}
	return b
}

// transfer returns the time that a payload takes from one host (-1: from the
// store, in region r1) to another, and counts its bytes.
func (b *baselineFleet) transfer(from, to, size int) time.Duration {
	h := b.hosts[to]
	var d time.Duration
	switch {
	case from >= 0:
		d = b.fleet.linkDelay(b.hosts[from], h, size)
	case h.Member.Region == "r1":
		d = storeServiceTime
	default:
		d = storeServiceTime + crossRegionDelay
	}
	if h.Member.Host == b.progress.slow {
		took := time.Duration(size) * time.Second / slowLinkBytesPerSecond
		b.linkBusyUntil[to] = max(b.linkBusyUntil[to], b.fleet.Now).Add(took)
		d += b.linkBusyUntil[to].Sub(b.fleet.Now)
	}
	b.bytes[to] += size
	if from >= 0 {
		b.bytes[from] += size
	}
	return d
}

func (b *baselineFleet) finish(n int) rollout {
	b.fleet.Run(rolloutTimeout)
	b.progress.recordRemaining(b.fleet.Now, b.fleet.HostOrder, changes)
	total, busiest := 0, 0
	for _, x := range b.bytes {
		total, busiest = total+x, max(busiest, x)
	}
	b.result.bytesPerHost, b.result.maxBytesPerHost = float64(total)/float64(n)/changes, float64(busiest)/changes
	return b.result
}

// runWatchingHosts models hosts that each watch the store and read the changes.
// The store serves storeReads per second.
func runWatchingHosts(seed uint64, n int) rollout {
	b := newBaseline(seed, n)
	var storeBusyUntil core.Instant
	calls := 0
	for v := uint64(1); v <= changes; v++ {
		b.progress.accepted[v] = b.fleet.Now
		for i := range n {
			calls += 2 // one for the watch, one for the chunk
			storeBusyUntil = max(storeBusyUntil, b.fleet.Now).Add(2 * storeReadInterval)
			wait := storeBusyUntil.Sub(b.fleet.Now)
			d := b.transfer(-1, i, headBytes+chunkBytes)
			id := b.hosts[i].Member.Host
			b.fleet.After(wait+2*d, func() { b.progress.record(b.fleet.Now, id, v) })
		}
		b.fleet.Run(changeInterval)
	}
	b.result.callsPerSecond = float64(calls) / (changes * changeInterval).Seconds()
	return b.finish(n)
}

// runCoupledRelay models hosts that store and forward over a tree of the feed's
// fan-out. A host receives the next change once all its children have passed on
// the last one: the back-pressure of bounded buffers.
func runCoupledRelay(seed uint64, n int) rollout {
	b := newBaseline(seed, n)
	const fanOut = 4
	received := make([]uint64, n)  // latest version that a host has received
	forwarded := make([]uint64, n) // latest version that all its children have forwarded
	var forward func(i int)
	receive := func(i int, v uint64) {
		received[i] = v
		b.progress.record(b.fleet.Now, b.hosts[i].Member.Host, v)
		forward(i)
	}
	var latest uint64 // latest version at the root
	forward = func(i int) {
		v := forwarded[i] + 1
		if v > received[i] {
			return
		}
		pending := 0
		done := func() {
			pending--
			if pending > 0 {
				return
			}
			forwarded[i] = v
			if i == 0 && forwarded[0] < latest {
				receive(0, forwarded[0]+1)
				return
			}
			if i > 0 {
				return
			}
		}
		for c := i*fanOut + 1; c <= i*fanOut+fanOut && c < n; c++ {
			pending++
			b.fleet.After(b.transfer(i, c, headBytes+chunkBytes), func() {
				receive(c, v)
				b.awaitForwarded(c, forwarded, v, done)
			})
		}
		if pending == 0 {
			pending = 1
			done()
		}
	}
	for v := uint64(1); v <= changes; v++ {
		b.progress.accepted[v] = b.fleet.Now
		latest = v
		if forwarded[0] == v-1 && received[0] == v-1 {
			receive(0, v)
		}
		b.fleet.Run(changeInterval)
	}
	const watchers = 1
	b.result.callsPerSecond = watchers * 2 / changeInterval.Seconds()
	return b.finish(n)
}

// awaitForwarded calls done once a child has passed on a version, and so can
// receive the next.
func (b *baselineFleet) awaitForwarded(c int, forwarded []uint64, v uint64, done func()) {
	const poll = 5 * time.Millisecond
	if forwarded[c] >= v {
		done()
		return
	}
	b.fleet.After(poll, func() { b.awaitForwarded(c, forwarded, v, done) })
}
