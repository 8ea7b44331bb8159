package gateway

import (
	"context"
	"sync"
)

// interrupts is a set of waiting calls that can be interrupted together.
type interrupts struct {
	mu      sync.Mutex
	lastID  int
	cancels map[int]context.CancelFunc
}

// attach returns a context that interruptAll cancels, and a function that removes
// it from the set and must be called.
func (i *interrupts) attach(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancels == nil {
		i.cancels = map[int]context.CancelFunc{}
	}
	i.lastID++
	id := i.lastID
	i.cancels[id] = cancel
	return ctx, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.cancels, id)
		cancel()
	}
}

// interruptAll cancels all attached contexts.
func (i *interrupts) interruptAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, cancel := range i.cancels {
		cancel()
	}
}
