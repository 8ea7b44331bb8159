package shard

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

// restorable is a fake store that can be restored from a copy. Its era starts at 1.
type restorable struct {
	store
	era   uint64
	saved store
}

func newRestorable() *restorable { return &restorable{store: *newStore(), era: 1, saved: *newStore()} }

// save makes the copy that restore returns to.
func (s *restorable) save() { s.saved = store{version: s.version, objects: maps.Clone(s.objects)} }

func (s *restorable) restore() {
	s.store = store{version: s.saved.version, objects: maps.Clone(s.saved.objects)}
	s.era++
}

func (s *restorable) do(c core.ObjectCall) core.ObjectResult {
	result := s.store.do(c)
	result.Era, result.Object.Era = s.era, s.era
	return result
}

func (s *restorable) list() []core.Object {
	all := s.store.list()
	for i := range all {
		all[i].Era = s.era
	}
	return all
}

// record returns the lease of shard 0 as stored.
func (s *restorable) record(is *is.I) Record {
	is.Helper()
	var r Record
	is.NoErr(json.Unmarshal(s.objects[Prefix+"0"].Value, &r))
	return r
}

// member is one host in these tests, with a single shard.
type member struct {
	*Machine
	store *restorable
}

func (s *restorable) host(name core.HostID, joining bool) member {
	m := member{New(Settings{Self: name, Count: 1, Joining: joining}), s}
	m.SetEra(s.era, false)
	return m
}

// read lists the leases, after it has learned the era.
func (m member) read(now core.Instant) {
	m.SetEra(m.store.era, true)
	m.ApplyList(now, m.store.era, m.store.list())
}

// tick makes the due writes, and reports whether there was any.
func (m member) tick(now core.Instant) (wrote bool) {
	for _, c := range m.Tick(now, func() []core.HostID { return []core.HostID{m.settings.Self} }) {
		result := m.store.do(c.Object)
		m.SetEra(result.Era, true)
		m.ApplyWriteResult(now, c, result)
		wrote = true
	}
	return wrote
}

func (m member) mayOrder(now core.Instant) bool {
	_, ok := m.OrderFence(now, 0)
	return ok
}

const takeoverTime = DefaultTerm + DefaultOwnerGap

// The copy names the host that owned the shard before the present owner. It must not take
// the shard back at once, as a restarted owner does.
func TestFormerOwnerInACopyDoesNotOrder(t *testing.T) {
	is := is.New(t)
	s := newRestorable()
	former, owner := s.host("a", false), s.host("b", false)
	former.read(0)
	is.True(former.tick(0))
	s.save()
	owner.read(0)
	takeover := at(takeoverTime)
	is.True(owner.tick(takeover))
	lost := s.record(is)
	s.restore()
	former = s.host("a", true) // a new process
	former.read(takeover)
	is.True(!former.tick(takeover))
	owner.read(takeover.Add(time.Second))
	is.True(owner.tick(takeover.Add(time.Second))) // writes its lease again
	is.True(owner.mayOrder(takeover.Add(time.Second)))
	again := s.record(is)
	is.Equal(again.Owner, core.HostID("b"))
	is.True(again.Fence > lost.Fence)
	former.read(takeover.Add(2 * time.Second))
	is.True(!former.tick(takeover.Add(2 * time.Second)))
}

// The copy is older than the lease itself.
func TestMissingLeaseInACopyIsTakenOverAfterTheWholeTerm(t *testing.T) {
	is := is.New(t)
	s := newRestorable()
	s.save()
	owner, witness := s.host("a", false), s.host("b", false)
	witness.read(0) // it has seen no lease yet
	owner.read(0)
	is.True(owner.tick(0))
	s.restore()
	started := s.host("c", true)
	for _, m := range []member{witness, started} {
		m.read(at(time.Second))
		is.True(!m.tick(at(time.Second)))
		is.True(!m.tick(at(takeoverTime)))
	}
	is.True(witness.tick(at(time.Second + takeoverTime)))
	is.True(s.record(is).Fence > 1<<eraFenceBits)
}

func TestOwnerOfALostLeaseCreatesItAgain(t *testing.T) {
	is := is.New(t)
	s := newRestorable()
	s.save()
	owner := s.host("a", false)
	owner.read(0)
	is.True(owner.tick(0))
	before, _ := owner.OrderFence(0, 0)
	s.restore()
	owner.read(at(time.Second))
	is.True(owner.mayOrder(at(time.Second))) // its term still runs
	is.True(owner.tick(at(time.Second)))
	after, ok := owner.OrderFence(at(time.Second), 0)
	is.True(ok)
	is.True(after > before)
}

// A released lease in the copy may have been taken meanwhile.
func TestReleasedLeaseInACopyIsNotTakenOverEarly(t *testing.T) {
	is := is.New(t)
	s := newRestorable()
	first := s.host("a", false)
	first.read(0)
	is.True(first.tick(0))
	first.Leave()
	is.True(first.tick(at(time.Second)))
	s.save()
	s.restore()
	second := s.host("b", true)
	second.read(at(time.Second))
	is.True(!second.tick(at(time.Second + DefaultOwnerGap)))
	is.True(second.tick(at(time.Second + takeoverTime)))
}

// A conditional write that was sent before the restoration matches by chance: the restored
// store has given the lease's revision out again.
func TestWriteThatMatchesInAnotherEraGivesNoRightToOrder(t *testing.T) {
	is := is.New(t)
	s := newRestorable()
	s.save()
	owner := s.host("a", false)
	owner.read(0)
	is.True(owner.tick(0))
	s.restore()
	other := s.host("b", false)
	other.read(0)
	is.True(other.tick(at(DefaultSuccessorDelay)))
	is.Equal(s.record(is).Owner, core.HostID("b"))
	late := at(2 * takeoverTime)
	is.True(owner.tick(late)) // its condition holds although another host's lease is stored
	is.Equal(s.record(is).Owner, core.HostID("a"))
	is.True(!owner.mayOrder(late))
	owner.read(late)
	is.True(!owner.tick(late.Add(time.Second)))
}

// Levels of the copy are from before tokens that were spent since.
func TestLevelsOfAnEarlierEraDoNotCount(t *testing.T) {
	is := is.New(t)
	s := newRestorable()
	owner := s.host("a", false)
	owner.SetLevels(func() map[core.WorkspaceID]float64 { return map[core.WorkspaceID]float64{"w": 1} })
	owner.read(0)
	is.True(owner.tick(0))
	s.save()
	s.restore()
	started := s.host("b", true)
	started.read(0)
	is.Equal(started.Levels(), nil)
	owner.read(0)
	is.True(owner.tick(0))
	started.read(at(time.Second))
	is.Equal(started.Levels(), map[core.WorkspaceID]float64{"w": 1})
}

// As TestTwoOwnersNeverOrderWithinGap, with a store that is restored from copies of any
// age up to 10 s. Hosts learn the era only from answers, and read lists of other moments.
func TestTwoOwnersNeverOrderWithinGapAcrossRestorations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step = 100 * time.Millisecond
		s := newRestorable()
		hosts := map[core.HostID]*member{}
		paused := map[core.HostID]int{}
		lastOrder := map[core.HostID]core.Instant{}
		saveAt := -1
		highest := core.Fence(0)
		for i := range 500 {
			now := at(time.Duration(i) * step)
			if saveAt < i && rapid.IntRange(0, 40).Draw(rt, "save") == 0 {
				s.save()
				saveAt = i + rapid.IntRange(1, 100).Draw(rt, "age")
			}
			if i == saveAt {
				s.restore()
			}
			for _, name := range []core.HostID{"a", "b", "c"} {
				if paused[name] > 0 {
					paused[name]--
					continue
				}
				switch rapid.IntRange(0, 60).Draw(rt, "fault") {
				case 0:
					paused[name] = rapid.IntRange(1, 120).Draw(rt, "pause")
					continue
				case 1:
					delete(hosts, name)
				}
				if hosts[name] == nil {
					m := s.host(name, i > 0)
					hosts[name] = &m
				}
				m := hosts[name]
				if rapid.IntRange(0, 30).Draw(rt, "path") == 0 {
					m.SetCutOff(rapid.Bool().Draw(rt, "cut off"))
				}
				if rapid.IntRange(0, 60).Draw(rt, "leaving") == 0 {
					m.Leave()
				}
				if !m.listed || rapid.IntRange(0, 9).Draw(rt, "read") == 0 {
					m.read(now)
				}
				m.tick(now)
				fence, ok := m.OrderFence(now, 0)
				if !ok {
					continue
				}
				for other, when := range lastOrder {
					if other != name && now.Sub(when) < 3*time.Second {
						rt.Fatalf("%s orders at %v, %s did at %v", name, now, other, when)
					}
				}
				if fence < highest {
					rt.Fatalf("fencing number %d after %d", fence, highest)
				}
				highest = fence
				lastOrder[name] = now
			}
		}
	})
}
