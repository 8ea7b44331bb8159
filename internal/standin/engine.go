// Package standin emulates the upstreams of the system for demos, tests and
// load runs: inference engines that load LoRA adapters, plain services, and the
// weight store that the engines load from. The emulators implement the
// published protocols and can inject faults. The object API and the host list
// are emulated in the package platform below it.
package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gentiancroft/internal/upstream"
)

// EngineSettings configure an emulated engine. AdapterSlots, BatchSize and
// PrefixCacheSize have defaults that replace zero; a zero duration means no delay.
type EngineSettings struct {
	Name              string
	LoadTime          time.Duration // of one adapter load; used if Weights is nil
	PrefillTime       time.Duration // prefill time of an uncached prompt
	TokenTime         time.Duration // time per token with one request in the batch
	Slowdown          float64       // fraction of TokenTime that each further request in the batch adds
	AdapterSlots      int           // maximum number of loaded adapters
	BatchSize         int           // maximum number of running requests
	PrefixCacheSize   int           // maximum number of cached prompt prefixes
	ReportLag         time.Duration // maximum age of a load report
	EventDelay        time.Duration // delay of cache events
	LostEventInterval int           // every LostEventInterval-th cache event is lost; 0: none
	RestartTime       time.Duration // time for which a crashed engine drops connections
	CheckFence        bool          // rejects load and unload orders with an outdated fencing number
	PoisonPrompt      string        // a prompt that contains it crashes the engine; "": none
	Weights           *WeightStore  // may be shared by engines; nil: a load takes LoadTime
}

// Defaults of EngineSettings, and the effect of the prefix cache.
const (
	defaultSlots         = 8
	defaultBatch         = 32
	defaultPrefixes      = 64
	cachedPrefillSpeedup = 5 // prefill time is divided by it if the prompt's prefix is cached
)

// Engine emulates an inference engine that loads adapters and streams tokens.
type Engine struct {
	settings EngineSettings
	prefixes *prefixCache

	mu                sync.Mutex
	batch             *batch
	incarnationCtx    context.Context // done when this incarnation ends
	endIncarnation    context.CancelFunc
	incarnationNumber int
	unavailableUntil  time.Time
	adapters          map[string]int // number of running requests by loaded adapter
	loading           map[string]bool
	highestFence      uint64 // highest fencing number received by this incarnation
	faults            Faults
	traces            []*Trace
	violations        int
	report            upstream.LoadReport
	reportedAt        time.Time
}

// NewEngine returns an engine without loaded adapters.
func NewEngine(s EngineSettings) *Engine {
	if s.AdapterSlots == 0 {
		s.AdapterSlots = defaultSlots
	}
	if s.BatchSize == 0 {
		s.BatchSize = defaultBatch
	}
	if s.PrefixCacheSize == 0 {
		s.PrefixCacheSize = defaultPrefixes
	}
	e := &Engine{settings: s, prefixes: newPrefixCache(s.PrefixCacheSize, s.EventDelay, s.LostEventInterval)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startIncarnation()
	return e
}

// startIncarnation starts a new incarnation without adapters, fencing number
// and cached prefixes. The caller holds mu.
func (e *Engine) startIncarnation() {
	e.incarnationNumber++
	e.incarnationCtx, e.endIncarnation = context.WithCancel(context.Background())
	e.batch = &batch{capacity: e.settings.BatchSize}
	e.adapters = map[string]int{}
	e.loading = map[string]bool{}
	e.highestFence = 0
	e.reportedAt = time.Time{}
	e.prefixes.clear()
}

// Crash aborts all requests and starts a new incarnation without adapters. The
// engine drops connections until the restart time has passed.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnation()
	e.unavailableUntil = time.Now().Add(e.settings.RestartTime)
	e.startIncarnation()
}

// SetFaults replaces the injected faults. The next load report is computed anew.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.reportedAt = time.Time{}
}

// Traces returns the latest completion requests, in order of arrival.
func (e *Engine) Traces() []Trace {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Trace, 0, len(e.traces))
	for _, t := range e.traces {
		out = append(out, *t)
	}
	return out
}

// Violations returns how often an adapter was unloaded while a request was
// using it.
func (e *Engine) Violations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// Adapters returns the number of running requests of each loaded adapter.
func (e *Engine) Adapters() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.adapters))
	for name, n := range e.adapters {
		counts[name] = n
	}
	return counts
}

// Handler serves the engine's HTTP interface and, under /admin/, fault
// injection and traces.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.whenAvailable(e.complete))
	mux.HandleFunc("POST /v1/chat/completions", e.whenAvailable(e.complete))
	mux.HandleFunc("POST /v1/load_lora_adapter", e.whenAvailable(e.load))
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.whenAvailable(e.unload))
	mux.HandleFunc("GET /load", e.whenAvailable(e.serveLoadReport))
	mux.HandleFunc("GET /cache_events", e.whenAvailable(e.cacheEvents))
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) { setFaults(w, r, e.SetFaults) })
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("GET /admin/trace", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Traces()) })
	return mux
}

// whenAvailable drops connections while the engine restarts after a crash.
func (e *Engine) whenAvailable(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		restarting := time.Now().Before(e.unavailableUntil)
		e.mu.Unlock()
		if restarting {
			dropConnection()
		}
		h(w, r)
	}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s/%d", e.settings.Name, e.incarnationNumber)
}
