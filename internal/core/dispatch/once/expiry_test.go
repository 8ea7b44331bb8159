package once

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/standin/platform"
)

type soleMember struct{ core.Ownership }

func (soleMember) Self() core.HostID      { return "a" }
func (soleMember) Members() []core.Member { return []core.Member{{Host: "a"}} }

// advanceAsCollector passes time with the host as the collector.
func (s *script) advanceAsCollector(d time.Duration) {
	const step = 10 * time.Second
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		s.carryOut(s.m.Tick(s.now, soleMember{}))
	}
}

func TestRecordsExpireAfterTheRetentionAndNotBefore(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.advanceAsCollector(time.Minute)
	a.begin("1", 7)
	a.finish("1", core.RanYes)
	a.advanceAsCollector(RetentionEpochs*EpochDuration - 2*time.Minute)
	is.Equal(a.begin("2", 7).Kind, Replay)
	a.advanceAsCollector(4 * EpochDuration)
	is.Equal(a.begin("3", 7).Kind, Run)
}

func TestNewCollectorObservesEpochsAgainAndKeepsThem(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.advanceAsCollector(time.Minute)
	a.begin("1", 7)
	a.finish("1", core.RanYes)
	for range RetentionEpochs + 6 { // a new host collects every 100 minutes
		a = newScript(store, "a")
		a.advanceAsCollector(100 * time.Minute)
	}
	is.Equal(a.begin("2", 7).Kind, Run)
}

func TestCollectorCallsAreBounded(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.advanceAsCollector((RetentionEpochs + 2) * EpochDuration)
	before := store.TotalCalls()
	a.advanceAsCollector(EpochDuration)
	is.True(store.TotalCalls()-before <= bucketCount+2) // a list for each bucket, and the epochs
}
