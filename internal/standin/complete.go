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
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

func (c completionRequest) prompt() string { return string(c.Prompt) + string(c.Messages) }

func (c completionRequest) tokens() int { return max(c.MaxTokens, c.MaxCompletionTokens) }

// engineRequest is one completion request inside an engine.
type engineRequest struct {
	engine         *Engine
	body           completionRequest
	batch          *batch // of the incarnation that admitted the request
	faults         Faults
	trace          *Trace
	ctx            context.Context // done when the caller disconnects or the incarnation ends
	incarnationCtx context.Context
	generated      int // tokens so far
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
	x, status := e.admit(r, body)
	if status != 0 {
		w.Header().Set("X-Ran", "no")
		http.Error(w, http.StatusText(status), status)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(x.incarnationCtx, cancel)()
	x.ctx = ctx
	outcome := x.serve(w, int(headerNumber(r, "X-Priority")))
	e.finish(x, outcome)
	if outcome == "crashed" {
		dropConnection()
	}
}

// admit records a trace and admits the request. It returns the HTTP status of
// the refusal, 0 if the request is admitted.
func (e *Engine) admit(r *http.Request, body completionRequest) (*engineRequest, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := &Trace{Request: r.Header.Get("X-Request-Id"), Adapter: body.Model, Path: r.URL.Path, Header: r.Header.Clone(), Started: time.Now(), Outcome: "running"}
	e.traces = append(e.traces, t)
	if len(e.traces) > maxTraces {
		e.traces = e.traces[1:]
	}
	_, loaded := e.adapters[body.Model]
	if e.faults.Refuse || !loaded {
		t.Outcome, t.Ended = "refused", t.Started
		if !loaded {
			return nil, http.StatusNotFound
		}
		return nil, http.StatusServiceUnavailable
	}
	e.adapters[body.Model]++
	return &engineRequest{engine: e, body: body, batch: e.batch, faults: e.faults, trace: t, incarnationCtx: e.incarnationCtx}, 0
}

// finish completes the trace and the adapter's count of running requests.
func (e *Engine) finish(x *engineRequest, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.trace.Ended = time.Now()
	x.trace.Outcome = outcome
	x.trace.Tokens = x.generated
	if n, ok := e.adapters[x.body.Model]; ok && e.incarnationCtx == x.incarnationCtx {
		e.adapters[x.body.Model] = n - 1
	}
}

// serve runs the request in the batch and returns its outcome, as in Trace.
func (x *engineRequest) serve(w http.ResponseWriter, priority int) string {
	s := x.engine.settings
	if s.PoisonPrompt != "" && strings.Contains(x.body.prompt(), s.PoisonPrompt) {
		x.engine.Crash()
		return "crashed"
	}
	if !x.batch.acquire(x.ctx, priority) {
		return x.interruptedOutcome()
	}
	defer x.batch.release()
	if x.faults.Hang {
		<-x.ctx.Done()
		return x.interruptedOutcome()
	}
	prefill := s.PrefillTime
	if x.engine.prefixes.lookupOrInsert(x.body.Model, x.body.prompt()) {
		prefill /= cachedPrefillSpeedup
	}
	if !supervise.Sleep(x.ctx, x.faults.slowed(prefill)) {
		return x.interruptedOutcome()
	}
	switch {
	case x.faults.DropAfterRun:
		return "crashed"
	case x.faults.FailAfterRun:
		http.Error(w, "failed", http.StatusInternalServerError)
		return "failed"
	}
	return x.generate(w)
}

// interruptedOutcome returns the outcome of a request whose context is done:
// the engine crashed or the caller cancelled.
func (x *engineRequest) interruptedOutcome() string {
	if x.incarnationCtx.Err() != nil {
		return "crashed"
	}
	return "cancelled"
}

// generate writes the tokens one by one and returns the outcome.
func (x *engineRequest) generate(w http.ResponseWriter) string {
	answer := answerWriter{w: w, stream: x.body.Stream}
	for i := range x.body.tokens() {
		if x.faults.BreakAfter > 0 && i >= x.faults.BreakAfter || x.adapterUnloaded() {
			return "crashed"
		}
		if i > 0 && !supervise.Sleep(x.ctx, x.tokenTime()) || x.ctx.Err() != nil {
			return x.interruptedOutcome()
		}
		answer.writeToken(fmt.Sprintf("%s:%d ", x.body.Model, i))
		x.generated = i + 1
	}
	answer.writeEnd(len(x.body.prompt())/4+1, x.body.tokens())
	return "done"
}

// tokenTime returns the time per token. It grows with the batch, since a step
// of a larger batch takes longer.
func (x *engineRequest) tokenTime() time.Duration {
	running, _ := x.batch.counts()
	s := x.engine.settings
	d := float64(s.TokenTime) * (1 + s.Slowdown*float64(running-1))
	return x.faults.slowed(time.Duration(d))
}

// adapterUnloaded reports whether the adapter was unloaded while the request
// was running.
func (x *engineRequest) adapterUnloaded() bool {
	x.engine.mu.Lock()
	defer x.engine.mu.Unlock()
	_, loaded := x.engine.adapters[x.body.Model]
	return !loaded && x.engine.incarnationCtx == x.incarnationCtx
}

// answerWriter writes an answer as server-sent events or as one JSON object.
type answerWriter struct {
	w      http.ResponseWriter
	stream bool
	text   strings.Builder
}

func (a *answerWriter) writeToken(text string) {
	if !a.stream {
		a.text.WriteString(text)
		return
	}
	a.w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(a.w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	a.w.(http.Flusher).Flush()
}

func (a *answerWriter) writeEnd(prompt, generated int) {
	usage := fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, prompt, generated)
	if a.stream {
		fmt.Fprintf(a.w, "data: {\"choices\":[],%s}\n\ndata: [DONE]\n\n", usage)
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(a.w, "{\"choices\":[{\"text\":%q}],%s}", a.text.String(), usage)
}
