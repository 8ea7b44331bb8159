package peer

import (
	"sync"
	"time"
)

// queued is a payload that waits to be sent.
type queued struct {
	payload  []byte
	queuedAt time.Time
}

// ring is a bounded queue that drops the oldest payload when it is full, because a
// host's newer messages supersede its older ones.
type ring struct {
	mu       sync.Mutex
	items    []queued // circular; grows up to maxItems
	head     int
	size     int
	bytes    int
	maxItems int
	maxBytes int
	wake     chan struct{}
}

// initialRingSize is the capacity in payloads of a new ring and of a ring that has been
// emptied after a burst. Most links never need more, and a host may have hundreds of
// links.
const initialRingSize = 8

func newRing(maxItems, maxBytes int) *ring {
	return &ring{maxItems: maxItems, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// push adds a payload and returns how many older ones it dropped.
func (r *ring) push(q queued) int {
	r.mu.Lock()
	dropped := 0
	for r.size == r.maxItems || (r.size > 0 && r.bytes+len(q.payload) > r.maxBytes) {
		r.removeOldest()
		dropped++
	}
	r.ensureRoom()
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

// ensureRoom enlarges the buffer if it is full.
func (r *ring) ensureRoom() {
	if r.size < len(r.items) {
		return
	}
	items := make([]queued, min(max(2*len(r.items), initialRingSize), r.maxItems))
	for i := range r.size {
		items[i] = r.items[(r.head+i)%len(r.items)]
	}
	r.items, r.head = items, 0
}

// pop removes and returns the oldest payload, if any.
func (r *ring) pop() (queued, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		return queued{}, false
	}
	return r.removeOldest(), true
}

// empty reports whether no payload is queued.
func (r *ring) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size == 0
}

// removeOldest removes and returns the oldest payload. The caller holds mu, and the ring
// must not be empty.
func (r *ring) removeOldest() queued {
	q := r.items[r.head]
	r.items[r.head] = queued{}
	r.head = (r.head + 1) % len(r.items)
	r.size--
	r.bytes -= len(q.payload)
	if r.size == 0 && len(r.items) > initialRingSize {
		r.items, r.head = nil, 0 // the burst is over
	}
	return q
}

// dropBefore drops the payloads that were queued before t and returns how many.
func (r *ring) dropBefore(t time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := 0
	for r.size > 0 && r.items[r.head].queuedAt.Before(t) {
		r.removeOldest()
		dropped++
	}
	return dropped
}
