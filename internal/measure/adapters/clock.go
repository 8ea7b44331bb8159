// Package adapters measures how rarely requests wait for adapter loads under
// placement. The same seeded traces run through the placement machines of
// several hosts and through four baselines, two of them bounds that no real
// policy can reach, in virtual time over one simple model of engines and weight
// store.
//
// It also measures the choice among replicas on the users' platform: several relaying hosts
// (package relaynode) run over engines that read prompts in chunks between their steps, while
// other adapters become the popular ones, beside four baselines that know everything.
package adapters

import (
	"container/heap"
	"time"
)

// event is a function due at a virtual time; events at the same time run in the
// order in which they were added.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// clock runs events in the order of their virtual time.
type clock struct {
	now  time.Duration
	seq  uint64
	heap events
}

// after runs a function d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.heap, event{at: c.now + max(d, 0), seq: c.seq, run: run})
}

// runUntil runs the events due before end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at < end {
		e := heap.Pop(&c.heap).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
