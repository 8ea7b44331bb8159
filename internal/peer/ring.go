package peer

import (
	"sync"
	"time"
)

// queued is a payload that waits for its link.
type queued struct {
	payload []byte
	at      time.Time
}

// ring is a bounded queue whose policy is to drop the oldest payload: what
// hosts tell each other is superseded by what they tell next.
type ring struct {
	mu    sync.Mutex
	items []queued // a circle that grows up to capacity
	head  int
	size  int
	bytes int
	most  int // payloads
	limit int // bytes
	wake  chan struct{}
}

// ringStart is how many places a ring has at first and after a burst: most
// links never need more, and a host may have hundreds.
const ringStart = 8

func newRing(capacity, limit int) *ring {
	return &ring{most: capacity, limit: limit, wake: make(chan struct{}, 1)}
}

// push adds a payload and returns how many older ones it displaced.
func (r *ring) push(q queued) int {
	r.mu.Lock()
	dropped := 0
	for r.size == r.most || (r.size > 0 && r.bytes+len(q.payload) > r.limit) {
		r.take()
		dropped++
	}
	r.grow()
	r.items[(r.head+r.size)%len(r.items)] = q
	r.size++
	r.bytes += len(q.payload)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return dropped
}

// grow makes a place where there is none.
func (r *ring) grow() {
	if r.size < len(r.items) {
		return
	}
	items := make([]queued, min(max(2*len(r.items), ringStart), r.most))
	for i := range r.size {
		items[i] = r.items[(r.head+i)%len(r.items)]
	}
	r.items, r.head = items, 0
}

// pop removes the oldest payload.
func (r *ring) pop() (queued, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		return queued{}, false
	}
	return r.take(), true
}

// empty reports whether nothing waits.
func (r *ring) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size == 0
}

// take removes the oldest payload; the caller holds mu and knows there is one.
func (r *ring) take() queued {
	q := r.items[r.head]
	r.items[r.head] = queued{}
	r.head = (r.head + 1) % len(r.items)
	r.size--
	r.bytes -= len(q.payload)
	if r.size == 0 && len(r.items) > ringStart {
		r.items, r.head = nil, 0 // the burst is over
	}
	return q
}

// dropBefore removes the payloads that were queued before t.
func (r *ring) dropBefore(t time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := 0
	for r.size > 0 && r.items[r.head].at.Before(t) {
		r.take()
		dropped++
	}
	return dropped
}
