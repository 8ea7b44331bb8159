// Package evacuation keeps one host's knowledge of the failure domains that the operator has
// evacuated. Its inputs are what the host reads from the store and the states of other hosts, which
// may be lost, duplicated, delayed and reordered; the newest one counts. It does no I/O and reads
// no clock.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// RestoreHoldTime is how long after the first state of a new era of the store a domain stays
	// evacuated that the older copy lacks: the operator writes its objects again.
	RestoreHoldTime = 4 * time.Second
	// MaxSentDomains is the largest number of domains of a state that is sent to other hosts.
	MaxSentDomains = 64
)

// State is the set of evacuated domains as the store had it at a revision. Hosts send it to each
// other.
type State struct {
	Era      uint64        `cbor:"1,keyasint,omitempty"` // of the store; 0: it gives none
	Revision uint64        `cbor:"2,keyasint,omitempty"` // of the store
	Domains  []core.Domain `cbor:"3,keyasint,omitempty"` // sorted
}

// newState returns a state with a sorted copy of domains.
func newState(at core.Revision, domains []core.Domain) State {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return State{Era: at.Era, Revision: at.Version, Domains: slices.Compact(sorted)}
}

func (s *State) at() core.Revision { return core.Revision{Era: s.Era, Version: s.Revision} }

// ObjectChange is a change of one evacuation in the store.
type ObjectChange struct {
	Domain  core.Domain
	Removed bool
}

// Change is which domains have begun or ended to be evacuated; both are sorted.
type Change struct {
	Begun, Ended []core.Domain
}

// Machine holds the state of one host. It is not safe for concurrent use.
type Machine struct {
	read      State        // as this host's own watch has read it; its changes apply to it
	hasRead   bool         // read has been read
	changes   uint64       // of the domains of read, after the first list
	current   State        // the newest one known
	known     bool         // there is one
	adoptedAt core.Instant // when it became known
	holds     map[core.Domain]core.Instant
	evacuated map[core.Domain]bool // the domains of current, and those of holds
}

// New returns a machine that knows nothing: it treats no domain as evacuated.
func New() *Machine {
	return &Machine{holds: map[core.Domain]core.Instant{}, evacuated: map[core.Domain]bool{}}
}

// ApplyList applies a whole list that this host has read from the store by a call that was sent at
// a time. Version 0 means that the store has no object of this kind, and gives no revision.
func (m *Machine) ApplyList(now, sent core.Instant, at core.Revision, domains []core.Domain) Change {
	if at.Version == 0 && len(domains) == 0 {
		at = m.revisionOfNone(sent, at.Era)
	}
	m.setRead(newState(at, domains))
	return m.adopt(now, m.read)
}

// setRead sets what this host's own watch has read.
func (m *Machine) setRead(s State) {
	if m.hasRead && !slices.Equal(s.Domains, m.read.Domains) {
		m.changes++
	}
	m.read, m.hasRead = s, true
}

// revisionOfNone returns a revision for the absence of any object, which the store gives none for.
// Within the known state's era it is that of the known state where that is empty too. Else it is the
// next one, if the call was sent after that state became known: the store has changed since.
func (m *Machine) revisionOfNone(sent core.Instant, era uint64) core.Revision {
	at := m.current.at()
	switch {
	case era != 0 && era != at.Era:
		return core.Revision{Era: era}
	case len(m.current.Domains) == 0:
		return at
	case sent > m.adoptedAt:
		return core.Revision{Era: at.Era, Version: at.Version + 1}
	}
	return core.Revision{Era: at.Era}
}

// ApplyChanges applies the changes that this host's watch has read since the last list or changes,
// in their order.
func (m *Machine) ApplyChanges(now core.Instant, at core.Revision, changes []ObjectChange) Change {
	if !m.hasRead || at.Era != m.read.Era {
		return Change{} // the watch lists again
	}
	before := maps.Clone(m.evacuated)
	domains := slices.Clone(m.read.Domains)
	for _, c := range changes {
		domains = slices.DeleteFunc(domains, func(d core.Domain) bool { return d == c.Domain })
		if !c.Removed {
			domains = append(domains, c.Domain)
		} else if at.Era >= m.current.Era {
			delete(m.holds, c.Domain)
		}
	}
	m.setRead(newState(at, domains))
	m.replace(now, m.read)
	return m.update(before)
}

// ApplyState applies another host's state. One of too many domains is ignored: no host sends it.
func (m *Machine) ApplyState(now core.Instant, s State) Change {
	if len(s.Domains) > MaxSentDomains {
		return Change{}
	}
	return m.adopt(now, newState(s.at(), s.Domains))
}

// Tick ends the holds that are over.
func (m *Machine) Tick(now core.Instant) Change {
	if len(m.holds) == 0 {
		return Change{}
	}
	before := maps.Clone(m.evacuated)
	maps.DeleteFunc(m.holds, func(_ core.Domain, until core.Instant) bool { return now >= until })
	return m.update(before)
}

// adopt makes a state the current one if it is newer.
func (m *Machine) adopt(now core.Instant, s State) Change {
	before := maps.Clone(m.evacuated)
	m.replace(now, s)
	return m.update(before)
}

// replace is adopt without its result.
func (m *Machine) replace(now core.Instant, s State) {
	if m.known && !m.current.at().Before(s.at()) {
		return
	}
	if m.known && s.Era != m.current.Era {
		m.hold(now, s)
	}
	m.current, m.known, m.adoptedAt = s, true, now
	for _, d := range s.Domains {
		delete(m.holds, d)
	}
}

// hold keeps the domains of the current state evacuated that a state of a new era lacks. Those that
// are held already are held anew.
func (m *Machine) hold(now core.Instant, next State) {
	for d := range m.evacuated {
		if !slices.Contains(next.Domains, d) {
			m.holds[d] = now.Add(RestoreHoldTime)
		}
	}
}

// update computes the evacuated domains and returns what has changed.
func (m *Machine) update(before map[core.Domain]bool) Change {
	clear(m.evacuated)
	for _, d := range m.current.Domains {
		m.evacuated[d] = true
	}
	for d := range m.holds {
		m.evacuated[d] = true
	}
	return Change{Begun: missing(m.evacuated, before), Ended: missing(before, m.evacuated)}
}

// missing returns the sorted domains that are in one set and not in another.
func missing(in, from map[core.Domain]bool) []core.Domain {
	var all []core.Domain
	for d := range in {
		if !from[d] {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	return all
}

// Evacuated reports whether a domain is evacuated, as far as is known.
func (m *Machine) Evacuated(d core.Domain) bool { return m.evacuated[d] }

// Any reports whether any domain is evacuated.
func (m *Machine) Any() bool { return len(m.evacuated) > 0 }

// Domains returns the evacuated domains, sorted.
func (m *Machine) Domains() []core.Domain { return slices.Sorted(maps.Keys(m.evacuated)) }

// Known reports whether this host knows a state, read by itself or by another host.
func (m *Machine) Known() bool { return m.known }

// ReadChanges returns how many times the domains that this host reads itself have changed since its
// first list.
func (m *Machine) ReadChanges() uint64 { return m.changes }

// ToSend returns the state to be sent to other hosts; nil: none is known, or it has too many
// domains, so that they have to read it.
func (m *Machine) ToSend() *State {
	if !m.known || len(m.current.Domains) > MaxSentDomains {
		return nil
	}
	s := m.current
	return &s
}
