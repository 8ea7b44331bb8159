package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

// store is a fake store with conditional updates.
type store struct {
	version uint64
	objects map[string]core.Object
}

func newStore() *store { return &store{objects: map[string]core.Object{}} }

func (s *store) do(c core.ObjectCall) core.ObjectResult {
	o, there := s.objects[c.Key]
	if there != (c.Op == core.ObjectUpdate) || there && o.Version != c.IfVersion {
		status := core.ObjectConflict
		if !there {
			status = core.ObjectNotFound
		}
		return core.ObjectResult{Status: status, Object: o}
	}
	s.version++
	o = core.Object{Key: c.Key, Value: c.Value, Version: s.version}
	s.objects[c.Key] = o
	return core.ObjectResult{Status: core.ObjectOK, Object: o}
}

func (s *store) list() []core.Object {
	var all []core.Object
	for _, o := range s.objects {
		all = append(all, o)
	}
	return all
}

// alone returns host a as the only member.
func alone() []core.HostID { return []core.HostID{"a"} }

func at(d time.Duration) core.Instant { return core.Instant(d) }

func TestFirstHostOwnsFreeShardAtOnce(t *testing.T) {
	is := is.New(t)
	s := newStore()
	m := New(Settings{Self: "a", Count: 1})
	m.ApplyList(0, 0, s.list())
	calls := m.Tick(0, alone)
	is.Equal(len(calls), 1)
	m.ApplyWriteResult(at(time.Millisecond), calls[0], s.do(calls[0].Object))
	fence, ok := m.OrderFence(at(time.Second), 0)
	is.True(ok)
	is.Equal(fence, core.Fence(1))
	_, ok = m.OrderFence(at(DefaultTerm), 0)
	is.True(!ok) // not renewed
}

func TestRestartedOwnerContinuesWithHigherFence(t *testing.T) {
	is := is.New(t)
	s := newStore()
	for i := range 3 {
		m := New(Settings{Self: "a", Count: 1})
		m.ApplyList(0, 0, s.list())
		calls := m.Tick(0, alone)
		is.Equal(len(calls), 1)
		m.ApplyWriteResult(0, calls[0], s.do(calls[0].Object))
		fence, ok := m.OrderFence(0, 0)
		is.True(ok)
		is.Equal(fence, core.Fence(i+1))
	}
}

// Guards against a restart of all hosts after which nobody orders a replica for seconds: a host
// waited for the orders of another owner to end, although it had released the lease itself.
func TestRestartedHostTakesBackAtOnceWhatItReleased(t *testing.T) {
	is := is.New(t)
	s := newStore()
	before := New(Settings{Self: "a", Count: 1})
	before.ApplyList(0, 0, s.list())
	calls := before.Tick(0, alone)
	before.ApplyWriteResult(0, calls[0], s.do(calls[0].Object))
	before.Leave()
	calls = before.Tick(at(time.Second), alone)
	before.ApplyWriteResult(at(time.Second), calls[0], s.do(calls[0].Object))
	_, ok := before.OrderFence(at(time.Second), 0)
	is.True(!ok)

	other := New(Settings{Self: "b", Count: 1})
	other.ApplyList(at(2*time.Second), 0, s.list())
	is.Equal(len(other.Tick(at(2*time.Second), alone)), 0)

	restarted := New(Settings{Self: "a", Count: 1})
	restarted.ApplyList(at(2*time.Second), 0, s.list())
	calls = restarted.Tick(at(2*time.Second), alone)
	is.Equal(len(calls), 1)
	restarted.ApplyWriteResult(at(2*time.Second), calls[0], s.do(calls[0].Object))
	fence, ok := restarted.OrderFence(at(2*time.Second), 0)
	is.True(ok)
	is.Equal(fence, core.Fence(2))
}

func TestUnansweredRenewalDoesNotExtendLease(t *testing.T) {
	is := is.New(t)
	s := newStore()
	m := New(Settings{Self: "a", Count: 1, RenewInterval: 700 * time.Millisecond})
	m.ApplyList(0, 0, nil)
	first := m.Tick(0, alone)[0]
	m.ApplyWriteResult(0, first, s.do(first.Object))
	lost := m.Tick(at(time.Second), alone)[0]
	s.do(lost.Object)
	m.ApplyWriteResult(at(time.Second), lost, core.ObjectResult{Status: core.ObjectUnknown})
	_, ok := m.OrderFence(at(DefaultTerm), 0)
	is.True(!ok)
	again := m.Tick(at(DefaultTerm), alone)[0]
	m.ApplyWriteResult(at(DefaultTerm), again, s.do(again.Object)) // conflicts with its own renewal
	again = m.Tick(at(DefaultTerm+time.Second), alone)[0]
	m.ApplyWriteResult(at(DefaultTerm+time.Second), again, s.do(again.Object))
	_, ok = m.OrderFence(at(DefaultTerm+time.Second), 0)
	is.True(ok)
}

// Hosts pause, leave, restart, lose answers and read stale lists. Invariant: two hosts never
// order within 3 s of each other (OwnerGap is 3.3 s), and fencing numbers never fall.
func TestTwoOwnersNeverOrderWithinGap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step = 100 * time.Millisecond
		names := []core.HostID{"a", "b", "c"}
		s := newStore()
		machines := map[core.HostID]*Machine{}
		paused := map[core.HostID]int{}
		var stale []core.Object
		lastOrder := map[core.HostID]core.Instant{}
		var fences []core.Fence
		for i := range 400 {
			now := at(time.Duration(i) * step)
			if i%5 == 0 {
				stale = s.list()
			}
			for _, n := range names {
				if paused[n] > 0 {
					paused[n]--
					continue
				}
				switch rapid.IntRange(0, 60).Draw(rt, "fault") {
				case 0:
					paused[n] = rapid.IntRange(1, 80).Draw(rt, "sleep")
					continue
				case 1:
					machines[n] = nil
				}
				m := machines[n]
				if m == nil {
					m = New(Settings{Self: n, Count: 1})
					machines[n] = m
				}
				if rapid.IntRange(0, 30).Draw(rt, "path") == 0 {
					m.SetCutOff(rapid.Bool().Draw(rt, "cut off"))
				}
				if rapid.IntRange(0, 60).Draw(rt, "leaving") == 0 {
					m.Leave()
				}
				if i%10 == 0 || !m.listed {
					m.ApplyList(now, 0, stale)
				}
				for _, c := range m.Tick(now, func() []core.HostID { return names }) {
					result := s.do(c.Object)
					if rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
						result = core.ObjectResult{Status: core.ObjectUnknown}
					}
					m.ApplyWriteResult(now, c, result)
				}
				fence, ok := m.OrderFence(now, 0)
				if !ok {
					continue
				}
				for other, when := range lastOrder {
					if other != n && now.Sub(when) < 3*time.Second {
						rt.Fatalf("%s orders at %v, %s did at %v", n, now, other, when)
					}
				}
				if len(fences) > 0 && fence < fences[len(fences)-1] {
					rt.Fatalf("fencing number %d after %d", fence, fences[len(fences)-1])
				}
				fences = append(fences, fence)
				lastOrder[n] = now
			}
		}
	})
}

// An order must be given up when the lease ends, whenever it was decided.
func TestTimeLeftForOrdersEndsWithTheLease(t *testing.T) {
	is := is.New(t)
	s := newStore()
	m := New(Settings{Self: "a", Count: 1})
	is.Equal(m.OrderTimeLeft(0, 0), time.Duration(0))
	m.ApplyList(0, 0, s.list())
	calls := m.Tick(0, alone)
	m.ApplyWriteResult(at(time.Millisecond), calls[0], s.do(calls[0].Object))
	is.Equal(m.OrderTimeLeft(at(2*time.Second), 0), DefaultTerm-2*time.Second)
	is.Equal(m.OrderTimeLeft(at(2*DefaultTerm), 0), time.Duration(0))
}
