package replicas

import (
	"time"

	"gentiancroft/internal/core"
)

const (
	// removalTTL is how long a removal is remembered.
	removalTTL = time.Minute
	// delayedMessageTime is how long after a removal a message that another host sent
	// before it may still arrive.
	delayedMessageTime = 6 * time.Second
)

// Removal identifies what was removed: a replica's incarnation, and the latest of its
// entries.
type Removal struct {
	ID       core.UpstreamID
	Started  int64
	Sequence uint64
	Leaving  bool // it was leaving, as far as the host that removed it knew
}

// before reports whether a replica's entry is later than the removal: of a later
// incarnation, or a later one of the same.
func (x Removal) before(started int64, sequence uint64) bool {
	if started != x.Started {
		return started > x.Started
	}
	return sequence > x.Sequence
}

// Source is where an entry comes from.
type Source uint8

// Sources of entries.
const (
	FromChange Source = iota + 1 // the store reported that the entry was written
	FromList                     // the store listed it; a restored store may list what was removed
	FromHost                     // another host sent it, perhaps before the removal
)

// removal is a Removal that this host remembers.
type removal struct {
	Removal
	at core.Instant
}

// precludes reports whether an entry is older than the removal, as far as its source
// shows.
func (x *removal) precludes(now core.Instant, e *Entry, from Source) bool {
	switch {
	case e.Started != x.Started:
		return e.Started < x.Started
	case from == FromChange:
		return false
	case from == FromHost && now.Sub(x.at) < delayedMessageTime:
		return true
	}
	return !x.before(e.Started, e.Sequence)
}

// Accepts reports whether an entry may be applied: it is not older than the removal of
// its replica.
func (s *Set) Accepts(now core.Instant, e Entry, from Source) bool {
	x := s.removals[e.ID]
	if r := s.byID[e.ID]; r != nil && r.Started == e.Started {
		return true
	}
	return x == nil || !x.precludes(now, &e, from)
}

// LastRemoval returns the latest removal of a replica, and false if none is remembered.
func (s *Set) LastRemoval(id core.UpstreamID) (Removal, bool) {
	if x := s.removals[id]; x != nil {
		return x.Removal, true
	}
	return Removal{}, false
}

// ApplyRemoval removes a replica that another host has removed, unless it has a later
// entry.
func (s *Set) ApplyRemoval(now core.Instant, x Removal) {
	r := s.byID[x.ID]
	if r != nil && x.before(r.Started, r.Sequence) {
		return
	}
	if r != nil {
		s.Remove(now, x.ID)
		return
	}
	if known := s.removals[x.ID]; known == nil || known.before(x.Started, x.Sequence) {
		s.removals[x.ID] = &removal{Removal: x, at: now}
	}
}
