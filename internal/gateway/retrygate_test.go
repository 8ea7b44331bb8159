package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
)

// refusingStore is a fake store that refuses all calls until a time.
type refusingStore struct {
	backAt time.Time

	mu      sync.Mutex
	refused int
	listed  map[string]time.Duration // from its return to the first list of each kind
}

// Do implements Store.
func (s *refusingStore) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	s.mu.Lock()
	if time.Now().Before(s.backAt) {
		s.refused++
		s.mu.Unlock()
		return core.ObjectResult{Status: core.ObjectUnavailable}
	}
	if _, known := s.listed[c.Key]; !known && c.Op == core.ObjectList {
		s.listed[c.Key] = time.Since(s.backAt)
	}
	s.mu.Unlock()
	if c.Op == core.ObjectWatch {
		pause(ctx, c.Wait)
	}
	return core.ObjectResult{Status: core.ObjectOK, Version: 7}
}

// Guards against a fleet whose watches each retry by themselves while the store refuses calls: 3,400 refused
// calls of 82 hosts in 12 s of such an outage.
func TestWatchesShareTheirRetriesWhileTheStoreRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, maxReturn = 6 * time.Second, 2 * time.Second
		is := is.New(t)
		s := &refusingStore{backAt: time.Now().Add(outage), listed: map[string]time.Duration{}}
		g := New(relaynode.New(relaynode.Settings{}), Executors{Store: s, Documents: Documents{
			ConfigurationKind: "configurations", ReplicasKind: "replicas", VersionsKind: "versions"}}, noClock, metrics.NewRegistry())
		g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		watches := g.watches()
		for _, w := range watches {
			go func() { _ = w.run(ctx) }()
		}
		go func() { // the machine, which only discards events
			for {
				select {
				case <-g.events.Items():
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(outage + maxReturn)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(len(s.listed), len(watches))
		for _, after := range s.listed {
			is.True(after <= maxRetryDelay+minRetryDelay) // as without the gate
		}
		is.True(s.refused <= 2*len(watches)+int(outage/maxRetryDelay))
	})
}
