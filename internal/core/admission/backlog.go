package admission

import (
	"container/heap"
	"math/bits"
	"time"

	"gentiancroft/internal/core"
)

// backlog is what one workspace has waiting, over all classes.
type backlog struct {
	workspace core.WorkspaceID
	weight    int
	queued    core.Tokens
	count     int
	index     int // in the heap
}

// overShare reports whether a has more waiting tokens for its weight than b.
func overShare(a, b *backlog) bool {
	ah, al := bits.Mul64(uint64(a.queued), uint64(b.weight))
	bh, bl := bits.Mul64(uint64(b.queued), uint64(a.weight))
	if ah != bh {
		return ah > bh
	}
	if al != bl {
		return al > bl
	}
	return a.workspace < b.workspace
}

// backlogHeap is a heap with the workspace furthest over its share first.
type backlogHeap []*backlog

func (h backlogHeap) Len() int           { return len(h) }
func (h backlogHeap) Less(i, j int) bool { return overShare(h[i], h[j]) }
func (h backlogHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *backlogHeap) Push(x any) {
	b := x.(*backlog)
	b.index = len(*h)
	*h = append(*h, b)
}

// Pop implements heap.Interface.
func (h *backlogHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return b
}

func (q *Queue) addBacklog(e *entry) {
	b := q.byWorkspace[e.Workspace]
	if b == nil {
		b = &backlog{workspace: e.Workspace, weight: e.Weight}
		q.byWorkspace[e.Workspace] = b
		q.totalWeight += int64(b.weight)
		heap.Push(&q.byOverShare, b)
	}
	q.totalWeight += int64(e.Weight) - int64(b.weight)
	b.weight = e.Weight
	b.queued += e.Cost
	b.count++
	e.backlog = b
	heap.Fix(&q.byOverShare, b.index)
}

func (q *Queue) dropBacklog(e *entry) {
	b := e.backlog
	b.queued -= e.Cost
	b.count--
	if b.count > 0 {
		heap.Fix(&q.byOverShare, b.index)
		return
	}
	heap.Remove(&q.byOverShare, b.index)
	q.totalWeight -= int64(b.weight)
	delete(q.byWorkspace, b.workspace)
}

// shedOne removes the newest item of the least urgent class of the workspace
// furthest over its share.
func (q *Queue) shedOne() Item {
	ws := q.byOverShare[0].workspace
	for c := core.ClassCount - 1; ; c-- {
		if f := q.levels[c].flows[ws]; f != nil && f.count > 0 {
			return q.removeEntry(f.newest())
		}
	}
}

// deadlineHeap is a heap of entries with a deadline, the earliest first.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].seq < h[j].seq
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.expiry = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.expiry = -1
	return e
}

// drainMeter estimates how many tokens per second leave the queue.
type drainMeter struct {
	since  core.Instant
	tokens core.Tokens // popped since then
	rate   core.Tokens // per second, over the last complete window
}

// drainWindow is the minimum time over which the drain rate is measured.
const drainWindow = 2 * time.Second

func (d *drainMeter) record(now core.Instant, cost core.Tokens) {
	d.rollWindow(now)
	d.tokens += cost
}

func (d *drainMeter) rollWindow(now core.Instant) {
	span := now.Sub(d.since)
	if span < drainWindow {
		return
	}
	d.rate = core.Tokens(int64(d.tokens) / max(1, int64(span/time.Second)))
	d.since, d.tokens = now, 0
}

// timeToDrain returns how long the queued tokens of a workspace take at its
// weight's share; drainWindow before a rate was measured, at most one hour.
func (d *drainMeter) timeToDrain(now core.Instant, queued core.Tokens, totalWeight, weight int64) time.Duration {
	d.rollWindow(now)
	if d.rate <= 0 {
		return drainWindow
	}
	seconds := float64(queued) / float64(d.rate) * float64(totalWeight) / float64(max(1, weight))
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}
