package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
)

// cuttingStore is a fake store that cuts off each watch after a second, and answers all other calls
// unless it is away.
type cuttingStore struct {
	away atomic.Bool
}

// Do implements Store.
func (s *cuttingStore) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	if c.Op == core.ObjectWatch {
		pause(ctx, time.Second)
		return core.ObjectResult{Status: core.ObjectUnknown}
	}
	if s.away.Load() {
		pause(ctx, 900*time.Millisecond)
		return core.ObjectResult{Status: core.ObjectUnknown}
	}
	return core.ObjectResult{Status: core.ObjectOK, Version: 7}
}

// storeEvents counts what the machine was told of the store.
type storeEvents struct{ answered, failed atomic.Int32 }

func (s *storeEvents) count(ctx context.Context, g *Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events.Items():
			switch e.(type) {
			case relaynode.StoreAnswered:
				s.answered.Add(1)
			case relaynode.StoreCallFailed:
				s.failed.Add(1)
			}
		}
	}
}

// Guards against requests to replicas that have left (review, case 4): a watch that the store cut off
// counted as a store that is away, in which time no replica is taken for gone.
func TestAWatchThatIsCutOffDoesNotShowThatTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &cuttingStore{}
		g := New(relaynode.New(relaynode.Settings{}), Executors{Store: s}, noClock, metrics.NewRegistry())
		g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var events storeEvents
		go events.count(ctx, g)
		for _, kind := range []string{"j", "k"} {
			w := &watch{gateway: g, kind: kind, startAtOnce: true, onList: func([]core.Object) {}, onChange: func(core.Object) {}}
			go func() { _ = w.run(ctx) }()
		}
		time.Sleep(10 * time.Second)
		is.Equal(events.failed.Load(), int32(0))
		is.True(events.answered.Load() >= 8) // a check after each cut at least
		s.away.Store(true)
		time.Sleep(3 * time.Second)
		is.True(events.failed.Load() > 0) // the check shows that it is away
		s.away.Store(false)
		time.Sleep(3 * time.Second)
		failed := events.failed.Load()
		time.Sleep(5 * time.Second)
		is.Equal(events.failed.Load(), failed)
	})
}

// A connection that has gone silent costs a call its answer, too: it is no sign that the store is away.
func TestAWriteWithoutAnAnswerDoesNotShowThatTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(relaynode.New(relaynode.Settings{}), Executors{Store: &cuttingStore{}}, noClock, metrics.NewRegistry())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var events storeEvents
		go events.count(ctx, g)
		g.reportStoreStatus(ctx, 0, &core.ObjectResult{Status: core.ObjectUnknown})
		synctest.Wait()
		is.Equal(events.failed.Load(), int32(0))
		is.Equal(events.answered.Load(), int32(1))
		g.reportStoreStatus(ctx, 0, &core.ObjectResult{Status: core.ObjectUnavailable}) // refused, or nothing listens
		synctest.Wait()
		is.Equal(events.failed.Load(), int32(1))
	})
}

// Guards against requests to a replica that has left (review, case 7): a failure counted from when it was
// known, which may be seconds after the call was sent.
func TestFailedCallCountsFromWhenItWasSent(t *testing.T) {
	is := is.New(t)
	now := core.Instant(9 * time.Second)
	g := New(relaynode.New(relaynode.Settings{}), Executors{}, func() core.Instant { return now }, metrics.NewRegistry())
	sent := core.Instant(7 * time.Second)
	g.reportStoreStatus(t.Context(), sent, &core.ObjectResult{Status: core.ObjectUnavailable})
	is.Equal(<-g.events.Items(), relaynode.Event(relaynode.StoreCallFailed{Sent: sent}))
}
