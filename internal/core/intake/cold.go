package intake

import (
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// A replica is cold for some time after a start: it takes few requests a second from all hosts
// together, and crashes at a rate well above that. Unlike a named limit, coldness ends at a time.

const (
	// entryAge is how much older than its receipt an entry may be. What an event has shown less than
	// this before an entry was received is not ended by that entry.
	entryAge = 2 * time.Second
	// maxColdTime bounds a remaining time that a replica gives, so that a wrong one doesn't limit it
	// for long.
	maxColdTime = time.Minute
	// coldReportTolerance is by how much the known end of coldness must move to be reported to other
	// hosts. The entries of a cold replica move it by their own delay.
	coldReportTolerance = 500 * time.Millisecond
	// coldRetention is how long after its end a coldness is remembered, so that delayed reports of it
	// don't begin it again.
	coldRetention = time.Second
)

// never is a time before all others.
const never core.Instant = math.MinInt64

// forever is a time after all others.
const forever core.Instant = math.MaxInt64

// ColdRule is what the replicas of a service are like when they are cold.
type ColdRule struct {
	PerSecond float64       // requests a second that a cold one takes from all hosts; 0: no limit
	Start     time.Duration // how long one is cold after a start during traffic; 0: not at all
}

// ColdEntry is what a replica's entry in the platform's list shows of its coldness.
type ColdEntry struct {
	New       bool          // it is the first of an incarnation that has started during traffic, as far as this host knows
	Known     bool          // it says how much longer the replica is cold
	Remaining time.Duration // that, as of when the entry was written
}

// Cold is what a host tells others of an incarnation's coldness.
type Cold struct {
	_         struct{} `cbor:",toarray"`
	Key       Key
	For       time.Duration // how much longer it is cold
	Restarted bool          // it has ended, and may come back as another one that is cold
}

// coldness is what is known of one incarnation.
type coldness struct {
	rule        ColdRule
	entryUntil  core.Instant // as its entries say
	eventUntil  core.Instant // as an event has shown that was later than the entries
	eventAt     core.Instant // the latest such event
	unsaidSince core.Instant // it was new, and its entries haven't said whether it is cold
	restartedAt core.Instant // it may have come back as another incarnation
	reported    bool         // it is cold, as last returned by ColdChanges
}

// until returns when the coldness ends.
func (c *coldness) until() core.Instant {
	end := max(c.entryUntil, c.eventUntil)
	if c.rule.Start > 0 && c.restartedAt != never {
		return forever
	}
	if c.rule.Start > 0 && c.unsaidSince != never {
		end = max(end, c.unsaidSince.Add(c.rule.Start))
	}
	return end
}

func (c *coldness) active(now core.Instant) bool { return c.rule.PerSecond > 0 && now < c.until() }

// includes reports whether it is known that the incarnation is cold until about end.
func (c *coldness) includes(end core.Instant) bool { return end.Add(-coldReportTolerance) <= c.until() }

// over reports whether nothing that is known can still make the incarnation cold, under any rule.
func (c *coldness) over(now core.Instant) bool {
	return c.restartedAt == never && now >= max(c.entryUntil, c.eventUntil, 0).Add(coldRetention) &&
		(c.unsaidSince == never || now.Sub(c.unsaidSince) >= maxColdTime)
}

// Cold reports whether an incarnation is cold.
func (l *Limits) Cold(now core.Instant, k Key) bool {
	c := l.cold[k]
	return c != nil && c.active(now)
}

// RateAt returns how many requests a second an incarnation takes, the lower one of what it names and
// what it takes while it is cold, and false where neither limits it.
func (l *Limits) RateAt(now core.Instant, k Key) (perSecond float64, limited bool) {
	perSecond, limited = l.Rate(k)
	c := l.cold[k]
	if c == nil || !c.active(now) {
		return perSecond, limited
	}
	cold := max(c.rule.PerSecond, minRate)
	if limited {
		return min(perSecond, cold), true
	}
	return cold, true
}

// AskEvidence returns the evidence of the limit of an incarnation for its granter, and false where it
// isn't limited. A granter of the previous build takes the rate of a cold one for a limit that it
// names now.
func (l *Limits) AskEvidence(now core.Instant, k Key) (Evidence, bool) {
	rate, limited := l.RateAt(now, k)
	named, ok := l.Evidence(now, k)
	if !limited || ok && named.PerSecond <= rate {
		return named, limited
	}
	return Evidence{Key: k, Named: true, PerSecond: rate}, true
}

// ColdReport returns what is known of an incarnation's coldness, and false where it isn't cold.
func (l *Limits) ColdReport(now core.Instant, k Key) (Cold, bool) {
	c := l.cold[k]
	if c == nil || !c.active(now) {
		return Cold{}, false
	}
	if c.restartedAt != never {
		return Cold{Key: k, Restarted: true}, true
	}
	return Cold{Key: k, For: c.until().Sub(now)}, true
}

// coldnessOf returns the state of an incarnation, under a rule.
func (l *Limits) coldnessOf(k Key, rule ColdRule) *coldness {
	c := l.cold[k]
	if c == nil {
		c = &coldness{entryUntil: never, eventUntil: never, eventAt: never, unsaidSince: never, restartedAt: never}
		l.cold[k] = c
	}
	c.rule = rule
	return c
}

// ApplyEntry applies an entry that was written after those applied before, and reports whether it has
// changed what is known so much that other hosts are to have it. The remaining time counts from now,
// which errs on the long side.
func (l *Limits) ApplyEntry(now core.Instant, k Key, rule ColdRule, e ColdEntry) (changed bool) {
	if l.cold[k] == nil && !(e.New && !e.Known) && e.Remaining <= 0 {
		return false
	}
	c := l.coldnessOf(k, rule)
	wasActive, before := c.active(now), c.until()
	c.applyEntry(now, e)
	isActive, after := c.active(now), c.until()
	if wasActive && isActive {
		return (after == forever) != (before == forever) || after.Sub(before).Abs() > coldReportTolerance
	}
	return wasActive != isActive
}

func (c *coldness) applyEntry(now core.Instant, e ColdEntry) {
	if c.restartedAt != never && now.Sub(c.restartedAt) >= entryAge {
		c.restartedAt = never // this incarnation runs
	}
	switch {
	case e.Known:
		c.entryUntil, c.unsaidSince = now.Add(min(max(e.Remaining, 0), maxColdTime)), never
		if c.eventUntil != never && now.Sub(c.eventAt) >= entryAge {
			c.eventUntil = never
		}
	case e.New:
		c.unsaidSince = now
	}
}

// BeginCold records that an incarnation is cold for d, as shown by an event that its entries may not
// reflect yet. It reports whether that was unknown.
func (l *Limits) BeginCold(now core.Instant, k Key, rule ColdRule, d time.Duration) (changed bool) {
	c := l.coldnessOf(k, rule)
	end := now.Add(min(max(d, 0), maxColdTime))
	known := c.active(now) && c.includes(end)
	c.eventUntil, c.eventAt = max(c.eventUntil, end), now
	return !known && c.active(now)
}

// SuspectRestart records that an incarnation may have ended and come back as another one. It reports
// whether that was unknown.
func (l *Limits) SuspectRestart(now core.Instant, k Key, rule ColdRule) (changed bool) {
	if rule.PerSecond <= 0 || rule.Start <= 0 {
		return false
	}
	c := l.coldnessOf(k, rule)
	changed = c.restartedAt == never
	c.restartedAt = now
	return changed
}

// SuspectedSince returns when an incarnation was last suspected to have come back as another one, and
// false where it isn't.
func (l *Limits) SuspectedSince(k Key) (core.Instant, bool) {
	c := l.cold[k]
	if c == nil || c.restartedAt == never {
		return 0, false
	}
	return c.restartedAt, true
}

// ConfirmRunning records that an incarnation still runs: it has not come back as another one.
func (l *Limits) ConfirmRunning(k Key) {
	if c := l.cold[k]; c != nil {
		c.restartedAt = never
	}
}

// ConfirmRunningSince is ConfirmRunning for the incarnations that have been suspected since a time
// for which confirmed returns true.
func (l *Limits) ConfirmRunningSince(confirmed func(since core.Instant) bool) {
	for _, c := range l.cold {
		if c.restartedAt != never && confirmed(c.restartedAt) {
			c.restartedAt = never
		}
	}
}

// ApplyCold applies another host's report, and reports whether it was unknown. What is known changes
// nothing, so that hosts that report to each other don't prolong it.
func (l *Limits) ApplyCold(now core.Instant, rule ColdRule, report Cold) (changed bool) {
	if report.Restarted {
		return l.SuspectRestart(now, report.Key, rule)
	}
	if c := l.cold[report.Key]; report.For <= 0 || c != nil && c.includes(now.Add(min(report.For, maxColdTime))) {
		return false
	}
	return l.BeginCold(now, report.Key, rule, report.For)
}

// SetColdRules sets the rules of all incarnations of which anything is known.
func (l *Limits) SetColdRules(ruleOf func(Key) ColdRule) {
	for k, c := range l.cold {
		c.rule = ruleOf(k)
	}
}

// ColdChange is the beginning or end of an incarnation's coldness.
type ColdChange struct {
	Key       Key
	Begun     bool
	PerSecond float64
	For       time.Duration // how much longer it is cold; 0: until an entry shows which incarnation runs
}

// ColdChanges returns the incarnations that have turned cold, or no longer are, since the last call,
// and forgets those of which nothing remains to be known.
func (l *Limits) ColdChanges(now core.Instant) []ColdChange {
	var changes []ColdChange
	for k, c := range l.cold {
		if active := c.active(now); active != c.reported {
			c.reported = active
			change := ColdChange{Key: k, Begun: active, PerSecond: c.rule.PerSecond}
			if end := c.until(); active && end != forever {
				change.For = end.Sub(now)
			}
			changes = append(changes, change)
		}
		if !c.reported && c.over(now) {
			delete(l.cold, k)
		}
	}
	slices.SortFunc(changes, func(a, b ColdChange) int { return a.Key.Compare(b.Key) })
	return changes
}

// ColdCount returns the number of cold incarnations.
func (l *Limits) ColdCount(now core.Instant) int {
	n := 0
	for _, c := range l.cold {
		if c.active(now) {
			n++
		}
	}
	return n
}
