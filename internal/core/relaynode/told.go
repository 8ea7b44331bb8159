package relaynode

import (
	"time"

	"gentiancroft/internal/core"
)

// toldHosts are when hosts were last told all that this host knows of something, so that none is told
// more often than once in an interval.
type toldHosts map[core.HostID]core.Instant

// mayTell reports whether a host may be told now.
func (t toldHosts) mayTell(now core.Instant, to core.HostID, interval time.Duration) bool {
	last, told := t[to]
	return !told || now.Sub(last) >= interval
}

// expire forgets the hosts that may be told.
func (t toldHosts) expire(now core.Instant, interval time.Duration) {
	for h := range t {
		if t.mayTell(now, h, interval) {
			delete(t, h)
		}
	}
}
