package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/exposition"
)

func (b *fixture) roundTrip(request string) (*http.Response, string) {
	c := b.dial()
	defer c.Close()
	c.send(request)
	r := c.response()
	body, err := io.ReadAll(r.Body)
	b.is.NoErr(err)
	return r, string(body)
}

func TestWholeStreamIsPassedOnAndCounted(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		event(w, `{"choices":[{"text":"a"}],"usage":null}`)
		event(w, `{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}`)
		event(w, "[DONE]")
	})
	r, body := b.roundTrip(post("/v1/completions", streamBody))
	b.is.Equal(r.Header.Get("X-Adapter"), "quotes@2")
	b.is.True(r.Header.Get("X-Request-Id") != "")
	b.is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
	e := b.nextEnded()
	b.is.Equal(e, node.AttemptEnded{ID: e.ID, Attempt: 1, Kind: node.EndOK, TokensUsed: 4, Counted: true, TokensReceived: 1})
}

func TestStreamThatIsNotWholeEndsWithATypedEvent(t *testing.T) {
	abort := core.Refusal{Code: core.CodeKeyWithdrawn, Message: "withdrawn", Ran: core.RanYes}
	for name, test := range map[string]struct {
		engine http.HandlerFunc
		abort  *core.Refusal
		code   core.Code
		kind   node.EndKind
	}{
		"without [DONE]":    {engine: func(http.ResponseWriter, *http.Request) {}, code: core.CodeStreamBroken, kind: node.EndBroken},
		"connection closed": {engine: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, code: core.CodeStreamBroken, kind: node.EndBroken},
		"error inside": {engine: func(w http.ResponseWriter, _ *http.Request) {
			event(w, `{"error":{"message":"out of memory"}}`)
			event(w, "[DONE]")
		}, code: core.CodeStreamBroken, kind: node.EndBroken},
		"incomplete event": {engine: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("data: [DONE]\n"))
		}, code: core.CodeStreamBroken, kind: node.EndBroken},
		"aborted": {engine: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, abort: &abort, code: core.CodeKeyWithdrawn, kind: node.EndCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{})
			b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				event(w, `{"choices":[{"text":"a"}]}`)
				<-begun // a failure before the first event would be retried
				test.engine(w, r)
			})
			c := b.dial()
			defer c.Close()
			c.send(post("/v1/completions", streamBody))
			r := c.response()
			c.readEvent(r)
			close(begun)
			if test.abort != nil {
				(<-b.exchange).abortWith(test.abort)
			}
			rest, err := io.ReadAll(r.Body)
			b.is.NoErr(err)
			b.is.True(!strings.Contains(string(rest), "[DONE]"))
			_, data, ok := strings.Cut(string(rest), "event: error\ndata: ")
			b.is.True(ok)
			var last errorBody
			b.is.NoErr(json.Unmarshal([]byte(data), &last))
			b.is.Equal(last.Error.Code, test.code)
			e := b.nextEnded()
			b.is.Equal(e.Kind, test.kind)
			b.is.Equal(e.Crashed, name == "connection closed")
		})
	}
}

func TestFailuresBeforeTheFirstByteAreReportedToTheNode(t *testing.T) {
	for name, test := range map[string]struct {
		first http.HandlerFunc
		end   node.AttemptEnded
	}{
		"missing": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, node.AttemptEnded{Kind: node.EndAdapterMissing}},
		"not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Ran", "no")
			w.WriteHeader(503)
		}, node.AttemptEnded{Kind: node.EndNotRun}},
		"failed":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, node.AttemptEnded{Kind: node.EndFailed}},
		"dropped":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, node.AttemptEnded{Kind: node.EndFailed, Crashed: true}},
		"no event": {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "text/event-stream") }, node.AttemptEnded{Kind: node.EndFailed}},
		"incomplete answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = w.Write([]byte("short"))
		}, node.AttemptEnded{Kind: node.EndFailed, Crashed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32 // incremented by goroutines of different connections
			b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					test.first(w, r)
					return
				}
				_, _ = w.Write([]byte(`{"usage":{"prompt_tokens":1,"completion_tokens":2}}`))
			})
			c := b.dial()
			defer c.Close()
			c.send(post("/v1/completions", `{"model":"quotes","prompt":"p"}`))
			arrived := b.next().(node.RequestArrived)
			test.end.ID, test.end.Attempt = arrived.ID, 1
			b.is.Equal(b.next(), test.end)
			(<-b.exchange).decisions <- b.dispatch(arrived.ID, 2)
			r := c.response() // the first attempt's failure is not sent to the caller
			b.is.Equal(r.StatusCode, 200)
			b.is.Equal(b.nextEnded(), node.AttemptEnded{ID: arrived.ID, Attempt: 2, Kind: node.EndOK, TokensUsed: 3, Counted: true, TokensReceived: 2})
		})
	}
}

// Guards against a refusal that says "not run" of a request that ran: on one connection an engine's
// rejection that came twice would pass for the answer to the next attempt, which has the same id.
func TestLaterAttemptsUseAnotherConnection(t *testing.T) {
	connections := make(chan string, 2)
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		connections <- r.RemoteAddr
		w.Header().Set("X-Ran", "no")
		w.WriteHeader(503)
	})
	c := b.dial()
	defer c.Close()
	c.send(post("/v1/completions", `{"model":"quotes","prompt":"p"}`))
	id := b.nextEnded().ID
	x := <-b.exchange
	x.decisions <- b.dispatch(id, 2)
	b.is.Equal(b.nextEnded().Kind, node.EndNotRun)
	x.decisions <- node.Refuse{Refusal: core.Refuse(core.CodeOverloaded, 1500e6, "full")}
	b.is.Equal(c.response().StatusCode, 503)
	first, second := <-connections, <-connections
	b.is.True(first != second)
}

func TestUnreachedUpstreamIsNotRun(t *testing.T) {
	b := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	b.upstream = "127.0.0.1:1"
	c := b.dial()
	defer c.Close()
	c.send(post("/v1/completions", streamBody))
	b.is.Equal(b.nextEnded().Kind, node.EndNotRun)
	(<-b.exchange).decisions <- node.Refuse{Refusal: core.Refuse(core.CodeNoUpstream, 1500e6, "none")}
	r := c.response()
	b.is.Equal(r.StatusCode, 503)
	b.is.Equal(r.Header.Get("Retry-After"), "2") // rounded up, so that a retry is not too early
	var body errorBody
	b.is.NoErr(json.NewDecoder(r.Body).Decode(&body))
	b.is.Equal(body.Error, errorDetail{Code: core.CodeNoUpstream, Message: "none", Ran: core.RanNo, RetryAfter: 1.5})
}

func TestReplayGivesTheRecordedOutcome(t *testing.T) {
	b := newFixture(t, nil)
	b.node.script = func(x *fakeExchange, a node.RequestArrived) {
		x.decisions <- node.ReplayOutcome{ID: a.ID, Outcome: core.Outcome{Status: 201, ContentType: "text/plain", Body: []byte("booked")}}
	}
	r, body := b.roundTrip(post("/bookings", "{}"))
	b.is.Equal(r.StatusCode, 201)
	b.is.Equal(body, "booked")
}

func TestLogHoldsNeitherKeyNorPrompt(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) })
	b.roundTrip(post("/v1/completions", `{"model":"quotes","prompt":"a secret bathroom"}`))
	b.is.Equal(len(b.logs.Entries), 1)
	text, err := json.Marshal(b.logs.Entries[0])
	b.is.NoErr(err)
	b.is.True(strings.Contains(string(text), `"workspace":"care-homes"`))
	b.is.True(strings.Contains(string(text), `"outcome":"ok"`))
	b.is.True(!strings.Contains(string(text), "secret") && !strings.Contains(string(text), testKey))
}

func TestExpositionLabelsUpstreams(t *testing.T) {
	b := newFixture(t, nil)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("upstream.drafter-0.calls", r).Inc(2)
	histogram("entry.total_us", r).Update(7)
	text := string(exposition.Text(r))
	b.is.True(strings.Contains(text, `gentiancroft_upstream_calls{upstream="drafter-0"} 2`))
	b.is.True(strings.Contains(text, `gentiancroft_entry_total_us{quantile="0.99"} 7`))
}

// Guards against an answer that is declared complete though nobody knows: where only the end of
// the connection marks its end, the caller's answer and its replays are marked by nothing else.
func TestEndThatOnlyTheConnectionMarksIsForwardedAsSuch(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nall or a part")
		_ = c.Close()
	})
	b.node.script = func(x *fakeExchange, a node.RequestArrived) {
		b.exchange <- x
		d := b.dispatch(a.ID, 1)
		d.BufferAnswer = true
		x.decisions <- d
	}
	checkUnmarked := func(r *http.Response, body string) {
		b.is.Helper()
		b.is.Equal(body, "all or a part")
		b.is.True(r.ContentLength == -1 && len(r.TransferEncoding) == 0 && r.Close)
		b.is.True(r.Header.Get("X-Request-Id") != "")
	}
	r, body := b.roundTrip(post("/v1/completions", `{"model":"quotes","prompt":"p"}`))
	checkUnmarked(r, body)
	recorded := b.nextEnded().Outcome
	b.is.True(recorded.EndUnmarked)

	b.node.script = func(x *fakeExchange, a node.RequestArrived) {
		x.decisions <- node.ReplayOutcome{ID: a.ID, Outcome: recorded}
	}
	r, body = b.roundTrip(post("/v1/completions", `{"model":"quotes","prompt":"p"}`))
	checkUnmarked(r, body)
	b.is.Equal(r.Header.Get("X-Replayed"), "true")
}
