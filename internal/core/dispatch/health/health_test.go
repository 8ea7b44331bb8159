package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestEjectedAfterFailuresInARowAndClearedAfterItsTime(t *testing.T) {
	is := is.New(t)
	h := NewTracker(Settings{})
	now := core.Instant(0)
	h.Polled(now, false)
	h.Served(now, false)
	h.Polled(now, true)
	h.Polled(now, false)
	is.True(!h.Suspect()) // not in a row
	h.Served(now, false)
	h.Served(now, false)
	is.True(h.Suspect())
	h.Polled(now, true)
	h.Polled(now, true)
	is.True(h.Suspect()) // too early
	h.Polled(now.Add(defaultEject), true)
	is.True(!h.Suspect())
	is.True(h.Warmth(now.Add(defaultEject)) < 0.2) // slow start begins
	is.Equal(h.Warmth(now.Add(defaultEject+defaultSlowStart)), 1.0)
}

func TestEjectionTimeIsBounded(t *testing.T) {
	is := is.New(t)
	h := NewTracker(Settings{})
	now := core.Instant(0)
	for range 10 {
		for range defaultFailures {
			h.Polled(now, false)
		}
		is.True(h.Suspect())
		is.True(h.ejectedUntil.Sub(now) <= time.Minute)
		now = h.ejectedUntil
		h.Polled(now, true)
		h.Polled(now, true)
		is.True(!h.Suspect())
	}
	is.Equal(h.ejections, 10)
	h.Served(now, true)
	is.Equal(h.ejections, 0)
}
