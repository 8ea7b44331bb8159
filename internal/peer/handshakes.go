package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	metrics "github.com/rcrowley/go-metrics"
)

// handshakes bounds the incoming connections whose peers have not proved yet that they have a key, and
// so the memory that a flood of them holds.
type handshakes struct {
	pending atomic.Int64
	refused metrics.Counter
}

// handshakeKey is the key under which a connection's context has the function that ends its
// handshake.
type handshakeKey struct{}

// admit is the transport's ConnContext: it counts an incoming connection until its handshake has ended.
func (h *handshakes) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.pending.Add(1) > maxHandshakes {
		h.pending.Add(-1)
		h.refused.Inc(1)
		return nil, LinkError.New("too many handshakes")
	}
	end := sync.OnceFunc(func() { h.pending.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// completed ends the handshake of an accepted connection, given its context.
func (h *handshakes) completed(ctx context.Context) {
	if end, ok := ctx.Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// verifySource is the transport's VerifySourceAddress.
func (h *handshakes) verifySource(net.Addr) bool { return h.pending.Load() >= maxUnverifiedHandshakes }
