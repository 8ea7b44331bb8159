package standin

import (
	"context"
	"slices"
	"sync"
)

// batch is an engine's continuous batch. Waiting requests are admitted by
// priority, in order of arrival among equal priorities.
type batch struct {
	mu       sync.Mutex
	capacity int
	running  int
	waiting  []*waiter
}

type waiter struct {
	priority int // lower is more urgent
	ready    chan struct{}
}

// acquire waits for a free place and reports whether it got one before ctx was
// done.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.capacity && len(b.waiting) == 0 {
		b.running++
		b.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(b.waiting, priority+1, func(x *waiter, p int) int { return x.priority - p })
	b.waiting = slices.Insert(b.waiting, at, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return b.cancelWait(w)
	}
}

// cancelWait removes a waiter. It returns true if the waiter was given a place
// in the meantime; the caller then has to release it.
func (b *batch) cancelWait(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiting, w)
	if at < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return false
}

// release frees a place or passes it to the first waiter.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	close(next.ready) // running stays unchanged
}

// counts returns the numbers of running and of waiting requests.
func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
