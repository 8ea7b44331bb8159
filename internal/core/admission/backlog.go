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
	index     int
}

// overShare reports whether a has more waiting for its weight than b.
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

// backlogs is a heap with the workspace furthest over its share first.
type backlogs []*backlog

func (h backlogs) Len() int           { return len(h) }
func (h backlogs) Less(i, j int) bool { return overShare(h[i], h[j]) }
func (h backlogs) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *backlogs) Push(x any) {
	b := x.(*backlog)
	b.index = len(*h)
	*h = append(*h, b)
}

// Pop implements heap.Interface.
func (h *backlogs) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return b
}

func (q *Queue) addBacklog(e *entry) {
	b := q.owners[e.Workspace]
	if b == nil {
		b = &backlog{workspace: e.Workspace, weight: e.Weight}
		q.owners[e.Workspace] = b
		q.weights += int64(b.weight)
		heap.Push(&q.backlog, b)
	}
	q.weights += int64(e.Weight) - int64(b.weight)
	b.weight = e.Weight
	b.queued += e.Cost
	b.count++
	e.owner = b
	heap.Fix(&q.backlog, b.index)
}

func (q *Queue) dropBacklog(e *entry) {
	b := e.owner
	b.queued -= e.Cost
	b.count--
	if b.count > 0 {
		heap.Fix(&q.backlog, b.index)
		return
	}
	heap.Remove(&q.backlog, b.index)
	q.weights -= int64(b.weight)
	delete(q.owners, b.workspace)
}

// shedOne removes the newest item of the least urgent class of the workspace
// furthest over its share.
func (q *Queue) shedOne() Item {
	ws := q.backlog[0].workspace
	for c := core.Classes - 1; ; c-- {
		if f := q.levels[c].flows[ws]; f != nil && f.count > 0 {
			return q.take(f.newest())
		}
	}
}

// expiries is a heap of entries with a deadline, the earliest first.
type expiries []*entry

func (h expiries) Len() int { return len(h) }
func (h expiries) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].seq < h[j].seq
}
func (h expiries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}

// Push implements heap.Interface.
func (h *expiries) Push(x any) {
	e := x.(*entry)
	e.expiry = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.expiry = -1
	return e
}

// drain estimates how many tokens a second leave the queue.
type drain struct {
	since  core.Instant
	tokens core.Tokens // popped since then
	rate   core.Tokens // a second, over the last whole window
}

// drainWindow is the span over which the drain is measured.
const drainWindow = 2 * time.Second

func (d *drain) popped(now core.Instant, cost core.Tokens) {
	d.roll(now)
	d.tokens += cost
}

func (d *drain) roll(now core.Instant) {
	span := now.Sub(d.since)
	if span < drainWindow {
		return
	}
	d.rate = core.Tokens(int64(d.tokens) / max(1, int64(span/time.Second)))
	d.since, d.tokens = now, 0
}

// timeFor is how long queued tokens of a workspace take at its weight's share.
func (d *drain) timeFor(now core.Instant, queued core.Tokens, weights, weight int64) time.Duration {
	d.roll(now)
	if d.rate <= 0 {
		return drainWindow
	}
	seconds := float64(queued) / float64(d.rate) * float64(weights) / float64(max(1, weight))
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}
