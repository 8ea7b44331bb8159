package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/measure/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func shards(n int) []core.Shard {
	var list []core.Shard
	for i := range n {
		list = append(list, core.Shard{Kind: core.ShardUpstream, Name: fmt.Sprintf("u%d", i)})
	}
	return list
}

// start returns a fleet of n hosts over three failure domains, after 10 s in
// which it forms.
func start(seed uint64, n, count int) (*membership.Fleet, []*membership.Host) {
	f := membership.NewFleet(seed)
	f.Shards = shards(count)
	var hosts []*membership.Host
	for i := range n {
		hosts = append(hosts, f.AddHost(membership.Places(3)[i%3]))
	}
	f.Run(10 * time.Second)
	return f, hosts
}

func noViolations(t *testing.T, f *membership.Fleet) {
	t.Helper()
	for _, v := range f.Trace.Violations {
		t.Error(v)
	}
}

func TestFleetForms(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8} {
		is := is.New(t)
		f, hosts := start(1, n, 40)
		noViolations(t, f)
		is.Equal(f.Trace.ActiveShards(f.Now), 40) // every shard has an owner that acts
		for _, h := range hosts {
			is.True(h.Lease.Joined())
			is.Equal(len(h.Lease.Members()), n)
		}
	}
}

func TestCrashedHostIsReplaced(t *testing.T) {
	is := is.New(t)
	f, hosts := start(2, 6, 40)
	f.Crash(hosts[4])
	f.Run(12 * time.Second)
	noViolations(t, f)
	is.Equal(f.Trace.ActiveShards(f.Now), 40)
	t.Log("gap", f.Trace.LongestGap())
	is.Equal(len(hosts[0].Lease.Members()), 5)
}

func TestLeavingHandsOverWithoutAGap(t *testing.T) {
	is := is.New(t)
	f, hosts := start(3, 6, 40)
	h := hosts[1]
	h.HandoffState = func(c lease.RightChange) []byte { return []byte(c.Shard.Name) }
	clear(f.Trace.LongestGaps)
	for _, o := range hosts {
		o.ReceivedHandoffs = nil
	}
	f.StepLease(h, h.Lease.Leave)
	f.Run(2 * time.Second)
	is.Equal(h.Lease.PendingHandoffs(), 0)
	f.StepLease(h, h.Lease.Release)
	f.Run(2 * time.Second)
	is.True(h.Lease.Released())
	f.Run(8 * time.Second)
	noViolations(t, f)
	is.Equal(f.Trace.ActiveShards(f.Now), 40)
	is.True(f.Trace.LongestGap() < 50*time.Millisecond) // the time of a few messages
	states := 0
	for _, o := range hosts {
		for _, c := range o.ReceivedHandoffs {
			is.Equal(string(c.State), c.Shard.Name)
			states++
		}
	}
	is.True(states > 0)
	is.Equal(len(hosts[0].Lease.Members()), 5)
}
