package adapters

import (
	"container/heap"
	"time"
)

// Timing of the engine and store model. Load time and its limit are the
// brief's; the rest is stated with the figures.
const (
	batchPlaces  = 32
	stepBase     = 20 * time.Millisecond // between tokens of a lone request
	stepPerRun   = 500 * time.Microsecond
	prefillTime  = 80 * time.Millisecond
	loadTime     = 250 * time.Millisecond
	fullSpeed    = 8 // loads in transit
	unloadTime   = 5 * time.Millisecond
	linkTime     = 1500 * time.Microsecond
	storeBurst   = 1.0
	reportLag    = 200 * time.Millisecond
	pollInterval = time.Second
)

// store is the weight store: a rate, and loads that slow each other down.
type store struct {
	clock   *clock
	rate    float64 // loads per second
	tokens  float64
	at      time.Duration
	transit int
	waiting []func()
	armed   bool
	loads   int
}

func (s *store) accrue() {
	s.tokens = min(s.tokens+s.rate*(s.clock.now-s.at).Seconds(), storeBurst)
	s.at = s.clock.now
}

// load calls done when the weights have arrived.
func (s *store) load(done func()) {
	s.waiting = append(s.waiting, done)
	s.pump()
}

func (s *store) pump() {
	const nearlyOne = 1 - 1e-9
	s.accrue()
	for len(s.waiting) > 0 && s.tokens >= nearlyOne {
		s.tokens--
		done := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.transit++
		s.loads++
		slowed := max(1, float64(s.transit)/fullSpeed)
		s.clock.after(time.Duration(float64(loadTime)*slowed), func() {
			s.transit--
			done()
		})
	}
	if len(s.waiting) == 0 || s.armed {
		return
	}
	s.armed = true
	s.clock.after(time.Duration((1-s.tokens)/s.rate*float64(time.Second))+time.Microsecond, func() {
		s.armed = false
		s.pump()
	})
}

// run is one request in an engine's batch.
type run struct {
	adapter int
	left    float64 // engine progress at which it ends
	done    func(ok bool)
}

type runs []*run

func (h runs) Len() int           { return len(h) }
func (h runs) Less(i, j int) bool { return h[i].left < h[j].left }
func (h runs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *runs) Push(x any) { *h = append(*h, x.(*run)) }

// Pop implements heap.Interface.
func (h *runs) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// engine batches continuously: every request in the batch gains one token a
// step, and a step takes longer the more there are.
type engine struct {
	clock       *clock
	id          int
	incarnation int
	holds       map[int]bool
	running     map[int]int // by adapter
	batch       runs
	progress    float64 // tokens that a request of the whole run would have
	at          time.Duration
	version     int           // of the armed end
	busy        time.Duration // with at least one running
	work        float64       // seconds times batch size
}

func newEngine(c *clock, id int) *engine {
	return &engine{clock: c, id: id, holds: map[int]bool{}, running: map[int]int{}}
}

func (e *engine) step() time.Duration {
	return stepBase + time.Duration(len(e.batch))*stepPerRun
}

func (e *engine) advance() {
	passed := e.clock.now - e.at
	e.at = e.clock.now
	if len(e.batch) == 0 {
		return
	}
	e.progress += float64(passed) / float64(e.step())
	if e.clock.now >= warmUp {
		e.busy += passed
		e.work += passed.Seconds() * float64(len(e.batch))
	}
}

// start runs a request; it returns false where the adapter is not held.
func (e *engine) start(adapter int, tokens float64, done func(ok bool)) bool {
	if !e.holds[adapter] {
		return false
	}
	e.advance()
	e.running[adapter]++
	tokens += float64(prefillTime) / float64(stepBase)
	heap.Push(&e.batch, &run{adapter: adapter, left: e.progress + tokens, done: done})
	e.arm()
	return true
}

func (e *engine) arm() {
	e.version++
	if len(e.batch) == 0 {
		return
	}
	v := e.version
	in := time.Duration((e.batch[0].left - e.progress) * float64(e.step()))
	e.clock.after(in, func() {
		if v == e.version {
			e.finish()
		}
	})
}

func (e *engine) finish() {
	const nearly = 1e-6
	e.advance()
	for len(e.batch) > 0 && e.batch[0].left <= e.progress+nearly {
		r := heap.Pop(&e.batch).(*run)
		e.drop(r.adapter)
		r.done(true)
	}
	e.arm()
}

func (e *engine) drop(adapter int) {
	if e.running[adapter]--; e.running[adapter] == 0 {
		delete(e.running, adapter)
	}
}

// restart loses every adapter and request.
func (e *engine) restart() {
	e.advance()
	lost := e.batch
	e.batch = nil
	e.incarnation++
	e.holds, e.running = map[int]bool{}, map[int]int{}
	e.arm()
	for _, r := range lost {
		r.done(false)
	}
}
