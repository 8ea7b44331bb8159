package replicas

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// Set holds the replicas that are known to a host. The indexes are built when they are
// first read after a change.
type Set struct {
	byID      map[core.UpstreamID]*Replica
	sorted    []*Replica                     // all, by id; nil: indexes not built yet
	byService map[table.ServiceID][]*Replica // by service, each sorted by id
	byShort   map[uint32]*Replica            // by core.ShortHash of the id
	digest    uint64                         // 0: not computed yet
	removals  map[core.UpstreamID]*removal   // the latest of each replica
	outage    outage
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{byID: map[core.UpstreamID]*Replica{}, removals: map[core.UpstreamID]*removal{}}
}

// Get returns the replica with an id, or nil.
func (s *Set) Get(id core.UpstreamID) *Replica { return s.byID[id] }

// ByShortHash returns the replica whose id has this core.ShortHash number, or nil.
func (s *Set) ByShortHash(n uint32) *Replica {
	if s.sorted == nil {
		s.index()
	}
	return s.byShort[n]
}

// All returns all replicas, sorted by id. Callers must not modify the slice.
func (s *Set) All() []*Replica {
	if s.sorted == nil {
		s.index()
	}
	return s.sorted
}

// ByService returns the replicas of a service, sorted by id. Callers must not modify the
// slice.
func (s *Set) ByService(service table.ServiceID) []*Replica {
	if s.sorted == nil {
		s.index()
	}
	return s.byService[service]
}

// index builds the sorted list and the indexes.
func (s *Set) index() {
	s.sorted = make([]*Replica, 0, len(s.byID))
	for _, r := range s.byID {
		s.sorted = append(s.sorted, r)
	}
	slices.SortFunc(s.sorted, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	s.byService = map[table.ServiceID][]*Replica{}
	s.byShort = map[uint32]*Replica{}
	for _, r := range s.sorted {
		s.byService[r.Service] = append(s.byService[r.Service], r)
		s.byShort[core.ShortHash(string(r.ID))] = r
	}
}

// drop removes a replica, remembers that, and resets the indexes and the digest.
func (s *Set) drop(now core.Instant, id core.UpstreamID) {
	if r := s.byID[id]; r != nil {
		s.removals[id] = &removal{Removal: Removal{ID: id, Started: r.Started, Sequence: r.Sequence, Leaving: r.Unavailable()}, at: now}
	}
	delete(s.byID, id)
	s.sorted = nil
	s.digest = 0
}

// Digest returns a hash of the listed replicas, their starts, addresses and whether
// they are leaving.
func (s *Set) Digest() uint64 {
	if s.digest != 0 {
		return s.digest
	}
	var sum uint64
	for id, r := range s.byID {
		if r.missing {
			continue
		}
		state := "ready"
		if r.Leaving {
			state = "leaving"
		}
		sum += core.Fingerprint(uint64(r.Started), string(id), r.Address, state)
	}
	s.digest = sum
	return sum
}

// Update adds or updates a replica from a listed entry that is accepted. It reports whether
// this is a new replica or a new incarnation. An older entry than the known one changes
// only Leaving.
func (s *Set) Update(now core.Instant, e Entry) (fresh bool) {
	s.digest = 0
	r := s.byID[e.ID]
	if r == nil || r.Started != e.Started && e.Started != 0 {
		s.drop(now, e.ID)
		r = &Replica{Entry: e}
		s.byID[e.ID] = r
		s.sorted = nil
		r.setModels(e.Models)
		return true
	}
	r.missing = false
	if e.Software == "" {
		e.Software = r.Software // a host of an earlier build sends none
	}
	leaving := r.Leaving || e.Leaving // a leaving replica stays so until it restarts
	if !e.Newer(&r.Entry) {
		r.Leaving = leaving
		return false
	}
	if r.Service != e.Service {
		s.sorted = nil
	}
	r.Entry = e
	r.Leaving = leaving
	if r.reportedAt == 0 || now.Sub(r.reportedAt) >= ownerReportTTL {
		r.setModels(e.Models)
	}
	return false
}
