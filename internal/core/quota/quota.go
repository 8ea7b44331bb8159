// Package quota decides whether a request is admitted within its workspace's rate,
// which holds over all hosts. It decides locally, without a call to another host.
//
// Every host counts the tokens that it has admitted and gossips its running totals.
// Each keeps one token bucket per workspace for the whole fleet, charges it with its
// own and the other hosts' totals, and admits while the bucket is not in debt. What
// hosts admit before they receive each other's totals becomes a debt of all buckets,
// so the rate holds on average and is exceeded by at most what is admitted within one
// gossip interval.
//
// A host that reaches only a fraction of the fleet fills its buckets at that fraction
// of the rate: however the network is partitioned, the rates of all sides add up to
// the whole. The fraction, the totals and the configuration come from the caller,
// which also sends this host's totals.
package quota

import (
	"math"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// minRetryAfter is the shortest wait returned with a refusal.
const minRetryAfter = 50 * time.Millisecond

// maxRetryAfter is the longest wait returned with a refusal.
const maxRetryAfter = 2 * time.Second

// joinFraction is the fraction of the burst that a bucket starts with on a host that
// joins a running fleet. It is low because all hosts may have restarted at the same
// time.
const joinFraction = 0.15

// Totals are the tokens that one host has admitted since it started, by workspace.
type Totals map[core.WorkspaceID]int64

// bucket is this host's copy of a workspace's token bucket for the whole fleet.
type bucket struct {
	rate     float64 // tokens per second over all hosts
	burst    float64 // tokens
	level    float64 // tokens; negative: debt
	filledAt core.Instant
}

// Machine holds one host's buckets and the totals of all hosts.
type Machine struct {
	buckets           map[core.WorkspaceID]*bucket
	admitted          Totals
	reported          map[core.HostID]Totals
	reachableFraction float64 // of the fleet, this host included
	restored          bool    // levels are no longer restored
	startFull         bool    // the first buckets are full: the whole deployment starts
}

// New returns a machine without workspaces. Joining means that the fleet is running
// already: the buckets then start partly filled, since the tokens spent before are
// unknown.
func New(joining bool) *Machine {
	return &Machine{
		buckets:           map[core.WorkspaceID]*bucket{},
		admitted:          Totals{},
		reported:          map[core.HostID]Totals{},
		reachableFraction: 1,
		startFull:         !joining,

		restored: !joining,
	}
}

// Configure sets the workspaces and their rates. Workspaces without a rate are not
// limited. An existing bucket keeps its level, up to the new burst.
func (m *Machine) Configure(now core.Instant, workspaces map[core.WorkspaceID]*table.Workspace) {
	next := make(map[core.WorkspaceID]*bucket, len(workspaces))
	for id, w := range workspaces {
		if w.Rate <= 0 {
			continue
		}
		b := m.buckets[id]
		switch {
		case b == nil && m.startFull:
			b = &bucket{level: w.Burst, filledAt: now}
		case b == nil:
			b = &bucket{level: joinFraction * w.Burst, filledAt: now}
		default:
			m.refill(now, b)
		}
		b.rate, b.burst = w.Rate, w.Burst
		b.level = min(b.level, b.burst)
		next[id] = b
	}
	m.buckets = next
	if len(next) > 0 {
		m.startFull = false
	}
}

// restoredFraction is the fraction of a level from before the start that is restored:
// some of it may have been spent after it was reported.
const restoredFraction = 0.6

// Restore raises the buckets of a host that has just joined according to their levels
// before its start, as fractions of the bursts. Only the first call has an effect.
func (m *Machine) Restore(levels map[core.WorkspaceID]float64) {
	if m.restored {
		return
	}
	m.restored = true
	for id, fraction := range levels {
		if b := m.buckets[id]; b != nil {
			b.level += max(restoredFraction*min(fraction, 1)-joinFraction, 0) * b.burst
		}
	}
}

// Levels returns the bucket levels as fractions of the bursts, from -1 to 1, rounded
// to hundredths.
func (m *Machine) Levels(now core.Instant) map[core.WorkspaceID]float64 {
	const precision = 100
	levels := make(map[core.WorkspaceID]float64, len(m.buckets))
	for id, b := range m.buckets {
		m.refill(now, b)
		if b.burst > 0 {
			levels[id] = math.Round(max(b.level/b.burst, -1)*precision) / precision
		}
	}
	return levels
}

// SetReachableFraction sets the fraction of the fleet that this host reaches, itself
// included, in (0, 1].
func (m *Machine) SetReachableFraction(now core.Instant, fraction float64) {
	if fraction == m.reachableFraction {
		return
	}
	for _, b := range m.buckets {
		m.refill(now, b)
	}
	m.reachableFraction = fraction
}

// refill adds the tokens that the elapsed time has earned.
func (m *Machine) refill(now core.Instant, b *bucket) {
	passed := max(now.Sub(b.filledAt), 0)
	b.filledAt = max(b.filledAt, now)
	b.level = min(b.level+b.rate*m.reachableFraction*passed.Seconds(), b.burst*m.reachableFraction)
}

// Admit admits and charges a request while its bucket is not in debt. Otherwise it
// returns false and when to retry. Workspaces without a bucket are not limited.
func (m *Machine) Admit(now core.Instant, id core.WorkspaceID, cost core.Tokens) (ok bool, retryAfter time.Duration) {
	b := m.buckets[id]
	if b == nil {
		return true, 0
	}
	m.refill(now, b)
	if b.level <= 0 {
		wait := time.Duration((float64(cost) - b.level) / (b.rate * m.reachableFraction) * float64(time.Second))
		return false, min(max(wait, minRetryAfter), maxRetryAfter)
	}
	b.level -= float64(cost)
	m.admitted[id] += int64(cost)
	return true, 0
}

// Level returns the tokens left in a workspace's bucket, 0 if it has none, and the
// fraction of the fleet that this host reaches.
func (m *Machine) Level(now core.Instant, id core.WorkspaceID) (tokens int64, fraction float64) {
	b := m.buckets[id]
	if b == nil {
		return 0, m.reachableFraction
	}
	m.refill(now, b)
	return int64(b.level), m.reachableFraction
}

// Refund refunds the tokens of an admitted request that was not run.
func (m *Machine) Refund(now core.Instant, id core.WorkspaceID, cost core.Tokens) {
	m.admitted[id] -= int64(cost)
	if b := m.buckets[id]; b != nil {
		m.refill(now, b)
		b.level = min(b.level+float64(cost), b.burst*m.reachableFraction)
	}
}

// Admitted returns the tokens that this host has admitted since it started, by workspace.
func (m *Machine) Admitted() Totals { return m.admitted }

// ApplyTotals applies another host's totals and charges the difference from its previous
// ones to the buckets. The caller must drop totals older than those applied last.
func (m *Machine) ApplyTotals(now core.Instant, from core.HostID, totals Totals) {
	known := m.reported[from]
	if known == nil {
		known = Totals{}
		m.reported[from] = known
	}
	for id, total := range totals {
		spent := total - known[id]
		known[id] = total
		b := m.buckets[id]
		if b == nil || spent == 0 {
			continue
		}
		m.refill(now, b)
		b.level = max(min(b.level-float64(spent), b.burst*m.reachableFraction), -b.burst-b.rate)
	}
}

// SetTotals sets another host's totals without charging them: the first totals received
// from a host that was running before this one were spent before this one started.
func (m *Machine) SetTotals(from core.HostID, totals Totals) {
	known := Totals{}
	for id, total := range totals {
		known[id] = total
	}
	m.reported[from] = known
}

// HasTotals reports whether a host's totals have been received.
func (m *Machine) HasTotals(from core.HostID) bool { return m.reported[from] != nil }
