package wiring

import (
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/upstream"
)

const testBody = 4 << 20 // bytes, the default of limits.body

// Guards against default bounds that clients inside the limits meet.
func TestDefaultsHoldWhatIsLegal(t *testing.T) {
	is := is.New(t)
	l := callerLimits(defaultMemory, testBody, 1<<20, maxCallerConnections)
	is.Equal(l.Connections, maxCallerConnections)
	is.Equal(l.PeerConnections, maxCallerConnections)
	for _, mib := range []int{16, 80, 144, 1024} {
		l := callerLimits(mib<<20, testBody, 1<<20, maxCallerConnections)
		one := int64(testBody + upstream.MaxAnswerBytes)
		is.True(l.Connection >= one && l.Peer >= one && l.Total-l.Reserve >= one)
	}
}

func TestBoundsFollowMemoryAndDescriptors(t *testing.T) {
	is := is.New(t)
	is.True(callerLimits(144<<20, testBody, 1<<20, maxCallerConnections).Total <= 144<<20/4)
	for _, limit := range []int{64, 256, 512, 1024, 4096, 1 << 20} {
		callers, page := callerLimits(1<<30, testBody, limit, maxCallerConnections).Connections, pageLimits(limit).Connections
		is.True(callers >= 1 && page >= 1)
		is.True(callers+3*page <= limit-min(limit/4, minKeptDescriptors))
	}
}
