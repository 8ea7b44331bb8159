package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

const second = core.Instant(time.Second)

func workspaces(rate, burst float64) map[core.WorkspaceID]*table.Workspace {
	return map[core.WorkspaceID]*table.Workspace{"w": {ID: "w", Rate: rate, Burst: burst}}
}

func TestABucketAdmitsItsBurstAndThenItsRate(t *testing.T) {
	is := is.New(t)
	m := New(false)
	m.Configure(0, workspaces(100, 200))
	for range 2 {
		ok, _ := m.Admit(0, Request{Workspace: "w", Cost: 100})
		is.True(ok)
	}
	ok, retry := m.Admit(0, Request{Workspace: "w", Cost: 100})
	is.True(!ok)
	is.Equal(retry, time.Second)
	ok, _ = m.Admit(second, Request{Workspace: "w", Cost: 100})
	is.True(ok)
	ok, _ = m.Admit(0, Request{Workspace: "unlimited", Cost: 1e6})
	is.True(ok)
}

func TestJoiningHostStartsWithPartialBuckets(t *testing.T) {
	is := is.New(t)
	m := New(true)
	m.Configure(0, workspaces(100, 200))
	ok, _ := m.Admit(0, Request{Workspace: "w", Cost: 30})
	is.True(ok)
	ok, _ = m.Admit(0, Request{Workspace: "w", Cost: 1})
	is.True(!ok)
}

// All hosts restart at the same time while a workspace sends 4.7 times its rate. Every
// window of 8 s must stay within the allowed overshoot of a tenth plus the slack.
func TestRestartedFleetKeepsTheRate(t *testing.T) {
	is := is.New(t)
	const hosts, rate, burst, cost, every = 8, 94030.0, 94030.0, 1100, 100 * time.Millisecond
	names := []core.HostID{"a", "b", "c", "d", "e", "f", "g", "h"}
	var fleet []*Machine
	start := func(joining bool, now core.Instant) {
		fleet = nil
		for range hosts {
			m := New(joining)
			m.Configure(now, workspaces(rate, burst))
			fleet = append(fleet, m)
		}
	}
	start(false, 0)
	var admitted []float64
	for step := range 200 {
		now := core.Instant(time.Duration(step) * every)
		total := 0.0
		if step == 100 {
			start(true, now) // down for half a second before
		}
		for i := range 40 { // 4.7 times the rate
			if step >= 95 && step < 100 {
				break
			}
			if ok, _ := fleet[i%hosts].Admit(now, Request{Workspace: "w", Cost: cost}); ok {
				total += cost
			}
		}
		admitted = append(admitted, total)
		for i, m := range fleet {
			for j, other := range fleet {
				if i != j {
					m.ApplyTotals(now, names[j], other.Admitted())
				}
			}
		}
	}
	const window, overshoot, slack = 80, 0.1, 17000
	for from := 0; from+window <= len(admitted); from++ {
		sum := 0.0
		for _, a := range admitted[from : from+window] {
			sum += a
		}
		is.True(sum <= (rate*8+burst)*(1+overshoot)+slack)
	}
}

func TestAReturnedRequestCostsNothing(t *testing.T) {
	is := is.New(t)
	m := New(false)
	m.Configure(0, workspaces(100, 100))
	ok, _ := m.Admit(0, Request{Workspace: "w", Cost: 100})
	is.True(ok)
	m.Refund(0, Request{Workspace: "w", Cost: 100})
	ok, _ = m.Admit(0, Request{Workspace: "w", Cost: 100})
	is.True(ok)
	is.Equal(m.Admitted()["w"], int64(100))
}

// A workspace sends several times its rate through all hosts while the network is
// partitioned in changing ways. The tokens admitted in any window must stay within rate,
// burst and what one gossip interval lets through.
func TestAnyPartitionKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts, rate, burst, cost, every = 4, 1000.0, 1000.0, 50, 100 * time.Millisecond
		fleet := make([]*Machine, hosts)
		names := []core.HostID{"a", "b", "c", "d"}
		for i := range fleet {
			fleet[i] = New(false)
			fleet[i].Configure(0, workspaces(rate, burst))
		}
		group := make([]int, hosts)
		var admitted []float64
		for step := range 120 {
			now := core.Instant(time.Duration(step) * every)
			if step%20 == 0 {
				for i := range group {
					group[i] = rapid.IntRange(0, 1).Draw(rt, "group")
				}
			}
			for i, m := range fleet {
				reached := 0
				for j := range fleet {
					if group[i] == group[j] {
						reached++
					}
				}
				m.SetReachableFraction(now, float64(reached)/hosts)
			}
			total := 0.0
			for range rapid.IntRange(0, 16).Draw(rt, "requests") {
				m := fleet[rapid.IntRange(0, hosts-1).Draw(rt, "host")]
				if ok, _ := m.Admit(now, Request{Workspace: "w", Cost: cost}); ok {
					total += cost
				}
			}
			admitted = append(admitted, total)
			for i, m := range fleet {
				for j, other := range fleet {
					if i != j && group[i] == group[j] {
						m.ApplyTotals(now, names[j], other.Admitted())
					}
				}
			}
		}
		const window = 80 // intervals: 8 s
		for from := 0; from+window <= len(admitted); from++ {
			sum := 0.0
			for _, a := range admitted[from : from+window] {
				sum += a
			}
			const overlap = 16 * cost // admitted by all hosts before they receive each other's totals
			const merge = burst       // the buckets of two sides, full when the partition started, merge after it
			if limit := rate*8 + burst + overlap + merge; sum > limit {
				rt.Fatalf("admitted %v in 8 s from %d, limit %v", sum, from, limit)
			}
		}
	})
}

// After a restart of a host a workspace within its rate must not be refused, and one
// that exceeded its rate must not have its debt cancelled.
func TestRestartRestoresBucketLevels(t *testing.T) {
	is := is.New(t)
	old := New(false)
	old.Configure(0, workspaces(100, 1000))
	m := New(true)
	m.Configure(0, workspaces(100, 1000))
	m.Restore(old.Levels(0))
	level, _ := m.Level(0, "w")
	is.Equal(level, int64(600))
	m.Restore(old.Levels(0)) // only the first call has an effect
	level, _ = m.Level(0, "w")
	is.Equal(level, int64(600))

	_, _ = old.Admit(0, Request{Workspace: "w", Cost: 1500})
	m = New(true)
	m.Configure(0, workspaces(100, 1000))
	m.Restore(old.Levels(0))
	level, _ = m.Level(0, "w")
	is.Equal(level, int64(150))
}
