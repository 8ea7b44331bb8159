package fleet

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// In a small fleet every host is active: it is advertised to callers and exchanges
// heartbeats with all others. In a larger one only the hosts of the largest capacity
// are active, as many as the load needs. The others are standby hosts: they answer
// callers that reach them with the addresses of the active hosts, and replace active
// hosts that become unreachable. The cost per host then follows the load, not the size
// of the fleet.

const (
	// MaxAllActive is the largest size of a fleet whose hosts are all active.
	MaxAllActive = 12
	// minActiveHosts is the minimum of active hosts in a larger fleet.
	minActiveHosts = 3
	// MinActiveCapacity is the minimum capacity of the active hosts, in cores.
	MinActiveCapacity = 2.4
	// similarFraction is the fraction of the largest host's capacity from which a host
	// is active even if the load doesn't need it.
	similarFraction = 0.5
	// presumedTimeout is how long a newly registered host without heartbeats counts as
	// reachable.
	presumedTimeout = 2500 * time.Millisecond
	// activeScoreKind separates these rendezvous scores from other uses.
	activeScoreKind = 37
)

// SelectActive chooses the active hosts so that they carry requiredCapacity, in cores.
func (f *Fleet) SelectActive(now core.Instant, requiredCapacity float64) {
	f.large = f.Size(now) > MaxAllActive
	if !f.large {
		f.selfActive = true
		for _, p := range f.peers {
			p.active = true
		}
		return
	}
	chosen := choose(f.candidates(now), requiredCapacity)
	lost := f.lostCapacity(now) > 0
	f.selfPromoted = isPromoted(f.selfPromoted, f.selfActive, lost)
	f.selfActive = chosen[f.self.Name]
	for name, p := range f.peers {
		p.promoted = isPromoted(p.promoted, p.active, lost)
		p.sendsRarely = p.sendsRarely || !chosen[name] && f.reachable(now, p)
		p.active = chosen[name]
		p.wasActive = p.wasActive || p.active && p.lastHeartbeat != 0
	}
}

// isPromoted reports whether a host that is active now replaces an unreachable one:
// it was not active before, or was promoted already.
func isPromoted(wasPromoted, wasActive, hostLost bool) bool {
	return hostLost && (wasPromoted || !wasActive)
}

// lostCapacity is the capacity, in cores, of the hosts that were active until they
// became unreachable.
func (f *Fleet) lostCapacity(now core.Instant) float64 {
	sum := 0.0
	for _, p := range f.peers {
		if p.wasActive && !p.leaving && !p.expired(now) && !f.reachable(now, p) {
			sum += capacityOf(p.Registration)
		}
	}
	return sum
}

// promotedFraction is the fraction of its capacity at which a promoted standby host
// counts. The host that it replaces may still serve on the other side of a network
// partition.
const promotedFraction = 0.25

// reachableActiveFraction is the capacity of the reachable active hosts as a fraction
// of that of all hosts that are active or were until they became unreachable.
func (f *Fleet) reachableActiveFraction(now core.Instant) float64 {
	weight := func(r Registration, promoted bool) float64 {
		if promoted {
			return promotedFraction * capacityOf(r)
		}
		return capacityOf(r)
	}
	reached := 0.0
	if f.selfActive {
		reached = weight(f.self, f.selfPromoted)
	}
	total := reached + f.lostCapacity(now)
	for _, p := range f.peers {
		if !p.active || p.leaving {
			continue
		}
		w := weight(p.Registration, p.promoted)
		switch {
		case f.reachable(now, p):
			reached += w
			total += w
		case p.lastHeartbeat == 0: // no heartbeat yet
			total += w
		}
	}
	if reached == 0 {
		own := promotedFraction * capacityOf(f.self)
		return own / (own + total)
	}
	return reached / total
}

// capacityOf is a host's capacity in cores, 1 if none is registered.
func capacityOf(r Registration) float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}

// candidate is a host that may become active.
type candidate struct {
	name     string
	capacity float64
	score    uint64
}

func newCandidate(r Registration) candidate {
	return candidate{name: r.Name, capacity: capacityOf(r), score: core.Score(core.HostID(r.Name), activeScoreKind, "")}
}

// candidates are the hosts that are reachable or presumed so and not leaving, in
// descending order of capacity.
func (f *Fleet) candidates(now core.Instant) []candidate {
	var all []candidate
	if !f.self.Leaving {
		all = append(all, newCandidate(f.self))
	}
	for _, p := range f.peers {
		presumed := p.lastHeartbeat == 0 && now.Sub(p.listedAt) < presumedTimeout
		if !p.leaving && (presumed || f.reachable(now, p)) {
			all = append(all, newCandidate(p.Registration))
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.score, b.score))
	})
	return all
}

// choose returns the names of the active hosts: the smallest number of the largest that
// carry requiredCapacity, in cores, and those of similar capacity up to the size of a
// small fleet. Callers spread evenly over the active hosts, so the smallest of them
// bounds what all can carry.
func choose(sorted []candidate, requiredCapacity float64) map[string]bool {
	n := 0
	for n < len(sorted) && n < MaxAllActive && sorted[n].capacity >= similarFraction*sorted[0].capacity {
		n++
	}
	for n < len(sorted) && (n < minActiveHosts || float64(n)*sorted[n-1].capacity < requiredCapacity) {
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

// HasStandbys reports whether the fleet is large enough for standby hosts.
func (f *Fleet) HasStandbys() bool { return f.large }

// ActivePeers returns the other active hosts, sorted by name.
func (f *Fleet) ActivePeers() []Registration {
	return f.registrations(func(p *peer) bool { return p.active })
}

// ActiveHosts is the number of active hosts, including this one if it is active.
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

// IsActive reports whether another host is active, false if it isn't registered.
func (f *Fleet) IsActive(h core.HostID) bool {
	p := f.hosts[h]
	return p != nil && p.active
}

// contacts is how many active hosts a standby host sends heartbeats to.
const contacts = 2

// StandbyContacts returns the active hosts that this host sends heartbeats to while it
// is a standby host. Hosts of its own failure domain are preferred.
func (f *Fleet) StandbyContacts() []Registration {
	all := f.ActivePeers()
	score := func(r Registration) uint64 {
		return core.Score(core.HostID(r.Name), activeScoreKind, f.self.Name)
	}
	remote := func(r Registration) int {
		if r.Domain == f.self.Domain {
			return 0
		}
		return 1
	}
	slices.SortFunc(all, func(a, b Registration) int {
		return cmp.Or(cmp.Compare(remote(a), remote(b)), cmp.Compare(score(a), score(b)))
	})
	return all[:min(contacts, len(all))]
}

// standbyReportTimeout is how long after its last direct heartbeat a standby host gets
// the active hosts' heartbeats and is reported to others as ready.
const standbyReportTimeout = 1600 * time.Millisecond

// Standbys returns the standby hosts whose last direct heartbeat is at most
// standbyReportTimeout old, sorted by name.
func (f *Fleet) Standbys(now core.Instant) []Registration {
	return f.registrations(func(p *peer) bool { return f.isDirectStandby(now, p) })
}

// isDirectStandby reports whether a peer is a standby host whose last direct heartbeat
// came within standbyReportTimeout.
func (f *Fleet) isDirectStandby(now core.Instant, p *peer) bool {
	return !p.active && f.reachable(now, p) && p.lastDirect != 0 && now.Sub(p.lastDirect) < standbyReportTimeout
}

// DirectStandbys returns the core.ShortHash numbers of the ready standby hosts whose
// last direct heartbeat came within standbyReportTimeout, sorted.
func (f *Fleet) DirectStandbys(now core.Instant) []uint32 {
	return f.readyStandbys(func(p *peer) bool { return f.isDirectStandby(now, p) })
}

// ReadyStandbys returns the core.ShortHash numbers of all reachable standby hosts that
// are ready, sorted.
func (f *Fleet) ReadyStandbys(now core.Instant) []uint32 {
	return f.readyStandbys(func(p *peer) bool { return f.reachable(now, p) })
}

// readyStandbys returns the core.ShortHash numbers of the standby hosts that are ready,
// not leaving and selected by keep, sorted.
func (f *Fleet) readyStandbys(keep func(*peer) bool) []uint32 {
	var all []uint32
	for _, p := range f.peers {
		if !p.active && p.ready && !p.leaving && keep(p) {
			all = append(all, core.ShortHash(p.Name))
		}
	}
	slices.Sort(all)
	return all
}

// ReceiveStandbyReport applies another host's report of ready standby hosts, given by
// their core.ShortHash numbers.
func (f *Fleet) ReceiveStandbyReport(now core.Instant, hosts []uint32) {
	for _, short := range hosts {
		if p := f.shorts[short]; p != nil {
			p.lastHeartbeat, p.ready, p.sendsRarely = now, true, true
		}
	}
}
