package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func anyAdapter(core.AdapterRef) bool { return true }

func item(n int, ws string, class core.Class, cost core.Tokens) Item {
	return Item{
		Request: core.RequestID(fmt.Sprintf("%s-%d", ws, n)), Workspace: core.WorkspaceID(ws),
		Weight: 1, Class: class, Cost: cost, Adapter: core.AdapterRef{ID: core.AdapterID(ws), Version: 1},
	}
}

func TestFairInTokens(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{})
	for i := range 100 {
		q.Push(1, item(i, "flood", core.Interactive, 100))
	}
	for i := range 10 {
		q.Push(1, item(i, "small", core.Interactive, 200))
	}
	served := map[core.WorkspaceID]core.Tokens{}
	for range 30 {
		it, ok := q.Pop(2, anyAdapter)
		is.True(ok)
		served[it.Workspace] += it.Cost
	}
	is.Equal(served["small"], core.Tokens(2000))
	is.Equal(served["flood"], core.Tokens(2000))
}

func TestShedsTheFurthestOverItsShare(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{MaxItems: 4})
	for i := range 4 {
		is.Equal(len(q.Push(1, item(i, "flood", core.Interactive, 100))), 0)
	}
	shed := q.Push(1, item(0, "small", core.Overnight, 100))
	is.Equal(len(shed), 1)
	is.Equal(shed[0].Request, core.RequestID("flood-3")) // its newest
	shed = q.Push(1, item(9, "flood", core.Interactive, 100))
	is.Equal(shed[0].Request, core.RequestID("flood-9"))
	is.Equal(q.Len(), 4)
}

func TestOvernightAgesButNeverBeforeInteractive(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{AgeAfter: time.Second})
	q.Push(1, item(0, "night", core.Overnight, 10))
	later := core.Instant(1).Add(time.Minute)
	q.Push(later, item(0, "day", core.Normal, 10))
	q.Push(later, item(0, "live", core.Interactive, 10))
	first, _ := q.Pop(later, anyAdapter)
	is.Equal(first.Workspace, core.WorkspaceID("live"))
	_, ok := q.PopUpTo(later, core.Interactive, anyAdapter)
	is.True(!ok) // aged overnight work competes as normal, no higher
	second, _ := q.Pop(later, anyAdapter)
	third, _ := q.Pop(later, anyAdapter)
	is.Equal(second.Workspace, core.WorkspaceID("day"))
	is.Equal(third.ChargedClass, core.Normal)
}

func TestOnlyReadyAdaptersAndDeadlines(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueSettings{})
	cold, warm := item(0, "cold", core.Interactive, 1), item(0, "warm", core.Normal, 1)
	cold.Deadline = 50
	q.Push(1, cold)
	q.Push(1, warm)
	is.Equal(q.Waiting(cold.Adapter), 1)
	got, ok := q.Pop(2, func(a core.AdapterRef) bool { return a == warm.Adapter })
	is.True(ok)
	is.Equal(got.Request, warm.Request)
	is.Equal(len(q.Expire(49)), 0)
	is.Equal(len(q.Expire(50)), 1)
	_, ok = q.Remove(cold.Request)
	is.True(!ok)
	is.Equal(q.Len(), 0)
}
