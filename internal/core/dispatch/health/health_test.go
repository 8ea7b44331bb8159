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
	h.RecordPoll(now, false)
	h.RecordRequest(now, false)
	h.RecordPoll(now, true)
	h.RecordPoll(now, false)
	is.True(!h.Ejected()) // not in a row
	h.RecordRequest(now, false)
	h.RecordRequest(now, false)
	is.True(h.Ejected())
	h.RecordPoll(now, true)
	h.RecordPoll(now, true)
	is.True(h.Ejected()) // too early
	h.RecordPoll(now.Add(defaultEject), true)
	is.True(!h.Ejected())
	is.True(h.SlowStartWeight(now.Add(defaultEject)) < 0.2) // slow start begins
	is.Equal(h.SlowStartWeight(now.Add(defaultEject+defaultSlowStart)), 1.0)
}

func TestEjectionTimeIsBounded(t *testing.T) {
	is := is.New(t)
	h := NewTracker(Settings{})
	now := core.Instant(0)
	for range 10 {
		for range defaultFailures {
			h.RecordPoll(now, false)
		}
		is.True(h.Ejected())
		is.True(h.ejectedUntil.Sub(now) <= time.Minute)
		now = h.ejectedUntil
		h.RecordPoll(now, true)
		h.RecordPoll(now, true)
		is.True(!h.Ejected())
	}
	is.Equal(h.ejections, 10)
	h.RecordRequest(now, true)
	is.Equal(h.ejections, 0)
}
