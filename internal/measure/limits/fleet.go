// Package limits measures internal/core/limit beside other ways to keep a
// workspace within its rate, on the same traces in virtual time.
package limits

import (
	"container/heap"
	"time"

	"gentiancroft/internal/core"
)

// event is a step due at a real time.
type event struct {
	at  core.Instant
	seq uint64
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// Loop is virtual time: steps run in order of their instants.
type Loop struct {
	Now    core.Instant
	Rand   *core.Rand
	events events
	seq    uint64
}

// At runs a step at an instant, not before now.
func (l *Loop) At(at core.Instant, run func()) {
	l.seq++
	heap.Push(&l.events, event{max(at, l.Now), l.seq, run})
}

// After runs a step d from now.
func (l *Loop) After(d time.Duration, run func()) { l.At(l.Now.Add(d), run) }

// Every runs a step again and again.
func (l *Loop) Every(d time.Duration, run func()) {
	l.After(d, func() {
		run()
		l.Every(d, run)
	})
}

// RunUntil runs all steps before an instant.
func (l *Loop) RunUntil(end core.Instant) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}

// Links carry messages between hosts.
type Links struct {
	*Loop
	OneWay time.Duration
	Loss   float64 // of messages
	Double float64 // of messages, which come twice
	Late   float64 // of messages, which take up to LateBy
	LateBy time.Duration
	Sent   uint64
	Cut    func(from, to core.HostID) bool
}

// Carry delivers a message unless it is lost.
func (l *Links) Carry(from, to core.HostID, deliver func()) {
	l.Sent++
	copies := 1
	if l.Double > 0 && l.Rand.Float64() < l.Double {
		copies = 2
	}
	for range copies {
		if l.Loss > 0 && l.Rand.Float64() < l.Loss || l.Cut != nil && l.Cut(from, to) {
			continue
		}
		d := l.OneWay + time.Duration(l.Rand.Int64N(int64(l.OneWay)/4+1))
		if l.Late > 0 && l.Rand.Float64() < l.Late {
			d += time.Duration(l.Rand.Int64N(int64(l.LateBy)))
		}
		l.After(d, deliver)
	}
}

// Clock is a host's monotonic clock: it gains PPM parts per million.
type Clock struct {
	Offset core.Instant
	PPM    int64
}

// Read is what the clock shows at a real time.
func (c Clock) Read(real core.Instant) core.Instant {
	return c.Offset + real + core.Instant(int64(real)/1_000_000*c.PPM)
}

// store is a small stand-in for the object API.
type store struct {
	objects map[string]core.Object
	version uint64
	calls   uint64
}

func newStore() *store { return &store{objects: make(map[string]core.Object)} }

// do runs one call on the present state.
func (s *store) do(c core.ObjectCall) core.ObjectResult {
	s.calls++
	old, ok := s.objects[c.Key]
	switch c.Op {
	case core.ObjectGet:
		if !ok {
			return core.ObjectResult{Tag: c.Tag, Status: core.ObjectNotFound}
		}
		return core.ObjectResult{Tag: c.Tag, Status: core.ObjectOK, Object: old}
	case core.ObjectCreate, core.ObjectUpdate:
		if ok != (c.Op == core.ObjectUpdate) || ok && old.Version != c.IfVersion {
			return core.ObjectResult{Tag: c.Tag, Status: core.ObjectConflict, Object: old}
		}
		s.version++
		s.objects[c.Key] = core.Object{Key: c.Key, Value: c.Value, Version: s.version}
		return core.ObjectResult{Tag: c.Tag, Status: core.ObjectOK, Object: s.objects[c.Key]}
	}
	return core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnavailable}
}
