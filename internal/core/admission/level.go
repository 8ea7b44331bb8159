package admission

import (
	"cmp"
	"container/list"
	"slices"

	"gentiancroft/internal/core"
)

// virtualTime is in tokens per unit of weight, times virtualPerToken.
type virtualTime int64

// virtualPerToken is the virtual time that one token takes at weight 1.
const virtualPerToken = 1 << 16

// level is the fair queue of one priority class. Its cost depends on the
// workspaces that wait or were served recently, not on idle ones.
type level struct {
	vtime     virtualTime
	credit    virtualTime // how far behind vtime a flow that used less than its share may be
	active    []*flow     // with waiting items, sorted by start tag, then workspace
	flows     map[core.WorkspaceID]*flow
	idle      []*flow                  // without waiting items, start tag ahead of the floor; sorted likewise
	arrivals  *list.List               // entries that compete in their own class, by time of enqueueing
	positions map[*entry]*list.Element // in arrivals
}

// flow is one workspace's items in a level.
type flow struct {
	workspace core.WorkspaceID
	startTag  virtualTime // virtual start of its next item
	weight    int
	queues    []*adapterQueue // of adapters with waiting items
	count     int
}

// adapterQueue holds one workspace's items for one adapter in order of arrival.
type adapterQueue struct {
	adapter core.AdapterRef
	entries []*entry
}

func newLevel() level {
	return level{
		flows:     make(map[core.WorkspaceID]*flow),
		arrivals:  list.New(),
		positions: make(map[*entry]*list.Element),
	}
}

func byStartTag(a, b *flow) int {
	if c := cmp.Compare(a.startTag, b.startTag); c != 0 {
		return c
	}
	return cmp.Compare(a.workspace, b.workspace)
}

func insertSorted(s []*flow, f *flow) []*flow {
	i, _ := slices.BinarySearchFunc(s, f, byStartTag)
	return slices.Insert(s, i, f)
}

func removeSorted(s []*flow, f *flow) []*flow {
	i, ok := slices.BinarySearchFunc(s, f, byStartTag)
	if !ok {
		return s
	}
	return slices.Delete(s, i, i+1)
}

func (l *level) add(e *entry) {
	f := l.flows[e.Workspace]
	switch {
	case f == nil:
		f = &flow{workspace: e.Workspace, startTag: l.floor()}
		l.flows[e.Workspace] = f
		l.active = insertSorted(l.active, f)
	case f.count == 0:
		l.idle = removeSorted(l.idle, f)
		f.startTag = max(f.startTag, l.floor())
		l.active = insertSorted(l.active, f)
	}
	f.weight = e.Weight
	f.count++
	e.flow = f
	e.queue = f.queueFor(e.Adapter)
	e.queue.insert(e)
	if e.level == e.Class {
		l.positions[e] = l.insertByArrival(e)
	}
}

// insertByArrival adds an entry to the arrivals, in order of enqueueing.
func (l *level) insertByArrival(e *entry) *list.Element {
	at := l.arrivals.Back()
	for at != nil && at.Value.(*entry).Enqueued > e.Enqueued {
		at = at.Prev()
	}
	if at == nil {
		return l.arrivals.PushFront(e)
	}
	return l.arrivals.InsertAfter(e, at)
}

// oldest returns the entry that has waited longest among those that have not aged;
// nil if there is none.
func (l *level) oldest() *entry {
	if at := l.arrivals.Front(); at != nil {
		return at.Value.(*entry)
	}
	return nil
}

func (l *level) remove(e *entry) {
	f := e.flow
	if at := l.positions[e]; at != nil {
		l.arrivals.Remove(at)
		delete(l.positions, e)
	}
	e.queue.remove(e)
	if len(e.queue.entries) == 0 {
		f.queues = slices.Delete(f.queues, slices.Index(f.queues, e.queue), slices.Index(f.queues, e.queue)+1)
	}
	if f.count--; f.count > 0 {
		return
	}
	l.active = removeSorted(l.active, f)
	l.idle = insertSorted(l.idle, f)
	l.dropIdle()
}

// floor returns the earliest start tag that a flow may have: one that used less
// than its share may catch up by the credit and no more.
func (l *level) floor() virtualTime { return l.vtime - l.credit }

// dropIdle removes the idle flows whose start tag is not ahead of the floor. If no
// flow is active, virtual time first advances to the last idle start tag.
func (l *level) dropIdle() {
	if len(l.active) == 0 && len(l.idle) > 0 {
		l.vtime = max(l.vtime, l.idle[len(l.idle)-1].startTag)
	}
	n := 0
	for n < len(l.idle) && l.idle[n].startTag <= l.floor() {
		delete(l.flows, l.idle[n].workspace)
		n++
	}
	l.idle = slices.Delete(l.idle, 0, n)
}

// next returns the first item by virtual time whose adapter is ready. With underShare,
// it skips flows that the item would move ahead of virtual time.
func (l *level) next(underShare bool, ready func(core.AdapterRef) bool) (*entry, bool) {
	for _, f := range l.active {
		if underShare && f.startTag >= l.vtime {
			break
		}
		e := f.first(ready)
		if e != nil && (!underShare || f.startTag+virtualCost(e.Cost, e.Weight) <= l.vtime) {
			return e, true
		}
	}
	return nil, false
}

// charge advances a flow's start tag by the cost of the item that starts now.
func (l *level) charge(f *flow, cost core.Tokens, weight int) {
	l.active = removeSorted(l.active, f)
	l.vtime = max(l.vtime, f.startTag)
	f.startTag += virtualCost(cost, weight)
	l.active = insertSorted(l.active, f)
}

// correct moves a workspace's start tag by the difference between tokens used and
// charged.
func (l *level) correct(ws core.WorkspaceID, diff core.Tokens) {
	f := l.flows[ws]
	if f == nil {
		if diff <= 0 {
			return // already at the floor: a refund changes nothing
		}
		f = &flow{workspace: ws, startTag: l.floor(), weight: 1}
		l.flows[ws] = f
		l.idle = insertSorted(l.idle, f)
	}
	if f.count > 0 {
		l.active = removeSorted(l.active, f)
		f.startTag = max(f.startTag+virtualCost(diff, f.weight), l.floor())
		l.active = insertSorted(l.active, f)
		return
	}
	l.idle = removeSorted(l.idle, f)
	f.startTag = max(f.startTag+virtualCost(diff, f.weight), l.floor())
	l.idle = insertSorted(l.idle, f)
	l.dropIdle()
}

// virtualCost returns the virtual time that a cost takes at a weight.
func virtualCost(cost core.Tokens, weight int) virtualTime {
	return virtualTime(int64(cost) * virtualPerToken / int64(max(weight, 1)))
}

// queueFor returns the flow's queue for an adapter, creating it if needed.
func (f *flow) queueFor(a core.AdapterRef) *adapterQueue {
	for _, q := range f.queues {
		if q.adapter == a {
			return q
		}
	}
	q := &adapterQueue{adapter: a}
	f.queues = append(f.queues, q)
	return q
}

// first returns the flow's earliest item whose adapter is ready, or nil.
func (f *flow) first(ready func(core.AdapterRef) bool) *entry {
	var best *entry
	for _, q := range f.queues {
		head := q.entries[0]
		if best != nil && best.seq < head.seq {
			continue
		}
		if ready(q.adapter) {
			best = head
		}
	}
	return best
}

// newest returns the flow's latest item.
func (f *flow) newest() *entry {
	var best *entry
	for _, q := range f.queues {
		if tail := q.entries[len(q.entries)-1]; best == nil || tail.seq > best.seq {
			best = tail
		}
	}
	return best
}

func bySeq(a, b *entry) int { return cmp.Compare(a.seq, b.seq) }

func (q *adapterQueue) insert(e *entry) {
	i, _ := slices.BinarySearchFunc(q.entries, e, bySeq)
	q.entries = slices.Insert(q.entries, i, e)
}

func (q *adapterQueue) remove(e *entry) {
	i, ok := slices.BinarySearchFunc(q.entries, e, bySeq)
	if ok {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}
