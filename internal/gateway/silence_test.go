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

// Bounds of the users' platform and of its client.
const (
	contactTime = 3 * time.Second        // within it a host must make up for connections that have gone silent
	spreadTime  = 400 * time.Millisecond // of that, until the other hosts have a change
	clientTime  = 600 * time.Millisecond // after the wait of a watch, until the client gives up
)

// silencedStore is a fake store. The connections of the watches that wait at a time go silent then:
// these calls end with the client's timeout. What is written at that time is found by any later call.
type silencedStore struct {
	silencedAt time.Time
	kinds      int

	mu       sync.Mutex
	found    map[string]time.Time // when a kind's change was found
	foundAll chan struct{}
}

// find records that a change has been found.
func (s *silencedStore) find(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.found[kind]; known {
		return
	}
	s.found[kind] = time.Now()
	if len(s.found) == s.kinds {
		close(s.foundAll)
	}
}

// Do implements Store.
func (s *silencedStore) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	if c.Op == core.ObjectGet { // the check whether the store is away
		return core.ObjectResult{Status: core.ObjectNotFound}
	}
	if time.Now().After(s.silencedAt) {
		s.find(c.Key)
		<-ctx.Done()
		return core.ObjectResult{Status: core.ObjectUnknown}
	}
	if c.Op != core.ObjectWatch {
		return core.ObjectResult{Status: core.ObjectOK, Version: 7}
	}
	if time.Now().Add(c.Wait).Before(s.silencedAt) {
		pause(ctx, c.Wait)
		return core.ObjectResult{Status: core.ObjectOK, Version: 7}
	}
	pause(ctx, c.Wait+clientTime)
	return core.ObjectResult{Status: core.ObjectUnknown}
}

// Guards against missed configurations (review, case 5): the connections of all waiting watches
// went silent at once, and what was written meanwhile was found seconds too late.
func TestWatchesWhoseConnectionsGoSilentFindChangesInTime(t *testing.T) {
	for after := 4 * time.Second; after < 14*time.Second; after += 190 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &silencedStore{silencedAt: time.Now().Add(after), found: map[string]time.Time{}, foundAll: make(chan struct{})}
			g := New(relaynode.New(relaynode.Settings{}), Executors{Store: s, Documents: Documents{
				ConfigurationKind: "configurations", ReplicasKind: "replicas", VersionsKind: "versions"}}, noClock, metrics.NewRegistry())
			g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			watches := g.watches()
			s.kinds = len(watches)
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
			<-s.foundAll
			for _, at := range s.found {
				is.True(at.Sub(s.silencedAt) <= contactTime-spreadTime)
			}
		})
	}
}

// A call that waits was sent before the machine asked for a list: its answer shows nothing of what came
// later.
func TestAWatchThatWaitsIsInterruptedForAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silencedStore{silencedAt: time.Now().Add(time.Hour)}
		calls := &countedStore{Store: s, calls: make(chan core.ObjectCall, 8)}
		g := New(relaynode.New(relaynode.Settings{}), Executors{Store: calls}, noClock, metrics.NewRegistry())
		g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := &watch{gateway: g, kind: "k", startAtOnce: true, onList: func([]core.Object) {}, onChange: func(core.Object) {}}
		go func() { _ = w.run(ctx) }()
		is.Equal((<-calls.calls).Op, core.ObjectList)
		is.Equal((<-calls.calls).Op, core.ObjectWatch)
		synctest.Wait()
		began := time.Now()
		g.relist.interruptAll()
		is.Equal((<-calls.calls).Op, core.ObjectList)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// countedStore passes the calls to another store.
type countedStore struct {
	Store
	calls chan core.ObjectCall
}

// Do implements Store.
func (s *countedStore) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	s.calls <- c
	return s.Store.Do(ctx, c)
}
