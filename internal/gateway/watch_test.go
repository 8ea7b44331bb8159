package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
)

// silentAtFirst is a store that does not answer its first call.
type silentAtFirst struct{ calls chan core.ObjectCall }

// Do implements Store.
func (s silentAtFirst) Do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	s.calls <- c
	if len(s.calls) == 1 {
		<-ctx.Done()
		return core.ObjectResult{Status: core.ObjectUnknown}
	}
	return core.ObjectResult{Status: core.ObjectOK, Version: 7}
}

// Found in an incident (inc-45ce of edt-reservas): a host that had started while the
// store was away had its first list interrupted by the store's return, took it for
// read, and left it to others for 1.8 s to follow what it did not know.
func TestAFirstListThatIsInterruptedIsReadAgainAtOnce(t *testing.T) {
	is := is.New(t)
	store := silentAtFirst{calls: make(chan core.ObjectCall, 8)}
	g := New(direct.New(direct.Settings{}), Carriers{Store: store}, nil, metrics.NewRegistry())
	w := &watch{gateway: g, kind: "k", listed: func([]core.Object) {}, changed: func(core.Object) {}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	for len(store.calls) == 0 {
		time.Sleep(time.Millisecond) // until the first list is under way
	}
	interrupted := time.Now()
	for len(store.calls) == 1 && time.Since(interrupted) < beginAfter {
		g.reread.call()
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(interrupted) < beginAfter)
	<-store.calls
	is.Equal((<-store.calls).Op, core.ObjectList)
	cancel()
	is.True(<-done != nil)
}
