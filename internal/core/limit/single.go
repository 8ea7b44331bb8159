package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// Single is one limit kept in a single place with a single clock. Measurements
// compare the distributed limit with it.
type Single struct{ bucket bucket }

// NewSingle returns a limit whose burst is full.
func NewSingle(now core.Instant, rate, burst core.Tokens) *Single {
	return &Single{bucket{rate: toMicrotokenRate(rate), burst: toNanotokens(burst), level: toNanotokens(burst), last: now}}
}

// NewEmptySingle returns a limit whose burst has yet to accrue.
func NewEmptySingle(now core.Instant, rate, burst core.Tokens) *Single {
	s := NewSingle(now, rate, burst)
	s.bucket.level = 0
	return s
}

// Take reserves tokens and reports whether there were enough; mark identifies the
// reservation.
func (s *Single) Take(now core.Instant, n core.Tokens) (mark uint64, ok bool) {
	return s.bucket.take(now, toNanotokens(n))
}

// Settle returns the unused tokens of a reservation.
func (s *Single) Settle(now core.Instant, mark uint64, unused core.Tokens) {
	s.bucket.settle(now, mark, toNanotokens(unused))
}

// Move removes up to n tokens, with the burst they occupy, for another part of the
// limit, to which Add adds them. It returns how many.
func (s *Single) Move(now core.Instant, n core.Tokens) core.Tokens {
	s.bucket.advance(now)
	n = min(n, core.Tokens(s.bucket.level/nanotokensPerToken))
	if n <= 0 {
		return 0
	}
	s.bucket.level -= toNanotokens(n)
	s.bucket.burst -= toNanotokens(n)
	s.bucket.sampleRoom()
	return n
}

// Add adds tokens that Move removed, with the burst they occupy.
func (s *Single) Add(now core.Instant, n core.Tokens) {
	s.bucket.grow(now, 0, toNanotokens(n), toNanotokens(n))
}

// AddBurst returns burst that Move removed, without tokens.
func (s *Single) AddBurst(now core.Instant, n core.Tokens) { s.bucket.grow(now, 0, toNanotokens(n), 0) }

// TimeUntil returns the time until n tokens will have accrued.
func (s *Single) TimeUntil(now core.Instant, n core.Tokens) time.Duration {
	s.bucket.advance(now)
	return accrualTime(toNanotokens(n)-s.bucket.level, s.bucket.rate)
}
