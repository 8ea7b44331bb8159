package heldbytes

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

var testLimits = Limits{
	Total: 1000, Reserve: 200, Small: 50, Connection: 400, Peer: 600,
	Connections: 5, PeerConnections: 4,
	StallAge: 100 * time.Millisecond, IdleAge: time.Second, MaxWait: 2 * time.Second, MinRate: 1000,
}

const ms = core.Instant(time.Millisecond)

// granted reports whether effects grant something to a connection.
func granted(effects []Effect, id ID) bool { return has(effects, Grant, id) }

func has(effects []Effect, kind EffectKind, id ID) bool {
	for _, e := range effects {
		if e.Kind == kind && e.ID == id {
			return true
		}
	}
	return false
}

// opened returns a ledger with connections 1 to n that receive bodies, each from its own peer.
func opened(is *is.I, n int) *Ledger {
	l := New(testLimits)
	for id := ID(1); id <= ID(n); id++ {
		is.True(granted(l.Open(0, id, string(rune('a'+id))), id))
		l.SetPhase(0, id, Receiving)
	}
	return l
}

func TestAConnectionThatHoldsMostAndStallsIsClosedForOthers(t *testing.T) {
	is := is.New(t)
	l := opened(is, 4)
	is.True(granted(l.Acquire(0, 1, 300), 1))
	is.True(granted(l.Acquire(0, 2, 400), 2))
	l.Progress(50*ms, 1, 300)
	l.Progress(50*ms, 2, 400)
	is.Equal(len(l.Acquire(60*ms, 3, 200)), 0) // nobody has stalled yet: it waits
	effects := l.Tick(200 * ms)
	is.True(has(effects, Close, 2)) // it holds more than connection 1
	is.True(!has(effects, Close, 1))
	is.True(granted(effects, 3))
}

func TestARequestThatRunsIsNeverClosed(t *testing.T) {
	is := is.New(t)
	l := opened(is, 3)
	is.True(granted(l.Acquire(0, 1, 400), 1))
	is.True(granted(l.Acquire(0, 2, 400), 2))
	l.SetPhase(0, 1, Running)
	l.SetPhase(0, 2, Running)
	is.Equal(len(l.Acquire(0, 3, 100)), 0)
	is.Equal(len(l.Tick(1999*ms)), 0)
	effects := l.Tick(2000 * ms)
	is.Equal(effects, []Effect{{Kind: Refuse, ID: 3, Reason: NoRoom}})
}

func TestLittleIsGrantedBesideLargeBodies(t *testing.T) {
	is := is.New(t)
	l := opened(is, 4)
	is.True(granted(l.Acquire(0, 1, 400), 1))
	is.True(granted(l.Acquire(0, 2, 400), 2))
	is.Equal(len(l.Acquire(0, 3, 100)), 0) // waits
	is.True(granted(l.Acquire(0, 4, 50), 4))
}

// Guards against bodies at replicas whose answers wait for each other.
func TestAnswersOfRunningRequestsMayUseTheReserve(t *testing.T) {
	is := is.New(t)
	l := opened(is, 3)
	for id := ID(1); id <= 2; id++ {
		is.True(granted(l.Acquire(0, id, 390), id))
		l.SetPhase(0, id, Running)
	}
	is.Equal(len(l.Acquire(0, 3, 100)), 0) // receiving: waits
	is.Equal(l.Acquire(0, 1, 10), []Effect{{Kind: Grant, ID: 1}})
}

func TestAPeerHasABoundOfItsOwn(t *testing.T) {
	is := is.New(t)
	l := New(testLimits)
	for id := ID(1); id <= 4; id++ {
		is.True(granted(l.Open(0, id, "one"), id))
		l.SetPhase(0, id, Receiving)
	}
	is.Equal(l.Open(0, 5, "one"), []Effect{{Kind: Refuse, ID: 5, Reason: TooManyOfPeer}})
	is.True(granted(l.Open(0, 6, "other"), 6))
	is.True(granted(l.Acquire(0, 1, 400), 1))
	is.Equal(len(l.Acquire(0, 2, 300)), 0) // over the peer's bytes: waits
	is.True(granted(l.Acquire(0, 6, 300), 6))
	is.True(granted(l.Closed(0, 1), 2))
}

func TestTheLongestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	is := is.New(t)
	l := opened(is, 5)
	for _, id := range []ID{1, 4, 5} {
		l.SetPhase(0, id, Running)
	}
	l.SetPhase(100*ms, 2, Idle)
	l.SetPhase(200*ms, 3, Idle)
	is.Equal(l.Open(1000*ms, 7, "x"), []Effect{{Kind: Refuse, ID: 7, Reason: TooManyConnections}})
	is.Equal(l.Open(1300*ms, 8, "x"), []Effect{{Kind: Close, ID: 2, Reason: IdleTooLong}, {Kind: Grant, ID: 8}})
}

// Guards against slow senders that keep every place.
func TestAStalledBodyMakesRoomForANewConnection(t *testing.T) {
	is := is.New(t)
	l := opened(is, 5)
	for id := ID(1); id <= 5; id++ {
		l.Progress(900*ms, id, 1000)
	}
	l.SetPhase(900*ms, 1, Running)
	is.Equal(l.Open(1500*ms, 7, "x"), []Effect{{Kind: Refuse, ID: 7, Reason: TooManyConnections}})
	l.Progress(1500*ms, 2, 1000)
	is.Equal(l.Open(2000*ms, 8, "x"), []Effect{{Kind: Close, ID: 3, Reason: IdleTooLong}, {Kind: Grant, ID: 8}})
}

func TestOneConnectionIsBounded(t *testing.T) {
	is := is.New(t)
	l := opened(is, 1)
	is.Equal(l.Acquire(0, 1, 401), []Effect{{Kind: Refuse, ID: 1, Reason: TooLarge}})
	is.True(granted(l.Acquire(0, 1, 400), 1))
	is.Equal(l.Held(), int64(400))
	l.SetPhase(0, 1, Idle)
	is.Equal(l.Held(), int64(0))
}

// model checks a ledger against what it has decided.
type model struct {
	held    map[ID]int64
	wanted  map[ID]int64
	running map[ID]bool
}

func (m *model) apply(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case Grant:
			m.held[e.ID] += m.wanted[e.ID]
			delete(m.wanted, e.ID)
		case Refuse:
			delete(m.wanted, e.ID)
		case Close:
			if m.running[e.ID] {
				t.Fatalf("connection %d was closed while its request ran", e.ID)
			}
			m.forget(e.ID)
		}
	}
}

func (m *model) forget(id ID) {
	delete(m.held, id)
	delete(m.wanted, id)
	delete(m.running, id)
}

// Guards against bytes that are lost or counted twice, bounds that are exceeded, and connections
// that wait for ever.
func TestBoundsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(testLimits)
		m := &model{held: map[ID]int64{}, wanted: map[ID]int64{}, running: map[ID]bool{}}
		now := core.Instant(0)
		next := ID(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += core.Instant(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			id := ID(rapid.IntRange(1, 8).Draw(t, "id"))
			_, open := m.held[id]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				next++
				if _, taken := m.held[next%8+1]; !taken {
					effects := l.Open(now, next%8+1, string(rune('a'+rapid.IntRange(0, 2).Draw(t, "peer"))))
					if granted(effects, next%8+1) {
						m.held[next%8+1] = 0
					}
					m.apply(t, effects)
				}
			case 1:
				if open && m.wanted[id] == 0 {
					bytes := int64(rapid.IntRange(1, 450).Draw(t, "bytes"))
					m.wanted[id] = bytes
					m.apply(t, l.Acquire(now, id, bytes))
				}
			case 2:
				if open && m.wanted[id] == 0 {
					bytes := int64(rapid.IntRange(0, 100).Draw(t, "bytes"))
					m.held[id] -= min(bytes, m.held[id])
					m.apply(t, l.Release(now, id, bytes))
				}
			case 3:
				if open && m.wanted[id] == 0 {
					p := Phase(rapid.IntRange(0, 3).Draw(t, "phase"))
					if p == Idle {
						m.held[id] = 0
					}
					m.running[id] = p == Running
					m.apply(t, l.SetPhase(now, id, p))
				}
			case 4:
				if open {
					m.forget(id)
					m.apply(t, l.Closed(now, id))
				}
			case 5:
				m.apply(t, l.Tick(now))
			case 6:
				l.Progress(now, id, 10)
			}
			var sum int64
			for c, held := range m.held {
				sum += held
				if held > testLimits.Connection {
					t.Fatalf("connection %d holds %d", c, held)
				}
			}
			if sum != l.Held() || sum > testLimits.Total || len(m.held) != l.Connections() || len(m.wanted) != l.Waiting() || len(m.held) > testLimits.Connections {
				t.Fatalf("held %d, ledger %d; open %d, ledger %d; waiting %d, ledger %d", sum, l.Held(), len(m.held), l.Connections(), len(m.wanted), l.Waiting())
			}
		}
		m.apply(t, l.Tick(now+core.Instant(testLimits.MaxWait)))
		if l.Waiting() != 0 {
			t.Fatalf("%d connections still wait", l.Waiting())
		}
	})
}
