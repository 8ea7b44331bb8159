package admission

import (
	"cmp"
	"container/list"
	"slices"

	"gentiancroft/internal/core"
)

// virtual is a virtual time: tokens a unit of weight, scaled by virtualUnit.
type virtual int64

// virtualUnit is how many units of virtual time one token at weight 1 takes.
const virtualUnit = 1 << 16

// level is the fair queue of one priority class. Its cost follows the
// workspaces that wait or were served lately, never the idle ones.
type level struct {
	now     virtual
	credit  virtual // how far a flow that used less than its share may lie behind
	active  []*flow // with waiting items, sorted by tag, then workspace
	flows   map[core.WorkspaceID]*flow
	settled []*flow // idle with a tag ahead of the floor, sorted likewise
	order   *list.List
	where   map[*entry]*list.Element
}

// flow is one workspace's part of a level.
type flow struct {
	workspace core.WorkspaceID
	tag       virtual // virtual start of its next item
	weight    int
	lanes     []*lane // of its waiting adapters
	count     int
}

// lane holds one workspace's items for one adapter in order of arrival.
type lane struct {
	adapter core.AdapterRef
	entries []*entry
}

func newLevel() level {
	return level{
		flows: make(map[core.WorkspaceID]*flow),
		order: list.New(),
		where: make(map[*entry]*list.Element),
	}
}

func byTag(a, b *flow) int {
	if c := cmp.Compare(a.tag, b.tag); c != 0 {
		return c
	}
	return cmp.Compare(a.workspace, b.workspace)
}

func insertSorted(s []*flow, f *flow) []*flow {
	i, _ := slices.BinarySearchFunc(s, f, byTag)
	return slices.Insert(s, i, f)
}

func removeSorted(s []*flow, f *flow) []*flow {
	i, ok := slices.BinarySearchFunc(s, f, byTag)
	if !ok {
		return s
	}
	return slices.Delete(s, i, i+1)
}

func (l *level) add(e *entry) {
	f := l.flows[e.Workspace]
	switch {
	case f == nil:
		f = &flow{workspace: e.Workspace, tag: l.floor()}
		l.flows[e.Workspace] = f
		l.active = insertSorted(l.active, f)
	case f.count == 0:
		l.settled = removeSorted(l.settled, f)
		f.tag = max(f.tag, l.floor())
		l.active = insertSorted(l.active, f)
	}
	f.weight = e.Weight
	f.count++
	e.flow = f
	e.lane = f.lane(e.Adapter)
	e.lane.insert(e)
	if e.level == e.Class {
		l.where[e] = l.enlist(e)
	}
}

// enlist keeps the items that have not aged in order of enqueueing.
func (l *level) enlist(e *entry) *list.Element {
	at := l.order.Back()
	for at != nil && at.Value.(*entry).Enqueued > e.Enqueued {
		at = at.Prev()
	}
	if at == nil {
		return l.order.PushFront(e)
	}
	return l.order.InsertAfter(e, at)
}

// oldest is the item that waits longest among those that have not aged.
func (l *level) oldest() *entry {
	if at := l.order.Front(); at != nil {
		return at.Value.(*entry)
	}
	return nil
}

func (l *level) remove(e *entry) {
	f := e.flow
	if at := l.where[e]; at != nil {
		l.order.Remove(at)
		delete(l.where, e)
	}
	e.lane.remove(e)
	if len(e.lane.entries) == 0 {
		f.lanes = slices.Delete(f.lanes, slices.Index(f.lanes, e.lane), slices.Index(f.lanes, e.lane)+1)
	}
	if f.count--; f.count > 0 {
		return
	}
	l.active = removeSorted(l.active, f)
	l.settled = insertSorted(l.settled, f)
	l.forget()
}

// floor is the earliest tag a flow may have: who used less than its share may
// catch up by the credit, no more.
func (l *level) floor() virtual { return l.now - l.credit }

// forget drops the idle flows that virtual time has caught up with.
func (l *level) forget() {
	if len(l.active) == 0 && len(l.settled) > 0 {
		l.now = max(l.now, l.settled[len(l.settled)-1].tag)
	}
	n := 0
	for n < len(l.settled) && l.settled[n].tag <= l.floor() {
		delete(l.flows, l.settled[n].workspace)
		n++
	}
	l.settled = slices.Delete(l.settled, 0, n)
}

// next is the first item by virtual time whose adapter is ready, with within
// only of flows that stay behind virtual time with it.
func (l *level) next(within bool, ready func(core.AdapterRef) bool) (*entry, bool) {
	for _, f := range l.active {
		if within && f.tag >= l.now {
			break
		}
		e := f.first(ready)
		if e != nil && (!within || f.tag+span(e.Cost, e.Weight) <= l.now) {
			return e, true
		}
	}
	return nil, false
}

// charge moves a flow's tag on by the cost of the item that starts now.
func (l *level) charge(f *flow, cost core.Tokens, weight int) {
	l.active = removeSorted(l.active, f)
	l.now = max(l.now, f.tag)
	f.tag += span(cost, weight)
	l.active = insertSorted(l.active, f)
}

// correct moves a workspace's tag by a difference to what was charged.
func (l *level) correct(ws core.WorkspaceID, diff core.Tokens) {
	f := l.flows[ws]
	if f == nil {
		if diff <= 0 {
			return // it owes nothing any more
		}
		f = &flow{workspace: ws, tag: l.floor(), weight: 1}
		l.flows[ws] = f
		l.settled = insertSorted(l.settled, f)
	}
	if f.count > 0 {
		l.active = removeSorted(l.active, f)
		f.tag = max(f.tag+span(diff, f.weight), l.floor())
		l.active = insertSorted(l.active, f)
		return
	}
	l.settled = removeSorted(l.settled, f)
	f.tag = max(f.tag+span(diff, f.weight), l.floor())
	l.settled = insertSorted(l.settled, f)
	l.forget()
}

func span(cost core.Tokens, weight int) virtual {
	return virtual(int64(cost) * virtualUnit / int64(max(weight, 1)))
}

func (f *flow) lane(a core.AdapterRef) *lane {
	for _, l := range f.lanes {
		if l.adapter == a {
			return l
		}
	}
	l := &lane{adapter: a}
	f.lanes = append(f.lanes, l)
	return l
}

// first is the flow's earliest item whose adapter is ready.
func (f *flow) first(ready func(core.AdapterRef) bool) *entry {
	var best *entry
	for _, l := range f.lanes {
		head := l.entries[0]
		if best != nil && best.seq < head.seq {
			continue
		}
		if ready(l.adapter) {
			best = head
		}
	}
	return best
}

// newest is the flow's latest item.
func (f *flow) newest() *entry {
	var best *entry
	for _, l := range f.lanes {
		if tail := l.entries[len(l.entries)-1]; best == nil || tail.seq > best.seq {
			best = tail
		}
	}
	return best
}

func bySeq(a, b *entry) int { return cmp.Compare(a.seq, b.seq) }

func (l *lane) insert(e *entry) {
	i, _ := slices.BinarySearchFunc(l.entries, e, bySeq)
	l.entries = slices.Insert(l.entries, i, e)
}

func (l *lane) remove(e *entry) {
	i, ok := slices.BinarySearchFunc(l.entries, e, bySeq)
	if ok {
		l.entries = slices.Delete(l.entries, i, i+1)
	}
}
