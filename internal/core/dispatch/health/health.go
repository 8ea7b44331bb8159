// Package health judges one upstream by its polls (active) and by how requests
// end there (passive), and lets it take load slowly after a restart.
package health

import (
	"time"

	"gentiancroft/internal/core"
)

// Settings of the judgement. Zero fields take their defaults.
type Settings struct {
	Failures  int           // polls or requests failed in a row that make a suspect
	Successes int           // polls in a row that clear one
	Eject     time.Duration // first time out; doubles with each ejection in a row
	MaxEject  time.Duration
	SlowStart time.Duration // from a restart to full load
}

// Defaults of the settings.
const (
	defaultFailures  = 3
	defaultSuccesses = 2
	defaultEject     = 5 * time.Second
	defaultMaxEject  = time.Minute
	defaultSlowStart = 10 * time.Second
	minWarmth        = 0.1
)

func (s Settings) withDefaults() Settings {
	if s.Failures <= 0 {
		s.Failures = defaultFailures
	}
	if s.Successes <= 0 {
		s.Successes = defaultSuccesses
	}
	if s.Eject <= 0 {
		s.Eject = defaultEject
	}
	if s.MaxEject <= 0 {
		s.MaxEject = defaultMaxEject
	}
	if s.SlowStart <= 0 {
		s.SlowStart = defaultSlowStart
	}
	return s
}

// Tracker is the health of one upstream. Whoever filters by it bounds how many
// may be left out at once.
type Tracker struct {
	settings  Settings
	failures  int // in a row
	successes int // polls in a row since the ejection
	ejections int // in a row
	suspect   bool
	until     core.Instant // earliest end of the ejection
	started   core.Instant
	starting  bool
}

// NewTracker returns the tracker of an upstream that is well and warm.
func NewTracker(s Settings) *Tracker { return &Tracker{settings: s.withDefaults()} }

// Polled records the end of an active probe.
func (t *Tracker) Polled(now core.Instant, ok bool) {
	if !ok {
		t.failed(now)
		return
	}
	if !t.suspect {
		t.failures = 0
		return
	}
	t.successes++
	if t.successes >= t.settings.Successes && !now.Before(t.until) {
		t.clear(now)
	}
}

// Served records how a request ended at the upstream.
func (t *Tracker) Served(now core.Instant, ok bool) {
	if !ok {
		t.failed(now)
		return
	}
	if !t.suspect {
		t.failures = 0
		t.ejections = 0
	}
}

// Restarted begins a slow start.
func (t *Tracker) Restarted(now core.Instant) {
	t.started, t.starting = now, true
}

// Suspect reports whether the upstream should be avoided.
func (t *Tracker) Suspect() bool { return t.suspect }

// Warmth is the share of a full load that the upstream may take, in (0, 1].
func (t *Tracker) Warmth(now core.Instant) float64 {
	if !t.starting {
		return 1
	}
	share := float64(now.Sub(t.started)) / float64(t.settings.SlowStart)
	if share >= 1 {
		t.starting = false
		return 1
	}
	return max(share, minWarmth)
}

func (t *Tracker) failed(now core.Instant) {
	t.successes = 0
	t.failures++
	if t.suspect || t.failures < t.settings.Failures {
		return
	}
	out := t.settings.Eject << min(t.ejections, 16)
	t.suspect = true
	t.until = now.Add(min(out, t.settings.MaxEject))
	t.ejections++
}

func (t *Tracker) clear(now core.Instant) {
	t.suspect = false
	t.failures = 0
	t.successes = 0
	t.Restarted(now)
}
