package limit

import (
	"container/heap"

	"gentiancroft/internal/core"
)

// timerKind says what is due when a timer fires.
type timerKind uint8

const (
	timerRenew              timerKind = iota + 1 // a share holder renews its share
	timerLedger                                  // an owner checks one ledger
	timerPendingLoan                             // a requested loan has not come
	timerFlightEnd                               // a granted loan can't be accepted any more
	timerLoanExpiry                              // a granted loan can't be returned any more
	timerInheritedFlightEnd                      // a loan granted from a bucket that this host took over can't be accepted any more
)

// timer is one entry of the timer queue.
type timer struct {
	at        core.Instant
	seq       uint64
	kind      timerKind
	workspace core.WorkspaceID
	request   core.RequestID
}

// timerQueue is a heap of timers, the earliest first, then in order of adding.
type timerQueue struct {
	timers []timer
	seq    uint64
}

func (q *timerQueue) Len() int { return len(q.timers) }
func (q *timerQueue) Less(i, j int) bool {
	if q.timers[i].at != q.timers[j].at {
		return q.timers[i].at < q.timers[j].at
	}
	return q.timers[i].seq < q.timers[j].seq
}
func (q *timerQueue) Swap(i, j int) { q.timers[i], q.timers[j] = q.timers[j], q.timers[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { q.timers = append(q.timers, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	t := q.timers[len(q.timers)-1]
	q.timers = q.timers[:len(q.timers)-1]
	return t
}

func (q *timerQueue) add(t timer) {
	q.seq++
	t.seq = q.seq
	heap.Push(q, t)
}

// due removes and returns the first timer that is due; false if none is.
func (q *timerQueue) due(now core.Instant) (timer, bool) {
	if len(q.timers) == 0 || now.Before(q.timers[0].at) {
		return timer{}, false
	}
	return heap.Pop(q).(timer), true
}
