package once

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
)

// BenchmarkRequest measures a request from Begin to its recorded outcome, without
// the object API.
func BenchmarkRequest(b *testing.B) {
	now := core.Instant(time.Hour)
	m := New("a", core.NewRand(1))
	outcome := core.Outcome{Status: 200, Body: make([]byte, 512)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := m.Begin(now, Request{ID: "1", Workspace: "w", Key: "k", BodyHash: 1})
		m.HandleObject(now, core.ObjectResult{Tag: r.Calls[0].Tag, Status: core.ObjectOK, Object: core.Object{Version: 1}})
		r = m.Finish(now, "1", outcome, core.RanYes)
		m.HandleObject(now, core.ObjectResult{Tag: r.Calls[0].Tag, Status: core.ObjectOK})
		if i%256 == 0 {
			m.Tick(now, nil)
		}
	}
}
