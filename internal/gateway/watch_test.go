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
	g := New(relaynode.New(relaynode.Settings{}), Executors{Store: store}, nil, metrics.NewRegistry())
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
