package standin

import (
	"context"
	"slices"
	"sync"
)

// batch is an engine's continuous batch: a request joins as soon as there is a
// place, the most urgent first and the earliest among equals.
type batch struct {
	mu      sync.Mutex
	size    int
	running int
	waiting []*waiter
}

type waiter struct {
	priority int // lower is more urgent
	ready    chan struct{}
}

// enter waits for a place and reports whether it got one before ctx ended.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.size && len(b.waiting) == 0 {
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
		return b.withdraw(w)
	}
}

// withdraw takes a waiter back; true where its place came first after all.
func (b *batch) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiting, w)
	if at < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return false
}

// leave gives a place up.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	close(next.ready) // the place passes on
}

// counts returns how many requests run and wait.
func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
