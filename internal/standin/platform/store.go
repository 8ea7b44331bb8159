// Package platform is the project's own small stand-in for the platform: an
// object API with versions, conditional updates, watches, faults and a count of
// calls, and the lagging list of hosts.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gentiancroft/internal/core"
)

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// Store keeps objects in memory. Its Do is the in-process fake for tests.
type Store struct {
	mu      sync.Mutex
	version uint64
	objects map[string]core.Object
	stale   map[string]core.Object // what reads see; nil: the truth
	staleAt uint64
	down    bool
	delay   time.Duration
	drops   int
	calls   map[core.ObjectOp]int
	changed chan struct{} // closed at the next change
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]core.Object{},
		calls:   map[core.ObjectOp]int{},
		changed: make(chan struct{}),
	}
}

// SetDown makes every call fail without effect, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetDelay makes the HTTP server wait before it answers.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// DropAnswers makes the next n writes take effect and lose their answers.
func (s *Store) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drops = n
}

// StaleReads makes reads see the store as it is now, whatever is written
// later, or ends that. Conditions are still checked against the truth.
func (s *Store) StaleReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if on {
		s.stale = maps.Clone(s.objects)
		s.staleAt = s.version
	}
}

// Calls is how many calls of each kind came, a waiting watch counted as one.
func (s *Store) Calls() map[core.ObjectOp]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Total is how many calls came.
func (s *Store) Total() int {
	total := 0
	for _, n := range s.Calls() {
		total += n
	}
	return total
}

// Do carries out one call at once; a watch answers with what there is.
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
		s.wake()
		if s.drops > 0 {
			s.drops--
			return core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnknown}
		}
	}
	return r
}

// wake answers waiting watches.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waiter returns a channel that is closed at the next change.
func (s *Store) waiter() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Store) apply(c core.ObjectCall, r *core.ObjectResult) {
	r.Status = core.ObjectOK
	switch c.Op {
	case core.ObjectGet:
		o, ok := s.seen()[c.Key]
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

// seen is what reads see.
func (s *Store) seen() map[string]core.Object {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}

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

// list answers a list, or a watch with what is newer than its version.
func (s *Store) list(c core.ObjectCall, r *core.ObjectResult) {
	r.Version = s.version
	if s.stale != nil {
		r.Version = s.staleAt
	}
	for _, key := range slices.Sorted(maps.Keys(s.seen())) {
		o := s.seen()[key]
		if !strings.HasPrefix(key, c.Key) {
			continue
		}
		if c.Op == core.ObjectWatch && o.Version <= c.IfVersion {
			continue
		}
		r.Objects = append(r.Objects, o)
	}
}
