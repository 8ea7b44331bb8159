// Package standin holds small stand-ins for what the system meets: engines,
// plain services, the object API, the weight store and the host list. They
// speak the published protocols and serve demos, tests and load runs.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// EngineSettings shape a stand-in engine.
type EngineSettings struct {
	Name       string
	LoadTime   time.Duration // of one adapter load
	FirstToken time.Duration
	TokenTime  time.Duration // between tokens
}

// Engine is a model engine that holds adapters and streams tokens.
type Engine struct {
	settings EngineSettings
	mu       sync.Mutex
	adapters map[string]int // running requests by adapter
}

// NewEngine returns an engine that holds no adapter.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{settings: s, adapters: map[string]int{}}
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	mux.HandleFunc("GET /load", e.report)
	return mux
}

type completionRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.Header.Get("X-Adapter")
	if !e.begin(name) {
		http.Error(w, "no adapter "+name, http.StatusNotFound)
		return
	}
	defer e.end(name)
	time.Sleep(e.settings.FirstToken)
	words := make([]string, 0, body.MaxTokens)
	if body.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := range body.MaxTokens {
		if r.Context().Err() != nil {
			return
		}
		word := fmt.Sprintf("%s:%d", name, i)
		words = append(words, word)
		if body.Stream {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", word+" ")
			w.(http.Flusher).Flush()
		}
		time.Sleep(e.settings.TokenTime)
	}
	usage := fmt.Sprintf(`"usage":{"prompt_tokens":1,"completion_tokens":%d}`, len(words))
	if body.Stream {
		fmt.Fprintf(w, "data: {\"choices\":[],%s}\n\ndata: [DONE]\n\n", usage)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"choices\":[{\"text\":%q}],%s}", strings.Join(words, " "), usage)
}

func (e *Engine) begin(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.adapters[name]
	if ok {
		e.adapters[name] = n + 1
	}
	return ok
}

func (e *Engine) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n, ok := e.adapters[name]; ok {
		e.adapters[name] = n - 1
	}
}

type adapterOrder struct {
	Name string `json:"lora_name"`
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var body adapterOrder
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(e.settings.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.adapters[body.Name]; !ok {
		e.adapters[body.Name] = 0
	}
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var body adapterOrder
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.adapters, body.Name)
}

type adapterCount struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
}

type loadReport struct {
	Incarnation string         `json:"incarnation"`
	Adapters    []adapterCount `json:"adapters"`
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := loadReport{Incarnation: e.settings.Name}
	for name, n := range e.adapters {
		r.Adapters = append(r.Adapters, adapterCount{Name: name, Running: n})
	}
	_ = json.NewEncoder(w).Encode(r)
}
