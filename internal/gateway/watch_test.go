package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
)

// noClock is a clock that tells no time, so that events count as of when they are handled.
func noClock() core.Instant { return 0 }

// firstCallHangs is a fake store whose first call hangs until it is cancelled.
type firstCallHangs struct{ calls chan core.ObjectCall }

// Do implements Store.
func (s firstCallHangs) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	s.calls <- c
	if len(s.calls) == 1 {
		<-ctx.Done()
		return core.ObjectResult{Status: core.ObjectUnknown}
	}
	return core.ObjectResult{Status: core.ObjectOK, Version: 7}
}

// Guards against a startup delay (incident inc-45ce): the first list of a host that
// started during a store outage was interrupted when the store returned. The host
// took it for complete and waited 1.8 s for another host to watch the objects,
// while it had none of them.
func TestAFirstListThatIsInterruptedIsReadAgainAtOnce(t *testing.T) {
	is := is.New(t)
	store := firstCallHangs{calls: make(chan core.ObjectCall, 8)}
	g := New(relaynode.New(relaynode.Settings{}), Executors{Store: store}, noClock, metrics.NewRegistry())
	w := &watch{gateway: g, kind: "k", onList: func([]core.Object) {}, onChange: func(core.Object) {}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	for len(store.calls) == 0 {
		time.Sleep(time.Millisecond) // until the first list has started
	}
	interrupted := time.Now()
	for len(store.calls) == 1 && time.Since(interrupted) < watchStartDelay {
		g.reread.interruptAll()
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(interrupted) < watchStartDelay)
	<-store.calls
	is.Equal((<-store.calls).Op, core.ObjectList)
	cancel()
	is.True(<-done != nil)
}

// scriptedStore is a fake store that gives its results in turn, and repeats the last one.
type scriptedStore struct {
	calls   chan core.ObjectCall
	results []core.ObjectResult
}

// Do implements Store.
func (s *scriptedStore) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return core.ObjectResult{Status: core.ObjectUnknown}
	}
	result := s.results[0]
	if len(s.results) > 1 {
		s.results = s.results[1:]
	}
	return result
}

// The store was restored and has reached the watched version again: its answer shows no
// gap, but lacks the changes up to that version.
func TestAWatchListsAgainInANewEra(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{calls: make(chan core.ObjectCall), results: []core.ObjectResult{
		{Status: core.ObjectOK, Version: 7, Era: 1},
		{Status: core.ObjectOK, Version: 9, Era: 2, Objects: []core.Object{{Key: "k/b", Version: 9, Era: 2}}},
		{Status: core.ObjectOK, Version: 9, Era: 2, Objects: []core.Object{{Key: "k/a", Version: 3, Era: 2}, {Key: "k/b", Version: 9, Era: 2}}},
		{Status: core.ObjectOK, Version: 9, Era: 2},
	}}
	g := New(relaynode.New(relaynode.Settings{}), Executors{Store: store}, noClock, metrics.NewRegistry())
	g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
	var lists, changes int
	w := &watch{gateway: g, kind: "k", startAtOnce: true, onList: func([]core.Object) { lists++ }, onChange: func(core.Object) { changes++ }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	is.Equal((<-store.calls).Op, core.ObjectList)
	is.Equal((<-store.calls).IfVersion, uint64(7))
	is.Equal((<-store.calls).Op, core.ObjectList)
	is.Equal((<-store.calls).IfVersion, uint64(9))
	cancel()
	is.True(<-done != nil)
	is.Equal(lists, 2)
	is.Equal(changes, 0)
}

// A stale list may be of the copy's past or of the era before: it is not used when it shows
// that the era has changed, and the next lists are not stale.
func TestLeasesAreReadFreshInANewEra(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{calls: make(chan core.ObjectCall), results: []core.ObjectResult{
		{Status: core.ObjectOK, Era: 1},
		{Status: core.ObjectOK, Era: 2},
	}}
	g := New(relaynode.New(relaynode.Settings{}), Executors{Store: store}, noClock, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.readLeases(ctx) }()
	is.True(!(<-store.calls).Stale)
	is.True(!(<-store.calls).Stale) // the era is young
	is.True(!(<-store.calls).Stale)
	cancel()
	is.True(<-done != nil)
}

// Guards against the use of an older adapter version: a change that had waited for the store to
// answer again was taken for one made at that moment.
func TestChangesAfterAFailedCallCountAsLate(t *testing.T) {
	is := is.New(t)
	change := func(version uint64) core.ObjectResult {
		return core.ObjectResult{Status: core.ObjectOK, Version: version, Objects: []core.Object{{Key: "k/a", Version: version}}}
	}
	store := &scriptedStore{calls: make(chan core.ObjectCall), results: []core.ObjectResult{
		{Status: core.ObjectOK, Version: 1}, change(2), {Status: core.ObjectUnavailable}, change(3), change(4),
	}}
	g := New(relaynode.New(relaynode.Settings{}), Executors{Store: store}, noClock, metrics.NewRegistry())
	g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
	w := &watch{gateway: g, kind: "k", startAtOnce: true, onList: func([]core.Object) {}}
	late := map[uint64]bool{}
	w.onChange = func(o core.Object) { late[o.Version] = w.late }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	for range 6 {
		<-store.calls
	}
	cancel()
	is.True(<-done != nil)
	is.Equal(late, map[uint64]bool{2: false, 3: true, 4: false})
}
