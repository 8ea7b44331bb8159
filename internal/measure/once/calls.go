package once

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/once"
	"gentiancroft/internal/measure"
	"gentiancroft/internal/standin/platform"
)

// onceHost runs one host's machine against a store.
type onceHost struct {
	now     core.Instant
	machine *once.Machine
	store   *platform.Store
	runs    int
}

func newOnceHost(store *platform.Store, host core.HostID, seed uint64) *onceHost {
	return &onceHost{now: core.Instant(time.Hour), machine: once.New(host, core.NewRand(seed)), store: store}
}

// execute counts the runs of a result, carries out its calls and applies their
// results.
func (k *onceHost) execute(r once.Result) {
	for _, d := range r.Decisions {
		if d.Kind == once.Run {
			k.runs++
		}
	}
	for _, c := range r.Calls {
		k.execute(k.machine.HandleObject(k.now, k.store.Do(c)))
	}
}

func (k *onceHost) begin(id core.RequestID, body uint64) {
	k.execute(k.machine.Begin(k.now, once.Request{ID: id, Workspace: "w", Key: "k", BodyHash: body}))
}

func (k *onceHost) finish(id core.RequestID, ran core.Ran) {
	k.execute(k.machine.Finish(k.now, id, core.Outcome{Status: 200, Body: []byte("ok")}, ran))
}

// advance runs the host's ticks for a time.
func (k *onceHost) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		k.now = k.now.Add(step)
		k.execute(k.machine.Tick(k.now, nil))
	}
}

// callCases are the possible outcomes of a request. Each returns the object
// calls before and after the answer to the caller.
var callCases = []struct {
	label string
	run   func(a, b *onceHost) (before, after int)
}{
	{"runs once", func(a, _ *onceHost) (int, int) {
		return countCalls(a, func() { a.begin("1", 1) }, func() { a.finish("1", core.RanYes) })
	}},
	{"surely not run: record released", func(a, _ *onceHost) (int, int) {
		return countCalls(a, func() { a.begin("1", 1) }, func() { a.finish("1", core.RanNo) })
	}},
	{"answer of the create lost", func(a, _ *onceHost) (int, int) {
		a.store.DropAnswers(1)
		return countCalls(a, func() { a.begin("1", 1) }, func() { a.finish("1", core.RanYes) })
	}},
	{"answer of the outcome lost", func(a, _ *onceHost) (int, int) {
		return countCalls(a, func() { a.begin("1", 1) }, func() {
			a.store.DropAnswers(1)
			a.finish("1", core.RanYes)
			a.advance(time.Second)
		})
	}},
	{"repeat on another host, first try running", func(a, b *onceHost) (int, int) {
		a.begin("1", 1)
		return countCalls(b, func() { b.begin("2", 1) }, func() {})
	}},
	{"repeat on another host, outcome recorded", func(a, b *onceHost) (int, int) {
		a.begin("1", 1)
		a.finish("1", core.RanYes)
		return countCalls(b, func() { b.begin("2", 1) }, func() {})
	}},
	{"key reused for another body", func(a, b *onceHost) (int, int) {
		a.begin("1", 1)
		return countCalls(b, func() { b.begin("2", 2) }, func() {})
	}},
	{"store down", func(a, _ *onceHost) (int, int) {
		a.store.SetDown(true)
		return countCalls(a, func() { a.begin("1", 1) }, func() { a.advance(time.Second) })
	}},
	{"store down for 10 minutes after the run", func(a, _ *onceHost) (int, int) {
		return countCalls(a, func() { a.begin("1", 1) }, func() {
			a.store.SetDown(true)
			a.finish("1", core.RanYes)
			a.advance(10 * time.Minute)
			a.store.SetDown(false)
			a.advance(time.Minute)
		})
	}},
}

// countCalls returns the number of object calls of two stages.
func countCalls(k *onceHost, before, after func()) (int, int) {
	start := k.store.TotalCalls()
	before()
	middle := k.store.TotalCalls()
	after()
	return middle - start, k.store.TotalCalls() - middle
}

// callTable measures the object calls of each case.
func callTable(seed uint64) measure.Table {
	t := measure.Table{
		Title:   "Object API calls of a non-idempotent request (expiry adds 1 delete a record, and 256 lists and 1 write an hour for the fleet)",
		Columns: []string{"calls before the answer", "calls after", "runs"},
	}
	for _, c := range callCases {
		store := platform.NewStore()
		a, b := newOnceHost(store, "a", seed), newOnceHost(store, "b", seed+1)
		before, after := c.run(a, b)
		t.Rows = append(t.Rows, measure.Row{Label: c.label, Values: []float64{float64(before), float64(after), float64(a.runs + b.runs)}})
	}
	return t
}
