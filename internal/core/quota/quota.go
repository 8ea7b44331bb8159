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
// While the bucket is low and demand exceeds the rate, a host admits at its own pace: the
// rate times its share of the recent demand, corrected by the bucket's level. Without it
// all hosts refuse until the debt is paid back, and then all admit until they receive each
// other's totals. For the shares, hosts gossip what they were asked for. More urgent requests go
// first; less urgent ones keep a part of the pace.
//
// A host that reaches only a fraction of the fleet fills its buckets at that fraction
// of the rate: however the network is partitioned, the rates of all sides add up to
// the whole. The fraction, the totals and the configuration come from the caller,
// which also sends this host's totals.
package quota

import (
	"maps"
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
	demand   demand
	pace     pace
}

// askedTotals are the tokens that another host was asked for, as last reported.
type askedTotals struct {
	totals Totals
	at     core.Instant
}

// Machine holds one host's buckets and the totals of all hosts.
type Machine struct {
	buckets           map[core.WorkspaceID]*bucket
	admitted          Totals
	asked             Totals
	reported          map[core.HostID]Totals
	reportedAsked     map[core.HostID]askedTotals
	hosts             int     // that serve callers, this host included
	reporting         int     // other hosts that reported lately what they were asked for
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
		asked:             Totals{},
		reported:          map[core.HostID]Totals{},
		reportedAsked:     map[core.HostID]askedTotals{},
		hosts:             1,
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
		b.pace.at = max(b.pace.at, b.filledAt)
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

// SetHosts sets the number of hosts that serve callers, this host included, and forgets the
// reports of those that have not reported for long.
func (m *Machine) SetHosts(now core.Instant, n int) {
	m.hosts, m.reporting = max(n, 1), 0
	for from, last := range m.reportedAsked {
		switch age := now.Sub(last.at); {
		case age >= askedRetention:
			delete(m.reportedAsked, from)
		case age < askedTTL:
			m.reporting++
		}
	}
}

// silentRatio is how many hosts are reached for each whose demand is known. The others are
// taken to have as much demand: a host that has just started must not take all for its own.
func (m *Machine) silentRatio() float64 {
	reached := m.reachableFraction * float64(m.hosts)
	return max(reached/float64(1+m.reporting), 1)
}

// refill adds the tokens that the elapsed time has earned.
func (m *Machine) refill(now core.Instant, b *bucket) {
	passed := max(now.Sub(b.filledAt), 0)
	b.filledAt = max(b.filledAt, now)
	b.level = min(b.level+b.rate*m.reachableFraction*passed.Seconds(), b.burst*m.reachableFraction)
}

// Request is a request that asks for tokens of a workspace.
type Request struct {
	Workspace core.WorkspaceID
	Cost      core.Tokens
	Rank      int    // 0 is the most urgent
	Hash      uint32 // of the request's id: spreads the waits of refused callers
}

// rank returns the rank within those that are told apart.
func (r *Request) rank() int { return min(max(r.Rank, 0), ranks-1) }

// Admit admits and charges a request while its bucket is not in debt or, where hosts pace
// themselves, while this host's pace has room. Otherwise it returns false and when to
// retry. Workspaces without a bucket are not limited.
func (m *Machine) Admit(now core.Instant, r Request) (ok bool, retryAfter time.Duration) {
	b := m.buckets[r.Workspace]
	if b == nil {
		return true, 0
	}
	m.asked[r.Workspace] += int64(r.Cost)
	b.demand.ask(r.rank(), r.Cost)
	b.demand.fold(now)
	m.advancePace(now, b)
	demand := b.demand.level(now)
	rate := b.rate * m.reachableFraction
	if b.pace.paced && demand > rate {
		ok, retryAfter = b.admitPaced(r, rate, demand)
	} else {
		ok, retryAfter = b.admitUnpaced(r, rate)
	}
	if ok {
		b.level -= float64(r.Cost)
		m.admitted[r.Workspace] += int64(r.Cost)
	}
	return ok, retryAfter
}

// advancePace refills a bucket and this host's pace.
func (m *Machine) advancePace(now core.Instant, b *bucket) {
	m.refill(now, b)
	b.pace.advance(now, b, limits{
		rate:        b.rate * m.reachableFraction,
		burst:       b.burst * m.reachableFraction,
		hosts:       m.hosts,
		silentRatio: m.silentRatio(),
	})
}

// admitUnpaced decides by the fleet's bucket alone.
func (b *bucket) admitUnpaced(r Request, rate float64) (ok bool, retryAfter time.Duration) {
	if b.level > 0 {
		return true, 0
	}
	return false, spread(seconds((float64(r.Cost)-b.level)/rate), r.Hash, 0)
}

// admitPaced decides by this host's pace, unless the fleet's bucket is far in debt.
func (b *bucket) admitPaced(r Request, rate, demand float64) (ok bool, retryAfter time.Duration) {
	excess := demand/rate - 1
	if debt := overdraft(b.level, rate); debt >= 0 {
		return false, spread(seconds(debt/rate), r.Hash, excess)
	}
	rank := r.rank()
	if b.pace.room[rank] <= 0 {
		return false, spread(seconds(-b.pace.room[rank]/max(b.pace.rates[rank], 1)), r.Hash, excess)
	}
	b.pace.room[rank] -= float64(r.Cost)
	return true, 0
}

// seconds converts to a duration, within what a caller is told.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
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
func (m *Machine) Refund(now core.Instant, r Request) {
	m.admitted[r.Workspace] -= int64(r.Cost)
	if b := m.buckets[r.Workspace]; b != nil {
		m.advancePace(now, b)
		b.level = min(b.level+float64(r.Cost), b.burst*m.reachableFraction)
		b.pace.refund(r.rank(), float64(r.Cost))
	}
}

// Pace returns what of a workspace's rate this host admits at while hosts pace themselves,
// in tokens per second, its share of the demand, and whether they pace themselves now.
func (m *Machine) Pace(now core.Instant, id core.WorkspaceID) (perSecond, share float64, paced bool) {
	b := m.buckets[id]
	if b == nil {
		return 0, 0, false
	}
	m.advancePace(now, b)
	return b.pace.total, b.pace.share, b.pace.paced
}

// Asked returns the tokens that this host was asked for since it started, by workspace.
func (m *Machine) Asked() Totals { return m.asked }

// ApplyAsked applies what another host, which has run for a time, was asked for. For a host
// of the previous build, which reports none, the caller passes what it admitted.
func (m *Machine) ApplyAsked(now core.Instant, from core.HostID, uptime time.Duration, totals Totals) {
	last, known := m.reportedAsked[from]
	since := now.Sub(last.at)
	if !known {
		since = uptime // its mean demand since its start is all that is known
	}
	for id, total := range totals {
		if b := m.buckets[id]; b != nil && total > last.totals[id] {
			b.demand.addOthers(now, float64(total-last.totals[id]), since)
		}
	}
	m.reportedAsked[from] = askedTotals{totals: maps.Clone(totals), at: now}
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
