// Package standin holds small stand-ins for what the system meets: engines,
// plain services, the object API, the weight store and the host list. They
// speak the published protocols and serve demos, tests and load runs.
package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gentiancroft/internal/upstream"
)

// EngineSettings shape a stand-in engine. Zero values take the defaults of the
// constants below; a zero duration is no time.
type EngineSettings struct {
	Name       string
	LoadTime   time.Duration // of one adapter load, where Weights is nil
	FirstToken time.Duration // prefill of an uncached prompt by an empty batch
	TokenTime  time.Duration // between tokens with one request in the batch
	Slowdown   float64       // share of TokenTime that each further request adds
	Slots      int           // adapters held at once
	Batch      int           // requests run at once
	Prefixes   int           // prompt heads cached
	ReportLag  time.Duration // how old a load report may be
	EventDelay time.Duration // how late cache events are
	EventGap   int           // every so many-th cache event is lost
	Restart    time.Duration // how long a crashed engine is away
	CheckFence bool          // refuses orders with an old fencing number
	Poison     string        // a prompt that holds it crashes the engine; "": none
	Weights    *WeightStore  // shared by engines; nil: loads take LoadTime
}

// Defaults of an engine.
const (
	defaultSlots    = 8
	defaultBatch    = 32
	defaultPrefixes = 64
	cachedPrefill   = 5 // a cached prompt head makes prefill so many times shorter
)

// Engine is a model engine that holds adapters and streams tokens.
type Engine struct {
	settings EngineSettings
	prefixes *prefixes

	mu         sync.Mutex
	batch      *batch
	life       context.Context // of this incarnation
	kill       context.CancelFunc
	number     int // of the incarnation
	away       time.Time
	adapters   map[string]int // running requests by adapter
	loading    map[string]bool
	fence      uint64 // highest seen
	faults     Faults
	traces     []*Trace
	violations int
	report     upstream.LoadReport
	reported   time.Time
}

// NewEngine returns an engine that holds no adapter.
func NewEngine(s EngineSettings) *Engine {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Batch == 0 {
		s.Batch = defaultBatch
	}
	if s.Prefixes == 0 {
		s.Prefixes = defaultPrefixes
	}
	e := &Engine{settings: s, prefixes: newPrefixes(s.Prefixes, s.EventDelay, s.EventGap)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begin()
	return e
}

// begin starts an incarnation that holds nothing; mu is held.
func (e *Engine) begin() {
	e.number++
	e.life, e.kill = context.WithCancel(context.Background())
	e.batch = &batch{size: e.settings.Batch}
	e.adapters = map[string]int{}
	e.loading = map[string]bool{}
	e.fence = 0
	e.reported = time.Time{}
	e.prefixes.clear()
}

// Crash drops every request and comes back empty, as a new incarnation, once
// the restart time has passed.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
	e.away = time.Now().Add(e.settings.Restart)
	e.begin()
}

// Set replaces the engine's faults.
func (e *Engine) Set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.reported = time.Time{}
}

// Traces returns what the engine saw, in order of arrival.
func (e *Engine) Traces() []Trace {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Trace, 0, len(e.traces))
	for _, t := range e.traces {
		out = append(out, *t)
	}
	return out
}

// Violations counts unloads of an adapter that was serving a request.
func (e *Engine) Violations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// Adapters returns the running requests of each adapter that the engine holds.
func (e *Engine) Adapters() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := make(map[string]int, len(e.adapters))
	for name, n := range e.adapters {
		held[name] = n
	}
	return held
}

// Handler serves the engine's HTTP interface and, under /admin/, its faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.up(e.complete))
	mux.HandleFunc("POST /v1/chat/completions", e.up(e.complete))
	mux.HandleFunc("POST /v1/load_lora_adapter", e.up(e.load))
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.up(e.unload))
	mux.HandleFunc("GET /load", e.up(e.poll))
	mux.HandleFunc("GET /cache_events", e.up(e.cacheEvents))
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) { setFaults(w, r, e.Set) })
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("GET /admin/trace", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Traces()) })
	return mux
}

// up drops connections while the engine is away after a crash.
func (e *Engine) up(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		away := time.Now().Before(e.away)
		e.mu.Unlock()
		if away {
			abort()
		}
		h(w, r)
	}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) incarnation() string { return fmt.Sprintf("%s/%d", e.settings.Name, e.number) }
