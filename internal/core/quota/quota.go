// Package quota keeps the workspaces' rates over all hosts without asking
// anyone before a request is admitted.
//
// Every host counts what it has admitted and tells the others its running
// totals. Each keeps one token bucket a workspace for the whole fleet, takes
// its own and the others' spending out of it, and admits while the bucket is
// not in debt. What two hosts admit before they hear of each other becomes debt
// that all of them pay back, so the rate holds on average and is exceeded by at
// most what is admitted within one interval of the reports.
//
// A host that does not hear the whole fleet fills its bucket at its part of the
// rate alone: whatever way the fleet is cut, the parts' rates add up to the
// whole.
package quota

import (
	"math"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// retryLeast is the shortest wait that a refused caller is told.
const retryLeast = 50 * time.Millisecond

// retryMost is the longest.
const retryMost = 2 * time.Second

// joinLevel is how full the buckets of a host are that joins a fleet at work, as
// a part of the burst: all hosts of a fleet may have restarted at once, so it is
// little.
const joinLevel = 0.15

// Totals are what one host has admitted since it started, by workspace.
type Totals map[core.WorkspaceID]int64

// bucket is one workspace's tokens, as this host sees the fleet.
type bucket struct {
	rate  float64 // tokens a second, of the whole fleet
	burst float64
	level float64
	at    core.Instant
}

// Machine is one host's view of all workspaces' rates.
type Machine struct {
	buckets  map[core.WorkspaceID]*bucket
	mine     Totals
	heard    map[core.HostID]Totals
	part     float64 // share of the fleet that this host hears, itself included
	restored bool    // nothing is to be restored any more
	fresh    bool    // the whole deployment starts: the first buckets are full
}

// New returns a machine without workspaces. A host that joins a fleet at work
// starts with little in its buckets, for it can't know what was spent before it
// came.
func New(joining bool) *Machine {
	return &Machine{
		buckets: map[core.WorkspaceID]*bucket{},
		mine:    Totals{},
		heard:   map[core.HostID]Totals{},
		part:    1,
		fresh:   !joining,

		restored: !joining,
	}
}

// Configure takes the workspaces of a configuration. A bucket that stays keeps
// its level, within the new burst.
func (m *Machine) Configure(now core.Instant, workspaces map[core.WorkspaceID]*table.Workspace) {
	next := make(map[core.WorkspaceID]*bucket, len(workspaces))
	for id, w := range workspaces {
		if w.Rate <= 0 {
			continue
		}
		b := m.buckets[id]
		switch {
		case b == nil && m.fresh:
			b = &bucket{level: w.Burst, at: now}
		case b == nil:
			b = &bucket{level: joinLevel * w.Burst, at: now}
		default:
			m.fill(now, b)
		}
		b.rate, b.burst = w.Rate, w.Burst
		b.level = min(b.level, b.burst)
		next[id] = b
	}
	m.buckets = next
	if len(next) > 0 {
		m.fresh = false
	}
}

// restoredPart is how much of what was in a bucket before a start is put back:
// some of it may have been spent after it was told.
const restoredPart = 0.6

// Restore takes how full the buckets were a moment ago, as parts of their
// bursts, where this host has just started and knows nothing better.
func (m *Machine) Restore(levels map[core.WorkspaceID]float64) {
	if m.restored {
		return
	}
	m.restored = true
	for id, part := range levels {
		if b := m.buckets[id]; b != nil {
			b.level += max(restoredPart*min(part, 1)-joinLevel, 0) * b.burst
		}
	}
}

// Levels are how full the buckets are, as parts of their bursts.
func (m *Machine) Levels(now core.Instant) map[core.WorkspaceID]float64 {
	const precision = 100
	levels := make(map[core.WorkspaceID]float64, len(m.buckets))
	for id, b := range m.buckets {
		m.fill(now, b)
		if b.burst > 0 {
			levels[id] = math.Round(max(b.level/b.burst, -1)*precision) / precision
		}
	}
	return levels
}

// Hears sets how much of the fleet this host hears, itself included, in (0, 1].
func (m *Machine) Hears(now core.Instant, part float64) {
	if part == m.part {
		return
	}
	for _, b := range m.buckets {
		m.fill(now, b)
	}
	m.part = part
}

func (m *Machine) fill(now core.Instant, b *bucket) {
	passed := max(now.Sub(b.at), 0)
	b.at = max(b.at, now)
	b.level = min(b.level+b.rate*m.part*passed.Seconds(), b.burst*m.part)
}

// Take admits a request and charges it, or says when to come back.
func (m *Machine) Take(now core.Instant, id core.WorkspaceID, cost core.Tokens) (ok bool, retryAfter time.Duration) {
	b := m.buckets[id]
	if b == nil {
		return true, 0
	}
	m.fill(now, b)
	if b.level <= 0 {
		wait := time.Duration((float64(cost) - b.level) / (b.rate * m.part) * float64(time.Second))
		return false, min(max(wait, retryLeast), retryMost)
	}
	b.level -= float64(cost)
	m.mine[id] += int64(cost)
	return true, 0
}

// Level is what is left in a workspace's bucket, and the part of the fleet that
// this host hears.
func (m *Machine) Level(now core.Instant, id core.WorkspaceID) (tokens int64, part float64) {
	b := m.buckets[id]
	if b == nil {
		return 0, m.part
	}
	m.fill(now, b)
	return int64(b.level), m.part
}

// Return gives back the tokens of a request that was not run after all.
func (m *Machine) Return(now core.Instant, id core.WorkspaceID, cost core.Tokens) {
	m.mine[id] -= int64(cost)
	if b := m.buckets[id]; b != nil {
		m.fill(now, b)
		b.level = min(b.level+float64(cost), b.burst*m.part)
	}
}

// Mine is what this host has admitted since it started.
func (m *Machine) Mine() Totals { return m.mine }

// Heard takes another host's totals. Totals that come late change nothing.
func (m *Machine) Heard(now core.Instant, from core.HostID, totals Totals) {
	known := m.heard[from]
	if known == nil {
		known = Totals{}
		m.heard[from] = known
	}
	for id, total := range totals {
		spent := total - known[id]
		known[id] = total
		b := m.buckets[id]
		if b == nil || spent == 0 {
			continue
		}
		m.fill(now, b)
		b.level = max(min(b.level-float64(spent), b.burst*m.part), -b.burst-b.rate)
	}
}

// Join takes another host's totals as spent long ago: what a host hears first
// from one that has been at work for a while.
func (m *Machine) Join(from core.HostID, totals Totals) {
	known := Totals{}
	for id, total := range totals {
		known[id] = total
	}
	m.heard[from] = known
}

// Knows reports whether a host's totals have been heard.
func (m *Machine) Knows(from core.HostID) bool { return m.heard[from] != nil }
