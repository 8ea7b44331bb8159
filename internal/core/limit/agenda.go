package limit

import (
	"container/heap"

	"gentiancroft/internal/core"
)

// duty is what is due at an instant.
type duty uint8

const (
	dutyAsk     duty = iota + 1 // a holder asks its owner
	dutyBook                    // an owner looks through one book
	dutyPending                 // a loan asked for has not come
	dutyLanded                  // a loan given can't be accepted any more
	dutyForget                  // a loan given can't be returned any more
	dutyFlown                   // a loan taken over with a slice can't be accepted any more
)

// task is one entry of the agenda.
type task struct {
	at        core.Instant
	seq       uint64
	duty      duty
	workspace core.WorkspaceID
	request   core.RequestID
}

// agenda is a heap of tasks, the earliest first, then in order of adding.
type agenda struct {
	tasks []task
	seq   uint64
}

func (a *agenda) Len() int { return len(a.tasks) }
func (a *agenda) Less(i, j int) bool {
	if a.tasks[i].at != a.tasks[j].at {
		return a.tasks[i].at < a.tasks[j].at
	}
	return a.tasks[i].seq < a.tasks[j].seq
}
func (a *agenda) Swap(i, j int) { a.tasks[i], a.tasks[j] = a.tasks[j], a.tasks[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.tasks = append(a.tasks, x.(task)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	t := a.tasks[len(a.tasks)-1]
	a.tasks = a.tasks[:len(a.tasks)-1]
	return t
}

func (a *agenda) add(t task) {
	a.seq++
	t.seq = a.seq
	heap.Push(a, t)
}

func (a *agenda) due(now core.Instant) (task, bool) {
	if len(a.tasks) == 0 || now.Before(a.tasks[0].at) {
		return task{}, false
	}
	return heap.Pop(a).(task), true
}
