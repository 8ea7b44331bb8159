// Package replicas keeps one host's state of the replicas that it sends requests to:
// their addresses, loaded adapters and running requests. Its inputs are the platform's
// list, the reports of the hosts that own the replicas, what the replicas say of
// themselves in their answers, and the caller's request counts. It decides when a replica
// that is missing from the list is removed, and that an entry older than the removal
// doesn't add it again; which replica serves a request is decided elsewhere.
package replicas

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/table"
)

// Model is a base model loaded on a replica, with the adapters loaded onto it.
type Model struct {
	Name     core.BaseModel
	Version  int
	Adapters []core.AdapterRef
}

// SoftwareVersion is the version of the software that a replica runs, as opposed to the
// versions of its models and adapters. Versions have no order.
type SoftwareVersion string

// Entry is a replica in the platform's list.
type Entry struct {
	ID       core.UpstreamID
	Service  table.ServiceID
	Software SoftwareVersion
	Address  string // ip:port
	Domain   core.Domain
	Batch    int // requests that it runs concurrently
	Leaving  bool
	Started  int64  // start of this incarnation, in ms of the replica's clock
	Sequence uint64 // rises with each entry that this incarnation writes
	Models   []Model
	Cold     Coldness // hosts of the previous build send none: it doesn't say
}

// Coldness is what an entry says of how much longer its replica is cold: how much longer it takes few
// requests a second, as of when the entry was written.
type Coldness struct {
	Known     bool // false: it doesn't say
	Remaining time.Duration
}

// Newer reports whether an entry describes the same or a later state than another of
// the same replica.
func (e *Entry) Newer(than *Entry) bool {
	if e.Started != than.Started {
		return e.Started > than.Started
	}
	return e.Sequence >= than.Sequence
}

// Replica is an entry with the state that this host keeps for it.
type Replica struct {
	Entry
	OwnRequests    int                    // this host's requests there
	OtherRequests  int                    // other hosts' requests there, as last reported
	OwnPrompts     core.Tokens            // prompts of this host's requests that have had no event yet
	OtherPrompts   core.Tokens            // the same of other hosts, as last reported
	Pace           replicamodel.Replica   // of this incarnation against its service
	OwnOutputs     core.Tokens            // that this host's requests there will generate, as estimated
	OtherOutputs   core.Tokens            // the same of other hosts, as last reported
	OwnPromised    core.Tokens            // memory that this host's requests there will hold at their ends
	OtherPromised  core.Tokens            // the same of other hosts, as last reported
	Recent         core.Decaying          // requests that this host has sent there just now
	missing        bool                   // not in the platform's list, perhaps only because of a store outage
	saysLeaving    bool                   // it has said in an answer that it is leaving, which its entry may not show yet
	pausedUntil    core.Instant           // it has asked this host to send it nothing until then
	rejectsUntil   core.Instant           // it has just rejected a request for want of room
	downUntil      core.Instant           // its process has ended, as far as this host has seen, and is tried again then
	adapters       map[core.AdapterID]int // versions of the loaded adapters
	baseModels     map[core.BaseModel]bool
	reportedAt     core.Instant // when its owner last reported its residency; 0: never
	reportedOrders uint64       // accepted by the replica as of that report
	full           bool         // as of that report
}

// Load is the number of requests at the replica, as known to this host.
func (r *Replica) Load() int { return r.OwnRequests + r.OtherRequests }

// QueuedPrompts is the number of prompt tokens that the replica still has to read, as known to
// this host.
func (r *Replica) QueuedPrompts() core.Tokens { return r.OwnPrompts + r.OtherPrompts }

// Promised is the memory that the requests at the replica will hold at their ends, in tokens, as
// known to this host.
func (r *Replica) Promised() core.Tokens { return r.OwnPromised + r.OtherPromised }

// Occupancy is the load divided by the batch size.
func (r *Replica) Occupancy() float64 { return float64(r.Load()) / float64(max(r.Batch, 1)) }

// AdapterVersion returns the loaded version of an adapter, and false if it isn't loaded.
func (r *Replica) AdapterVersion(a core.AdapterID) (version int, ok bool) {
	version, ok = r.adapters[a]
	return version, ok
}

// Unavailable reports whether the replica gets no new requests because it is leaving,
// according to its entry or to itself.
func (r *Replica) Unavailable() bool { return r.Leaving || r.saysLeaving }

// Unconfirmed reports whether the platform's list lacks the replica, which has either
// ended or is only missing because of a store outage.
func (r *Replica) Unconfirmed() bool { return r.missing }

// Pause is how much longer the replica wants nothing from this host; 0: it is not paused.
func (r *Replica) Pause(now core.Instant) time.Duration { return max(r.pausedUntil.Sub(now), 0) }

// Down reports whether nothing listened at the replica's address a moment ago.
func (r *Replica) Down(now core.Instant) bool { return now < r.downUntil }

// Rejects reports whether the replica rejected a request a moment ago, so that the next one would
// be rejected as well.
func (r *Replica) Rejects(now core.Instant) bool { return now < r.rejectsUntil }

// HasModel reports whether a base model is loaded on the replica.
func (r *Replica) HasModel(m core.BaseModel) bool { return r.baseModels[m] }

// Full reports whether the replica can't load another adapter now, because all that it has
// are in use or in transit. It is false where its owner has not reported lately.
func (r *Replica) Full(now core.Instant) bool {
	return r.full && now.Sub(r.reportedAt) < ownerReportTTL
}

// ReportAge is the time since the owner's last report of the residency; 0: never.
func (r *Replica) ReportAge(now core.Instant) time.Duration {
	if r.reportedAt == 0 {
		return 0
	}
	return now.Sub(r.reportedAt)
}

// Times.
const (
	// outageGracePeriod is how long after the end of a store outage the list may lack
	// running replicas: entries expire during the outage and are then written again.
	outageGracePeriod = 2200 * time.Millisecond
	// ownerReportTTL is how long the owner's report of a residency overrides the
	// platform's list.
	ownerReportTTL = 3 * time.Second
)

// Set holds the replicas that are known to a host. The indexes are built when they are
// first read after a change.
type Set struct {
	byID           map[core.UpstreamID]*Replica
	sorted         []*Replica                     // all, by id; nil: indexes not built yet
	byService      map[table.ServiceID][]*Replica // by service, each sorted by id
	byShort        map[uint32]*Replica            // by core.ShortHash of the id
	digest         uint64                         // 0: not computed yet
	removals       map[core.UpstreamID]*removal   // the latest of each replica
	storeLostAt    core.Instant                   // when the store was last unreachable; 0: never
	storeReachedAt core.Instant                   // when it was first reached after that
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

// Update adds or updates a replica from a listed entry that is accepted. It reports whether this is a new
// replica or a new incarnation. An older entry than the known one changes only Leaving.
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

// setModels replaces the replica's loaded models and adapters.
func (r *Replica) setModels(models []Model) {
	r.adapters = map[core.AdapterID]int{}
	r.baseModels = map[core.BaseModel]bool{}
	for _, m := range models {
		r.baseModels[m.Name] = true
		for _, a := range m.Adapters {
			r.adapters[a.ID] = a.Version
		}
	}
}

// Residency is what is loaded on a replica, as reported by the owner of its shard.
type Residency struct {
	Replica core.UpstreamID
	Started int64
	Orders  uint64 // number that the replica has accepted
	Models  []Model
	Full    bool // every adapter slot is taken by an adapter in use or in transit
}

// ApplyResidency applies the owner's report of a replica's residency. Reports of another
// start or of fewer accepted orders than the last one are ignored.
func (s *Set) ApplyResidency(now core.Instant, res Residency) {
	r := s.byID[res.Replica]
	if r == nil || r.Started != res.Started || res.Orders < r.reportedOrders {
		return
	}
	r.reportedAt, r.reportedOrders, r.full = now, res.Orders, res.Full
	r.setModels(res.Models)
}

// MarkNotLoaded records a replica's answer that an adapter isn't loaded on it.
func (s *Set) MarkNotLoaded(id core.UpstreamID, a core.AdapterID) {
	if r := s.byID[id]; r != nil {
		delete(r.adapters, a)
	}
}

// MarkLeaving records that an incarnation of a replica has said that it is leaving. It
// reports whether that was unknown.
func (s *Set) MarkLeaving(id core.UpstreamID, started int64) bool {
	r := s.byID[id]
	if r == nil || r.Started != started || r.Unavailable() {
		return false
	}
	r.saysLeaving = true
	return true
}

// MarkPaused records that an incarnation of a replica wants nothing from this host for d.
func (s *Set) MarkPaused(now core.Instant, id core.UpstreamID, started int64, d time.Duration) {
	if r := s.byID[id]; r != nil && r.Started == started {
		r.pausedUntil = max(r.pausedUntil, now.Add(d))
	}
}

// MarkRejecting records that an incarnation of a replica has rejected a request and is to get no other one
// for d.
func (s *Set) MarkRejecting(now core.Instant, id core.UpstreamID, started int64, d time.Duration) {
	if r := s.byID[id]; r != nil && r.Started == started {
		r.rejectsUntil = now.Add(d)
	}
}

// MarkDown records that nothing listens at the address of an incarnation of a replica, which is to
// be tried again after d.
func (s *Set) MarkDown(now core.Instant, id core.UpstreamID, started int64, d time.Duration) {
	if r := s.byID[id]; r != nil && r.Started == started {
		r.downUntil = now.Add(d)
	}
}

// Remove removes a replica that is no longer listed. Around a store outage it is only
// marked as missing, unless it was leaving.
func (s *Set) Remove(now core.Instant, id core.UpstreamID) {
	r := s.byID[id]
	if r == nil {
		return
	}
	if s.duringOutage(now) && !r.Leaving {
		r.missing = true
		s.digest = 0
		return
	}
	s.drop(now, id)
}

// RemoveUnlisted removes the replicas that the platform's whole list lacks. The listed
// entries must have been applied before.
func (s *Set) RemoveUnlisted(now core.Instant, entries []Entry) {
	listed := make(map[core.UpstreamID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for id := range s.byID {
		if !listed[id] {
			s.Remove(now, id)
		}
	}
}

// StoreLost records that the platform's store is unreachable.
func (s *Set) StoreLost(now core.Instant) { s.storeLostAt = now }

// StoreReached records that the store has answered.
func (s *Set) StoreReached(now core.Instant) {
	if s.storeReachedAt <= s.storeLostAt {
		s.storeReachedAt = now
	}
}

// duringOutage reports whether the store is unreachable or was within the grace period.
func (s *Set) duringOutage(now core.Instant) bool {
	if s.storeLostAt == 0 {
		return false
	}
	return s.storeReachedAt < s.storeLostAt || now.Sub(s.storeReachedAt) < outageGracePeriod
}

// Tick removes the replicas that are still missing at the end of the grace period after
// a store outage, and forgets old removals. It returns the removed ids, sorted.
func (s *Set) Tick(now core.Instant) (gone []core.UpstreamID) {
	for id, x := range s.removals {
		if now.Sub(x.at) > removalTTL {
			delete(s.removals, id)
		}
	}
	if s.duringOutage(now) {
		return nil
	}
	for id, r := range s.byID {
		if r.missing {
			s.drop(now, id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}
