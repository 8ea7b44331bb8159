// Package limits compares internal/core/limit with other ways to keep a
// workspace within its rate: over-grants, false refusals, requests that wait and
// messages, on the same seeded traces in virtual time. Its fleet has a simple
// model of leases and store; package membership measures the real ones.
package limits

import (
	"container/heap"
	"time"

	"gentiancroft/internal/core"
)

// event is a step due at a real time; steps at the same time run in the order in
// which they were added.
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

// EventLoop runs steps in the order of their virtual time.
type EventLoop struct {
	Now    core.Instant
	Rand   *core.Rand
	events events
	seq    uint64
}

// At runs a step at an instant, or now if it is past.
func (l *EventLoop) At(at core.Instant, run func()) {
	l.seq++
	heap.Push(&l.events, event{max(at, l.Now), l.seq, run})
}

// After runs a step d from now.
func (l *EventLoop) After(d time.Duration, run func()) { l.At(l.Now.Add(d), run) }

// Every runs a step periodically.
func (l *EventLoop) Every(d time.Duration, run func()) {
	l.After(d, func() {
		run()
		l.Every(d, run)
	})
}

// RunUntil runs all steps due before an instant.
func (l *EventLoop) RunUntil(end core.Instant) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}

// Links delivers messages between hosts, with loss, duplicates and delays.
type Links struct {
	*EventLoop
	OneWay            time.Duration
	LossFraction      float64                         // fraction of messages lost
	DuplicateFraction float64                         // fraction of messages sent twice
	DelayFraction     float64                         // fraction of messages with an extra delay
	MaxExtraDelay     time.Duration                   // maximum extra delay
	MessagesSent      uint64                          // messages
	Cut               func(from, to core.HostID) bool // reports whether a link is cut
}

// Deliver delivers a message after the link's delay, unless it is lost.
func (l *Links) Deliver(from, to core.HostID, deliver func()) {
	l.MessagesSent++
	copies := 1
	if l.DuplicateFraction > 0 && l.Rand.Float64() < l.DuplicateFraction {
		copies = 2
	}
	for range copies {
		if l.LossFraction > 0 && l.Rand.Float64() < l.LossFraction || l.Cut != nil && l.Cut(from, to) {
			continue
		}
		d := l.OneWay + time.Duration(l.Rand.Int64N(int64(l.OneWay)/4+1))
		if l.DelayFraction > 0 && l.Rand.Float64() < l.DelayFraction {
			d += time.Duration(l.Rand.Int64N(int64(l.MaxExtraDelay)))
		}
		l.After(d, deliver)
	}
}

// Clock is a host's monotonic clock, whose drift is in parts per million.
type Clock struct {
	Offset   core.Instant
	DriftPPM int64
}

// Read returns the clock's reading at a real time.
func (c Clock) Read(real core.Instant) core.Instant {
	return c.Offset + real + core.Instant(int64(real)/1_000_000*c.DriftPPM)
}

// store is a fake of the object API.
type store struct {
	objects map[string]core.Object
	version uint64
	calls   uint64
}

func newStore() *store { return &store{objects: make(map[string]core.Object)} }

// do applies one call.
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
