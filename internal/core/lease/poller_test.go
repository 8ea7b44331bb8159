package lease

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// Guards against a host that waits for pollers that are gone: each compared a heartbeat's time
// with itself, so that none ever counted as dead.
func TestPollersThatAreGoneHaveNoRank(t *testing.T) {
	is := is.New(t)
	m := New(Settings{Self: core.Member{Host: "a"}}, core.NewRand(1))
	for i, id := range []core.HostID{"a", "b", "c"} {
		number := uint64(i + 1)
		m.head.Members = append(m.head.Members, Entry{Member: core.Member{Host: id}, Number: number})
		m.poller.pollers = append(m.poller.pollers, id)
		m.poller.heartbeats[number] = &memberHeartbeat{seqAt: core.Instant(time.Second)}
	}
	key := ""
	for i := 0; rank(m.poller.pollers, "a", key) != 2; i++ {
		key = strconv.Itoa(i)
	}
	now := core.Instant(time.Second)
	is.Equal(m.rankDelay(now, key), 2*m.settings.Stagger)
	later := now.Add(m.settings.SuspectAfter)
	m.poller.heartbeats[2].seqAt = later // b lives
	is.True(m.rankDelay(later, key) < 2*m.settings.Stagger)
	is.Equal(m.rankDelay(later.Add(m.settings.SuspectAfter), key), time.Duration(0))
}
