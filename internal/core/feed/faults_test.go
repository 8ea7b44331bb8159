package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/measure/membership"
)

// checkNoReversion checks that no host's configuration reverts to an older version.
func checkNoReversion(t interface{ Errorf(string, ...any) }, f *membership.Fleet) {
	highest := map[core.HostID]uint64{}
	f.AfterStep = func(h *membership.Host) {
		v := h.Feed.ConfigVersion()
		if v < highest[h.Member.Host] {
			t.Errorf("%s went from %d back to %d", h.Member.Host, highest[h.Member.Host], v)
		}
		highest[h.Member.Host] = v
	}
}

func dropStore(cut func(h *membership.Host) bool) func(*membership.Host, core.ObjectCall) membership.Fault {
	return func(h *membership.Host, _ core.ObjectCall) membership.Fault {
		return membership.Fault{DropCall: cut(h)}
	}
}

func TestStoreDownForAllHostsCutsOffNone(t *testing.T) {
	for _, n := range []int{1, 8, 40} {
		is := is.New(t)
		f, hosts := start(3, n, 3)
		accept(f, 1, "a")
		f.Run(3 * time.Second)
		f.CallFault = dropStore(func(*membership.Host) bool { return true })
		for range 100 {
			f.Run(6 * time.Second)
			is.Equal(cutOff(f, hosts), 0)
		}
		f.CallFault = nil
		f.Run(10 * time.Second)
		accept(f, 2, "b")
		f.Run(3 * time.Second)
		is.Equal(inForce(hosts, 2), n)
	}
}

func TestHostCutOffFailsClosedWithinTheBound(t *testing.T) {
	for _, n := range []int{6, 40} {
		is := is.New(t)
		f, hosts := start(4, n, 3)
		accept(f, 1, "a")
		f.Run(3 * time.Second)
		isolated := hosts[1]
		f.CallFault = dropStore(func(h *membership.Host) bool { return h == isolated })
		f.LinkFault = func(a, b *membership.Host) (bool, bool) { return a == isolated || b == isolated, false }
		f.Run(feed.DefaultFreshnessBound + 200*time.Millisecond)
		is.True(isolated.Feed.CutOff(isolated.LocalTime(f.Now)))
		f.Run(5 * time.Minute)
		is.True(isolated.Feed.CutOff(isolated.LocalTime(f.Now)))
		is.Equal(cutOff(f, hosts), 1)
	}
}

func TestFailureDomainCutOffFailsClosed(t *testing.T) {
	is := is.New(t)
	f, hosts := start(5, 30, 3)
	accept(f, 1, "a")
	f.Run(3 * time.Second)
	inside := func(h *membership.Host) bool { return h.Member.Domain == "r1-b" }
	f.CallFault = dropStore(inside)
	f.LinkFault = func(a, b *membership.Host) (bool, bool) { return inside(a) != inside(b), false }
	f.Run(feed.DefaultFreshnessBound + time.Second)
	is.Equal(cutOff(f, hosts), 10)
	for _, h := range hosts {
		is.Equal(h.Feed.CutOff(h.LocalTime(f.Now)), inside(h))
	}
}

func TestStoreLostByOneDomainIsFreshThroughOthers(t *testing.T) {
	is := is.New(t)
	f, hosts := start(6, 30, 3)
	f.CallFault = dropStore(func(h *membership.Host) bool { return h.Member.Domain == "r1-c" })
	accept(f, 1, "a")
	f.Run(20 * time.Second)
	is.Equal(inForce(hosts, 1), 30)
	is.Equal(cutOff(f, hosts), 0)
}

func TestLostWatchersAreReplaced(t *testing.T) {
	is := is.New(t)
	f, hosts := start(7, 30, 3)
	var killed int
	for _, h := range hosts {
		if h.Member.Domain == "r1-a" && h.Feed.IsWatcher() {
			f.Crash(h)
			killed++
		}
	}
	is.Equal(killed, 2)
	f.Run(3 * time.Second) // not yet removed: their children use other parents
	accept(f, 1, "a")
	f.Run(3 * time.Second)
	is.Equal(inForce(hosts, 1), 28)
	f.Run(12 * time.Second)
	watching := 0
	for _, h := range hosts {
		if !h.Dead && h.Member.Domain == "r1-a" && h.Feed.IsWatcher() {
			watching++
		}
	}
	is.Equal(watching, 2)
}

func TestSlowChildGetsTheNewestOnly(t *testing.T) {
	is := is.New(t)
	f, hosts := start(8, 10, 1)
	slow := hosts[4]
	values := 0
	f.ExtraDelay = func(_, b *membership.Host, size int) time.Duration {
		if b != slow {
			return 0
		}
		if size > 500 {
			values++
		}
		return 1500 * time.Millisecond
	}
	k := feed.Key{Topic: feed.TopicUpstream, Name: "u"}
	const sets = 200
	for seq := range uint64(sets) {
		out, err := hosts[0].Feed.Set(hosts[0].LocalTime(f.Now), k, feed.Stamp{Seq: seq + 1}, make([]byte, 1000))
		is.NoErr(err)
		f.ApplyFeed(hosts[0], out)
		f.Run(50 * time.Millisecond)
	}
	e, _ := hosts[7].Feed.Get(k)
	is.True(e.Stamp.Seq > sets-10) // other hosts keep up
	is.True(values < sets/5)       // the slow host was sent only a few of them
	f.Run(10 * time.Second)
	e, _ = slow.Feed.Get(k)
	is.Equal(e.Stamp.Seq, uint64(sets))
}

func TestNothingRevertsUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 8, 20}).Draw(rt, "hosts")
		f, hosts := start(rapid.Uint64Range(0, 9).Draw(rt, "seed"), n, 3)
		checkNoReversion(rt, f)
		r := core.NewRand(rapid.Uint64().Draw(rt, "rng"))
		loss := rapid.IntRange(0, 50).Draw(rt, "loss")
		f.CallFault = func(*membership.Host, core.ObjectCall) membership.Fault {
			return membership.Fault{StaleRead: r.IntN(3) == 0, DropCall: r.IntN(100) < loss, LoseAnswer: r.IntN(100) < loss}
		}
		f.LinkFault = func(_, _ *membership.Host) (bool, bool) { return r.IntN(100) < loss, r.IntN(4) == 0 }
		f.ExtraDelay = func(_, _ *membership.Host, _ int) time.Duration { return time.Duration(r.Int64N(int64(time.Second))) }
		last := uint64(rapid.IntRange(2, 8).Draw(rt, "versions"))
		for v := uint64(1); v <= last; v++ {
			accept(f, v, "same", fmt.Sprint("edit ", v))
			f.Run(time.Duration(r.Int64N(int64(2 * time.Second))))
		}
		f.CallFault, f.LinkFault, f.ExtraDelay = nil, nil, nil
		f.Run(25 * time.Second)
		if got := inForce(hosts, last); got != n {
			rt.Fatalf("in force on %d of %d hosts once the faults had ended", got, n)
		}
	})
}

func TestGapIsRepairedWithoutNewChanges(t *testing.T) {
	is := is.New(t)
	f, hosts := start(9, 30, 3)
	k := feed.Key{Topic: feed.TopicUpstream, Name: "u"}
	isolated := hosts[20]
	f.LinkFault = func(a, b *membership.Host) (bool, bool) { return a == isolated || b == isolated, false }
	out, err := hosts[0].Feed.Set(hosts[0].LocalTime(f.Now), k, feed.Stamp{Seq: 1}, []byte("v"))
	is.NoErr(err)
	f.ApplyFeed(hosts[0], out)
	f.Run(20 * time.Second) // its parent has dropped it as a child by now
	_, ok := isolated.Feed.Get(k)
	is.Equal(ok, false)
	f.LinkFault = nil
	f.Run(feed.DefaultRepairInterval + 10*time.Second)
	is.Equal(isolated.Lease.IdentityLost(), false) // it wrote its own heartbeats meanwhile
	_, ok = isolated.Feed.Get(k)
	is.True(ok)
}

func TestChildrenOfASlowHostUseAnotherParent(t *testing.T) {
	is := is.New(t)
	f, hosts := start(10, 30, 3)
	accept(f, 1, "a")
	f.Run(3 * time.Second)
	var slow *membership.Host // the host with the most children that is not a watcher
	for _, h := range hosts {
		if !h.Feed.IsWatcher() && (slow == nil || h.MessagesSent > slow.MessagesSent) {
			slow = h
		}
	}
	from := f.Now
	f.ExtraDelay = func(a, b *membership.Host, _ int) time.Duration {
		if a == slow || b == slow {
			return min(f.Now.Sub(from)/4, 8*time.Second) // a growing queue: answers are late but never stop
		}
		return 0
	}
	f.Run(40 * time.Second)
	accept(f, 2, "b")
	f.Run(time.Second)
	is.Equal(inForce(hosts, 2), 29)
}

func TestValuesOfRemovedHostsAreDropped(t *testing.T) {
	is := is.New(t)
	f, hosts := start(12, 20, 3)
	k := feed.Key{Topic: feed.TopicLoad, Name: string(hosts[3].Member.Host)}
	out, err := hosts[3].Feed.Set(hosts[3].LocalTime(f.Now), k, feed.Stamp{Seq: 1}, []byte("v"))
	is.NoErr(err)
	f.ApplyFeed(hosts[3], out)
	f.Run(3 * time.Second)
	for _, h := range hosts {
		_, ok := h.Feed.Get(k)
		is.True(ok)
	}
	f.Crash(hosts[3])
	f.Run(feed.DefaultRepairInterval * 3)
	for _, h := range hosts {
		_, ok := h.Feed.Get(k)
		is.Equal(ok, h.Dead)
	}
}
