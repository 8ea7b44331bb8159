package errorshare

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

const interval = 50 * time.Millisecond // between two answers of a replica

// fleet is three replicas of one service that answer at equal intervals.
type fleet struct {
	s   *Shares
	rng *core.Rand
	now core.Instant
}

func newFleet() *fleet { return &fleet{s: New(), rng: core.NewRand(1)} }

func replicaOf(id core.UpstreamID) Incarnation {
	return Incarnation{Service: "plain", ID: id, Started: 1}
}

// answers lets each replica give n answers, which fail at the shares.
func (f *fleet) answers(n int, shares map[core.UpstreamID]float64) {
	for range n {
		f.now = f.now.Add(interval)
		for _, id := range []core.UpstreamID{"a", "b", "c"} {
			if share, answers := shares[id]; answers {
				f.s.Observe(f.now, replicaOf(id), f.rng.Float64() < share)
			}
		}
	}
}

func (f *fleet) avoided() (ids string) {
	for _, id := range []core.UpstreamID{"a", "b", "c"} {
		if f.s.Assess(f.now, replicaOf(id)).Avoid {
			ids += string(id)
		}
	}
	return ids
}

// Guards against first attempts that go on to a replica that fails part of its answers, and against
// one that stays avoided after its recovery.
func TestAReplicaThatFailsPartOfItsAnswersIsAvoidedUntilItRecovers(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.answers(100, map[core.UpstreamID]float64{"a": 0.14, "b": 0.14, "c": 0.14})
	f.answers(30, map[core.UpstreamID]float64{"a": 0.6, "b": 0.14, "c": 0.14})
	is.Equal(f.avoided(), "a")
	a := f.s.Assess(f.now, replicaOf("a"))
	is.True(a.Excess() > 0.2)
	f.now = f.now.Add(3 * time.Second)
	is.Equal(f.avoided(), "a") // still
	f.answers(40, map[core.UpstreamID]float64{"a": 0, "b": 0.14, "c": 0.14})
	is.Equal(f.avoided(), "")
}

// Guards against a recovery that nobody sees where no probe is sent for want of requests.
func TestAvoidanceEndsWithoutAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.answers(30, map[core.UpstreamID]float64{"a": 1, "b": 0, "c": 0})
	is.Equal(f.avoided(), "a")
	f.now = f.now.Add(30 * time.Second)
	is.Equal(f.avoided(), "")
}

// Guards against avoiding replicas for a fault that all have: they fail at once, and recover.
func TestNoneIsAvoidedWhereAllFail(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.answers(100, map[core.UpstreamID]float64{"a": 0.01, "b": 0.01, "c": 0.01})
	for range 20 {
		f.answers(5, map[core.UpstreamID]float64{"a": 1, "b": 1, "c": 1})
		is.Equal(f.avoided(), "")
	}
	is.True(f.s.Assess(f.now, replicaOf("a")).Share > 0.8)
	f.answers(200, map[core.UpstreamID]float64{"a": 0, "b": 0, "c": 0})
	is.True(f.s.Assess(f.now, replicaOf("a")).Share < 0.05)
	is.Equal(f.avoided(), "")
}

// Guards against acting on one failure, and on none: a replica without answers is like its siblings.
func TestFewAnswersShowNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	is.Equal(f.s.Assess(0, replicaOf("a")), Assessment{Share: priorShare, Siblings: priorShare})
	f.s.Observe(f.now, replicaOf("a"), true)
	is.True(!f.s.Assess(f.now, replicaOf("a")).Avoid)
	is.True(f.s.Assess(f.now, replicaOf("a")).Share > f.s.Assess(f.now, replicaOf("b")).Share) // a retry takes b
}

// Guards against a new incarnation that is avoided for its predecessor's failures, and against answers
// that stay in the siblings' share after their replica has gone.
func TestANewIncarnationBeginsAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.answers(30, map[core.UpstreamID]float64{"a": 1, "b": 0, "c": 0})
	next := replicaOf("a")
	next.Started = 2
	is.True(!f.s.Assess(f.now, next).Avoid)
	f.s.Observe(f.now, next, false)
	is.True(f.s.Assess(f.now, next).Share < 0.05)
	f.s.Observe(f.now, replicaOf("a"), true) // a late answer of the former
	is.True(f.s.Assess(f.now, next).Share < 0.05)
	is.True(f.s.Assess(f.now, replicaOf("b")).Siblings < 0.05)
	f.s.Forget(f.now, "a")
	is.Equal(len(f.s.records), 2)
}

// Guards against an avoided replica whose recovery is never seen, and against requests that can't be
// repeated as probes where others come.
func TestOneFirstAttemptInTwentyIsAProbe(t *testing.T) {
	is := is.New(t)
	s := New()
	probes := map[bool]int{}
	for i := range 400 {
		repeatable := i%2 == 0
		if s.ProbeDue("plain", repeatable) {
			probes[repeatable]++
		}
	}
	is.True(probes[true] >= 18 && probes[true] <= 20)
	is.Equal(probes[false], 0)
	for range 80 {
		if s.ProbeDue("plain", false) {
			probes[false]++
		}
	}
	is.Equal(probes[false], 2)
}
