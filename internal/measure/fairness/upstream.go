// Package fairness measures internal/core/admission beside first-come-first-
// served and per-entry-host fair queueing, in virtual time.
package fairness

import (
	"container/heap"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
)

// queue is one way to line requests up for the places of an upstream's batch.
type queue interface {
	// push returns what was refused to keep the bound.
	push(now core.Instant, it admission.Item) []admission.Item
	// pop returns the next item for the host that a free place belongs to.
	pop(now core.Instant, place int, free int) (admission.Item, bool)
	expire(now core.Instant) []admission.Item
	settle(it admission.Item, used core.Tokens)
}

// Sizes of the measured upstream.
const (
	places     = 128
	placeRate  = 50 // tokens a second
	entryHosts = 8
	queueBound = 512
	patience   = 30 * time.Second // deadline of a request
)

// capacity is what the upstream runs, tokens a second.
const capacity = places * placeRate

var anyAdapter = func(core.AdapterRef) bool { return true }

// fair is the project's queue at the upstream's owner.
type fair struct {
	q       *admission.Queue
	reserve int // places kept for interactive work
	within  int // places kept for workspaces within their share
}

func newFair(reserve, within int) *fair {
	return &fair{admission.NewQueue(admission.QueueSettings{MaxItems: queueBound}), reserve, within}
}

func (f *fair) push(now core.Instant, it admission.Item) []admission.Item { return f.q.Push(now, it) }

func (f *fair) pop(now core.Instant, _ int, free int) (admission.Item, bool) {
	least := core.Overnight
	if free <= f.reserve {
		least = core.Interactive
	}
	if free <= f.within {
		return f.q.PopUnderShare(now, least, anyAdapter)
	}
	return f.q.PopUpTo(now, least, anyAdapter)
}

func (f *fair) expire(now core.Instant) []admission.Item { return f.q.Expire(now) }

func (f *fair) settle(it admission.Item, used core.Tokens) {
	f.q.CorrectCharge(it.Workspace, it.ChargedClass, it.Cost, used)
}

// fifo is first come, first served.
type fifo struct{ items []admission.Item }

func (f *fifo) push(_ core.Instant, it admission.Item) []admission.Item {
	if len(f.items) >= queueBound {
		return []admission.Item{it}
	}
	f.items = append(f.items, it)
	return nil
}

func (f *fifo) pop(core.Instant, int, int) (admission.Item, bool) {
	if len(f.items) == 0 {
		return admission.Item{}, false
	}
	it := f.items[0]
	f.items = f.items[1:]
	return it, true
}

func (f *fifo) expire(now core.Instant) []admission.Item {
	var out, keep []admission.Item
	for _, it := range f.items {
		if now.Before(it.Deadline) {
			keep = append(keep, it)
		} else {
			out = append(out, it)
		}
	}
	f.items = keep
	return out
}

func (f *fifo) settle(admission.Item, core.Tokens) {}

// perHost is a fair queue at each entry host, which has its part of the places
// and lends those it can't use.
type perHost struct{ hosts [entryHosts]*admission.Queue }

func newPerHost() *perHost {
	p := &perHost{}
	for i := range p.hosts {
		p.hosts[i] = admission.NewQueue(admission.QueueSettings{MaxItems: queueBound / entryHosts})
	}
	return p
}

func hostOf(it admission.Item) int { return int(it.Entry[0] - '0') }

func (p *perHost) push(now core.Instant, it admission.Item) []admission.Item {
	return p.hosts[hostOf(it)].Push(now, it)
}

func (p *perHost) pop(now core.Instant, place int, _ int) (admission.Item, bool) {
	for i := range entryHosts {
		if it, ok := p.hosts[(place+i)%entryHosts].Pop(now, anyAdapter); ok {
			return it, true
		}
	}
	return admission.Item{}, false
}

func (p *perHost) expire(now core.Instant) []admission.Item {
	var out []admission.Item
	for _, q := range p.hosts {
		out = append(out, q.Expire(now)...)
	}
	return out
}

func (p *perHost) settle(it admission.Item, used core.Tokens) {
	p.hosts[hostOf(it)].CorrectCharge(it.Workspace, it.ChargedClass, it.Cost, used)
}

// running are the places in use, by when they end.
type running []run

type run struct {
	end   core.Instant
	place int
	item  admission.Item
	used  core.Tokens
}

func (h running) Len() int           { return len(h) }
func (h running) Less(i, j int) bool { return h[i].end < h[j].end }
func (h running) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *running) Push(x any) { *h = append(*h, x.(run)) }

// Pop implements heap.Interface.
func (h *running) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// arrival is one request of a trace.
type arrival struct {
	item admission.Item
	used core.Tokens
}

// served is what one workspace got.
type served struct {
	asked, got core.Tokens // used tokens
	requests   int
	lost       int // shed or expired
	waits      []time.Duration
}

// result is one run's outcome by workspace, and of the order that was kept.
type result struct {
	by       map[core.WorkspaceID]*served
	overtook int // overnight items started while an interactive one waited
	urgent   int // interactive items waiting now
}

// play runs a trace against a queue on n places.
func play(q queue, trace []arrival, n int, end core.Instant) *result {
	r := &result{by: make(map[core.WorkspaceID]*served)}
	var busy running
	free := make([]int, 0, n)
	for i := range n {
		free = append(free, n-1-i)
	}
	used := make(map[core.RequestID]core.Tokens)
	start := func(now core.Instant) {
		for len(free) > 0 {
			place := free[len(free)-1]
			it, ok := q.pop(now, place, len(free))
			if !ok {
				return
			}
			free = free[:len(free)-1]
			u := used[it.Request]
			delete(used, it.Request)
			r.started(now, it, u)
			heap.Push(&busy, run{now.Add(time.Duration(u) * time.Second / placeRate), place, it, u})
		}
	}
	finish := func(until core.Instant) {
		for len(busy) > 0 && busy[0].end <= until {
			x := heap.Pop(&busy).(run)
			free = append(free, x.place)
			q.settle(x.item, x.used)
			r.drop(q.expire(x.end), used)
			start(x.end)
		}
	}
	for _, a := range trace {
		finish(a.item.Enqueued)
		r.arrived(a)
		used[a.item.Request] = a.used
		r.drop(q.push(a.item.Enqueued, a.item), used)
		start(a.item.Enqueued)
	}
	finish(end)
	return r
}

func (r *result) of(ws core.WorkspaceID) *served {
	s := r.by[ws]
	if s == nil {
		s = &served{}
		r.by[ws] = s
	}
	return s
}

func (r *result) arrived(a arrival) {
	s := r.of(a.item.Workspace)
	s.asked += a.used
	s.requests++
	if a.item.Class == core.Interactive {
		r.urgent++
	}
}

func (r *result) started(now core.Instant, it admission.Item, used core.Tokens) {
	s := r.of(it.Workspace)
	s.got += used
	s.waits = append(s.waits, now.Sub(it.Enqueued))
	if it.Class == core.Interactive {
		r.urgent--
	}
	if it.Class == core.Overnight && r.urgent > 0 {
		r.overtook++
	}
}

func (r *result) drop(items []admission.Item, used map[core.RequestID]core.Tokens) {
	for _, it := range items {
		delete(used, it.Request)
		r.of(it.Workspace).lost++
		if it.Class == core.Interactive {
			r.urgent--
		}
	}
}
