package supervise

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Full is the class of a push refused by a full ring.
var Full = errs.Class("ring full")

// Policy says what a full ring does with a push.
type Policy uint8

// Policies.
const (
	Refuse     Policy = iota // the push fails and its caller decides
	DropOldest               // the oldest item makes room
)

// Ring joins two duties with a bounded queue.
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
		r.replace(item)
		return nil
	}
	if !r.TryPush(item) {
		r.refused.Add(1)
		return Full.New("%s", r.name)
	}
	return nil
}

// TryPush adds an item unless the ring is full, whatever its policy.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put waits for room, whatever the ring's policy: for items that must not be lost.
func (r *Ring[T]) Put(item T) { r.items <- item }

func (r *Ring[T]) replace(item T) {
	for !r.TryPush(item) {
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Items is the receiving end.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats is what a ring counts.
type Stats struct {
	Name    string
	Length  int
	Size    int
	Dropped int64
	Refused int64
}

// Stats returns the ring's counts.
func (r *Ring[T]) Stats() Stats {
	return Stats{Name: r.name, Length: len(r.items), Size: cap(r.items), Dropped: r.dropped.Load(), Refused: r.refused.Load()}
}
