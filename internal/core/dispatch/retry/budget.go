// Package retry bounds how much work retries may add, so that they don't overload
// a failing fleet further.
//
// Inputs are first attempts, retries and the time. Whether a request may be retried
// at all, backoff and the choice of upstream are left to the caller.
package retry

import (
	"time"

	"gentiancroft/internal/core"
)

// Settings are the bounds of a budget. Zero fields take their defaults.
type Settings struct {
	Ratio        float64 // retries per first attempt, within [0, 1]
	MinPerSecond float64 // retries per second that are always allowed
	Burst        float64 // maximum number of unused retries kept
}

// Defaults of the settings.
const (
	defaultRatio        = 0.1
	defaultMinPerSecond = 1
	defaultBurst        = 10
)

// Budget limits one host's retries, as a token bucket.
type Budget struct {
	settings  Settings
	balance   float64      // retries that may be made now
	accruedAt core.Instant // time of the last accrual
}

// NewBudget returns a budget that holds MinPerSecond retries at now.
func NewBudget(now core.Instant, s Settings) *Budget {
	s = s.withDefaults()
	return &Budget{settings: s, balance: s.MinPerSecond, accruedAt: now}
}

// Adjust changes the settings; unused retries are kept up to the new burst.
func (b *Budget) Adjust(s Settings) {
	b.settings = s.withDefaults()
	b.balance = min(b.balance, b.settings.Burst)
}

func (s Settings) withDefaults() Settings {
	if s.Ratio <= 0 {
		s.Ratio = defaultRatio
	}
	if s.MinPerSecond <= 0 {
		s.MinPerSecond = defaultMinPerSecond
	}
	if s.Burst <= 0 {
		s.Burst = defaultBurst
	}
	return s
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt(now core.Instant) {
	b.accrue(now)
	b.balance = min(b.balance+b.settings.Ratio, b.settings.Burst)
}

// Withdraw takes one retry from the budget and reports whether there was one. Call it
// only before the first byte has gone to the caller, and only for idempotent work
// or if the upstream certainly did not run the request.
func (b *Budget) Withdraw(now core.Instant) bool {
	b.accrue(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Available returns how many retries may be made now.
func (b *Budget) Available(now core.Instant) float64 {
	b.accrue(now)
	return b.balance
}

func (b *Budget) accrue(now core.Instant) {
	passed := max(now.Sub(b.accruedAt), 0)
	b.accruedAt = max(b.accruedAt, now)
	b.balance = min(b.balance+b.settings.MinPerSecond*float64(passed)/float64(time.Second), b.settings.Burst)
}
