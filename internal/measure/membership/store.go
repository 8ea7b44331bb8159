package membership

import (
	"slices"
	"sort"
	"strings"
	"time"

	"gentiancroft/internal/core"
)

// Fault is what goes wrong with one object call.
type Fault struct {
	Drop  bool          // it never reaches the store
	Lose  bool          // it takes effect, its answer is lost
	Stale bool          // a read answers from the past
	Delay time.Duration // added before it takes effect
}

// Store is a fake of the platform's object API in virtual time.
type Store struct {
	objects map[string]core.Object
	past    map[string]core.Object // each key's value before its latest write
	version uint64
	waiting []*waiter

	Calls  map[core.ObjectOp]int
	Bytes  int
	Writes int // calls that wrote
}

type waiter struct {
	prefix string
	after  uint64
	answer func(core.ObjectResult)
	done   bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]core.Object{}, past: map[string]core.Object{}, Calls: map[core.ObjectOp]int{}}
}

// Total is the number of calls so far, a waiting watch as one.
func (s *Store) Total() int {
	total := 0
	for _, n := range s.Calls {
		total += n
	}
	return total
}

// Put writes a value from outside the fleet, such as an operator's.
func (s *Store) Put(key string, value []byte) { s.put(key, value) }

func (s *Store) put(key string, value []byte) core.Object {
	s.version++
	if old, ok := s.objects[key]; ok {
		s.past[key] = old
	}
	o := core.Object{Key: key, Value: value, Version: s.version}
	s.objects[key] = o
	s.Writes++
	s.wake(key)
	return o
}

func (s *Store) wake(key string) {
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		if w.done {
			continue
		}
		if !strings.HasPrefix(key, w.prefix) {
			s.waiting = append(s.waiting, w)
			continue
		}
		w.done = true
		w.answer(core.ObjectResult{Status: core.ObjectOK, Objects: s.newer(w.prefix, w.after), Version: s.version})
	}
}

// newer lists the objects under a prefix with later versions, sorted by key.
func (s *Store) newer(prefix string, after uint64) []core.Object {
	var found []core.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) && o.Version > after {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// Do applies a call. A watch may answer later.
func (s *Store) Do(c core.ObjectCall, stale bool, answer func(core.ObjectResult)) *waiter {
	s.Calls[c.Op]++
	r := core.ObjectResult{Status: core.ObjectOK}
	old, found := s.objects[c.Key]
	if p, ok := s.past[c.Key]; stale && ok {
		old = p
	}
	switch c.Op {
	case core.ObjectGet:
		if !found {
			r.Status = core.ObjectNotFound
		}
		r.Object = old
	case core.ObjectCreate:
		if found {
			r.Status = core.ObjectConflict
			break
		}
		r.Object = s.put(c.Key, c.Value)
	case core.ObjectUpdate:
		switch {
		case !found:
			r.Status = core.ObjectNotFound
		case s.objects[c.Key].Version != c.IfVersion:
			r.Status = core.ObjectConflict
		default:
			r.Object = s.put(c.Key, c.Value)
		}
	case core.ObjectDelete:
		delete(s.objects, c.Key)
	case core.ObjectList:
		r.Objects = s.newer(c.Key, 0)
		if stale {
			for i := range r.Objects {
				if p, ok := s.past[r.Objects[i].Key]; ok {
					r.Objects[i] = p
				}
			}
		}
		r.Version = s.version
	case core.ObjectWatch:
		if found := s.newer(c.Key, c.IfVersion); len(found) > 0 {
			r.Objects, r.Version = found, s.version
			break
		}
		w := &waiter{prefix: c.Key, after: c.IfVersion, answer: answer}
		s.waiting = append(s.waiting, w)
		return w
	}
	answer(r)
	return nil
}

// expire ends a watch at its time-out.
func (s *Store) expire(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	w.answer(core.ObjectResult{Status: core.ObjectOK, Version: s.version})
}

// size is the payload that a call and its answer carry.
func size(c core.ObjectCall, r core.ObjectResult) int {
	n := len(c.Key) + len(c.Value) + len(r.Object.Value)
	if c.Op == core.ObjectUpdate || c.Op == core.ObjectCreate {
		n -= len(r.Object.Value) // the answer to a write holds its version only
	}
	for _, o := range r.Objects {
		n += len(o.Key) + len(o.Value)
	}
	return n
}
