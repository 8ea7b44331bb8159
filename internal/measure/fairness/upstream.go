// Package fairness compares internal/core/admission with first-come-first-served
// and per-entry-host fair queueing on one overloaded upstream, in virtual time:
// tokens served and waits of the worst-served workspace, and the effect of
// overnight work on interactive callers.
package fairness

import (
	"container/heap"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
)

// queue orders the requests that wait for a place in an upstream's batch.
type queue interface {
	// push adds a request and returns those refused because the queue is full.
	push(now core.Instant, it admission.Item) []admission.Item
	// pop returns the next item for one of the free places; with a queue per
	// host, of the host that the place belongs to if that has any.
	pop(now core.Instant, place int, free int) (admission.Item, bool)
	// expire removes and returns the items past their deadline.
	expire(now core.Instant) []admission.Item
	// settle corrects the charge of a completed item to its used tokens.
	settle(it admission.Item, used core.Tokens)
}

// Sizes of the measured upstream.
const (
	places                  = 128
	tokensPerSecondPerPlace = 50
	entryHosts              = 8
	maxQueued               = 512
	requestTimeout          = 30 * time.Second // deadline of a request
)

// capacityTokensPerSecond is the throughput of the upstream in tokens per second.
const capacityTokensPerSecond = places * tokensPerSecondPerPlace

var anyAdapter = func(core.AdapterRef) bool { return true }

// ownerQueue is the project's queue at the upstream's owner.
type ownerQueue struct {
	q                   *admission.Queue
	reservedInteractive int // places reserved for interactive work
	reservedWithinShare int // places reserved for workspaces within their share
}

func newOwnerQueue(reserve, within int) *ownerQueue {
	return &ownerQueue{admission.NewQueue(admission.QueueSettings{MaxItems: maxQueued}), reserve, within}
}

func (f *ownerQueue) push(now core.Instant, it admission.Item) []admission.Item {
	return f.q.Push(now, it)
}

func (f *ownerQueue) pop(now core.Instant, _ int, free int) (admission.Item, bool) {
	least := core.Overnight
	if free <= f.reservedInteractive {
		least = core.Interactive
	}
	if free <= f.reservedWithinShare {
		return f.q.PopUnderShare(now, least, anyAdapter)
	}
	return f.q.PopUpTo(now, least, anyAdapter)
}

func (f *ownerQueue) expire(now core.Instant) []admission.Item { return f.q.Expire(now) }

func (f *ownerQueue) settle(it admission.Item, used core.Tokens) {
	f.q.CorrectCharge(it.Workspace, it.ChargedClass, it.Cost, used)
}

// fifo is first come, first served.
type fifo struct{ items []admission.Item }

func (f *fifo) push(_ core.Instant, it admission.Item) []admission.Item {
	if len(f.items) >= maxQueued {
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

// perHost is a fair queue at each entry host, which has an equal share of the
// places and lends those that it does not use.
type perHost struct{ hosts [entryHosts]*admission.Queue }

func newPerHost() *perHost {
	p := &perHost{}
	for i := range p.hosts {
		p.hosts[i] = admission.NewQueue(admission.QueueSettings{MaxItems: maxQueued / entryHosts})
	}
	return p
}

func entryHostOf(it admission.Item) int { return int(it.Entry[0] - '0') }

func (p *perHost) push(now core.Instant, it admission.Item) []admission.Item {
	return p.hosts[entryHostOf(it)].Push(now, it)
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
	p.hosts[entryHostOf(it)].CorrectCharge(it.Workspace, it.ChargedClass, it.Cost, used)
}

// running is a heap of running requests, earliest end first.
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

// workspaceResult is the result of one workspace.
type workspaceResult struct {
	offeredTokens, servedTokens core.Tokens // used tokens of all requests, and of the started ones
	requests                    int
	lost                        int // requests shed or expired
	waits                       []time.Duration
}

// result is the result of one run by workspace, with the violations of the order
// of classes.
type result struct {
	by                 map[core.WorkspaceID]*workspaceResult
	overtook           int // overnight items started while an interactive one waited
	waitingInteractive int // interactive items waiting now
}

// play runs a trace through a queue on n places.
func play(q queue, trace []arrival, n int, end core.Instant) *result {
	r := &result{by: make(map[core.WorkspaceID]*workspaceResult)}
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
			heap.Push(&busy, run{now.Add(time.Duration(u) * time.Second / tokensPerSecondPerPlace), place, it, u})
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

func (r *result) of(ws core.WorkspaceID) *workspaceResult {
	s := r.by[ws]
	if s == nil {
		s = &workspaceResult{}
		r.by[ws] = s
	}
	return s
}

func (r *result) arrived(a arrival) {
	s := r.of(a.item.Workspace)
	s.offeredTokens += a.used
	s.requests++
	if a.item.Class == core.Interactive {
		r.waitingInteractive++
	}
}

func (r *result) started(now core.Instant, it admission.Item, used core.Tokens) {
	s := r.of(it.Workspace)
	s.servedTokens += used
	s.waits = append(s.waits, now.Sub(it.Enqueued))
	if it.Class == core.Interactive {
		r.waitingInteractive--
	}
	if it.Class == core.Overnight && r.waitingInteractive > 0 {
		r.overtook++
	}
}

func (r *result) drop(items []admission.Item, used map[core.RequestID]core.Tokens) {
	for _, it := range items {
		delete(used, it.Request)
		r.of(it.Workspace).lost++
		if it.Class == core.Interactive {
			r.waitingInteractive--
		}
	}
}
