package supervise

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Full is the class of errors for a push that a full ring refuses.
var Full = errs.Class("ring full")

// Policy says what a full ring does with a push.
type Policy uint8

// Policies.
const (
	Refuse     Policy = iota // the push fails and its caller decides
	DropOldest               // the oldest item is dropped
)

// Ring is a bounded queue between workers.
type Ring[T any] struct {
	name    string
	policy  Policy
	items   chan T
	dropped atomic.Int64
	refused atomic.Int64
}

// NewRing returns a ring that holds size items.
func NewRing[T any](name string, size int, policy Policy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, items: make(chan T, size)}
}

// Push adds an item under the ring's policy. It fails with Full only under Refuse.
func (r *Ring[T]) Push(item T) error {
	if r.policy == DropOldest {
		r.pushDroppingOldest(item)
		return nil
	}
	if !r.TryPush(item) {
		r.refused.Add(1)
		return Full.New("%s", r.name)
	}
	return nil
}

// TryPush adds an item unless the ring is full, whatever its policy. It reports whether it
// added it.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// PushBlocking adds an item, whatever the ring's policy, and blocks while the ring is full: for items
// that must not be lost.
func (r *Ring[T]) PushBlocking(item T) { r.items <- item }

func (r *Ring[T]) pushDroppingOldest(item T) {
	for !r.TryPush(item) {
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats holds a ring's length and its counters since it was created.
type Stats struct {
	Name     string
	Length   int
	Capacity int
	Dropped  int64
	Refused  int64
}

// Stats returns the ring's present length and counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{Name: r.name, Length: len(r.items), Capacity: cap(r.items), Dropped: r.dropped.Load(), Refused: r.refused.Load()}
}
