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

type adapterOrder struct {
	Name string `json:"lora_name"`
}

// order reads an adapter order and checks its fencing number; "" where the
// order was answered already.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) string {
	var body adapterOrder
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Name == "" {
		http.Error(w, "no lora_name", http.StatusBadRequest)
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := headerNumber(r, "X-Fence")
	if e.settings.CheckFence && fence < e.fence {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return ""
	}
	e.fence = max(e.fence, fence)
	return body.Name
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	name := e.order(w, r)
	if name == "" {
		return
	}
	life, status := e.beginLoad(name)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	err := e.fetch(r.Context())
	if life.Err() != nil {
		abort()
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

// beginLoad takes a slot; the status is 0 where the load may begin.
func (e *Engine) beginLoad(name string) (context.Context, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.adapters[name]; held {
		return nil, http.StatusOK
	}
	if e.loading[name] || len(e.adapters)+len(e.loading) >= e.settings.Slots {
		return nil, http.StatusConflict
	}
	e.loading[name] = true
	return e.life, 0
}

func (e *Engine) fetch(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx) // an engine finishes a load whose asker hung up
	if e.settings.Weights != nil {
		return e.settings.Weights.Load(ctx)
	}
	supervise.Sleep(ctx, e.currentFaults().stretch(e.settings.LoadTime))
	return nil
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	name := e.order(w, r)
	if name == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n, held := e.adapters[name]
	if !held {
		http.Error(w, "the adapter is not loaded", http.StatusNotFound)
		return
	}
	if n > 0 {
		e.violations++
	}
	delete(e.adapters, name)
}

// poll answers with a load report that may be as old as the lag.
func (e *Engine) poll(w http.ResponseWriter, _ *http.Request) {
	if e.currentFaults().Mute {
		abort()
	}
	e.mu.Lock()
	if now := time.Now(); e.reported.IsZero() || now.Sub(e.reported) >= e.settings.ReportLag {
		e.report = e.present()
		e.reported = now
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

// present is the report as of now; mu is held.
func (e *Engine) present() upstream.LoadReport {
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
	writeJSON(w, e.prefixes.after(after))
}
