package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

func at(d time.Duration) core.Instant { return core.Instant(time.Hour + d) }

func newPaths() *Paths { return New(core.NewRand(1)) }

func ids(n int) []core.UpstreamID {
	var all []core.UpstreamID
	for i := range n {
		all = append(all, core.UpstreamID(fmt.Sprintf("r%d", i)))
	}
	return all
}

func TestOneFailureBlocksOnePathUntilAConnectionIsOpened(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.Heard(at(0), "r0", true)
	p.Heard(at(0), "r1", true)
	p.Failed(at(400*time.Millisecond), at(100*time.Millisecond), "r1")
	is.True(p.Blocked("r1"))
	is.True(!p.Blocked("r0"))
	p.Heard(at(500*time.Millisecond), "r1", false) // an answer on an older connection
	is.True(p.Blocked("r1"))
	p.Heard(at(600*time.Millisecond), "r1", true)
	is.True(!p.Blocked("r1"))
}

func TestFailureThatBeganBeforeTheLatestConnectionBlocksNothing(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.Heard(at(200*time.Millisecond), "r0", true)
	p.Failed(at(400*time.Millisecond), at(100*time.Millisecond), "r0")
	is.True(!p.Blocked("r0"))
}

func TestHostThatHearsNoReplicaWhileTwoFailIsCutOffFromAll(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.Heard(at(0), "r0", true)
	p.Failed(at(400*time.Millisecond), at(100*time.Millisecond), "r1")
	_, cut := p.CutOff(at(400 * time.Millisecond))
	is.True(!cut)
	p.Failed(at(500*time.Millisecond), at(200*time.Millisecond), "r2")
	age, cut := p.CutOff(at(600 * time.Millisecond))
	is.True(cut)
	is.Equal(age, 500*time.Millisecond)
	is.True(p.Blocked("r0"))
	is.Equal(p.Report(at(600*time.Millisecond)), &Report{CutOff: true})
	p.Heard(at(700*time.Millisecond), "r0", true)
	_, cut = p.CutOff(at(700 * time.Millisecond))
	is.True(!cut)
	is.True(!p.Blocked("r1") && !p.Blocked("r2")) // failed while the host was cut off: to be tried again
}

// Replicas that fail while others are heard say nothing about the host.
func TestHostThatHearsAReplicaIsNotCutOff(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	for i, id := range ids(5) {
		p.Failed(at(time.Duration(400+i)*time.Millisecond), at(100*time.Millisecond), id)
		p.Heard(at(time.Duration(400+i)*time.Millisecond), "sound", false)
	}
	_, cut := p.CutOff(at(time.Second))
	is.True(!cut)
	is.True(p.Blocked("r4"))
}

func TestProbesFindTheEndOfACutWithoutAHerd(t *testing.T) {
	for _, n := range []int{2, 15, 670} {
		is := is.New(t)
		p := newPaths()
		all := ids(n)
		now := time.Duration(0)
		fail := func(id core.UpstreamID) { p.Failed(at(now), at(now-300*time.Millisecond), id) }
		fail(all[0])
		fail(all[1])
		probes := 0
		for ; now < 10*time.Second; now += 20 * time.Millisecond {
			for _, id := range p.Probes(at(now), all) {
				probes++
				fail(id)
			}
		}
		is.True(probes <= 10*maxProbesPerRound*int(time.Second/roundInterval)+maxFirstProbes)
		healed := now
		for cut := true; cut; now += 20 * time.Millisecond {
			for _, id := range p.Probes(at(now), all) {
				p.Heard(at(now), id, true)
			}
			_, cut = p.CutOff(at(now))
			is.True(now-healed < maxProbeInterval*2)
		}
	}
}

// A cut that comes and goes is not believed to be over at once.
func TestCutThatReturnsHoldsLonger(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	cutAt := func(now time.Duration) {
		p.Failed(at(now), at(now-time.Millisecond), "r0")
		p.Failed(at(now), at(now-time.Millisecond), "r1")
	}
	cutOff := func(now time.Duration) bool {
		_, cut := p.CutOff(at(now))
		return cut
	}
	cutAt(0)
	p.Heard(at(time.Second), "r0", true)
	is.True(!cutOff(time.Second))
	cutAt(2 * time.Second)
	p.Heard(at(2500*time.Millisecond), "r0", true)
	is.True(cutOff(2500 * time.Millisecond))
	p.Heard(at(3100*time.Millisecond), "r0", true)
	is.True(!cutOff(3100 * time.Millisecond))
	cutAt(4 * time.Second)
	p.Heard(at(5500*time.Millisecond), "r0", true)
	is.True(cutOff(5500 * time.Millisecond))
	p.Heard(at(6100*time.Millisecond), "r0", true)
	cutAt(20 * time.Second)
	p.Heard(at(20100*time.Millisecond), "r0", true)
	is.True(!cutOff(20100 * time.Millisecond))
}

func TestReportsOfOtherHosts(t *testing.T) {
	is := is.New(t)
	a, b := newPaths(), newPaths()
	is.Equal(a.Report(at(0)), nil) // nothing is blocked
	a.Heard(at(0), "r0", true)
	a.Failed(at(time.Second), at(time.Second), "r1")
	r := a.Report(at(time.Second))
	is.True(r != nil)
	b.Receive(at(time.Second), "a", *r)
	is.True(!b.MayReach(at(time.Second), "a", "r1"))
	is.True(b.MayReach(at(time.Second), "a", "r0"))
	is.Equal(a.Report(at(1500*time.Millisecond)), nil) // they know it
	is.True(a.Report(at(2*time.Second)) != nil)        // messages may be lost
	is.True(b.MayReach(at(time.Second+reportTTL), "a", "r1"))
	a.Heard(at(2*time.Second), "r1", true)
	is.True(a.Report(at(2 * time.Second)).Empty())
}

func TestCarrierThatFailedIsNotChosenForAWhile(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.CarrierFailed(at(0), "a", "r0")
	is.True(!p.MayReach(at(0), "a", "r0"))
	is.True(p.MayReach(at(0), "a", "r1"))
	is.True(p.MayReach(at(failureTTL), "a", "r0"))
	p.CarrierFailed(at(0), "b", "")
	is.True(!p.MayReach(at(0), "b", "r1"))
}

// Whatever fails and is heard: a report is bounded, and a path that is heard of by a new connection
// while the host isn't held is open.
func TestPathsStayBoundedWhateverHappens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPaths()
		all := ids(rapid.IntRange(1, 400).Draw(rt, "replicas"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, int(time.Second)).Draw(rt, "pause"))
			id := rapid.SampledFrom(all).Draw(rt, "replica")
			if rapid.Bool().Draw(rt, "fails") {
				p.Failed(at(now), at(now), id)
			} else {
				p.Heard(at(now), id, true)
				if _, cut := p.CutOff(at(now)); !cut && p.Blocked(id) {
					rt.Fatalf("%s is blocked although a connection was opened", id)
				}
			}
			if r := p.Report(at(now)); r != nil && len(r.Unreached) > maxReported {
				rt.Fatalf("%d replicas in a report", len(r.Unreached))
			}
			if n := len(p.Probes(at(now), all)); n > maxFirstProbes {
				rt.Fatalf("%d probes at once", n)
			}
		}
	})
}
