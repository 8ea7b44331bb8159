package limit

import (
	"fmt"
	"runtime"
	"testing"

	"gentiancroft/internal/core"
)

// idleMachine returns a machine that owns n workspaces with open ledgers and no use.
func idleMachine(n int) (*Machine, *fakeOwnership) {
	own := &fakeOwnership{self: "o", owner: "o", acting: true, grant: core.Grant{Fence: 1, Until: 1 << 60}, hosts: members}
	m := New(Settings{Self: "o", StartDelay: -1}, core.NewRand(1))
	var limits []Limit
	for i := range n {
		limits = append(limits, Limit{core.WorkspaceID(fmt.Sprintf("ws%05d", i)), 1_000_000_000, 4_000_000_000})
	}
	m.Configure(1, 1, limits)
	for range n/namesPerTick + 1 {
		answerOpeningCalls(m, own, m.Tick(1, own).Calls)
	}
	return m, own
}

func answerOpeningCalls(m *Machine, own *fakeOwnership, calls []core.ObjectCall) {
	for _, c := range calls {
		r := m.HandleObject(1, own, core.ObjectResult{Tag: c.Tag, Status: core.ObjectNotFound})
		for _, w := range r.Calls {
			m.HandleObject(1, own, core.ObjectResult{Tag: w.Tag, Status: core.ObjectOK, Object: core.Object{Version: 1}})
		}
	}
}

func BenchmarkReserveAndSettle(b *testing.B) {
	for _, n := range []int{1, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			m, own := idleMachine(n)
			b.ReportAllocs()
			now := core.Instant(2)
			for i := 0; b.Loop(); i++ {
				now += 1000
				id := core.RequestID("r")
				m.Reserve(now, own, id, "ws00000", 10)
				m.Settle(now, own, id, 5, true)
			}
		})
	}
}

func BenchmarkTickOfIdleWorkspaces(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			m, own := idleMachine(n)
			now := core.Instant(2)
			for b.Loop() {
				now += 20_000_000
				m.Tick(now, own)
			}
		})
	}
}

// BenchmarkMemory reports bytes per workspace, as the slope between two sizes.
func BenchmarkMemory(b *testing.B) {
	heap := func(n int, use bool) float64 {
		m, own := idleMachine(n)
		if use {
			for i := range n {
				for k := range 10 {
					m.Reserve(2, own, core.RequestID(fmt.Sprint(i, k)), core.WorkspaceID(fmt.Sprintf("ws%05d", i)), 10)
				}
			}
		}
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		runtime.KeepAlive(m)
		return float64(s.HeapAlloc)
	}
	for b.Loop() {
		b.ReportMetric((heap(9000, false)-heap(1000, false))/8000, "bytes/idle-workspace")
		b.ReportMetric((heap(9000, true)-heap(1000, true))/8000, "bytes/active-workspace")
	}
}
