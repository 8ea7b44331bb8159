package membership

import (
	"slices"
	"sort"
	"strings"
	"time"

	"gentiancroft/internal/core"
)

// Fault is the fault injected into one object call.
type Fault struct {
	DropCall   bool          // the call does not reach the store
	LoseAnswer bool          // the call takes effect, its answer is lost
	StaleRead  bool          // a read returns the value before the latest write
	Delay      time.Duration // added before the call takes effect
}

// Store is a fake of the platform's object API in virtual time.
type Store struct {
	objects  map[string]core.Object
	previous map[string]core.Object // each key's value before its latest write
	version  uint64
	watches  []*watch

	CallsByOp map[core.ObjectOp]int // by kind
	Bytes     int                   // unused
	Writes    int                   // successful writes
}

// watch is a pending watch.
type watch struct {
	prefix string
	after  uint64
	answer func(core.ObjectResult)
	done   bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]core.Object{}, previous: map[string]core.Object{}, CallsByOp: map[core.ObjectOp]int{}}
}

// TotalCalls returns the number of calls so far, each watch counted once.
func (s *Store) TotalCalls() int {
	total := 0
	for _, n := range s.CallsByOp {
		total += n
	}
	return total
}

// WriteExternal writes a value from outside the fleet, as an operator does.
func (s *Store) WriteExternal(key string, value []byte) { s.write(key, value) }

func (s *Store) write(key string, value []byte) core.Object {
	s.version++
	if old, ok := s.objects[key]; ok {
		s.previous[key] = old
	}
	o := core.Object{Key: key, Value: value, Version: s.version}
	s.objects[key] = o
	s.Writes++
	s.notifyWatches(key)
	return o
}

// notifyWatches answers the pending watches that a key matches.
func (s *Store) notifyWatches(key string) {
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		if w.done {
			continue
		}
		if !strings.HasPrefix(key, w.prefix) {
			s.watches = append(s.watches, w)
			continue
		}
		w.done = true
		w.answer(core.ObjectResult{Status: core.ObjectOK, Objects: s.changedSince(w.prefix, w.after), Version: s.version})
	}
}

// changedSince returns the objects under a prefix with versions above after,
// sorted by key.
func (s *Store) changedSince(prefix string, after uint64) []core.Object {
	var found []core.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) && o.Version > after {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// Do applies a call and passes the result to answer. A watch without changes is
// returned: it answers on a change or when it expires.
func (s *Store) Do(c core.ObjectCall, stale bool, answer func(core.ObjectResult)) *watch {
	s.CallsByOp[c.Op]++
	r := core.ObjectResult{Status: core.ObjectOK}
	old, found := s.objects[c.Key]
	if p, ok := s.previous[c.Key]; stale && ok {
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
		r.Object = s.write(c.Key, c.Value)
	case core.ObjectUpdate:
		switch {
		case !found:
			r.Status = core.ObjectNotFound
		case s.objects[c.Key].Version != c.IfVersion:
			r.Status = core.ObjectConflict
		default:
			r.Object = s.write(c.Key, c.Value)
		}
	case core.ObjectDelete:
		delete(s.objects, c.Key)
	case core.ObjectList:
		r.Objects = s.changedSince(c.Key, 0)
		if stale {
			for i := range r.Objects {
				if p, ok := s.previous[r.Objects[i].Key]; ok {
					r.Objects[i] = p
				}
			}
		}
		r.Version = s.version
	case core.ObjectWatch:
		if found := s.changedSince(c.Key, c.IfVersion); len(found) > 0 {
			r.Objects, r.Version = found, s.version
			break
		}
		w := &watch{prefix: c.Key, after: c.IfVersion, answer: answer}
		s.watches = append(s.watches, w)
		return w
	}
	answer(r)
	return nil
}

// expireWatch answers a pending watch without changes: its timeout has passed.
func (s *Store) expireWatch(w *watch) {
	if w.done {
		return
	}
	w.done = true
	s.watches = slices.DeleteFunc(s.watches, func(o *watch) bool { return o == w })
	w.answer(core.ObjectResult{Status: core.ObjectOK, Version: s.version})
}

// payloadBytes returns the payload bytes of a call and its answer.
func payloadBytes(c core.ObjectCall, r core.ObjectResult) int {
	n := len(c.Key) + len(c.Value) + len(r.Object.Value)
	if c.Op == core.ObjectUpdate || c.Op == core.ObjectCreate {
		n -= len(r.Object.Value) // the answer to a write carries only its version
	}
	for _, o := range r.Objects {
		n += len(o.Key) + len(o.Value)
	}
	return n
}
