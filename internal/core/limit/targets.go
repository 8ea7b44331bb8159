package limit

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Constants of how a limit is divided.
const (
	minRequestsPerShare = 2  // a share's burst should hold this many of the largest requests
	poolDivisor         = 16 // the owner's weight is at least 1/poolDivisor of all demand, for loans
	hysteresis          = 8  // a share changes by more than 1/hysteresis or not at all
	fillTime            = 20 * time.Second
)

// candidate is a host that may get a part of the limit.
type candidate struct {
	host   core.HostID
	weight int64 // tokens per second that it needs
	rank   int64 // demand, doubled for the host that holds most of the burst
}

// candidates returns the hosts that get a part, by demand: no more than leave each
// one a burst of minRequestsPerShare of the largest requests.
func (m *Machine) candidates(now core.Instant, led *ledger) []candidate {
	h := m.holderOf(now, led.workspace)
	own := int64(h.demand.updateRate(now))
	lent := int64(led.loanDemand.updateRate(now))
	led.loanDemand.decayLargest(now, m.settings.RenewInterval)
	h.demand.decayLargest(now, m.settings.RenewInterval)
	largest := max(h.demand.largest, led.loanDemand.largest)
	all := make([]candidate, 0, len(led.entries)+1)
	total := own + lent
	for _, e := range led.entries {
		largest = max(largest, e.largest)
		total += int64(e.demand)
	}
	base := m.baseWeight(led)
	for _, e := range led.entries {
		if base == 0 && e.demand == 0 && e.burst == 0 {
			continue
		}
		all = append(all, led.newCandidate(e.host, base, int64(e.demand), e.burst, e.estimatedLevel(now)))
	}
	self := led.newCandidate(m.settings.Self, base, own, led.pool.burst, led.pool.level)
	self.weight = max(self.weight+lent, total/poolDivisor+1)
	all = append(all, self)
	slices.SortFunc(all, func(x, y candidate) int {
		if c := cmp.Compare(y.rank, x.rank); c != 0 {
			return c
		}
		return cmp.Compare(x.host, y.host)
	})
	n := int64(led.limit.Burst) / (minRequestsPerShare * max(int64(largest), 1))
	return dropUnusable(led.limit, all[:min(max(n, 1), int64(len(all)))], largest)
}

// dropUnusable removes candidates, the last first, whose part could not hold one
// request: no request could use its tokens.
func dropUnusable(l Limit, all []candidate, largest core.Tokens) []candidate {
	total := int64(0)
	for _, p := range all {
		total += p.weight
	}
	for i := len(all) - 1; i > 0; i-- {
		if mulDiv(int64(l.Burst), all[i].weight, max(total, 1)) < int64(largest) {
			total -= all[i].weight
			all = slices.Delete(all, i, i+1)
		}
	}
	return all
}

// baseWeight returns a host's weight without any demand, so that each holds a part
// when it takes over for another host or during a store outage.
func (m *Machine) baseWeight(led *ledger) int64 {
	if m.settings.EvenDivisor < 0 {
		return 0
	}
	return int64(led.limit.Rate)/int64(m.settings.EvenDivisor*(len(led.entries)+1)) + 1
}

// newCandidate weighs a host by its demand and by the rate that would fill the
// missing level in fillTime. A host that holds most of the burst is outranked only
// by one with twice its demand.
func (led *ledger) newCandidate(host core.HostID, base, demand int64, burst, level nanotokens) candidate {
	missing := int64(max(burst-max(level, 0), 0)) / nanotokensPerToken / int64(fillTime/time.Second)
	p := candidate{host, max(base, 1) + demand + missing, demand + 1}
	if burst > toNanotokens(led.limit.Burst)/2 {
		p.rank *= 2
	}
	return p
}

// assignShare computes and records what a holder is to have from now on. A share
// that is not acknowledged stays as it is.
func (m *Machine) assignShare(now core.Instant, led *ledger, e *entry) {
	if e.unacknowledged {
		return
	}
	rate, burst := m.targetShare(now, led, e)
	target := rate
	rate = min(rate, e.rate+led.pool.rate)
	burst = min(burst, e.burst+led.pool.maxLevel())
	if !led.frozen && withinHysteresis(int64(rate), int64(e.rate)) && withinHysteresis(int64(burst), int64(e.burst)) {
		e.targetRate, e.targetBurst = e.rate, e.burst
		return
	}
	led.lastSeq++
	e.seq, e.unacknowledged, e.addedLevel = led.lastSeq, true, 0
	e.targetRate, e.targetBurst = rate, burst
	if target > rate+rate/hysteresis {
		led.starved = union(led.starved, []core.HostID{e.host})
	}
	growRate, growBurst := max(rate-e.rate, 0), max(burst-e.burst, 0)
	if growRate > 0 || growBurst > 0 {
		e.addedLevel = led.pool.shrink(now, led.pool.rate-growRate, led.pool.burst-growBurst) // debited before it is sent
		e.level += e.addedLevel
	}
	e.rate += growRate
	e.burst += growBurst
}

// targetShare returns a holder's part of the limit. A frozen owner grants its whole
// pool, since it must not spend it.
func (m *Machine) targetShare(now core.Instant, led *ledger, e *entry) (microtokenRate, nanotokens) {
	led.pool.advance(now)
	if led.frozen {
		return e.rate + led.pool.rate, e.burst + led.pool.maxLevel()
	}
	return shareOf(led.limit, m.candidates(now, led), e.host)
}

// shareOf returns a host's part of a limit that is divided by weight.
func shareOf(l Limit, all []candidate, host core.HostID) (microtokenRate, nanotokens) {
	total, weight := int64(0), int64(0)
	for _, p := range all {
		total += p.weight
		if p.host == host {
			weight = p.weight
		}
	}
	total = max(total, 1)
	rate := mulDiv(int64(toMicrotokenRate(l.Rate)), weight, total)
	burst := mulDiv(int64(toNanotokens(l.Burst)), weight, total)
	return microtokenRate(rate), nanotokens(burst)
}

// withinHysteresis reports whether a change from old to next is too small to be made.
func withinHysteresis(next, old int64) bool {
	if next == 0 || old == 0 {
		return next == old
	}
	return max(next-old, old-next) <= old/hysteresis
}

// overAllocated returns the hosts whose share is to shrink.
func (m *Machine) overAllocated(now core.Instant, led *ledger) []core.HostID {
	all := m.candidates(now, led)
	var out []core.HostID
	for _, e := range led.entries {
		rate, _ := shareOf(led.limit, all, e.host)
		if rate < e.rate && !withinHysteresis(int64(rate), int64(e.rate)) {
			out = append(out, e.host)
		}
	}
	return out
}

// poolStarved reports whether the pool is much smaller than the owner's part.
func (m *Machine) poolStarved(now core.Instant, led *ledger) bool {
	rate, _ := shareOf(led.limit, m.candidates(now, led), m.settings.Self)
	return rate > led.pool.rate && !withinHysteresis(int64(led.pool.rate), int64(rate))
}
