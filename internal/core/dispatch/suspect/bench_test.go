package suspect

import (
	"strconv"
	"testing"
	"time"

	"gentiancroft/internal/core"
)

// BenchmarkClaim measures a claim, its verdict and its release, at the entry host
// and the home together, with 350 hosts.
func BenchmarkClaim(b *testing.B) {
	f := newFleet(350)
	entry, own := f.machines["h0"], f.own("h0")
	ids := make([]core.RequestID, 1024)
	for i := range ids {
		ids[i] = core.RequestID("r" + strconv.Itoa(i))
	}
	carry := func(r Result) {
		for _, s := range r.Sends {
			for _, back := range f.machines[s.To].HandleMessage(f.now, own, "h0", s.Message).Sends {
				entry.HandleMessage(f.now, own, s.To, back.Message)
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ids[i%len(ids)]
		carry(entry.Claim(f.now, own, Request{ID: id, Fingerprint: uint64(i % 4096), Upstream: "u1"}))
		carry(entry.Release(f.now, own, id, EndOK))
		if i%256 == 0 {
			f.now = f.now.Add(100 * time.Millisecond)
			entry.Tick(f.now, own)
		}
	}
}
