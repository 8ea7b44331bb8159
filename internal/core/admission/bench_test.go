package admission

import (
	"fmt"
	"testing"

	"gentiancroft/internal/core"
)

// BenchmarkPushAndPop measures a push and a pop by the number of waiting workspaces
// and of idle ones that were served before.
func BenchmarkPushAndPop(b *testing.B) {
	for _, c := range []struct{ waiting, idle int }{{10, 0}, {100, 0}, {400, 0}, {10, 1000}, {10, 10_000}} {
		b.Run(fmt.Sprintf("waiting=%d/idle=%d", c.waiting, c.idle), func(b *testing.B) {
			q := NewQueue(QueueSettings{})
			for i := range c.idle {
				q.Push(1, item(i, fmt.Sprint("idle", i), core.Interactive, 100))
				q.Pop(1, anyAdapter)
			}
			for i := range c.waiting {
				q.Push(2, item(i, fmt.Sprint("ws", i), core.Interactive, 100))
			}
			it := item(0, "ws0", core.Interactive, 100)
			b.ReportAllocs()
			now := core.Instant(3)
			for b.Loop() {
				now += 1000
				it.Request, it.Enqueued = "r", now
				q.Push(now, it)
				got, _ := q.Pop(now, anyAdapter)
				it = got
			}
		})
	}
}
