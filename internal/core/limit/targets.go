package limit

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Constants of how a limit is cut.
const (
	requestsPerSlice = 2  // a slice's burst should hold this many of the largest requests
	poolPart         = 16 // the owner keeps at least 1/poolPart of all weight for loans
	hysteresis       = 8  // a slice changes by more than 1/hysteresis or not at all
	fillTime         = 20 * time.Second
)

// party is one who may get a slice.
type party struct {
	host   core.HostID
	weight int64 // tokens a second that it needs
	rank   int64 // weight, more for who holds most of a small workspace
}

// parties are the hosts that get a slice: by demand, so many that each slice's
// burst still holds some requests.
func (m *Machine) parties(now core.Instant, b *book) []party {
	h := m.holder(now, b.workspace)
	own := int64(h.demand.roll(now))
	lent := int64(b.lent.roll(now))
	b.lent.fade(now, m.settings.Renew)
	h.demand.fade(now, m.settings.Renew)
	largest := max(h.demand.largest, b.lent.largest)
	all := make([]party, 0, len(b.entries)+1)
	total := own + lent
	for _, e := range b.entries {
		largest = max(largest, e.largest)
		total += int64(e.demand)
	}
	base := m.evenWeight(b)
	for _, e := range b.entries {
		if base == 0 && e.demand == 0 && e.burst == 0 {
			continue
		}
		all = append(all, b.party(e.host, base, int64(e.demand), e.burst, e.estimate(now)))
	}
	self := b.party(m.settings.Self, base, own, b.pool.burst, b.pool.level)
	self.weight = max(self.weight+lent, total/poolPart+1)
	all = append(all, self)
	slices.SortFunc(all, func(x, y party) int {
		if c := cmp.Compare(y.rank, x.rank); c != 0 {
			return c
		}
		return cmp.Compare(x.host, y.host)
	})
	n := int64(b.limit.Burst) / (requestsPerSlice * max(int64(largest), 1))
	return usable(b.limit, all[:min(max(n, 1), int64(len(all)))], largest)
}

// usable leaves out the parties, the last first, whose slice could not hold one
// request: its tokens would be of use to nobody.
func usable(l Limit, all []party, largest core.Tokens) []party {
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

// evenWeight is what each host weighs without any demand, so that each holds a
// part when it has to step in for another, or for the store.
func (m *Machine) evenWeight(b *book) int64 {
	if m.settings.EvenPart < 0 {
		return 0
	}
	return int64(b.limit.Rate)/int64(m.settings.EvenPart*(len(b.entries)+1)) + 1
}

// party weighs a host by its demand and by what its slice has been short of: a
// rate that would fill it in fillTime. A small workspace's slice stays where it
// is until another host needs twice as much.
func (b *book) party(host core.HostID, base, demand int64, burst, level nano) party {
	missing := int64(max(burst-max(level, 0), 0)) / nanosPerToken / int64(fillTime/time.Second)
	p := party{host, max(base, 1) + demand + missing, demand + 1}
	if burst > nanos(b.limit.Burst)/2 {
		p.rank *= 2
	}
	return p
}

// cutShare decides what a holder is to have from now on and books it. A share
// that is not acknowledged stays as it is.
func (m *Machine) cutShare(now core.Instant, b *book, e *entry) {
	if e.open {
		return
	}
	rate, burst := m.target(now, b, e)
	want := rate
	rate = min(rate, e.rate+b.pool.rate)
	burst = min(burst, e.burst+b.pool.limit())
	if !b.frozen && near(int64(rate), int64(e.rate)) && near(int64(burst), int64(e.burst)) {
		e.toRate, e.toBurst = e.rate, e.burst
		return
	}
	b.seq++
	e.seq, e.open, e.added = b.seq, true, 0
	e.toRate, e.toBurst = rate, burst
	if want > rate+rate/hysteresis {
		b.starved = union(b.starved, []core.HostID{e.host})
	}
	growRate, growBurst := max(rate-e.rate, 0), max(burst-e.burst, 0)
	if growRate > 0 || growBurst > 0 {
		e.added = b.pool.cut(now, b.pool.rate-growRate, b.pool.burst-growBurst) // debit first
		e.level += e.added
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
	return part(b.limit, m.parties(now, b), e.host)
}

// part is a host's part of a limit that is cut by the parties' weights.
func part(l Limit, all []party, host core.HostID) (microRate, nano) {
	total, weight := int64(0), int64(0)
	for _, p := range all {
		total += p.weight
		if p.host == host {
			weight = p.weight
		}
	}
	total = max(total, 1)
	rate := mulDiv(int64(micros(l.Rate)), weight, total)
	burst := mulDiv(int64(nanos(l.Burst)), weight, total)
	return microRate(rate), nano(burst)
}

// near reports whether a change from old to next is too small to be made.
func near(next, old int64) bool {
	if next == 0 || old == 0 {
		return next == old
	}
	return max(next-old, old-next) <= old/hysteresis
}

// holdTooMuch are the hosts whose slice is to shrink at their next Ask.
func (m *Machine) holdTooMuch(now core.Instant, b *book) []core.HostID {
	all := m.parties(now, b)
	var out []core.HostID
	for _, e := range b.entries {
		rate, _ := part(b.limit, all, e.host)
		if rate < e.rate && !near(int64(rate), int64(e.rate)) {
			out = append(out, e.host)
		}
	}
	return out
}

// poolStarved reports whether the owner's own part is much too small.
func (m *Machine) poolStarved(now core.Instant, b *book) bool {
	rate, _ := part(b.limit, m.parties(now, b), m.settings.Self)
	return rate > b.pool.rate && !near(int64(b.pool.rate), int64(rate))
}
