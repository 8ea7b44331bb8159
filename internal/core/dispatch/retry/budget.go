// Package retry bounds how much work retries may add, so that a failing fleet
// is not driven further down by them.
package retry

import (
	"time"

	"gentiancroft/internal/core"
)

// Settings of a budget. Zero fields take their defaults.
type Settings struct {
	Share float64 // retries per first attempt, within [0, 1]
	Floor float64 // retries per second that are always allowed
	Burst float64 // most retries saved up
}

// Defaults of the settings.
const (
	defaultShare = 0.1
	defaultFloor = 1
	defaultBurst = 10
)

// Budget is one host's allowance of retries.
type Budget struct {
	settings Settings
	saved    float64
	at       core.Instant
}

// NewBudget returns a budget that holds one second of its floor.
func NewBudget(s Settings) *Budget {
	s = s.withDefaults()
	return &Budget{settings: s, saved: s.Floor}
}

// Adjust changes the settings; what is saved up stays, within the new burst.
func (b *Budget) Adjust(s Settings) {
	b.settings = s.withDefaults()
	b.saved = min(b.saved, b.settings.Burst)
}

func (s Settings) withDefaults() Settings {
	if s.Share <= 0 {
		s.Share = defaultShare
	}
	if s.Floor <= 0 {
		s.Floor = defaultFloor
	}
	if s.Burst <= 0 {
		s.Burst = defaultBurst
	}
	return s
}

// First records a first attempt.
func (b *Budget) First(now core.Instant) {
	b.accrue(now)
	b.saved = min(b.saved+b.settings.Share, b.settings.Burst)
}

// Retry takes one retry from the budget and reports whether there was one.
// Call it only before the first byte has gone to the caller, and only for
// idempotent work or where the upstream surely did not run the request.
func (b *Budget) Retry(now core.Instant) bool {
	b.accrue(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Left is how many retries may be made now.
func (b *Budget) Left(now core.Instant) float64 {
	b.accrue(now)
	return b.saved
}

func (b *Budget) accrue(now core.Instant) {
	passed := max(now.Sub(b.at), 0)
	b.at = max(b.at, now)
	b.saved = min(b.saved+b.settings.Floor*float64(passed)/float64(time.Second), b.settings.Burst)
}
