package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// mixed is the view of a host of a large fleet: strong hosts of 0.8 cores, named
// s0 and so on, and weak ones of 0.192, w0 and so on. The host itself is w0.
func mixed(now core.Instant, strong, weak int) *Fleet {
	host := func(name string, capacity float64) Registration {
		r := registration(name)
		r.Capacity = capacity
		r.Domain = core.Domain(fmt.Sprintf("d%d", len(name)+int(name[1])%3))
		return r
	}
	f := New(host("w0", 0.192))
	for i := range strong {
		f.Listed(now, host(fmt.Sprintf("s%d", i), 0.8))
	}
	for i := 1; i < weak; i++ {
		f.Listed(now, host(fmt.Sprintf("w%d", i), 0.192))
	}
	return f
}

// hearAll has every listed host heard.
func hearAll(f *Fleet, now core.Instant) {
	for h := range f.hosts {
		f.Heard(now, h, true, true, false)
	}
}

func TestInASmallFleetEveryHostIsActive(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 6)
	f.Select(start, NeedLeast)
	is.True(f.Active())
	is.True(!f.Large())
	is.Equal(len(f.ActivePeers()), 11)
}

func TestInALargeFleetTheStrongestHostsServe(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 69)
	f.Select(start, NeedLeast) // nobody is heard yet: all that are listed are presumed there
	is.True(!f.Active())
	is.Equal(len(f.ActivePeers()), 6)
	hearAll(f, start)
	is.Equal(f.Addresses(start, true), []string{"s0:80", "s1:80", "s2:80", "s3:80", "s4:80", "s5:80"})
}

func TestWeakHostsTakeThePlacesOfLostStrongOnes(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 69)
	hearAll(f, start)
	f.Select(start, NeedLeast)
	later := start.Add(relayedFor)
	for i := 1; i < 69; i++ {
		f.Heard(later, core.HostID(fmt.Sprintf("w%d/1", i)), true, true, false)
	}
	f.Heard(later, "s0/1", true, true, false)
	f.Select(later, NeedLeast)
	active := len(f.ActivePeers())
	if f.Active() {
		active++
	}
	is.Equal(active, 13) // each bears a thirteenth of the need
	is.True(f.IsActive("s0/1"))
	is.True(!f.IsActive("s1/1"))
}

func TestALoadBeyondTheStrongHostsIsSpreadOverAll(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 69)
	hearAll(f, start)
	f.Select(start, 4.8)
	is.Equal(len(f.ActivePeers()), 6)
	f.Select(start, 10) // 53 weak hosts would carry it
	is.True(len(f.ActivePeers()) >= 52)
}

func TestHostsOfOneStrengthAreActiveAsManyAsTheLoadNeeds(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 0, 40)
	hearAll(f, start)
	f.Select(start, 0.192*20)
	active := len(f.ActivePeers())
	if f.Active() {
		active++
	}
	is.Equal(active, 20)
}

func TestAHostThatIsListedAndNeverHeardIsPresumedThereForAWhile(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 69)
	f.Select(start.Add(presumedFor-1), NeedLeast)
	is.Equal(len(f.ActivePeers()), 6)
	f.Select(start.Add(presumedFor), NeedLeast)
	is.True(f.Active()) // nobody else is there
}

func TestWhatActiveHostsHearIsHeard(t *testing.T) {
	is := is.New(t)
	told := mixed(start, 6, 69)
	told.Select(start, NeedLeast)
	told.Heard(start, "w5/1", true, true, false)
	told.Heard(start, "w6/1", true, false, false) // not ready
	told.Heard(start, "s1/1", true, true, false)  // active
	hears := told.Hears(start)
	is.Equal(hears, []uint32{core.Short("w5")})
	is.Equal(len(told.Standbys(start)), 2) // both are told of the active hosts
	is.Equal(len(told.Standbys(start.Add(tellsFor))), 0)

	f := mixed(start, 6, 69)
	f.Select(start, NeedLeast)
	is.True(!f.Alive(start, "w5/1"))
	f.HeardOf(start, hears)
	is.True(f.Alive(start, "w5/1"))
	is.True(f.Alive(start.Add(standbyFor-time.Millisecond), "w5/1"))
	is.True(!f.Alive(start.Add(standbyFor), "w5/1"))
}

func TestAHostThatStandsByTalksToTwoActiveOnesNearFirst(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 69)
	f.Select(start, NeedLeast)
	near := 0
	for _, p := range f.ActivePeers() {
		if p.Domain == f.self.Domain {
			near++
		}
	}
	is.Equal(near, 2)
	picked := f.Contacts()
	is.Equal(len(picked), contacts)
	for _, p := range picked {
		is.Equal(p.Domain, f.self.Domain)
	}
}

// The pattern of a loss of power of all hosts: the active ones find each other at
// once, and must not wait for those that stand by to admit at the fleet's rate.
func TestTheActiveHostsAreTheWholeOfALargeFleet(t *testing.T) {
	is := is.New(t)
	f := mixed(start, 6, 69)
	f.self = registration("s6")
	f.self.Capacity = 0.8
	f.Select(start, NeedLeast)
	is.True(f.Part(start) < 0.15) // it hears nobody yet
	for i := range 6 {
		f.Heard(start, core.HostID(fmt.Sprintf("s%d/1", i)), true, true, false)
	}
	is.Equal(f.Part(start), 1.0)
}

// Keeps: whatever way the fleet is cut, the parts add up to the whole at most.
func TestPartsOfACutFleetAddUp(t *testing.T) {
	for _, strong := range []int{0, 1, 3, 6} {
		is := is.New(t)
		one, other := mixed(start, 6, 69), mixed(start, 6, 69)
		other.self = registration("w68")
		other.self.Capacity = 0.192
		delete(other.peers, "w68")
		hearAll(one, start)
		hearAll(other, start)
		one.Select(start, NeedLeast)
		other.Select(start, NeedLeast)
		later := start.Add(standbyFor)
		for i := range 69 {
			side := one
			if i >= 35 {
				side = other
			}
			side.Heard(later, core.HostID(fmt.Sprintf("w%d/1", i)), true, true, false)
		}
		for i := range 6 {
			side := one
			if i >= strong {
				side = other
			}
			side.Heard(later, core.HostID(fmt.Sprintf("s%d/1", i)), true, true, false)
		}
		one.Select(later, NeedLeast)
		other.Select(later, NeedLeast)
		sum := one.Part(later) + other.Part(later)
		is.True(sum > 0.9)
		is.True(sum < 1.15) // the sheet allows a tenth and a slack beyond
	}
}
