package replicas

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// outageGracePeriod is how long after the end of a store outage the list may lack
	// running replicas: entries expire during the outage and are then written again.
	outageGracePeriod = 2200 * time.Millisecond
	// minOutage is the shortest outage that has a grace: in a shorter one no entry expires. Calls that are
	// refused one by one, for a rate limit say, are none.
	minOutage = time.Second
)

// outage is what a host knows of the store's outages.
type outage struct {
	lostSince  core.Instant // when the first call was sent that failed after the last answer; 0: none has
	answeredAt core.Instant // when the latest answer came; 0: never
	graceEnd   core.Instant // of the latest outage
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

// StoreLost records that the platform's store was unreachable at a time: a call that was sent then
// has failed. Its failure may be known long after, when other calls have been answered again.
func (s *Set) StoreLost(sent core.Instant) {
	if s.outage.lostSince == 0 && sent >= s.outage.answeredAt {
		s.outage.lostSince = max(sent, 1)
	}
}

// StoreReached records that the store has answered.
func (s *Set) StoreReached(now core.Instant) {
	if s.outage.lostSince != 0 && now.Sub(s.outage.lostSince) >= minOutage {
		s.beginGrace(now)
	}
	s.outage.lostSince, s.outage.answeredAt = 0, now
}

// StoreRestored records that the store has come back from an older copy, which may lack running
// replicas.
func (s *Set) StoreRestored(now core.Instant) { s.beginGrace(now) }

func (s *Set) beginGrace(now core.Instant) { s.outage.graceEnd = now.Add(outageGracePeriod) }

// duringOutage reports whether the store is unreachable or was within the grace period.
func (s *Set) duringOutage(now core.Instant) bool {
	return s.outage.lostSince != 0 || now < s.outage.graceEnd
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
