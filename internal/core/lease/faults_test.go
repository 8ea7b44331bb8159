package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/measure/membership"
)

// fault is a failure that lasts until it is ended.
type fault struct {
	name  string
	apply func(f *membership.Fleet, hosts []*membership.Host, r *core.Rand)
}

func onCalls(faultFor func(h *membership.Host, c core.ObjectCall, r *core.Rand) membership.Fault) func(*membership.Fleet, []*membership.Host, *core.Rand) {
	return func(f *membership.Fleet, _ []*membership.Host, r *core.Rand) {
		before := f.CallFault
		f.CallFault = func(h *membership.Host, c core.ObjectCall) membership.Fault {
			x := faultFor(h, c, r)
			if before != nil {
				y := before(h, c)
				x.DropCall, x.LoseAnswer, x.StaleRead, x.Delay = x.DropCall || y.DropCall, x.LoseAnswer || y.LoseAnswer, x.StaleRead || y.StaleRead, x.Delay+y.Delay
			}
			return x
		}
	}
}

func onLinks(faultFor func(a, b *membership.Host, r *core.Rand) (bool, bool)) func(*membership.Fleet, []*membership.Host, *core.Rand) {
	return func(f *membership.Fleet, _ []*membership.Host, r *core.Rand) {
		before := f.LinkFault
		f.LinkFault = func(a, b *membership.Host) (bool, bool) {
			cut, twice := faultFor(a, b, r)
			if before != nil {
				c, t := before(a, b)
				cut, twice = cut || c, twice || t
			}
			return cut, twice
		}
	}
}

func endFaults(f *membership.Fleet, hosts []*membership.Host) {
	f.CallFault, f.LinkFault = nil, nil
	for _, h := range hosts {
		if h.Paused {
			f.Resume(h)
		}
	}
}

var faults = []fault{
	{name: "answers lost after the write took effect", apply: onCalls(func(_ *membership.Host, _ core.ObjectCall, r *core.Rand) membership.Fault {
		return membership.Fault{LoseAnswer: r.IntN(3) == 0}
	})},
	{name: "store down", apply: onCalls(func(*membership.Host, core.ObjectCall, *core.Rand) membership.Fault {
		return membership.Fault{DropCall: true}
	})},
	{name: "store slow", apply: onCalls(func(_ *membership.Host, _ core.ObjectCall, r *core.Rand) membership.Fault {
		return membership.Fault{Delay: time.Duration(r.Int64N(int64(3 * time.Second)))}
	})},
	{name: "stale reads", apply: onCalls(func(_ *membership.Host, _ core.ObjectCall, r *core.Rand) membership.Fault {
		return membership.Fault{StaleRead: r.IntN(2) == 0}
	})},
	{name: "watch gaps", apply: onCalls(func(_ *membership.Host, c core.ObjectCall, _ *core.Rand) membership.Fault {
		return membership.Fault{DropCall: c.Op == core.ObjectWatch}
	})},
	{name: "one host cut off from the store", apply: onCalls(func(h *membership.Host, _ core.ObjectCall, _ *core.Rand) membership.Fault {
		return membership.Fault{DropCall: h.Member.Host[:5] == "h0002"}
	})},
	{name: "a failure domain cut off from the store", apply: onCalls(func(h *membership.Host, _ core.ObjectCall, _ *core.Rand) membership.Fault {
		return membership.Fault{DropCall: h.Member.Domain == "r1-b"}
	})},
	{name: "one host cut off from hosts", apply: onLinks(func(a, b *membership.Host, _ *core.Rand) (bool, bool) {
		return a.Member.Host[:5] == "h0003" || b.Member.Host[:5] == "h0003", false
	})},
	{name: "a failure domain cut off from hosts", apply: onLinks(func(a, b *membership.Host, _ *core.Rand) (bool, bool) {
		return (a.Member.Domain == "r1-a") != (b.Member.Domain == "r1-a"), false
	})},
	{name: "messages lost and doubled", apply: onLinks(func(_, _ *membership.Host, r *core.Rand) (bool, bool) {
		return r.IntN(3) == 0, r.IntN(3) == 0
	})},
	{name: "an owner paused", apply: func(f *membership.Fleet, hosts []*membership.Host, r *core.Rand) { f.Pause(hosts[r.IntN(len(hosts))]) }},
	{name: "a host leaving", apply: func(f *membership.Fleet, hosts []*membership.Host, r *core.Rand) {
		h := hosts[r.IntN(len(hosts))]
		f.StepLease(h, h.Lease.Leave)
		f.After(3*time.Second, func() { f.StepLease(h, h.Lease.Release) })
	}},
	{name: "a host crashing, another at its address", apply: func(f *membership.Fleet, hosts []*membership.Host, r *core.Rand) {
		h := hosts[r.IntN(len(hosts))]
		f.Crash(h)
		f.After(time.Second, func() {
			f.AddHost(membership.Place{Region: h.Member.Region, Domain: h.Member.Domain}).Member.Address = h.Member.Address
		})
	}},
}

// recovered checks that no rule was broken and that every shard has a host that
// acts on it after a fault.
func recovered(t *testing.T, f *membership.Fleet, shards int) {
	t.Helper()
	noViolations(t, f)
	if n := f.Trace.ActiveShards(f.Now); n != shards {
		t.Errorf("%d of %d shards have an actor after the fault", n, shards)
	}
}

func TestFaultsOneAtATime(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 9 * time.Second, 30 * time.Second} {
		for i, x := range faults {
			t.Run(fmt.Sprint(x.name, length), func(t *testing.T) {
				f, hosts := start(uint64(i), 6, 30)
				x.apply(f, hosts, core.NewRand(uint64(i)))
				f.Run(length)
				endFaults(f, hosts)
				f.Run(25 * time.Second)
				recovered(t, f, 30)
			})
		}
	}
}

func TestFaultsTwoAtATime(t *testing.T) {
	for i, x := range faults {
		for j, y := range faults[:i+1] {
			t.Run(x.name+" and "+y.name, func(t *testing.T) {
				f, hosts := start(uint64(i*31+j), 6, 20)
				r := core.NewRand(uint64(j))
				x.apply(f, hosts, r)
				f.Run(3 * time.Second)
				y.apply(f, hosts, r)
				f.Run(12 * time.Second)
				endFaults(f, hosts)
				f.Run(30 * time.Second)
				recovered(t, f, 20)
			})
		}
	}
}

func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, hosts := start(rapid.Uint64().Draw(rt, "seed"), 4, 12)
		r := core.NewRand(rapid.Uint64().Draw(rt, "rng"))
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")].apply(f, hosts, r)
			f.Run(time.Duration(rapid.IntRange(10, 9000).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "mend") {
				endFaults(f, hosts)
			}
		}
		endFaults(f, hosts)
		f.Run(20 * time.Second)
		if len(f.Trace.Violations) > 0 {
			rt.Fatal(f.Trace.Violations)
		}
	})
}

func TestClockDriftAtTheBound(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7)
	f.Shards = shards(30)
	f.TuneSettings = func(s *lease.Settings) { s.FenceMargin = time.Nanosecond; s.MaxDriftPPM = 150_000 }
	var hosts []*membership.Host
	for i := range 4 {
		h := f.AddHost(membership.Places(3)[i%3])
		f.SetClockDrift(h, []int64{-150_000, 150_000}[i%2])
		hosts = append(hosts, h)
	}
	f.Run(10 * time.Second)
	f.Pause(hosts[0]) // slow clock: its lease expires last in real time
	f.Run(20 * time.Second)
	f.Resume(hosts[0])
	f.Run(10 * time.Second)
	is.True(hosts[0].Lease.IdentityLost())
	recovered(t, f, 30)
}

func TestStoreOutageStopsActingAndEndsWithoutALoadSpike(t *testing.T) {
	for _, n := range []int{6, 20} { // small: every host polls; large: most don't
		outage(t, n)
	}
}

func outage(t *testing.T, n int) {
	is := is.New(t)
	f, hosts := start(11, n, 30)
	f.Run(20 * time.Second)
	before := f.Store.TotalCalls()
	f.Run(time.Minute)
	steady := f.Store.TotalCalls() - before
	f.CallFault = func(*membership.Host, core.ObjectCall) membership.Fault { return membership.Fault{DropCall: true} }
	f.Run(10 * time.Minute)
	for _, s := range f.Shards {
		serving := 0
		for _, h := range hosts {
			_, acting := h.Lease.Acting(h.LocalTime(f.Now), s)
			is.Equal(acting, false)
			if h.Lease.Serving(h.LocalTime(f.Now), s) {
				serving++
			}
		}
		is.Equal(serving, 1) // the one that acted when the store became unavailable
	}
	f.CallFault = nil
	before = f.Store.TotalCalls()
	f.Run(time.Second)
	is.True(f.Store.TotalCalls()-before < steady/60*4) // the first second after the outage
	f.Run(20 * time.Second)
	is.Equal(len(hosts[0].Lease.Members()), n) // nobody was removed
	recovered(t, f, 30)
}

func TestHalfTheHostsReplacedInAMinute(t *testing.T) {
	is := is.New(t)
	f, hosts := start(13, 16, 60)
	for i := range 8 {
		h := hosts[i]
		f.Run(7 * time.Second)
		f.AddHost(membership.Places(3)[i%3])
		f.StepLease(h, h.Lease.Leave)
		f.After(2*time.Second, func() { f.StepLease(h, h.Lease.Release) })
	}
	f.Run(15 * time.Second)
	recovered(t, f, 60)
	is.Equal(len(hosts[15].Lease.Members()), 16)
}

// TestTwoProcessesWithOneLease runs two machines with the same state, as after
// a copy of a virtual machine, and then lets them run independently.
func TestTwoProcessesWithOneLease(t *testing.T) {
	is := is.New(t)
	store := membership.NewStore()
	var machines [2]*lease.Machine
	for i := range machines {
		machines[i] = lease.New(lease.Settings{Self: core.Member{Host: "h", Domain: "d"}}, core.NewRand(1))
	}
	var results []core.ObjectResult
	do := func(out lease.Output) {
		for _, c := range out.Calls {
			if c.Op != core.ObjectWatch {
				store.Do(c, false, func(r core.ObjectResult) {
					r.Tag = c.Tag
					results = append(results, r)
				})
			}
		}
	}
	now := core.Instant(0)
	for ; now < core.Instant(10*time.Second); now = now.Add(100 * time.Millisecond) {
		pending := results
		results = nil
		for _, r := range pending {
			do(machines[0].HandleObject(now, r))
			machines[1].HandleObject(now, r)
		}
		do(machines[0].Tick(now))
		machines[1].Tick(now)
	}
	is.True(machines[0].HasLease(now) && machines[1].HasLease(now))
	for end := now.Add(8 * time.Second); now < end; now = now.Add(100 * time.Millisecond) {
		for i, m := range machines {
			results = nil
			do(m.Tick(now.Add(time.Duration(i))))
			for len(results) > 0 {
				r := results[0]
				results = results[1:]
				do(m.HandleObject(now.Add(time.Duration(i)), r))
			}
		}
	}
	is.True(machines[0].IdentityLost() || machines[1].IdentityLost())
	is.True(!(machines[0].HasLease(now) && machines[1].HasLease(now)))
}
