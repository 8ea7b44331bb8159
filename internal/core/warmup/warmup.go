// Package warmup decides how much of its usual load a replica gets that has just started: a share that
// is low at first and grows with the answers that it completes.
package warmup

import (
	"time"

	"gentiancroft/internal/core"
)

const (
	// MinShare is the share of an incarnation that has completed no answer. It is not lower, so that
	// an idle new replica gets its first requests while others are about a quarter full.
	MinShare = 0.25
	// answersToWarm is how many answers to this host end the slow start of an incarnation.
	answersToWarm = 8
	// maxTime ends the slow start of an incarnation that completes too few answers, such as one that
	// this host has little for.
	maxTime = 10 * time.Second
)

// Key identifies an incarnation of a replica.
type Key struct {
	Replica core.UpstreamID
	Started int64
}

// start is the slow start of an incarnation.
type start struct {
	at      core.Instant
	answers int
}

// Starts holds the incarnations that one host has seen start. It is not safe for concurrent use.
type Starts struct{ byKey map[Key]*start }

// NewStarts returns starts of which none is under way.
func NewStarts() *Starts { return &Starts{byKey: map[Key]*start{}} }

// Begin begins the slow start of an incarnation that has just started.
func (s *Starts) Begin(now core.Instant, k Key) { s.byKey[k] = &start{at: now} }

// Answered counts an answer that an incarnation has completed in time.
func (s *Starts) Answered(k Key) {
	if x := s.byKey[k]; x != nil {
		x.answers++
	}
}

// Share returns the share of its usual load that an incarnation is to get, in (0, 1].
func (s *Starts) Share(now core.Instant, k Key) float64 {
	x := s.byKey[k]
	if x == nil || x.over(now) {
		return 1
	}
	return MinShare + (1-MinShare)*float64(x.answers)/answersToWarm
}

func (x *start) over(now core.Instant) bool {
	return x.answers >= answersToWarm || now.Sub(x.at) >= maxTime
}

// Expire forgets the slow starts that are over.
func (s *Starts) Expire(now core.Instant) {
	for k, x := range s.byKey {
		if x.over(now) {
			delete(s.byKey, k)
		}
	}
}
