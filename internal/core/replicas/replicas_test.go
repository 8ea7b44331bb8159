package replicas

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func at(d time.Duration) core.Instant { return core.Instant(d) }

func entry(id core.UpstreamID, started int64, sequence uint64) Entry {
	return Entry{ID: id, Service: "s", Started: started, Sequence: sequence}
}

func TestUnlistedReplicaIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	s.Update(at(time.Second), entry("a", 1, 1))
	s.Remove(at(2*time.Second), "a")
	is.True(s.Get("a") == nil)
}

func TestEntryLapsedInOutageIsKeptForGracePeriod(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	s.Update(at(time.Second), entry("a", 1, 1))
	s.Update(at(time.Second), entry("b", 1, 1))
	s.StoreLost(at(5 * time.Second))
	is.Equal(len(s.Tick(at(8*time.Second))), 0)
	s.StoreReached(at(10 * time.Second))
	s.RemoveUnlisted(at(10*time.Second), nil)
	is.True(s.Get("a") != nil)
	s.Update(at(11*time.Second), entry("b", 1, 9))
	is.Equal(len(s.Tick(at(12*time.Second))), 0)
	is.Equal(s.Tick(at(10*time.Second+outageGracePeriod)), []core.UpstreamID{"a"})
	is.True(s.Get("b") != nil)
}

// Guards against taking a removal for an expired entry: a replica removed 2.4 s after
// the end of a store outage was used for 2.5 s more.
func TestRemovalAfterGracePeriodTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	s.Update(at(time.Second), entry("a", 1, 1))
	s.StoreLost(at(5 * time.Second))
	s.StoreReached(at(10 * time.Second))
	s.Remove(at(10*time.Second+outageGracePeriod), "a")
	is.True(s.Get("a") == nil)
}

func TestLeavingReplicaStaysLeavingUntilRestart(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	leaving := entry("a", 1, 5)
	leaving.Leaving = true
	s.Update(0, entry("a", 1, 4))
	s.Update(0, leaving)
	s.Update(0, entry("a", 1, 3))
	is.True(s.Get("a").Leaving)
	is.True(s.Update(0, entry("a", 2, 0)))
	is.True(!s.Get("a").Leaving)
}

func TestOwnerReportOverridesPlatformList(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	s.Update(0, entry("a", 1, 1))
	s.ApplyResidency(at(time.Second), Residency{Replica: "a", Started: 1, Orders: 3, Models: []Model{{Name: "m", Adapters: []core.AdapterRef{{ID: "x", Version: 2}}}}})
	s.ApplyResidency(at(time.Second), Residency{Replica: "a", Started: 1, Orders: 2})
	s.Update(at(2*time.Second), entry("a", 1, 2))
	version, ok := s.Get("a").AdapterVersion("x")
	is.True(ok)
	is.Equal(version, 2)
	s.Update(at(10*time.Second), entry("a", 1, 3)) // no report from the owner for 9 s
	_, ok = s.Get("a").AdapterVersion("x")
	is.True(!ok)
}
