package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

// TestEveryItemLeavesOnce applies random operations and checks that the bound
// holds, every item leaves exactly once, counts agree, and no overnight item is
// popped while a ready interactive one waits.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(QueueSettings{MaxItems: 8, AgeAfter: 5 * time.Second})
		in := map[core.RequestID]Item{}
		left := func(items ...Item) {
			for _, it := range items {
				if _, ok := in[it.Request]; !ok {
					t.Fatalf("%s left twice or never came", it.Request)
				}
				delete(in, it.Request)
			}
		}
		now := core.Instant(1)
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				it := drawItem(t, n, now)
				in[it.Request] = it
				left(q.Push(now, it)...)
			case 2:
				cold := rapid.IntRange(0, 2).Draw(t, "cold")
				ready := func(a core.AdapterRef) bool { return a.Version != cold }
				if it, ok := q.Pop(now, ready); ok {
					urgentWaits(t, in, it, cold)
					left(it)
					q.CorrectCharge(it.Workspace, it.ChargedClass, it.Cost, core.Tokens(rapid.IntRange(-5, 500).Draw(t, "used")))
				}
			case 3:
				left(q.Expire(now)...)
			case 4:
				if it, ok := q.Remove(core.RequestID(fmt.Sprint(rapid.IntRange(0, 79).Draw(t, "id")))); ok {
					left(it)
				}
			}
			if q.Len() != len(in) || q.Len() > 8 {
				t.Fatalf("%d items counted, %d there", q.Len(), len(in))
			}
		}
		for _, it := range q.Expire(now.Add(time.Hour)) {
			left(it)
		}
		for it, ok := q.Pop(now, anyAdapter); ok; it, ok = q.Pop(now, anyAdapter) {
			left(it)
		}
		if len(in)+len(q.waiting)+len(q.byWorkspace)+len(q.byOverShare)+int(q.totalWeight) != 0 {
			t.Fatalf("left behind: %v", in)
		}
	})
}

func drawItem(t *rapid.T, n int, now core.Instant) Item {
	it := Item{
		Request: core.RequestID(fmt.Sprint(n)), Workspace: core.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "ws"))),
		Weight: rapid.IntRange(-1, 5).Draw(t, "weight"), Class: core.Class(rapid.IntRange(0, 3).Draw(t, "class")),
		Cost:    core.Tokens(rapid.SampledFrom([]int{-1, 0, 1, 100, 5000, 1 << 62}).Draw(t, "cost")),
		Adapter: core.AdapterRef{ID: "a", Version: rapid.IntRange(0, 2).Draw(t, "adapter")},
	}
	if rapid.Bool().Draw(t, "deadline") {
		it.Deadline = now.Add(10 * time.Second)
	}
	return it
}

// urgentWaits fails if an overnight item was popped before a ready interactive one.
func urgentWaits(t *rapid.T, in map[core.RequestID]Item, popped Item, cold int) {
	if popped.Class != core.Overnight {
		return
	}
	for _, it := range in {
		if it.Class == core.Interactive && it.Adapter.Version != cold {
			t.Fatalf("overnight %s before interactive %s", popped.Request, it.Request)
		}
	}
}

// TestServedByWeight has two workspaces that always wait: they are served by
// weight, to within an item.
func TestServedByWeight(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{})
	served := map[core.WorkspaceID]core.Tokens{}
	for i := range 2000 {
		for ws, weight := range map[string]int{"a": 3, "b": 1} {
			it := item(i, ws, core.Normal, core.Tokens(50+i%100))
			it.Weight = weight
			q.Push(core.Instant(i+1), it)
		}
		it, _ := q.Pop(core.Instant(i+1), anyAdapter)
		served[it.Workspace] += it.Cost
	}
	is.True(abs(served["a"]-3*served["b"]) < 4*150)
}

func abs(t core.Tokens) core.Tokens { return max(t, -t) }

func TestPopWithinSkipsWorkspacesOverTheirShare(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{})
	for i := range 50 {
		q.Push(1, item(i, "flood", core.Interactive, 100))
	}
	for range 20 {
		q.Pop(2, anyAdapter)
	}
	_, ok := q.PopUnderShare(3, core.Overnight, anyAdapter)
	is.True(!ok)
	q.Push(3, item(0, "small", core.Interactive, 100))
	q.Pop(core.Instant(3).Add(3*time.Second), anyAdapter) // the drain rate has been measured from here on
	q.Push(4, item(1, "other", core.Interactive, 1))
	it, _ := q.Pop(core.Instant(4).Add(3*time.Second), anyAdapter)
	is.True(it.Workspace != "flood")
}

func TestRetryAfterFollowsTheDrain(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{})
	is.Equal(q.RetryAfter(1, "none"), DefaultMinRetryAfter)
	now := core.Instant(1)
	for i := range 100 {
		q.Push(now, item(i, "ws", core.Interactive, 100))
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond) // 1,000 tokens a second
		q.Pop(now, anyAdapter)
	}
	d := q.RetryAfter(now, "ws")
	is.True(d > 4*time.Second && d < 8*time.Second) // 6,000 tokens wait
}
