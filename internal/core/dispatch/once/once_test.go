package once

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
	"gentiancroft/internal/standin/platform"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const start = core.Instant(time.Hour)

// script runs one machine against a store and collects its decisions.
type script struct {
	now   core.Instant
	m     *Machine
	store *platform.Store
	last  map[core.RequestID]Decision
	runs  int
}

func newScript(store *platform.Store, host core.HostID) *script {
	return &script{now: start, m: New(host, core.NewRand(1)), store: store, last: map[core.RequestID]Decision{}}
}

// carryOut performs a result's calls and those that follow, until none is left.
func (s *script) carryOut(r Result) {
	for _, d := range r.Decisions {
		s.last[d.ID] = d
		if d.Kind == Run {
			s.runs++
		}
	}
	for _, c := range r.Calls {
		s.carryOut(s.m.HandleObject(s.now, s.store.Do(c)))
	}
}

func (s *script) begin(id core.RequestID, body uint64) Decision {
	s.carryOut(s.m.Begin(s.now, Request{ID: id, Workspace: "w", Key: "k", BodyHash: body}))
	return s.last[id]
}

func (s *script) finish(id core.RequestID, ran core.Ran) {
	s.carryOut(s.m.Finish(s.now, id, core.Outcome{Status: 201, Body: []byte("booked")}, ran))
}

func (s *script) advance(d time.Duration) {
	const step = 500 * time.Millisecond
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		s.carryOut(s.m.Tick(s.now, nil))
	}
}

func TestRepeatGetsTheRecordedOutcome(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a, b := newScript(store, "a"), newScript(store, "b")
	is.Equal(a.begin("1", 7).Kind, Run)
	is.Equal(store.TotalCalls(), 1) // one call before the dispatch

	early := b.begin("2", 7) // the first attempt is running
	is.Equal(early.Refusal.Code, core.CodeOutcomeUnknown)
	is.Equal(early.Refusal.Ran, core.RanUnknown)
	is.True(early.Refusal.RetryAfter > 0)

	calls := store.TotalCalls()
	a.finish("1", core.RanYes)
	is.Equal(store.TotalCalls(), calls+1) // and one after it
	late := b.begin("3", 7)
	is.Equal(late.Kind, Replay)
	is.Equal(string(late.Outcome.Body), "booked")

	other := b.begin("4", 8)
	is.Equal(other.Refusal.Code, core.CodeIdempotencyKeyReused)
	is.Equal(other.Refusal.Ran, core.RanNo)
	is.Equal(a.runs+b.runs, 1)
}

func TestMissingKeyIsRefused(t *testing.T) {
	is := is.New(t)
	m := New("a", core.NewRand(1))
	r := m.Begin(start, Request{ID: "1", Workspace: "w"})
	is.Equal(len(r.Calls), 0)
	is.Equal(r.Decisions[0].Refusal.Code, core.CodeIdempotencyKeyRequired)
	is.Equal(r.Decisions[0].Refusal.Ran, core.RanNo)
}

func TestAnswerLostAfterTheRecordTookEffect(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	store.DropAnswers(1)
	is.Equal(a.begin("1", 7).Kind, Run) // read back: the record has its token
	store.DropAnswers(1)
	a.finish("1", core.RanYes)
	a.advance(time.Second)
	is.Equal(a.m.Pending(), 0)
	is.Equal(newScript(store, "b").begin("2", 7).Kind, Replay)
}

func TestStoreDownRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	store.SetDown(true)
	d := a.begin("1", 7)
	is.Equal(d.Refusal.Code, core.CodeStoreUnavailable)
	is.Equal(d.Refusal.Ran, core.RanNo)
	is.True(d.Refusal.RetryAfter > 0)
	is.Equal(a.m.Pending(), 0)
	store.SetDown(false)
	is.Equal(a.begin("2", 7).Kind, Run)
}

func TestOutcomeOutlivesATenMinuteOutage(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.begin("1", 7)
	store.SetDown(true)
	a.finish("1", core.RanYes)
	before := store.TotalCalls()
	a.advance(10 * time.Minute)
	is.True(store.TotalCalls()-before < 60) // backoff
	store.SetDown(false)
	a.advance(time.Minute)
	is.Equal(newScript(store, "b").begin("2", 7).Kind, Replay)
}

func TestReleasedRecordLetsARepeatRun(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a, b := newScript(store, "a"), newScript(store, "b")
	a.begin("1", 7)
	store.DropAnswers(1) // the delete takes effect, its answer is lost
	a.finish("1", core.RanNo)
	is.Equal(b.begin("2", 7).Kind, Run)
	a.advance(time.Minute) // the delete is retried and must not remove b's record
	is.Equal(a.begin("3", 7).Refusal.Ran, core.RanUnknown)
}

func TestCrashBetweenRecordAndOutcome(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	newScript(store, "a").begin("1", 7) // and the host crashes
	d := newScript(store, "b").begin("2", 7)
	is.Equal(d.Refusal.Code, core.CodeOutcomeUnknown)
	is.Equal(d.Refusal.Ran, core.RanUnknown)
}

func TestCallerGoneBeforeTheRecord(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	r := a.m.Begin(a.now, Request{ID: "1", Workspace: "w", Key: "k", BodyHash: 7})
	a.carryOut(a.m.Cancel(a.now, "1"))
	a.carryOut(r) // the create's result arrives after the caller has gone
	is.Equal(a.runs, 0)
	is.Equal(newScript(store, "b").begin("2", 7).Kind, Run) // no record was left
}

func TestLargeOutcomeIsNotKept(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	a := newScript(store, "a")
	a.begin("1", 7)
	a.carryOut(a.m.Finish(a.now, "1", core.Outcome{Status: 200, Body: make([]byte, MaxOutcomeBytes+1)}, core.RanYes))
	d := a.begin("2", 7)
	is.Equal(d.Refusal.Ran, core.RanYes)
}

// attempt is one Begin of the property test.
type attempt struct {
	host        int
	id          core.RequestID
	incarnation int
	running     bool
}

// world is a set of hosts whose calls and results are delayed, lost and reordered.
type world struct {
	now          core.Instant
	store        *platform.Store
	machines     []*Machine
	incarnations []int
	calls        []inFlightCall
	results      []inFlightCall
	attempts     map[core.RequestID]*attempt
	order        []*attempt
	mayRan       int // dispatches that did not certainly end without having run
	serial       int
}

type inFlightCall struct {
	host, incarnation int
	call              core.ObjectCall
	result            core.ObjectResult
}

func (w *world) apply(t *rapid.T, host int, r Result) {
	for _, c := range r.Calls {
		w.calls = append(w.calls, inFlightCall{host: host, incarnation: w.incarnations[host], call: c})
	}
	for _, d := range r.Decisions {
		a := w.attempts[d.ID]
		switch d.Kind {
		case Run:
			a.running = true
			w.mayRan++
			if w.mayRan > 1 {
				t.Fatalf("%s is dispatched though another may have run", d.ID)
			}
		case Refuse:
			if d.Refusal.Ran == core.RanNo && a.running {
				t.Fatalf("%s is refused as not run, and ran", d.ID)
			}
		}
	}
}

func (w *world) step(t *rapid.T) {
	host := rapid.IntRange(0, len(w.machines)-1).Draw(t, "host")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		w.serial++
		a := &attempt{host: host, incarnation: w.incarnations[host], id: core.RequestID(rune('a' + w.serial))}
		w.attempts[a.id] = a
		w.order = append(w.order, a)
		w.apply(t, host, w.machines[host].Begin(w.now, Request{ID: a.id, Workspace: "w", Key: "k", BodyHash: 1}))
	case 2, 3, 4: // a call reaches the store
		if n := len(w.calls); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "call")
			f := w.calls[i]
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			f.result = w.store.Do(f.call)
			w.results = append(w.results, f)
		}
	case 5, 6: // a result arrives, or is lost
		if n := len(w.results); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "result")
			f := w.results[i]
			w.results = append(w.results[:i], w.results[i+1:]...)
			if f.incarnation != w.incarnations[f.host] {
				return
			}
			if rapid.Bool().Draw(t, "lost") {
				f.result = core.ObjectResult{Tag: f.result.Tag, Status: core.ObjectUnknown}
			}
			w.apply(t, f.host, w.machines[f.host].HandleObject(w.now, f.result))
		}
	case 7: // a dispatch ends, or its caller is gone
		for _, a := range w.order {
			if a.incarnation != w.incarnations[a.host] {
				continue
			}
			if !a.running {
				if rapid.Bool().Draw(t, "forget") {
					w.apply(t, a.host, w.machines[a.host].Cancel(w.now, a.id))
				}
				continue
			}
			ran := rapid.SampledFrom([]core.Ran{core.RanNo, core.RanYes, core.RanUnknown}).Draw(t, "ran")
			a.running = false
			if ran == core.RanNo {
				w.mayRan--
			}
			w.apply(t, a.host, w.machines[a.host].Finish(w.now, a.id, core.Outcome{Status: 200}, ran))
		}
	case 8: // a host is replaced
		w.incarnations[host]++
		w.machines[host] = New(core.HostID(rune('A'+host*10+w.incarnations[host])), core.NewRand(uint64(w.serial)))
	case 9:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
		w.apply(t, host, w.machines[host].Tick(w.now, nil))
	}
}

func TestAtMostOnceAtEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, store: platform.NewStore(), attempts: map[core.RequestID]*attempt{}}
		for i := range 3 {
			w.machines = append(w.machines, New(core.HostID(rune('A'+i*10)), core.NewRand(uint64(i))))
			w.incarnations = append(w.incarnations, 0)
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			if rapid.IntRange(0, 19).Draw(t, "outage") == 0 {
				w.store.SetDown(rapid.Bool().Draw(t, "down"))
			}
			w.step(t)
		}
	})
}
