package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// Single is a whole limit in one place, by one clock: what a fleet of machines
// is measured against.
type Single struct{ slice bucket }

// NewSingle returns a limit whose burst is full.
func NewSingle(now core.Instant, rate, burst core.Tokens) *Single {
	return &Single{bucket{rate: micros(rate), burst: nanos(burst), level: nanos(burst), last: now}}
}

// NewEmpty returns a limit whose burst has to accrue first.
func NewEmpty(now core.Instant, rate, burst core.Tokens) *Single {
	s := NewSingle(now, rate, burst)
	s.slice.level = 0
	return s
}

// Take reserves tokens; mark identifies the reservation.
func (s *Single) Take(now core.Instant, n core.Tokens) (mark uint64, ok bool) {
	return s.slice.take(now, nanos(n))
}

// Settle gives back what a reservation did not use.
func (s *Single) Settle(now core.Instant, mark uint64, unused core.Tokens) {
	s.slice.settle(now, mark, nanos(unused))
}

// Move takes up to n tokens out of the burst for another part of the limit,
// which Add puts them in; the burst they occupy moves with them.
func (s *Single) Move(now core.Instant, n core.Tokens) core.Tokens {
	s.slice.advance(now)
	n = min(n, core.Tokens(s.slice.level/nanosPerToken))
	if n <= 0 {
		return 0
	}
	s.slice.level -= nanos(n)
	s.slice.burst -= nanos(n)
	s.slice.sample()
	return n
}

// Add puts moved tokens and the burst they occupy in.
func (s *Single) Add(now core.Instant, n core.Tokens) { s.slice.grow(now, 0, nanos(n), nanos(n)) }

// Shift gives back burst that Move took, without tokens.
func (s *Single) Shift(now core.Instant, n core.Tokens) { s.slice.grow(now, 0, nanos(n), 0) }

// Retry is when n tokens will have accrued.
func (s *Single) Retry(now core.Instant, n core.Tokens) time.Duration {
	s.slice.advance(now)
	return timeFor(nanos(n)-s.slice.level, s.slice.rate)
}
