// Package health ejects one upstream by its polls (active health check) and by how
// requests end there (passive), and limits its load after a restart (slow start).
//
// Inputs are results of polls and requests, restarts and the time. Polling,
// detecting restarts and filtering are left to the caller.
package health

import (
	"time"

	"gentiancroft/internal/core"
)

// Settings are the thresholds and times of a Tracker. Zero fields take their
// defaults.
type Settings struct {
	FailureThreshold int           // failed polls or requests in a row that eject the upstream
	SuccessThreshold int           // successful polls in a row that end the ejection
	BaseEjection     time.Duration // first ejection; doubles with each ejection in a row
	MaxEjection      time.Duration // maximum time of one ejection
	SlowStart        time.Duration // from a restart to full load
}

// Defaults of the settings.
const (
	defaultFailures    = 3
	defaultSuccesses   = 2
	defaultEject       = 5 * time.Second
	defaultMaxEject    = time.Minute
	defaultSlowStart   = 10 * time.Second
	minSlowStartWeight = 0.1
)

func (s Settings) withDefaults() Settings {
	if s.FailureThreshold <= 0 {
		s.FailureThreshold = defaultFailures
	}
	if s.SuccessThreshold <= 0 {
		s.SuccessThreshold = defaultSuccesses
	}
	if s.BaseEjection <= 0 {
		s.BaseEjection = defaultEject
	}
	if s.MaxEjection <= 0 {
		s.MaxEjection = defaultMaxEject
	}
	if s.SlowStart <= 0 {
		s.SlowStart = defaultSlowStart
	}
	return s
}

// Tracker is the health of one upstream. A caller that filters by it must bound
// how many upstreams are ejected at the same time.
type Tracker struct {
	settings     Settings
	failures     int // in a row
	successes    int // polls in a row since the ejection
	ejections    int // in a row
	ejected      bool
	ejectedUntil core.Instant // earliest end of the ejection
	started      core.Instant // start of the slow start
	starting     bool         // in slow start
}

// NewTracker returns the tracker of a healthy upstream at full load.
func NewTracker(s Settings) *Tracker { return &Tracker{settings: s.withDefaults()} }

// RecordPoll records the result of a poll. Enough successes in a row end an ejection
// once its time has passed.
func (t *Tracker) RecordPoll(now core.Instant, ok bool) {
	if !ok {
		t.recordFailure(now)
		return
	}
	if !t.ejected {
		t.failures = 0
		return
	}
	t.successes++
	if t.successes >= t.settings.SuccessThreshold && !now.Before(t.ejectedUntil) {
		t.clear(now)
	}
}

// RecordRequest records how a request ended at the upstream.
func (t *Tracker) RecordRequest(now core.Instant, ok bool) {
	if !ok {
		t.recordFailure(now)
		return
	}
	if !t.ejected {
		t.failures = 0
		t.ejections = 0
	}
}

// StartSlowStart begins a slow start.
func (t *Tracker) StartSlowStart(now core.Instant) {
	t.started, t.starting = now, true
}

// Ejected reports whether the upstream is ejected.
func (t *Tracker) Ejected() bool { return t.ejected }

// SlowStartWeight returns the fraction of a full load that the upstream may get, in (0, 1].
func (t *Tracker) SlowStartWeight(now core.Instant) float64 {
	if !t.starting {
		return 1
	}
	fraction := float64(now.Sub(t.started)) / float64(t.settings.SlowStart)
	if fraction >= 1 {
		t.starting = false
		return 1
	}
	return max(fraction, minSlowStartWeight)
}

func (t *Tracker) recordFailure(now core.Instant) {
	t.successes = 0
	t.failures++
	if t.ejected || t.failures < t.settings.FailureThreshold {
		return
	}
	ejection := t.settings.BaseEjection << min(t.ejections, 16)
	t.ejected = true
	t.ejectedUntil = now.Add(min(ejection, t.settings.MaxEjection))
	t.ejections++
}

func (t *Tracker) clear(now core.Instant) {
	t.ejected = false
	t.failures = 0
	t.successes = 0
	t.StartSlowStart(now)
}
