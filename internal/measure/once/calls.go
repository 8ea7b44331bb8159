package once

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/once"
	"gentiancroft/internal/measure"
	"gentiancroft/internal/standin/platform"
)

// keyed drives one host's machine against a store.
type keyed struct {
	now   core.Instant
	m     *once.Machine
	store *platform.Store
	runs  int
}

func newKeyed(store *platform.Store, host core.HostID, seed uint64) *keyed {
	return &keyed{now: core.Instant(time.Hour), m: once.New(host, core.NewRand(seed)), store: store}
}

// do carries out a result's calls and theirs.
func (k *keyed) do(r once.Result) {
	for _, d := range r.Decisions {
		if d.Kind == once.Run {
			k.runs++
		}
	}
	for _, c := range r.Calls {
		k.do(k.m.HandleObject(k.now, k.store.Do(c)))
	}
}

func (k *keyed) begin(id core.RequestID, body uint64) {
	k.do(k.m.Begin(k.now, once.Request{ID: id, Workspace: "w", Key: "k", BodyHash: body}))
}

func (k *keyed) finish(id core.RequestID, ran core.Ran) {
	k.do(k.m.Finish(k.now, id, core.Outcome{Status: 200, Body: []byte("ok")}, ran))
}

func (k *keyed) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		k.now = k.now.Add(step)
		k.do(k.m.Tick(k.now, nil))
	}
}

// callCases are what may become of a request; each gives calls before it is
// answered and calls after.
var callCases = []struct {
	label string
	run   func(a, b *keyed) (before, after int)
}{
	{"runs once", func(a, _ *keyed) (int, int) {
		return counted(a, func() { a.begin("1", 1) }, func() { a.finish("1", core.RanYes) })
	}},
	{"surely not run: record released", func(a, _ *keyed) (int, int) {
		return counted(a, func() { a.begin("1", 1) }, func() { a.finish("1", core.RanNo) })
	}},
	{"answer of the create lost", func(a, _ *keyed) (int, int) {
		a.store.DropAnswers(1)
		return counted(a, func() { a.begin("1", 1) }, func() { a.finish("1", core.RanYes) })
	}},
	{"answer of the outcome lost", func(a, _ *keyed) (int, int) {
		return counted(a, func() { a.begin("1", 1) }, func() {
			a.store.DropAnswers(1)
			a.finish("1", core.RanYes)
			a.pass(time.Second)
		})
	}},
	{"repeat on another host, first try running", func(a, b *keyed) (int, int) {
		a.begin("1", 1)
		return counted(b, func() { b.begin("2", 1) }, func() {})
	}},
	{"repeat on another host, outcome recorded", func(a, b *keyed) (int, int) {
		a.begin("1", 1)
		a.finish("1", core.RanYes)
		return counted(b, func() { b.begin("2", 1) }, func() {})
	}},
	{"key reused for another body", func(a, b *keyed) (int, int) {
		a.begin("1", 1)
		return counted(b, func() { b.begin("2", 2) }, func() {})
	}},
	{"store down", func(a, _ *keyed) (int, int) {
		a.store.SetDown(true)
		return counted(a, func() { a.begin("1", 1) }, func() { a.pass(time.Second) })
	}},
	{"store down for 10 minutes after the run", func(a, _ *keyed) (int, int) {
		return counted(a, func() { a.begin("1", 1) }, func() {
			a.store.SetDown(true)
			a.finish("1", core.RanYes)
			a.pass(10 * time.Minute)
			a.store.SetDown(false)
			a.pass(time.Minute)
		})
	}},
}

// counted counts the calls of two stages.
func counted(k *keyed, before, after func()) (int, int) {
	start := k.store.TotalCalls()
	before()
	middle := k.store.TotalCalls()
	after()
	return middle - start, k.store.TotalCalls() - middle
}

func callTable(seed uint64) measure.Table {
	t := measure.Table{
		Title:   "Object API calls of a non-idempotent request (expiry adds 1 delete a record, and 256 lists and 1 write an hour for the fleet)",
		Columns: []string{"calls before the answer", "calls after", "runs"},
	}
	for _, c := range callCases {
		store := platform.NewStore()
		a, b := newKeyed(store, "a", seed), newKeyed(store, "b", seed+1)
		before, after := c.run(a, b)
		t.Rows = append(t.Rows, measure.Row{Label: c.label, Values: []float64{float64(before), float64(after), float64(a.runs + b.runs)}})
	}
	return t
}
