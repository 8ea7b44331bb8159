package relaynode

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// attemptRecord is what the effects have shown of a request.
type attemptRecord struct {
	open    *Dispatch // the attempt that has not ended
	mayRun  bool      // an attempt has ended that may have run
	decided bool      // the request has its final answer
}

// randomRun drives an owner by random events and records the attempts.
type randomRun struct {
	*host
	rng     *core.Rand
	records map[core.RequestID]*attemptRecord
	orders  []residency.Order
	faults  []string // broken guarantees
}

// randomAdapters are those that the requests of a random run name, more than a replica has slots for.
var randomAdapters = []core.AdapterID{"x", "y", "z", "u", "v", "w"}

// observe records the effects of the last step.
func (r *randomRun) observe() {
	for _, e := range r.out {
		switch e := e.(type) {
		case Dispatch:
			r.observeDispatch(e)
		case Refuse:
			a := r.record(e.ID)
			if e.Refusal.Ran == core.RanNo && (a.mayRun || a.open != nil) {
				r.faults = append(r.faults, fmt.Sprintf("%s refused as not run", e.ID))
			}
			a.decided = true
		case DeliverFailure:
			r.record(e.ID).decided = true
		case SendOrder:
			r.orders = append(r.orders, e.Order)
		}
	}
}

func (r *randomRun) observeDispatch(d Dispatch) {
	a := r.record(d.ID)
	switch {
	case a.open != nil:
		r.faults = append(r.faults, fmt.Sprintf("%s sent again while attempt %d was open", d.ID, a.open.Attempt))
	case a.mayRun && d.NonRepeatable:
		r.faults = append(r.faults, fmt.Sprintf("%s sent again though it may have run", d.ID))
	case a.decided:
		r.faults = append(r.faults, fmt.Sprintf("%s sent after its final answer", d.ID))
	}
	a.open = &d
}

func (r *randomRun) record(id core.RequestID) *attemptRecord {
	if r.records[id] == nil {
		r.records[id] = &attemptRecord{}
	}
	return r.records[id]
}

// next makes one random event.
func (r *randomRun) next() {
	r.now += time.Duration(r.rng.IntN(int(60 * time.Millisecond)))
	switch r.rng.IntN(9) {
	case 0, 1, 2:
		paths := []string{"/once-stream/q", "/stream/q", "/whole/q", "/act/q"}
		a := randomAdapters[r.rng.IntN(len(randomAdapters))]
		r.n++
		r.step(RequestArrived{
			ID: core.RequestID(fmt.Sprint("r", r.n)), Host: "h", Path: paths[r.rng.IntN(len(paths))],
			Model: model, Adapter: a, Prompt: 10, Tokens: 20, Timeout: 5 * time.Second,
		})
	case 3, 4:
		r.endOne()
	case 5:
		r.answerOrder()
	case 6:
		r.report()
	case 7:
		r.m.replicas.Get(r.engine()).OtherRequests = r.rng.IntN(5)
		return
	default:
		r.step(Tick{})
	}
	r.observe()
	r.acceptWrites() // so that its leases last
}

// endOne ends a random open attempt.
func (r *randomRun) endOne() {
	var open []*attemptRecord
	for _, a := range r.records {
		if a.open != nil {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		r.step(Tick{})
		return
	}
	slices.SortFunc(open, func(a, b *attemptRecord) int { return cmp.Compare(a.open.ID, b.open.ID) })
	a := open[r.rng.IntN(len(open))]
	kinds := []EndKind{EndOK, EndNotRun, EndNotRun, EndNotReached, EndAdapterMissing, EndBroken, EndError}
	kind := kinds[r.rng.IntN(len(kinds))]
	d := *a.open
	a.open = nil
	a.mayRun = a.mayRun || !slices.Contains([]EndKind{EndNotRun, EndNotReached, EndAdapterMissing}, kind)
	r.endAttempt(d, kind)
}

// answerOrder answers the oldest order.
func (r *randomRun) answerOrder() {
	if len(r.orders) == 0 {
		r.step(Tick{})
		return
	}
	o := r.orders[0]
	r.orders = r.orders[1:]
	outcomes := []residency.Outcome{residency.Accepted, residency.AlreadyDone, residency.AlreadyDone, residency.Conflict}
	r.step(OrderDone{OrderDone: residency.OrderDone{ID: o.ID, Outcome: outcomes[r.rng.IntN(len(outcomes))]}})
}

// engine returns a random engine.
func (r *randomRun) engine() core.UpstreamID {
	return core.UpstreamID(fmt.Sprint("e", 1+r.rng.IntN(3)))
}

// report makes an engine report two random adapters.
func (r *randomRun) report() {
	var loaded []core.AdapterRef
	for _, i := range []int{r.rng.IntN(3), 3 + r.rng.IntN(3)} {
		loaded = append(loaded, core.AdapterRef{ID: randomAdapters[i], Version: 1})
	}
	r.step(ReportReceived{Report: residency.Report{
		Replica: r.engine(), OK: true, Started: 1, Sequence: uint64(r.now), Models: []replicas.Model{{Name: model, Version: 1, Adapters: loaded}},
	}})
}

// Guards against requests that are sent although an attempt of theirs runs, may have run or
// has been refused, and against refusals that say "not run" of a request that may have run.
func TestRequestHasOneAttemptAtATime(t *testing.T) {
	const seeds, events = 100, 600
	for seed := range uint64(seeds) {
		r := &randomRun{host: newOwner(t), rng: core.NewRand(seed), records: map[core.RequestID]*attemptRecord{}}
		for range events {
			r.next()
		}
		if len(r.faults) > 0 {
			t.Errorf("seed %d: %d faults, the first: %s", seed, len(r.faults), r.faults[0])
		}
	}
}
