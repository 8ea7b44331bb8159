package limits

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// A transfer between two hosts that credits before it debits over-grants when
// the debit is lost: the check must report it.
func TestCheckerSeesCreditBeforeDebit(t *testing.T) {
	is := is.New(t)
	a, b := limit.NewSingle(0, 50, 500), limit.NewSingle(0, 50, 500)
	var charges []Charge
	spend := func(s *limit.Single, n core.Tokens) {
		if _, ok := s.Take(1, n); ok {
			charges = append(charges, Charge{"ws", 1, n})
		}
	}
	bounds := []Bound{{Rate: 100, Burst: 1000}}
	spend(a, 500)
	b.Add(1, 500) // credited; the message that debits is lost
	spend(b, 1000)
	is.Equal(MaxOverGrant(charges, bounds), core.Tokens(500))
}

func TestCheckerCountsEveryInterval(t *testing.T) {
	is := is.New(t)
	bounds := []Bound{{Rate: 100, Burst: 1000}}
	at := func(s int, n core.Tokens) Charge { return Charge{"ws", core.Instant(s) * core.Instant(time.Second), n} }
	is.Equal(MaxOverGrant([]Charge{at(0, 1000), at(10, 1000)}, bounds), core.Tokens(0))
	is.Equal(MaxOverGrant([]Charge{at(0, 1000), at(9, 1000)}, bounds), core.Tokens(100))
	is.Equal(MaxOverGrant([]Charge{at(9, 1000), at(0, 1000)}, bounds), core.Tokens(100)) // in any order
	changed := []Bound{{Rate: 100, Burst: 1000}, {From: core.Instant(5 * time.Second), Rate: 10, Burst: 100}}
	is.Equal(MaxOverGrant([]Charge{at(4, 1000), at(6, 100)}, changed), core.Tokens(0)) // spans: 1000 + 100 + 10
	is.Equal(MaxOverGrant([]Charge{at(6, 150)}, changed), core.Tokens(50))
}

// A clock drift above the bound over-grants, so the adversary test can fail.
func TestClockDriftAboveTheBoundOverGrants(t *testing.T) {
	is := is.New(t)
	loop := &EventLoop{Rand: core.NewRand(1)}
	links := &Links{EventLoop: loop, OneWay: linkDelay}
	limits := []limit.Limit{{Workspace: "ws", Rate: 100_000, Burst: 10_000}}
	f := NewFleet(loop, links, 1, limits, limit.Settings{}, 0)
	f.slots[0].clock.DriftPPM = 20 * limit.DefaultDriftPPM
	f.slots[0].Ownership.clock = f.slots[0].clock
	a := &adversary{loop: loop, fleet: f, limits: limits, charges: map[core.WorkspaceID][]Charge{}}
	a.bounds = map[core.WorkspaceID][]Bound{"ws": {{Rate: 100_000, Burst: 10_000}}}
	loop.Every(5*time.Millisecond, func() {
		a.next++
		a.reserveAndKeep(f.slots[0], "ws", 400)
		a.next++
		a.reserveAndKeep(f.slots[0], "ws", 400)
	})
	loop.RunUntil(core.Instant(2 * time.Minute))
	is.True(a.over() > 0)
}

// Faults must not lose tokens: once they have ended and callers were idle,
// almost the whole burst can be used again over all hosts.
func TestWholeBurstIsRestored(t *testing.T) {
	is := is.New(t)
	loop := &EventLoop{Rand: core.NewRand(3)}
	links := &Links{EventLoop: loop, OneWay: linkDelay, LossFraction: 0.05, DuplicateFraction: 0.05, DelayFraction: 0.05, MaxExtraDelay: 10 * time.Second}
	limits := []limit.Limit{{Workspace: "large", Rate: 1000, Burst: 8000}, {Workspace: "small", Rate: 40, Burst: 300}}
	f := NewFleet(loop, links, 5, limits, shortSettings, maxDriftPPM)
	a := &adversary{loop: loop, fleet: f, limits: limits, charges: map[core.WorkspaceID][]Charge{}}
	loop.Every(50*time.Millisecond, a.requestAtAll)
	for i := range 6 {
		loop.RunUntil(loop.Now.Add(10 * time.Second))
		f.Crash(f.slots[i%5])
		f.StartHost(i % 5)
	}
	links.LossFraction, links.DuplicateFraction, links.DelayFraction = 0, 0, 0
	loop.RunUntil(loop.Now.Add(2 * time.Minute))
	a.idleUntil = loop.Now.Add(time.Hour)
	loop.RunUntil(loop.Now.Add(2 * time.Minute))
	a.charges = map[core.WorkspaceID][]Charge{}
	spent := func(ws core.WorkspaceID) core.Tokens {
		sum := core.Tokens(0)
		for _, c := range a.charges[ws] {
			sum += c.Tokens
		}
		return sum
	}
	for range 40 {
		for _, n := range f.slots {
			for _, l := range limits {
				a.next++
				a.reserveAndKeep(n, l.Workspace, l.Burst/40)
			}
		}
		loop.RunUntil(loop.Now.Add(10 * time.Millisecond))
	}
	is.True(spent("large") >= 8000*97/100)
	is.True(spent("small") >= 300*90/100)
}

func TestCalmAndOutageTracesMeetTheirTargets(t *testing.T) {
	is := is.New(t)
	for _, tr := range Traces() {
		if tr.Hosts > maxHostsToday {
			continue // only the measurement runs these
		}
		if !hasOutage(tr) {
			tr.Duration = min(tr.Duration, 150*time.Second) // the measurement runs the whole trace
		}
		x := measurePolicy(tr, policies[machinePolicyIndex], 1, tr.Arrivals(1))
		is.Equal(x.over, core.Tokens(0))
		is.True(percent(x.refused, x.within) <= 2)
	}
}

func hasOutage(t Trace) bool { return len(t.Faults) > 0 && t.Faults[0].Kind == "store down" }

func TestSameSeedSameTrace(t *testing.T) {
	is := is.New(t)
	tr := Traces()[4]
	tr.Duration = 90 * time.Second
	a, b := measurePolicy(tr, policies[machinePolicyIndex], 5, tr.Arrivals(5)), measurePolicy(tr, policies[machinePolicyIndex], 5, tr.Arrivals(5))
	is.Equal(a, b)
}
