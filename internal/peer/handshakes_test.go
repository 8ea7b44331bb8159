package peer

import (
	"context"
	"runtime"
	"testing"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
)

// Guards against a flood of handshakes without a key, which never complete, and against completed ones
// that still count.
func TestHandshakesAreBoundedUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	h := &handshakes{refused: metrics.NewCounter()}
	parent, cancel := context.WithCancel(context.Background())
	var last context.Context
	for n := range maxHandshakes {
		is.Equal(h.verifySource(nil), n >= maxUnverifiedHandshakes)
		ctx, err := h.admit(parent, nil)
		is.NoErr(err)
		last = ctx
	}
	_, err := h.admit(parent, nil)
	is.True(LinkError.Has(err))
	is.Equal(h.refused.Count(), int64(1))
	h.completed(last)
	h.completed(last) // counted once
	_, err = h.admit(context.Background(), nil)
	is.NoErr(err)
	cancel()
	for h.pending.Load() != 1 { // the cancelled ones end in goroutines of their own
		runtime.Gosched()
	}
}
