package replicas

import (
	"time"

	"gentiancroft/internal/core"
)

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

// MarkRejecting records that an incarnation of a replica has rejected a request and is to
// get no other one for d.
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
