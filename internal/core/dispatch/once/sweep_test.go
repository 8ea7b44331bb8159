package once

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/standin/platform"
)

type alone struct{ core.Ownership }

func (alone) Self() core.HostID      { return "a" }
func (alone) Members() []core.Member { return []core.Member{{Host: "a"}} }

// age lets a host sweep for some time.
func (s *script) age(d time.Duration) {
	const step = 10 * time.Second
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		s.do(s.m.Tick(s.now, alone{}))
	}
}

func TestRecordsExpireAfterTheRetentionAndNotBefore(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.age(time.Minute)
	a.begin("1", 7)
	a.finish("1", core.RanYes)
	a.age(Retention*EpochTerm - 2*time.Minute)
	is.Equal(a.begin("2", 7).Kind, Replay)
	a.age(4 * EpochTerm)
	is.Equal(a.begin("3", 7).Kind, Run)
}

func TestNewSweeperWatchesAnewAndKeepsTheMarks(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.age(time.Minute)
	a.begin("1", 7)
	a.finish("1", core.RanYes)
	for range Retention + 6 { // a new host sweeps every 100 minutes
		a = newScript(store, "a")
		a.age(100 * time.Minute)
	}
	is.Equal(a.begin("2", 7).Kind, Run)
}

func TestSweeperCallsAreBounded(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.age((Retention + 2) * EpochTerm)
	before := store.Total()
	a.age(EpochTerm)
	is.True(store.Total()-before <= sweepBuckets+2) // a list for each bucket, and the marks
}
