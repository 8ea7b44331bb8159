package admission

import (
	"container/heap"
	"time"

	"gentiancroft/internal/core"
)

// Item is one waiting request.
type Item struct {
	Request   core.RequestID
	Entry     core.HostID // the host that the caller is connected to
	Workspace core.WorkspaceID
	Weight    int // the workspace's share relative to others; below 1 counts as 1
	Class     core.Class
	Cost      core.Tokens // estimated tokens of prompt and output; below 1 counts as 1
	Adapter   core.AdapterRef
	Enqueued  core.Instant // zero: when it was pushed
	Deadline  core.Instant // zero: none
	// ChargedClass is the class whose share paid for the item; ageing may have raised
	// it. Pop sets it; it is needed again to correct the charge.
	ChargedClass core.Class
}

// QueueSettings are the bounds of a queue. Zero fields take the defaults.
type QueueSettings struct {
	MaxItems      int           // maximum number of waiting items
	AgeAfter      time.Duration // wait after which an item competes one class higher
	Credit        time.Duration // how much of its unused share a workspace may catch up on
	MinRetryAfter time.Duration // minimum retry_after
	MaxRetryAfter time.Duration // maximum retry_after
}

// Defaults of QueueSettings.
const (
	DefaultMaxItems      = 512
	DefaultAgeAfter      = 30 * time.Second
	DefaultCredit        = 10 * time.Second
	DefaultMinRetryAfter = 200 * time.Millisecond
	DefaultMaxRetryAfter = 30 * time.Second
)

// Limits of an item's values.
const (
	maxCost   = core.Tokens(1) << 24
	maxWeight = 1 << 16
)

func (s QueueSettings) withDefaults() QueueSettings {
	if s.MaxItems <= 0 {
		s.MaxItems = DefaultMaxItems
	}
	if s.AgeAfter <= 0 {
		s.AgeAfter = DefaultAgeAfter
	}
	if s.Credit <= 0 {
		s.Credit = DefaultCredit
	}
	if s.MinRetryAfter <= 0 {
		s.MinRetryAfter = DefaultMinRetryAfter
	}
	if s.MaxRetryAfter < s.MinRetryAfter {
		s.MaxRetryAfter = max(DefaultMaxRetryAfter, s.MinRetryAfter)
	}
	return s
}

// Queue is a bounded, weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	settings    QueueSettings
	levels      [core.ClassCount]level
	items       map[core.RequestID]*entry
	waiting     map[core.AdapterRef]int
	byOverShare backlogHeap // workspaces with waiting items, the furthest over its share first
	byWorkspace map[core.WorkspaceID]*backlog
	deadlines   deadlineHeap
	drain       drainMeter
	seq         uint64
	totalWeight int64 // sum over workspaces with waiting items
}

// entry is an item in the queue.
type entry struct {
	Item
	seq     uint64
	level   core.Class // the class in which it competes now
	flow    *flow
	queue   *adapterQueue
	backlog *backlog
	expiry  int // index in the deadline heap, -1: no deadline
}

// NewQueue returns an empty queue.
func NewQueue(s QueueSettings) *Queue {
	q := &Queue{
		settings:    s.withDefaults(),
		items:       make(map[core.RequestID]*entry),
		waiting:     make(map[core.AdapterRef]int),
		byWorkspace: make(map[core.WorkspaceID]*backlog),
	}
	for i := range q.levels {
		q.levels[i] = newLevel()
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of items that wait for an adapter.
func (q *Queue) Waiting(a core.AdapterRef) int { return q.waiting[a] }

// Push adds an item and returns those removed to keep the bound: the newest item
// of the least urgent class of the workspace that is furthest over its share,
// which may be the pushed one. An item that waits already is not added again.
func (q *Queue) Push(now core.Instant, it Item) (shed []Item) {
	if _, ok := q.items[it.Request]; ok {
		return nil
	}
	q.insert(normalise(now, it))
	for len(q.items) > q.settings.MaxItems {
		shed = append(shed, q.shedOne())
	}
	return shed
}

func normalise(now core.Instant, it Item) Item {
	it.Weight = min(max(it.Weight, 1), maxWeight)
	it.Cost = min(max(it.Cost, 1), maxCost)
	it.Class = min(it.Class, core.Overnight)
	it.ChargedClass = it.Class
	if it.Enqueued == 0 || now.Before(it.Enqueued) {
		it.Enqueued = now
	}
	return it
}

func (q *Queue) insert(it Item) {
	q.seq++
	e := &entry{Item: it, seq: q.seq, level: it.Class, expiry: -1}
	q.items[it.Request] = e
	q.waiting[it.Adapter]++
	q.addBacklog(e)
	q.levels[e.level].add(e)
	if it.Deadline != 0 {
		heap.Push(&q.deadlines, e)
	}
}

// removeEntry removes an entry from every index.
func (q *Queue) removeEntry(e *entry) Item {
	delete(q.items, e.Request)
	if q.waiting[e.Adapter]--; q.waiting[e.Adapter] == 0 {
		delete(q.waiting, e.Adapter)
	}
	q.dropBacklog(e)
	q.levels[e.level].remove(e)
	if e.expiry >= 0 {
		heap.Remove(&q.deadlines, e.expiry)
	}
	e.ChargedClass = e.level
	return e.Item
}

// Pop removes the item to run next among those whose adapter is ready, in order of
// class, then of the workspaces' virtual time, then of arrival. It returns false
// if there is none.
func (q *Queue) Pop(now core.Instant, ready func(core.AdapterRef) bool) (Item, bool) {
	return q.PopUpTo(now, core.Overnight, ready)
}

// PopUpTo is Pop among items that compete in class lowest or a more urgent one, so
// that a caller can reserve its last free places for urgent work.
func (q *Queue) PopUpTo(now core.Instant, lowest core.Class, ready func(core.AdapterRef) bool) (Item, bool) {
	return q.pop(now, lowest, false, ready)
}

// PopUnderShare is PopUpTo among workspaces that recently used less than their share.
// A caller can reserve its last free places for them, so that they don't wait for
// the requests of workspaces that use more.
func (q *Queue) PopUnderShare(now core.Instant, lowest core.Class, ready func(core.AdapterRef) bool) (Item, bool) {
	return q.pop(now, lowest, true, ready)
}

func (q *Queue) pop(now core.Instant, lowest core.Class, underShare bool, ready func(core.AdapterRef) bool) (Item, bool) {
	q.promoteAged(now)
	for c := core.Interactive; c <= min(lowest, core.Overnight); c++ {
		e, ok := q.levels[c].next(underShare, ready)
		if !ok {
			continue
		}
		q.levels[c].charge(e.flow, e.Cost, e.Weight)
		q.drain.record(now, e.Cost)
		q.levels[c].credit = q.credit()
		return q.removeEntry(e), true
	}
	return Item{}, false
}

// credit converts the Credit setting into virtual time at the current drain rate.
func (q *Queue) credit() virtualTime {
	perSecond := virtualCost(min(q.drain.rate, maxCost), int(max(1, min(q.totalWeight, maxWeight))))
	return perSecond * virtualTime(q.settings.Credit/time.Second)
}

// promoteAged lets items that have waited long compete one class higher than their
// own. Overnight work therefore never competes with interactive requests.
func (q *Queue) promoteAged(now core.Instant) {
	for c := core.Normal; c < core.ClassCount; c++ {
		lv := &q.levels[c]
		for e := lv.oldest(); e != nil && now.Sub(e.Enqueued) >= q.settings.AgeAfter; e = lv.oldest() {
			lv.remove(e)
			e.level = c - 1
			q.levels[e.level].add(e)
		}
	}
}

// Remove removes an item, for example because its caller has gone. It returns
// false if the item does not wait.
func (q *Queue) Remove(id core.RequestID) (Item, bool) {
	e, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	return q.removeEntry(e), true
}

// Expire removes the items whose deadline has passed, the earliest first.
func (q *Queue) Expire(now core.Instant) []Item {
	var out []Item
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].Deadline) {
		out = append(out, q.removeEntry(q.deadlines[0]))
	}
	return out
}

// CorrectCharge corrects a workspace's virtual time by the tokens that a popped item
// actually used. class is the one that Pop reported as charged.
func (q *Queue) CorrectCharge(ws core.WorkspaceID, class core.Class, charged, used core.Tokens) {
	charged = min(max(charged, 1), maxCost)
	used = min(max(used, 0), maxCost)
	q.levels[min(class, core.Overnight)].correct(ws, used-charged)
}

// RetryAfter estimates when a refused request of a workspace would find room: the
// time to serve the workspace's backlog at its share of the current drain rate.
func (q *Queue) RetryAfter(now core.Instant, ws core.WorkspaceID) time.Duration {
	b, ok := q.byWorkspace[ws]
	if !ok {
		return q.settings.MinRetryAfter
	}
	d := q.drain.timeToDrain(now, b.queued, q.totalWeight, int64(b.weight))
	return min(max(d, q.settings.MinRetryAfter), q.settings.MaxRetryAfter)
}
