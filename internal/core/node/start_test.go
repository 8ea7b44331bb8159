package node

import (
	"fmt"
	"testing"
	"time"

	"gentiancroft/internal/core"
)

// A new fleet whose hosts are ready refuses no request within the rate limits,
// whatever the delay between the starts of its hosts.
func TestNewFleetRefusesNoRequest(t *testing.T) {
	for gap := range 40 {
		f := emptyFleet(t, sampleDocument())
		for i := range 3 {
			f.join(i)
			f.run(time.Duration(gap*7) * time.Millisecond)
		}
		f.runUntilReady()
		for i, h := range f.hosts {
			for _, key := range []string{"key-1", "key-2"} {
				id := core.RequestID(fmt.Sprint(gap, key, i))
				f.step(h, completionRequest(string(id), key, "quotes-01"))
				f.run(100 * time.Millisecond)
				if r := f.answer(id).refusal; r != nil {
					t.Errorf("starts %d ms apart, %s, %s: %v", gap*7, h.id, key, r)
				}
			}
		}
	}
}

// runUntilReady advances time until every host is ready, at most maxTicks ticks.
func (f *fleet) runUntilReady() {
	const maxTicks = 400
	for range maxTicks {
		ready := 0
		for _, h := range f.hosts {
			if ok, _ := h.node.Ready(); ok {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return
		}
		f.run(tickDelay)
	}
	f.t.Fatal("not all hosts are ready in time")
}
