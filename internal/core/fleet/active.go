package fleet

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// In a small fleet every host serves callers and talks to every other one. In a
// larger one the strongest hosts do, as many as the load needs: the active hosts.
// The others stand by. They answer callers who reach them, tell where the active
// hosts are, and take the places of those that are lost. What a host costs then
// follows the load, and not the size of the fleet.

const (
	// SmallMost is the size up to which all hosts of a fleet are active.
	SmallMost = 12
	// activeLeast is how many active hosts a larger fleet has at least.
	activeLeast = 3
	// NeedLeast is the capacity that the active hosts have at least, in cores.
	NeedLeast = 2.4
	// similar is the part of the strongest host's capacity from which a host is
	// active though the load could do without it.
	similar = 0.5
	// presumedFor is how long a host that is listed and not heard yet counts as
	// there.
	presumedFor = 2500 * time.Millisecond
	// activeKind separates the scores of hosts of equal capacity from others.
	activeKind = 37
)

// Select chooses the active hosts for a need of capacity in cores.
func (f *Fleet) Select(now core.Instant, need float64) {
	f.large = f.Size(now) > SmallMost
	if !f.large {
		f.selfActive = true
		for _, p := range f.peers {
			p.active = true
		}
		return
	}
	chosen := choose(f.candidates(now), need)
	lost := f.lost(now) > 0
	f.selfSubstitute = substitutes(f.selfSubstitute, f.selfActive, lost)
	f.selfActive = chosen[f.self.Name]
	for name, p := range f.peers {
		p.substitute = substitutes(p.substitute, p.active, lost)
		p.active = chosen[name]
		p.served = p.served || p.active && p.heard != 0
	}
}

// substitutes tells whether a host, if it is active now, is so in the place of a lost
// one: it was not active before, or substitutes already.
func substitutes(already, active, lost bool) bool { return lost && (already || !active) }

// lost is the capacity of the hosts that were active until they fell silent.
func (f *Fleet) lost(now core.Instant) float64 {
	sum := 0.0
	for _, p := range f.peers {
		if p.served && !p.leaving && !p.gone(now) && !f.alive(now, p) {
			sum += capacityOf(p.Registration)
		}
	}
	return sum
}

// substitutePart is what a host counts that is active in the place of a lost one. The
// lost one may be at work in another part of a fleet that is cut.
const substitutePart = 0.25

// activePart is the capacity of the active hosts that are heard, as a part of that of
// all that are active or were until they fell silent.
func (f *Fleet) activePart(now core.Instant) float64 {
	weight := func(r Registration, substitute bool) float64 {
		if substitute {
			return substitutePart * capacityOf(r)
		}
		return capacityOf(r)
	}
	heard := 0.0
	if f.selfActive {
		heard = weight(f.self, f.selfSubstitute)
	}
	all := heard + f.lost(now)
	for _, p := range f.peers {
		if !p.active || p.leaving {
			continue
		}
		w := weight(p.Registration, p.substitute)
		switch {
		case f.alive(now, p):
			heard += w
			all += w
		case p.heard == 0: // not yet
			all += w
		}
	}
	if heard == 0 {
		own := substitutePart * capacityOf(f.self)
		return own / (own + all)
	}
	return heard / all
}

func capacityOf(r Registration) float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}

// candidate is a host that could be active.
type candidate struct {
	name     string
	capacity float64
	score    uint64
}

func newCandidate(r Registration) candidate {
	return candidate{name: r.Name, capacity: capacityOf(r), score: core.Score(core.HostID(r.Name), activeKind, "")}
}

// candidates are the hosts that are there, as far as can be told, the strongest
// first.
func (f *Fleet) candidates(now core.Instant) []candidate {
	var all []candidate
	if !f.self.Leaving {
		all = append(all, newCandidate(f.self))
	}
	for _, p := range f.peers {
		presumed := p.heard == 0 && now.Sub(p.listed) < presumedFor
		if !p.leaving && (presumed || f.alive(now, p)) {
			all = append(all, newCandidate(p.Registration))
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.score, b.score))
	})
	return all
}

// choose takes the fewest of the strongest hosts that carry the need, and those of
// similar strength up to SmallMost. Callers spread evenly over the hosts that they
// are told of, so the weakest of them bounds what all can carry.
func choose(sorted []candidate, need float64) map[string]bool {
	n := 0
	for n < len(sorted) && n < SmallMost && sorted[n].capacity >= similar*sorted[0].capacity {
		n++
	}
	for n < len(sorted) && (n < activeLeast || float64(n)*sorted[n-1].capacity < need) {
		n++
	}
	names := make(map[string]bool, n)
	for _, c := range sorted[:n] {
		names[c.name] = true
	}
	return names
}

// Active reports whether this host is active.
func (f *Fleet) Active() bool { return f.selfActive }

// Large reports whether the fleet has hosts that stand by.
func (f *Fleet) Large() bool { return f.large }

// ActivePeers returns the other active hosts, sorted.
func (f *Fleet) ActivePeers() []Registration {
	return f.registrations(func(p *peer) bool { return p.active })
}

// ActiveHosts is how many hosts are active, this one included where it is.
func (f *Fleet) ActiveHosts() int {
	n := 0
	if f.selfActive {
		n = 1
	}
	for _, p := range f.peers {
		if p.active {
			n++
		}
	}
	return n
}

// IsActive reports whether another host is active.
func (f *Fleet) IsActive(h core.HostID) bool {
	p := f.hosts[h]
	return p != nil && p.active
}

// contacts is how many active hosts a host that stands by talks to.
const contacts = 2

// Contacts returns the active hosts that this one talks to while it stands by:
// those of its own failure domain first.
func (f *Fleet) Contacts() []Registration {
	all := f.ActivePeers()
	score := func(r Registration) uint64 {
		return core.Score(core.HostID(r.Name), activeKind, f.self.Name)
	}
	abroad := func(r Registration) int {
		if r.Domain == f.self.Domain {
			return 0
		}
		return 1
	}
	slices.SortFunc(all, func(a, b Registration) int {
		return cmp.Or(cmp.Compare(abroad(a), abroad(b)), cmp.Compare(score(a), score(b)))
	})
	return all[:min(contacts, len(all))]
}

// tellsFor is how long a host is told of the active ones after it was last heard
// from itself, and named to others as there.
const tellsFor = 1600 * time.Millisecond

// Standbys returns the hosts that have told this one lately that they stand by,
// sorted.
func (f *Fleet) Standbys(now core.Instant) []Registration {
	return f.registrations(func(p *peer) bool { return p.standsBy(now) })
}

// standsBy reports whether a peer stands by and has told this host so lately.
func (p *peer) standsBy(now core.Instant) bool {
	return !p.active && p.direct != 0 && now.Sub(p.direct) < tellsFor
}

// Hears are the short numbers of the hosts that stand by and have told this one
// lately that they are ready.
func (f *Fleet) Hears(now core.Instant) []uint32 {
	return f.spares(func(p *peer) bool { return p.standsBy(now) })
}

// Census are the short numbers of all hosts that stand by, are ready and are there.
func (f *Fleet) Census(now core.Instant) []uint32 {
	return f.spares(func(p *peer) bool { return f.alive(now, p) })
}

// spares are the short numbers of the hosts that stand by, are ready and that keep
// chooses, sorted.
func (f *Fleet) spares(keep func(*peer) bool) []uint32 {
	var all []uint32
	for _, p := range f.peers {
		if !p.active && p.ready && !p.leaving && keep(p) {
			all = append(all, core.Short(p.Name))
		}
	}
	slices.Sort(all)
	return all
}

// HeardOf takes what another host hears.
func (f *Fleet) HeardOf(now core.Instant, hosts []uint32) {
	for _, short := range hosts {
		if p := f.shorts[short]; p != nil {
			p.heard, p.ready = now, true
		}
	}
}
