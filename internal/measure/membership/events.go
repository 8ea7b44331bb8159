package membership

import (
	"container/heap"
	"time"

	"gentiancroft/internal/core"
)

// event is a function due at a real time; events at the same time run in the
// order in which they were added.
type event struct {
	at  core.Instant
	seq uint64
	do  func()
}

// events is a heap, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// After runs a function after a real duration.
func (f *Fleet) After(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.Now.Add(d), seq: f.seq, do: do})
}

// Run advances virtual time by d and runs the events due by then.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		e.do()
	}
	f.Now = end
}
