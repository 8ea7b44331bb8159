package adapters

import (
	"container/heap"
	"time"
)

// Times and sizes of the engine and store model.
const (
	batchSize           = 32
	stepBase            = 20 * time.Millisecond  // of a step, without the part per request
	stepPerRequest      = 500 * time.Microsecond // added to a step by each request of the batch
	prefillTime         = 80 * time.Millisecond
	loadTime            = 250 * time.Millisecond
	maxLoadsAtFullSpeed = 8 // concurrent loads; more slow each other down
	unloadTime          = 5 * time.Millisecond
	linkDelay           = 1500 * time.Microsecond
	storeBurst          = 1.0
	reportLag           = 200 * time.Millisecond
	pollInterval        = time.Second
)

// weightStore is the weight store: it starts loads at a limited rate, and many
// at once slow each other down.
type weightStore struct {
	clock           *clock
	rate            float64       // loads per second
	tokens          float64       // loads that may start now
	accruedAt       time.Duration // time to which tokens has accrued
	loadsInProgress int
	waiting         []func()
	retryScheduled  bool
	loads           int // started
}

func (s *weightStore) accrue() {
	s.tokens = min(s.tokens+s.rate*(s.clock.now-s.accruedAt).Seconds(), storeBurst)
	s.accruedAt = s.clock.now
}

// load calls done once the weights are loaded.
func (s *weightStore) load(done func()) {
	s.waiting = append(s.waiting, done)
	s.startLoads()
}

// startLoads starts the loads that the rate allows, and schedules the next
// attempt.
func (s *weightStore) startLoads() {
	const nearlyOne = 1 - 1e-9
	s.accrue()
	for len(s.waiting) > 0 && s.tokens >= nearlyOne {
		s.tokens--
		done := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.loadsInProgress++
		s.loads++
		slowed := max(1, float64(s.loadsInProgress)/maxLoadsAtFullSpeed)
		s.clock.after(time.Duration(float64(loadTime)*slowed), func() {
			s.loadsInProgress--
			done()
		})
	}
	if len(s.waiting) == 0 || s.retryScheduled {
		return
	}
	s.retryScheduled = true
	s.clock.after(time.Duration((1-s.tokens)/s.rate*float64(time.Second))+time.Microsecond, func() {
		s.retryScheduled = false
		s.startLoads()
	})
}

// batchedRequest is one request in an engine's batch.
type batchedRequest struct {
	adapter     int
	endProgress float64 // progress of the engine at which it ends
	done        func(ok bool)
}

type runs []*batchedRequest

func (h runs) Len() int           { return len(h) }
func (h runs) Less(i, j int) bool { return h[i].endProgress < h[j].endProgress }
func (h runs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *runs) Push(x any) { *h = append(*h, x.(*batchedRequest)) }

// Pop implements heap.Interface.
func (h *runs) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// engine models continuous batching: each step adds one token to every request
// of the batch, and takes longer the larger the batch is.
type engine struct {
	clock       *clock
	id          int
	incarnation int
	loaded      map[int]bool
	running     map[int]int // by adapter
	batch       runs
	progress    float64       // steps so far
	advancedAt  time.Duration // time to which progress has advanced
	endVersion  int           // of the scheduled end; older ones are ignored
	busy        time.Duration // with a batch that is not empty
	work        float64       // integral of the batch size, in seconds
}

func newEngine(c *clock, id int) *engine {
	return &engine{clock: c, id: id, loaded: map[int]bool{}, running: map[int]int{}}
}

// step returns the time of a step at the current batch size.
func (e *engine) step() time.Duration {
	return stepBase + time.Duration(len(e.batch))*stepPerRequest
}

// advance updates progress and the batch statistics to the current time.
func (e *engine) advance() {
	passed := e.clock.now - e.advancedAt
	e.advancedAt = e.clock.now
	if len(e.batch) == 0 {
		return
	}
	e.progress += float64(passed) / float64(e.step())
	if e.clock.now >= warmUp {
		e.busy += passed
		e.work += passed.Seconds() * float64(len(e.batch))
	}
}

// start runs a request; it returns false if the adapter is not loaded.
func (e *engine) start(adapter int, tokens float64, done func(ok bool)) bool {
	if !e.loaded[adapter] {
		return false
	}
	e.advance()
	e.running[adapter]++
	tokens += float64(prefillTime) / float64(stepBase)
	heap.Push(&e.batch, &batchedRequest{adapter: adapter, endProgress: e.progress + tokens, done: done})
	e.scheduleEnd()
	return true
}

// scheduleEnd schedules the end of the request that ends first.
func (e *engine) scheduleEnd() {
	e.endVersion++
	if len(e.batch) == 0 {
		return
	}
	v := e.endVersion
	in := time.Duration((e.batch[0].endProgress - e.progress) * float64(e.step()))
	e.clock.after(in, func() {
		if v == e.endVersion {
			e.finish()
		}
	})
}

func (e *engine) finish() {
	const nearly = 1e-6
	e.advance()
	for len(e.batch) > 0 && e.batch[0].endProgress <= e.progress+nearly {
		r := heap.Pop(&e.batch).(*batchedRequest)
		e.requestEnded(r.adapter)
		r.done(true)
	}
	e.scheduleEnd()
}

func (e *engine) requestEnded(adapter int) {
	if e.running[adapter]--; e.running[adapter] == 0 {
		delete(e.running, adapter)
	}
}

// restart drops all adapters and fails all running requests.
func (e *engine) restart() {
	e.advance()
	lost := e.batch
	e.batch = nil
	e.incarnation++
	e.loaded, e.running = map[int]bool{}, map[int]int{}
	e.scheduleEnd()
	for _, r := range lost {
		r.done(false)
	}
}
