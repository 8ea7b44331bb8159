package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"gentiancroft/internal/supervise"
)

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	MaxChat   int             `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
}

func (c completionRequest) prompt() string { return string(c.Prompt) + string(c.Messages) }

func (c completionRequest) tokens() int { return max(c.MaxTokens, c.MaxChat) }

// run is one request inside an engine.
type run struct {
	engine *Engine
	body   completionRequest
	batch  *batch // of the incarnation that took it
	faults Faults
	trace  *Trace
	ctx    context.Context // ends with the caller's connection or the incarnation
	life   context.Context
	tokens int // generated so far
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if named := r.Header.Get("X-Adapter"); named != "" && named != body.Model {
		http.Error(w, "X-Adapter and model name different adapters", http.StatusBadRequest)
		return
	}
	x, status := e.begun(r, body)
	if status != 0 {
		w.Header().Set("X-Ran", "no")
		http.Error(w, http.StatusText(status), status)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(x.life, cancel)()
	x.ctx = ctx
	outcome := x.serve(w, int(headerNumber(r, "X-Priority")))
	e.finish(x, outcome)
	if outcome == "crashed" {
		abort()
	}
}

// begun takes a request in, or says with which status it is refused.
func (e *Engine) begun(r *http.Request, body completionRequest) (*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := &Trace{Request: r.Header.Get("X-Request-Id"), Adapter: body.Model, Path: r.URL.Path, Header: r.Header.Clone(), Started: time.Now(), Outcome: "running"}
	e.traces = append(e.traces, t)
	if len(e.traces) > traceLimit {
		e.traces = e.traces[1:]
	}
	_, held := e.adapters[body.Model]
	if e.faults.Refuse || !held {
		t.Outcome, t.Ended = "refused", t.Started
		if !held {
			return nil, http.StatusNotFound
		}
		return nil, http.StatusServiceUnavailable
	}
	e.adapters[body.Model]++
	return &run{engine: e, body: body, batch: e.batch, faults: e.faults, trace: t, life: e.life}, 0
}

func (e *Engine) finish(x *run, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.trace.Ended = time.Now()
	x.trace.Outcome = outcome
	x.trace.Tokens = x.tokens
	if n, ok := e.adapters[x.body.Model]; ok && e.life == x.life {
		e.adapters[x.body.Model] = n - 1
	}
}

// serve runs a request in the batch and returns its outcome.
func (x *run) serve(w http.ResponseWriter, priority int) string {
	s := x.engine.settings
	if s.Poison != "" && strings.Contains(x.body.prompt(), s.Poison) {
		x.engine.Crash()
		return "crashed"
	}
	if !x.batch.enter(x.ctx, priority) {
		return x.ending()
	}
	defer x.batch.leave()
	if x.faults.Hang {
		<-x.ctx.Done()
		return x.ending()
	}
	prefill := s.FirstToken
	if x.engine.prefixes.use(x.body.Model, x.body.prompt()) {
		prefill /= cachedPrefill
	}
	if !supervise.Sleep(x.ctx, x.faults.stretch(prefill)) {
		return x.ending()
	}
	switch {
	case x.faults.Drop:
		return "crashed"
	case x.faults.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
		return "failed"
	}
	return x.generate(w)
}

// ending tells a crash from a cancelled request.
func (x *run) ending() string {
	if x.life.Err() != nil {
		return "crashed"
	}
	return "cancelled"
}

func (x *run) generate(w http.ResponseWriter) string {
	answer := writer{w: w, stream: x.body.Stream}
	for i := range x.body.tokens() {
		if x.faults.BreakAfter > 0 && i >= x.faults.BreakAfter || x.evicted() {
			return "crashed"
		}
		if i > 0 && !supervise.Sleep(x.ctx, x.tokenTime()) || x.ctx.Err() != nil {
			return x.ending()
		}
		answer.token(fmt.Sprintf("%s:%d ", x.body.Model, i))
		x.tokens = i + 1
	}
	answer.end(len(x.body.prompt())/4+1, x.body.tokens())
	return "done"
}

// tokenTime grows with the batch, as one step of it takes longer.
func (x *run) tokenTime() time.Duration {
	running, _ := x.batch.counts()
	s := x.engine.settings
	d := float64(s.TokenTime) * (1 + s.Slowdown*float64(running-1))
	return x.faults.stretch(time.Duration(d))
}

// evicted reports that the adapter was unloaded under the request.
func (x *run) evicted() bool {
	x.engine.mu.Lock()
	defer x.engine.mu.Unlock()
	_, held := x.engine.adapters[x.body.Model]
	return !held && x.engine.life == x.life
}

// writer gives an answer as events or as one JSON object.
type writer struct {
	w      http.ResponseWriter
	stream bool
	text   strings.Builder
}

func (a *writer) token(text string) {
	if !a.stream {
		a.text.WriteString(text)
		return
	}
	a.w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(a.w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	a.w.(http.Flusher).Flush()
}

func (a *writer) end(prompt, generated int) {
	usage := fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, prompt, generated)
	if a.stream {
		fmt.Fprintf(a.w, "data: {\"choices\":[],%s}\n\ndata: [DONE]\n\n", usage)
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(a.w, "{\"choices\":[{\"text\":%q}],%s}", a.text.String(), usage)
}
