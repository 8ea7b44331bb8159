// Package platform emulates the platform: an in-memory object API with
// versions, conditional writes, watches, injected faults and counters of calls,
// and a list of hosts that changes with a delay.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gentiancroft/internal/core"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Store keeps objects in memory. Server serves it over HTTP; tests call Do
// directly.
type Store struct {
	mu            sync.Mutex
	version       uint64
	objects       map[string]core.Object
	staleObjects  map[string]core.Object // objects that reads return; nil: the current ones
	staleVersion  uint64
	down          bool
	delay         time.Duration
	answersToDrop int
	calls         map[core.ObjectOp]int
	changed       chan struct{} // closed at the next change of the objects or of down
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]core.Object{},
		calls:   map[core.ObjectOp]int{},
		changed: make(chan struct{}),
	}
}

// SetDown sets whether every call fails with ObjectUnavailable, without effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SetDelay sets the time that the HTTP server waits before it carries out a
// call. Do is not delayed.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// DropAnswers makes the next n successful writes take effect with an unknown
// result.
func (s *Store) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToDrop = n
}

// SetStaleReads sets whether reads return the objects as they are now, ignoring
// later writes. Conditions of writes are still checked against the current
// objects.
func (s *Store) SetStaleReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleObjects = nil
	if on {
		s.staleObjects = maps.Clone(s.objects)
		s.staleVersion = s.version
	}
}

// CallCounts returns the number of calls by operation; a waiting watch counts once.
func (s *Store) CallCounts() map[core.ObjectOp]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// TotalCalls returns the number of all calls.
func (s *Store) TotalCalls() int {
	total := 0
	for _, n := range s.CallCounts() {
		total += n
	}
	return total
}

// Do carries out one call without delay; a watch returns what is newer now and does
// not wait. A value over MaxValueBytes gives ObjectUnavailable.
func (s *Store) Do(c core.ObjectCall) core.ObjectResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c.Op]++
	r := core.ObjectResult{Tag: c.Tag}
	if s.down || len(c.Value) > MaxValueBytes {
		r.Status = core.ObjectUnavailable
		return r
	}
	before := s.version
	s.apply(c, &r)
	if s.version != before {
		s.notifyWatches()
		if s.answersToDrop > 0 {
			s.answersToDrop--
			return core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnknown}
		}
	}
	return r
}

// notifyWatches wakes up waiting watches. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (s *Store) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// apply carries out a call and fills in its result. The caller holds mu.
func (s *Store) apply(c core.ObjectCall, r *core.ObjectResult) {
	r.Status = core.ObjectOK
	switch c.Op {
	case core.ObjectGet:
		o, ok := s.readableObjects()[c.Key]
		if !ok {
			r.Status = core.ObjectNotFound
		}
		r.Object = o
	case core.ObjectList, core.ObjectWatch:
		s.list(c, r)
	default:
		s.write(c, r)
	}
}

// readableObjects returns the objects that reads return.
func (s *Store) readableObjects() map[string]core.Object {
	if s.staleObjects != nil {
		return s.staleObjects
	}
	return s.objects
}

// write carries out a create, update or delete if its condition holds. A
// conflict returns the current object.
func (s *Store) write(c core.ObjectCall, r *core.ObjectResult) {
	old, exists := s.objects[c.Key]
	switch {
	case c.Op == core.ObjectCreate && exists:
		r.Status, r.Object = core.ObjectConflict, old
		return
	case c.Op != core.ObjectCreate && !exists:
		r.Status = core.ObjectNotFound
		return
	case c.Op == core.ObjectUpdate && old.Version != c.IfVersion,
		c.Op == core.ObjectDelete && c.IfVersion != 0 && old.Version != c.IfVersion:
		r.Status, r.Object = core.ObjectConflict, old
		return
	}
	s.version++
	if c.Op == core.ObjectDelete {
		delete(s.objects, c.Key)
		return
	}
	r.Object = core.Object{Key: c.Key, Value: slices.Clone(c.Value), Version: s.version}
	s.objects[c.Key] = r.Object
}

// list returns the objects with the prefix; for a watch only those newer than
// its version.
func (s *Store) list(c core.ObjectCall, r *core.ObjectResult) {
	r.Version = s.version
	if s.staleObjects != nil {
		r.Version = s.staleVersion
	}
	for _, key := range slices.Sorted(maps.Keys(s.readableObjects())) {
		o := s.readableObjects()[key]
		if !strings.HasPrefix(key, c.Key) {
			continue
		}
		if c.Op == core.ObjectWatch && o.Version <= c.IfVersion {
			continue
		}
		r.Objects = append(r.Objects, o)
	}
}
