package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
)

func announce(version int) VersionAnnounced {
	return VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: version}}
}

func streamOfX() RequestArrived {
	return RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"}
}

// Guards against a request on an adapter version that was replaced long ago: each new
// announcement restarted the grace period of all versions before it.
func TestEachVersionIsUsableUntilItsOwnGracePeriodEnds(t *testing.T) {
	h := newHost(t) // the engines have version 1
	h.step(announce(2))
	h.advance(DefaultVersionGrace - time.Millisecond)
	h.step(announce(3))
	h.arrive(streamOfX())
	h.dispatch() // version 1 was replaced less than the grace period ago
	h.advance(time.Millisecond)
	h.arrive(streamOfX())
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}
