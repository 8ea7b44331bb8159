package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/upstream"

	"gentiancroft/internal/supervise"
)

// adapterOrder is the body of a load or unload order.
type adapterOrder struct {
	Name string `json:"lora_name"`
}

// readOrder reads a load or unload order, checks its fencing number and returns
// the adapter's name. It returns "" if it rejected the order and wrote the
// answer.
func (e *Engine) readOrder(w http.ResponseWriter, r *http.Request) string {
	var body adapterOrder
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Name == "" {
		http.Error(w, "the body has no lora_name", http.StatusBadRequest)
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := headerNumber(r, "X-Fence")
	if e.settings.CheckFence && fence < e.highestFence {
		http.Error(w, "the fencing number is outdated", http.StatusConflict)
		return ""
	}
	e.highestFence = max(e.highestFence, fence)
	return body.Name
}

// load handles a load order: it answers 409 if the order is rejected, 429 if
// the weight store refuses the load and 500 for an injected fault.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	name := e.readOrder(w, r)
	if name == "" {
		return
	}
	incarnation, status := e.reserveSlot(name)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	err := e.fetchWeights(r.Context())
	if incarnation.Err() != nil {
		dropConnection()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loading, name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	if e.faults.FailLoads > 0 {
		e.faults.FailLoads--
		http.Error(w, "the load failed", http.StatusInternalServerError)
		return
	}
	e.adapters[name] = 0
}

// reserveSlot reserves a slot for a load and returns the context of the
// incarnation. If no load is to start, it returns the status to answer: 200 if
// the adapter is loaded already, 409 if it is loading or no slot is free.
func (e *Engine) reserveSlot(name string) (context.Context, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, loaded := e.adapters[name]; loaded {
		return nil, http.StatusOK
	}
	if e.loading[name] || len(e.adapters)+len(e.loading) >= e.settings.AdapterSlots {
		return nil, http.StatusConflict
	}
	e.loading[name] = true
	return e.incarnationCtx, 0
}

// fetchWeights waits for the time that the load takes. It fails if the weight
// store refuses the load.
func (e *Engine) fetchWeights(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx) // an engine finishes a load even if the client disconnects
	if e.settings.Weights != nil {
		return e.settings.Weights.Load(ctx)
	}
	supervise.Sleep(ctx, e.currentFaults().slowed(e.settings.LoadTime))
	return nil
}

// unload handles an unload order. It unloads the adapter even under running
// requests, and counts that as a violation.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	name := e.readOrder(w, r)
	if name == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n, loaded := e.adapters[name]
	if !loaded {
		http.Error(w, "the adapter is not loaded", http.StatusNotFound)
		return
	}
	if n > 0 {
		e.violations++
	}
	delete(e.adapters, name)
}

// serveLoadReport answers with a load report that is up to ReportLag old.
func (e *Engine) serveLoadReport(w http.ResponseWriter, _ *http.Request) {
	if e.currentFaults().DropPolls {
		dropConnection()
	}
	e.mu.Lock()
	if now := time.Now(); e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.settings.ReportLag {
		e.report = e.currentReport()
		e.reportedAt = now
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

// currentReport returns an up-to-date load report. The caller holds mu.
func (e *Engine) currentReport() upstream.LoadReport {
	running, waiting := e.batch.counts()
	r := upstream.LoadReport{Incarnation: e.incarnation(), Running: running, Waiting: waiting, Leaving: e.faults.Leaving}
	for name, n := range e.adapters {
		r.Adapters = append(r.Adapters, upstream.AdapterRequests{Name: name, Running: n})
	}
	for name := range e.loading {
		r.Loading = append(r.Loading, name)
	}
	slices.SortFunc(r.Adapters, func(a, b upstream.AdapterRequests) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	slices.Sort(r.Loading)
	return r
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = 0
	}
	writeJSON(w, e.prefixes.eventsAfter(after))
}
