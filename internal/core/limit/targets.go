package limit

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
)

// Constants of how a limit is cut.
const (
	requestsPerSlice = 4  // a slice's burst should hold this many of the largest requests
	poolPart         = 16 // the owner keeps at least 1/poolPart of all weight for loans
	hysteresis       = 8  // a slice changes by more than 1/hysteresis or not at all
)

// party is one who may get a slice.
type party struct {
	host   core.HostID
	weight int64
}

// parties are the hosts that get a slice, the heaviest first: by demand, so
// many that each slice's burst still holds some requests.
func (m *Machine) parties(now core.Instant, b *book) []party {
	h := m.holder(now, b.workspace)
	own := int64(h.demand.roll(now))
	largest := h.demand.largest
	all := make([]party, 0, len(b.entries)+1)
	total := own
	for _, e := range b.entries {
		largest = max(largest, e.largest)
		total += int64(e.demand)
		if e.demand == 0 && e.burst == 0 {
			continue
		}
		all = append(all, party{e.host, sticky(int64(e.demand), e.burst, b.limit)})
	}
	all = append(all, party{m.settings.Self, max(sticky(own, b.pool.burst, b.limit), total/poolPart+1)})
	slices.SortFunc(all, func(x, y party) int {
		if c := cmp.Compare(y.weight, x.weight); c != 0 {
			return c
		}
		return cmp.Compare(x.host, y.host)
	})
	n := int64(b.limit.Burst) / (requestsPerSlice * max(int64(largest), 1))
	return all[:min(max(n, 1), int64(len(all)))]
}

// sticky makes a small workspace's slice stay where it is until another host
// has twice the demand.
func sticky(demand int64, held nano, l Limit) int64 {
	if held > nanos(l.Burst)/2 {
		return 2*demand + 2
	}
	return demand + 1
}

// cutShare decides what a holder is to have from now on and books it. A share
// that is not acknowledged stays as it is.
func (m *Machine) cutShare(now core.Instant, b *book, e *entry) {
	if e.open {
		return
	}
	rate, burst := m.target(now, b, e)
	rate = min(rate, e.rate+b.pool.rate)
	burst = min(burst, e.burst+b.pool.limit())
	if !b.frozen && near(int64(rate), int64(e.rate)) && near(int64(burst), int64(e.burst)) {
		e.toRate, e.toBurst = e.rate, e.burst
		return
	}
	b.seq++
	e.seq, e.open, e.added = b.seq, true, 0
	e.toRate, e.toBurst = rate, burst
	growRate, growBurst := max(rate-e.rate, 0), max(burst-e.burst, 0)
	if growRate > 0 || growBurst > 0 {
		e.added = b.pool.cut(now, b.pool.rate-growRate, b.pool.burst-growBurst) // debit first
	}
	e.rate += growRate
	e.burst += growBurst
}

// target is a holder's part of the limit. A frozen owner gives everything
// away, since it may spend nothing itself.
func (m *Machine) target(now core.Instant, b *book, e *entry) (microRate, nano) {
	b.pool.advance(now)
	if b.frozen {
		return e.rate + b.pool.rate, e.burst + b.pool.limit()
	}
	total, weight := int64(0), int64(0)
	for _, p := range m.parties(now, b) {
		total += p.weight
		if p.host == e.host {
			weight = p.weight
		}
	}
	rate := mulDiv(int64(micros(b.limit.Rate)), weight, max(total, 1))
	burst := mulDiv(int64(nanos(b.limit.Burst)), weight, max(total, 1))
	return microRate(rate), nano(burst)
}

// near reports whether a change from old to next is too small to be made.
func near(next, old int64) bool {
	if next == 0 || old == 0 {
		return next == old
	}
	return max(next-old, old-next) <= old/hysteresis
}
