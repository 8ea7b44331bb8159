package gateway

import (
	"context"
	"sync"
	"time"
)

// retryGate spaces the calls of all watches while the store doesn't answer or refuses calls. Without it
// each of them tries by itself, and the calls of a fleet add up to thousands in half a minute, which
// the store refuses one by one.
type retryGate struct {
	mu   sync.Mutex
	next time.Time // when the next call may be made
}

// take reports whether a call may be made now. If so, no other may be made for an interval.
func (g *retryGate) take(now time.Time, interval time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(interval)
	return true
}

// awaitRetry waits before the retry of a failed call: for delay, and then until the store has answered
// another call or it is this watch's turn to try.
func (g *Gateway) awaitRetry(ctx context.Context, delay time.Duration) {
	pause(ctx, delay)
	for ctx.Err() == nil && !g.storeReachable.Load() && !g.retries.take(time.Now(), maxRetryDelay) {
		pause(ctx, minRetryDelay)
	}
}
