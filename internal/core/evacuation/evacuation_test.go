package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

func at(era, version uint64) core.Revision { return core.Revision{Era: era, Version: version} }

func domains(names ...core.Domain) []core.Domain { return names }

func TestAHostThatHasReadNothingTreatsNoDomainAsEvacuated(t *testing.T) {
	is := is.New(t)
	m := New()
	is.True(!m.Known() && !m.Any() && !m.Evacuated("a") && !m.Evacuated(""))
	is.Equal(m.ToSend(), nil)
	is.Equal(m.ApplyChanges(1, at(1, 5), []ObjectChange{{Domain: "a"}}), Change{}) // changes of what was never listed
	is.True(!m.Known())
}

func TestAListAndItsChangesBeginAndEndEvacuations(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.ApplyList(1, 1, at(1, 5), domains("b", "a")), Change{Begun: domains("a", "b")})
	is.Equal(m.ApplyChanges(2, at(1, 7), []ObjectChange{{Domain: "c"}, {Domain: "b", Removed: true}}), Change{Begun: domains("c"), Ended: domains("b")})
	is.Equal(m.Domains(), domains("a", "c"))
	is.Equal(m.ReadChanges(), uint64(1)) // not the first list
	is.Equal(m.ApplyChanges(3, at(1, 9), []ObjectChange{{Domain: "a", Removed: true}, {Domain: "a"}}), Change{})
	is.Equal(m.ApplyList(4, 4, at(1, 12), nil), Change{Ended: domains("a", "c")})
	is.Equal(*m.ToSend(), State{Era: 1, Revision: 12})
}

// A watch is behind another host's state: its changes must not bring back what has ended since.
func TestAnOlderReadDoesNotReplaceANewerState(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ApplyList(1, 1, at(1, 5), domains("a"))
	is.Equal(m.ApplyState(2, State{Era: 1, Revision: 9}), Change{Ended: domains("a")})
	is.Equal(m.ApplyChanges(3, at(1, 7), []ObjectChange{{Domain: "b"}}), Change{})
	is.Equal(m.ApplyList(4, 4, at(1, 8), domains("a", "b")), Change{})
	is.Equal(m.ApplyState(5, State{Era: 1, Revision: 8, Domains: domains("a")}), Change{})
	is.Equal(m.ApplyChanges(6, at(1, 10), []ObjectChange{{Domain: "b", Removed: true}}), Change{Begun: domains("a")})
}

func TestDomainsStayEvacuatedForAWhileInANewEra(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ApplyList(1, 1, at(1, 50), domains("a", "b", "c"))
	start := core.Instant(time.Minute)
	is.Equal(m.ApplyList(start, start, at(2, 20), domains("c", "d")), Change{Begun: domains("d")})
	is.Equal(m.Tick(start.Add(RestoreHoldTime-1)), Change{})
	is.Equal(m.ApplyChanges(start.Add(time.Second), at(2, 21), []ObjectChange{{Domain: "b", Removed: true}}), Change{Ended: domains("b")})
	is.Equal(m.ApplyState(start.Add(2*time.Second), State{Era: 2, Revision: 22, Domains: domains("c")}), Change{Ended: domains("d")})
	is.Equal(m.Tick(start.Add(RestoreHoldTime)), Change{Ended: domains("a")})
	is.Equal(m.Domains(), domains("c"))
}

// The operator writes its object again: it holds no longer, and its removal counts at once.
func TestAnObjectWrittenAgainInANewEraEndsTheHold(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ApplyList(1, 1, at(1, 50), domains("a"))
	m.ApplyState(2, State{Era: 2, Revision: 20})
	is.True(m.Evacuated("a"))
	is.Equal(m.ApplyState(3, State{Era: 2, Revision: 21, Domains: domains("a")}), Change{})
	is.Equal(m.ApplyState(4, State{Era: 2, Revision: 22}), Change{Ended: domains("a")})
}

// A store that has no object of the kind gives no revision.
func TestAKindWithoutObjectsIsAnEmptyList(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.ApplyList(1, 1, at(1, 0), nil), Change{})
	is.True(m.Known())
	m.ApplyState(5, State{Era: 1, Revision: 9, Domains: domains("a")})
	is.Equal(m.ApplyList(6, 4, at(1, 0), nil), Change{}) // sent before the state became known
	is.Equal(m.ApplyList(8, 7, at(1, 0), nil), Change{Ended: domains("a")})
	is.Equal(m.ApplyState(9, State{Era: 1, Revision: 9, Domains: domains("a")}), Change{}) // delayed
	is.Equal(m.ApplyState(9, State{Era: 1, Revision: 12, Domains: domains("a")}), Change{Begun: domains("a")})
	is.Equal(m.ApplyList(11, 10, at(0, 0), nil), Change{Ended: domains("a")}) // the answer gives no era
	m.ApplyState(12, State{Era: 1, Revision: 15, Domains: domains("a")})
	is.Equal(m.ApplyList(13, 13, at(2, 0), nil), Change{}) // restored: held
	is.Equal(m.Tick(core.Instant(13).Add(RestoreHoldTime)), Change{Ended: domains("a")})
}

// Heartbeats are bounded: a state of more domains is read from the store.
func TestAStateOfTooManyDomainsIsNeitherSentNorAdopted(t *testing.T) {
	is := is.New(t)
	var many []core.Domain
	for i := range MaxSentDomains + 1 {
		many = append(many, core.Domain(fmt.Sprint("d", i)))
	}
	m := New()
	m.ApplyState(1, State{Era: 1, Revision: 4, Domains: many})
	is.True(!m.Known())
	m.ApplyList(1, 1, at(1, 5), many)
	is.Equal(len(m.Domains()), len(many))
	is.Equal(m.ToSend(), nil)
	m.ApplyChanges(2, at(1, 6), []ObjectChange{{Domain: "d0", Removed: true}})
	is.Equal(len(m.ToSend().Domains), MaxSentDomains)
}

// history draws the states that a store has had, newest last.
func history(rt *rapid.T) []State {
	states := []State{{Era: 1, Revision: 1}}
	for range rapid.IntRange(1, 25).Draw(rt, "writes") {
		next := states[len(states)-1]
		next.Revision += uint64(rapid.IntRange(1, 5).Draw(rt, "step"))
		if rapid.IntRange(0, 6).Draw(rt, "restored") == 0 {
			copied := states[rapid.IntRange(0, len(states)-1).Draw(rt, "copy")]
			next = State{Era: next.Era + 1, Revision: copied.Revision, Domains: copied.Domains}
		}
		d := core.Domain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"))
		if i := slices.Index(next.Domains, d); i >= 0 {
			next.Domains = slices.Delete(slices.Clone(next.Domains), i, i+1)
		} else {
			next.Domains = append(slices.Clone(next.Domains), d)
		}
		slices.Sort(next.Domains)
		states = append(states, next)
	}
	return states
}

// apply applies a change to a set, and fails if what has begun or ended had done so before.
func apply(rt *rapid.T, set map[core.Domain]bool, c Change) {
	for _, d := range c.Begun {
		if set[d] {
			rt.Fatalf("%s has begun twice", d)
		}
		set[d] = true
	}
	for _, d := range c.Ended {
		if !set[d] {
			rt.Fatalf("%s has ended and had not begun", d)
		}
		delete(set, d)
	}
}

// States are lost, repeated, delayed and reordered between hosts, some of which read the store: all
// end with the newest one.
func TestAnyDeliveryOfStatesEndsWithTheNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := history(rt)
		newest := states[len(states)-1]
		now := core.Instant(0)
		host, reported := New(), map[core.Domain]bool{}
		for range rapid.IntRange(0, 40).Draw(rt, "deliveries") {
			now = now.Add(time.Duration(rapid.IntRange(1, int(RestoreHoldTime)).Draw(rt, "pause")))
			s := states[rapid.IntRange(0, len(states)-1).Draw(rt, "state")]
			switch rapid.IntRange(0, 2).Draw(rt, "how") {
			case 0:
				apply(rt, reported, host.ApplyList(now, now, s.at(), s.Domains))
			case 1:
				apply(rt, reported, host.ApplyState(now, s))
			case 2:
				apply(rt, reported, host.Tick(now))
			}
		}
		apply(rt, reported, host.ApplyState(now, newest))
		now = now.Add(RestoreHoldTime)
		apply(rt, reported, host.Tick(now))
		if !slices.Equal(host.Domains(), newest.Domains) {
			rt.Fatalf("ends with %v, the store has %v", host.Domains(), newest.Domains)
		}
		if !slices.Equal(slices.Sorted(maps.Keys(reported)), newest.Domains) {
			rt.Fatalf("reported %v, the store has %v", reported, newest.Domains)
		}
	})
}

// A domain that is evacuated when the era changes stays so for RestoreHoldTime, whatever states of
// the new era arrive without it; a state that has had it since ends the hold.
func TestAnEraChangeKeepsDomainsForTheHoldTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := history(rt)
		host := New()
		until := map[core.Domain]core.Instant{}
		now, era := core.Instant(0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "deliveries") {
			now = now.Add(time.Duration(rapid.IntRange(1, int(RestoreHoldTime)/2).Draw(rt, "pause")))
			host.Tick(now)
			s := states[rapid.IntRange(0, len(states)-1).Draw(rt, "state")]
			if s.Era > era && era != 0 {
				for _, d := range host.Domains() {
					until[d] = now.Add(RestoreHoldTime)
				}
			}
			host.ApplyState(now, s)
			if s.Era >= era {
				era = s.Era
				for _, d := range s.Domains {
					delete(until, d) // it is in the store: no hold is needed
				}
			}
			for d, t := range until {
				if now < t && !host.Evacuated(d) {
					rt.Fatalf("%s was evacuated when the era changed, and is not %v before the end of the hold", d, t.Sub(now))
				}
			}
		}
	})
}
