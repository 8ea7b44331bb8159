package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// newMixedFleet returns a fleet as seen by its host w0: hosts of 0.8 cores, named s0
// and so on, and hosts of 0.192 cores, w0 and so on.
func newMixedFleet(now core.Instant, large, small int) *Fleet {
	host := func(name string, capacity float64) Registration {
		r := registration(name)
		r.Capacity = capacity
		r.Domain = core.Domain(fmt.Sprintf("d%d", len(name)+int(name[1])%3))
		return r
	}
	f := New(host("w0", 0.192))
	for i := range large {
		f.UpdateRegistration(now, host(fmt.Sprintf("s%d", i), 0.8), 0)
	}
	for i := 1; i < small; i++ {
		f.UpdateRegistration(now, host(fmt.Sprintf("w%d", i), 0.192), 0)
	}
	return f
}

// heartbeatAll records a direct heartbeat of every registered host.
func heartbeatAll(f *Fleet, now core.Instant) {
	for h := range f.hosts {
		f.ReceiveHeartbeat(now, h, true, true, false)
	}
}

func TestInASmallFleetEveryHostIsActive(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 6)
	f.SelectActive(start, MinActiveCapacity)
	is.True(f.Active())
	is.True(!f.HasStandbys())
	is.Equal(len(f.ActivePeers()), 11)
}

func TestStrongestHostsOfLargeFleetAreActive(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 69)
	f.SelectActive(start, MinActiveCapacity) // no heartbeat yet: all registered hosts are presumed reachable
	is.True(!f.Active())
	is.Equal(len(f.ActivePeers()), 6)
	heartbeatAll(f, start)
	is.Equal(f.Addresses(start, true), []string{"s0:80", "s1:80", "s2:80", "s3:80", "s4:80", "s5:80"})
}

func TestWeakHostsReplaceUnreachableStrongOnes(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 69)
	heartbeatAll(f, start)
	f.SelectActive(start, MinActiveCapacity)
	later := start.Add(relayedTimeout)
	for i := 1; i < 69; i++ {
		f.ReceiveHeartbeat(later, core.HostID(fmt.Sprintf("w%d/1", i)), true, true, false)
	}
	f.ReceiveHeartbeat(later, "s0/1", true, true, false)
	f.SelectActive(later, MinActiveCapacity)
	active := len(f.ActivePeers())
	if f.Active() {
		active++
	}
	is.Equal(active, 13) // 13 hosts of 0.192 cores carry the need
	is.True(f.IsActive("s0/1"))
	is.True(!f.IsActive("s1/1"))
}

func TestALoadBeyondTheStrongHostsIsSpreadOverAll(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 69)
	heartbeatAll(f, start)
	f.SelectActive(start, 4.8)
	is.Equal(len(f.ActivePeers()), 6)
	f.SelectActive(start, 10) // 53 hosts of 0.192 cores carry it
	is.True(len(f.ActivePeers()) >= 52)
}

func TestLoadDecidesHowManyEqualHostsAreActive(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 0, 40)
	heartbeatAll(f, start)
	f.SelectActive(start, 0.192*20)
	active := len(f.ActivePeers())
	if f.Active() {
		active++
	}
	is.Equal(active, 20)
}

func TestNewlyRegisteredHostIsPresumedReachable(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 69)
	f.SelectActive(start.Add(presumedTimeout-1), MinActiveCapacity)
	is.Equal(len(f.ActivePeers()), 6)
	f.SelectActive(start.Add(presumedTimeout), MinActiveCapacity)
	is.True(f.Active()) // no other host is reachable
}

func TestStandbyReportedByActiveHostIsReachable(t *testing.T) {
	is := is.New(t)
	reporter := newMixedFleet(start, 6, 69)
	reporter.SelectActive(start, MinActiveCapacity)
	reporter.ReceiveHeartbeat(start, "w5/1", true, true, false)
	reporter.ReceiveHeartbeat(start, "w6/1", true, false, false) // not ready
	reporter.ReceiveHeartbeat(start, "s1/1", true, true, false)  // active
	standbys := reporter.DirectStandbys(start)
	is.Equal(standbys, []uint32{core.ShortHash("w5")})
	is.Equal(len(reporter.Standbys(start)), 2) // both get the active hosts' heartbeats
	is.Equal(len(reporter.Standbys(start.Add(standbyReportTimeout))), 0)

	f := newMixedFleet(start, 6, 69)
	f.SelectActive(start, MinActiveCapacity)
	is.True(!f.Reachable(start, "w5/1"))
	f.ReceiveStandbyReport(start, standbys)
	is.True(f.Reachable(start, "w5/1"))
	is.True(f.Reachable(start.Add(standbyTimeout-time.Millisecond), "w5/1"))
	is.True(!f.Reachable(start.Add(standbyTimeout), "w5/1"))
}

func TestStandbyContactsHostsOfItsDomainFirst(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 69)
	f.SelectActive(start, MinActiveCapacity)
	near := 0
	for _, p := range f.ActivePeers() {
		if p.Domain == f.self.Domain {
			near++
		}
	}
	is.Equal(near, 2)
	picked := f.StandbyContacts()
	is.Equal(len(picked), contacts)
	for _, p := range picked {
		is.Equal(p.Domain, f.self.Domain)
	}
}

// After a power loss of all hosts the active ones reach each other first. They must
// admit at the fleet's full rate without waiting for the standby hosts.
func TestReachableFractionOfLargeFleetCountsActiveHostsOnly(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 6, 69)
	f.self = registration("s6")
	f.self.Capacity = 0.8
	f.SelectActive(start, MinActiveCapacity)
	is.True(f.ReachableFraction(start) < 0.15) // it has received no heartbeat yet
	for i := range 6 {
		f.ReceiveHeartbeat(start, core.HostID(fmt.Sprintf("s%d/1", i)), true, true, false)
	}
	is.Equal(f.ReachableFraction(start), 1.0)
}

// Invariant: however the network is partitioned, the fractions of both sides add up to
// about 1.
func TestReachableFractionsOfPartitionedFleetAddUp(t *testing.T) {
	for _, largeOnOneSide := range []int{0, 1, 3, 6} {
		is := is.New(t)
		one, other := newMixedFleet(start, 6, 69), newMixedFleet(start, 6, 69)
		other.self = registration("w68")
		other.self.Capacity = 0.192
		delete(other.peers, "w68")
		heartbeatAll(one, start)
		heartbeatAll(other, start)
		one.SelectActive(start, MinActiveCapacity)
		other.SelectActive(start, MinActiveCapacity)
		later := start.Add(standbyTimeout)
		for i := range 69 {
			side := one
			if i >= 35 {
				side = other
			}
			side.ReceiveHeartbeat(later, core.HostID(fmt.Sprintf("w%d/1", i)), true, true, false)
		}
		for i := range 6 {
			side := one
			if i >= largeOnOneSide {
				side = other
			}
			side.ReceiveHeartbeat(later, core.HostID(fmt.Sprintf("s%d/1", i)), true, true, false)
		}
		one.SelectActive(later, MinActiveCapacity)
		other.SelectActive(later, MinActiveCapacity)
		sum := one.ReachableFraction(later) + other.ReachableFraction(later)
		is.True(sum > 0.9)
		is.True(sum < 1.15) // rates may be exceeded by a tenth plus a slack
	}
}

// Guards against a directory that names a host which has been off for seconds: an active host that
// had become unreachable counted as a standby host, for which longer timeouts hold, and was chosen
// again and reported to others as ready.
func TestActiveHostThatEndsIsNotChosenOrReportedAgain(t *testing.T) {
	observers := []struct {
		large    int
		required float64 // cores
		active   bool    // the observer is
		lost     string
	}{
		{large: 6, required: MinActiveCapacity, active: false, lost: "s0"},
		{large: 0, required: 0.192 * 39, active: true, lost: "w1"},
	}
	for _, o := range observers {
		is := is.New(t)
		observer := newMixedFleet(start, o.large, 40)
		heartbeatAll(observer, start)
		observer.SelectActive(start, o.required)
		is.Equal(observer.Active(), o.active)
		timeout := observer.heartbeatTimeout(observer.peers[o.lost])
		for after := time.Duration(0); after < 10*time.Second; after += 100 * time.Millisecond {
			now := start.Add(after)
			for h, p := range observer.hosts {
				if p.Name != o.lost {
					observer.ReceiveHeartbeat(now, h, true, true, false)
				}
			}
			observer.SelectActive(now, o.required)
			if after < timeout {
				continue
			}
			is.True(!observer.IsActive(observer.peers[o.lost].Host))
			is.True(!slices.Contains(observer.Addresses(now, true), o.lost+":80"))
			is.True(!slices.Contains(observer.ReadyStandbys(now), core.ShortHash(o.lost)))
			is.True(!slices.Contains(observer.DirectStandbys(now), core.ShortHash(o.lost)))
		}
	}
}

// A host that the load no longer needs sends heartbeats more rarely from then on.
func TestHostThatBecomesAStandbyStaysReachable(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 0, 40)
	heartbeatAll(f, start)
	f.SelectActive(start, 0.192*40)
	f.SelectActive(start, 0.192*20)
	later := start.Add(standbyTimeout - time.Millisecond)
	for h, p := range f.hosts {
		if !p.active {
			is.True(f.Reachable(later, h))
		}
	}
}

func TestTimeoutFollowsFromTheRoleAtTheLastHeartbeat(t *testing.T) {
	is := is.New(t)
	f := newMixedFleet(start, 0, 40)
	heartbeatAll(f, start)
	f.SelectActive(start, 0.192*20)
	standby := f.readyStandbys(func(*peer) bool { return true })[0]
	p := f.shorts[standby]
	f.ReceiveHeartbeat(start, p.Host, true, true, false)
	is.Equal(f.heartbeatTimeout(p), standbyTimeout)
	f.SelectActive(start, 0.192*40) // it hasn't sent a heartbeat as an active host yet
	is.True(p.active)
	is.Equal(f.heartbeatTimeout(p), standbyTimeout)
	f.ReceiveHeartbeat(start, p.Host, true, true, false)
	is.Equal(f.heartbeatTimeout(p), HeartbeatTimeout)
}
