package adapters

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicamodel"
)

// Times and sizes of the engines that stream. A step generates a token of each request whose prompt
// has been read, and reads up to a chunk of the others' prompts.
const (
	streamPlaces     = 12
	streamSlots      = 8
	tokensPerEvent   = 8
	chunkTokens      = 2048
	readSpeed        = 38e3 // tokens a second
	streamStep       = 12 * time.Millisecond
	streamStepPlace  = 400 * time.Microsecond // added to a step by each request
	slowHardware     = 1.3                    // of every second engine
	transitsAtFull   = 48                     // loads from the weight store at once; more slow each other down
	adapterFetchTime = 250 * time.Millisecond
	adapterCopyTime  = 25 * time.Millisecond
)

// streamRun is a request at a streamEngine.
type streamRun struct {
	call       *streamCall
	unread     core.Tokens
	generated  int
	events     replicamodel.Stream
	firstEvent time.Duration
	lastEvent  time.Duration
	first      func()
	done       func(ok bool)
	cancelled  bool
}

// streamEngine is an engine whose steps are simulated one by one.
type streamEngine struct {
	clock    *clock
	slowness float64
	loaded   map[int]bool
	transits map[int]bool
	copies   map[int]bool // adapters that have been loaded before
	running  []*streamRun // the first streamPlaces of them; the others wait
	stepping bool
	sequence uint64 // accepted orders
	requests int    // begun
	busy     float64
}

func newStreamEngine(c *clock, slowness float64) *streamEngine {
	return &streamEngine{clock: c, slowness: slowness, loaded: map[int]bool{}, transits: map[int]bool{}, copies: map[int]bool{}}
}

// start adds a request.
func (e *streamEngine) start(r *streamRun) {
	e.requests++
	e.running = append(e.running, r)
	if !e.stepping {
		e.step()
	}
}

// uses reports whether a request runs or waits with an adapter.
func (e *streamEngine) uses(a int) bool {
	for _, r := range e.running {
		if r.call.adapter == a {
			return true
		}
	}
	return false
}

func (e *streamEngine) step() {
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	batch := e.running[:min(len(e.running), streamPlaces)]
	budget := core.Tokens(chunkTokens)
	var generating []*streamRun
	for _, r := range batch {
		if r.unread == 0 {
			generating = append(generating, r)
			continue
		}
		read := min(budget, r.unread)
		r.unread -= read
		budget -= read
	}
	read := float64(chunkTokens-budget) / readSpeed * float64(time.Second)
	d := time.Duration((float64(streamStep+time.Duration(len(batch))*streamStepPlace) + read) * e.slowness)
	e.busy += d.Seconds() * float64(len(batch))
	e.clock.after(d, func() { e.endStep(generating) })
}

func (e *streamEngine) endStep(generating []*streamRun) {
	for _, r := range generating {
		r.generated++
		if r.generated%tokensPerEvent == 0 || r.generated == r.call.output {
			e.sendEvent(r)
		}
	}
	var ended []*streamRun
	kept := e.running[:0]
	for _, r := range e.running {
		if r.cancelled || r.generated >= r.call.output {
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	for _, r := range ended {
		r.done(!r.cancelled)
	}
	e.step()
}

func (e *streamEngine) sendEvent(r *streamRun) {
	now := e.clock.now
	if r.events.Events++; r.events.Events == 1 {
		r.firstEvent = now
		r.first()
	} else {
		r.events.LargestGap = max(r.events.LargestGap, now-r.lastEvent)
	}
	r.lastEvent = now
	r.events.Lasted = now - r.firstEvent
}

// newStreamEngines returns the engines of the shift, which have adapters loaded as the first
// requests ask for them.
func newStreamEngines(c *clock, calls []streamCall) []*streamEngine {
	var engines []*streamEngine
	for i := range shiftReplicas {
		engines = append(engines, newStreamEngine(c, 1+float64(i%2)*(slowHardware-1)))
	}
	next := 0
	for _, call := range calls {
		if next >= shiftReplicas*streamSlots {
			break
		}
		e := engines[next%shiftReplicas]
		if !e.loaded[call.adapter] {
			e.loaded[call.adapter], e.copies[call.adapter] = true, true
			next++
		}
	}
	return engines
}
