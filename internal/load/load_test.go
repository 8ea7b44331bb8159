package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func options(target string) Options {
	return Options{
		Targets: []string{target}, Keys: []string{"k1", "k2"}, Path: "/v1/completions",
		RequestsPerSecond: 1000, MaxRequests: 50, Duration: time.Minute, RequestTimeout: 10 * time.Second,
		Adapters: []string{"a", "b", "c"}, ZipfExponent: 1.2, MaxTokens: 4, PromptBytes: 64, Seed: 1,
	}
}

// newFakeHost serves GET /v1/entries, which it counts, and completions by
// answer.
func newFakeHost(entries *atomic.Int32, answer func(w http.ResponseWriter, r *http.Request, adapter string)) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
		entries.Add(1)
		fmt.Fprintf(w, `{"entries":["8.8.8.8:1","127.0.0.1:1",%q],"keep_seconds":60}`, r.Host)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Model string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		answer(w, r, body.Model)
	})
	return httptest.NewServer(mux)
}

func writeToken(w http.ResponseWriter, adapter string) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"%s@1:0 \"}]}\n\n", adapter)
	w.(http.Flusher).Flush()
}

func TestOutcomesAreDistinguished(t *testing.T) {
	is := is.New(t)
	var entries, number atomic.Int32
	s := newFakeHost(&entries, func(w http.ResponseWriter, r *http.Request, adapter string) {
		switch number.Add(1) % 5 {
		case 0:
			w.WriteHeader(429)
			fmt.Fprint(w, `{"error":{"code":"rate_limited"}}`)
		case 1:
			writeToken(w, adapter)
			writeToken(w, adapter)
			fmt.Fprint(w, "data: [DONE]\n\n")
		case 2:
			writeToken(w, adapter)
			fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":\"stream_broken\"}}\n\n")
		case 3:
			writeToken(w, adapter) // ends without [DONE]
		case 4:
			writeToken(w, "other")
		}
	})
	defer s.Close()
	r, err := Run(context.Background(), options(strings.TrimPrefix(s.URL, "http://")))
	is.NoErr(err)
	is.Equal(r.Summary().Outcomes, map[string]int{"ok": 10, "rate_limited": 10, "cut: stream_broken": 10, outcomeIncomplete: 10, outcomeWrongAdapter: 10})
	is.Equal(r.Summary().FirstToken.Count, int64(10))
	var text bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.True(strings.Contains(text.String(), "rate_limited"))
}

func TestEntriesAreFetchedAndCached(t *testing.T) {
	is := is.New(t)
	var entries atomic.Int32
	s := newFakeHost(&entries, func(w http.ResponseWriter, _ *http.Request, adapter string) {
		writeToken(w, adapter)
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	defer s.Close()
	o := options(strings.TrimPrefix(s.URL, "http://"))
	o.UseEntries, o.MaxRequests, o.RequestsPerSecond, o.Keys = true, 3, 20, []string{"k1"}
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.Equal(r.OutcomeCount(outcomeOK), 3) // the first loopback address can't be reached
	is.True(entries.Load() >= 1)
}

func TestCancelledRequestsHangUp(t *testing.T) {
	is := is.New(t)
	var entries atomic.Int32
	s := newFakeHost(&entries, func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() })
	defer s.Close()
	o := options(strings.TrimPrefix(s.URL, "http://"))
	o.CancelFraction, o.MeanCancelDelay = 1, time.Millisecond
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.Equal(r.Summary().Outcomes, map[string]int{outcomeCancelled: o.MaxRequests})
}

func TestPlanIsSeededAndSkewed(t *testing.T) {
	is := is.New(t)
	o := options("127.0.0.1:1")
	o.MaxRequests = 10000
	draw := func() (plans []plan) {
		p := newPlanner(o)
		for r, ok := p.next(); ok; r, ok = p.next() {
			plans = append(plans, r)
		}
		return plans
	}
	plans := draw()
	is.Equal(plans, draw())
	counts := map[string]int{}
	for _, p := range plans {
		counts[p.adapter]++
	}
	is.True(counts["a"] > counts["b"] && counts["b"] > counts["c"])
	mean := plans[len(plans)-1].startOffset / time.Duration(len(plans))
	is.True(mean > 900*time.Microsecond && mean < 1100*time.Microsecond)
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*Options){
		func(o *Options) { o.Targets = []string{"10.0.0.1:80"} },
		func(o *Options) { o.Targets = []string{"localhost:80"} },
		func(o *Options) { o.MaxRequests = maxRequests + 1 },
		func(o *Options) { o.Duration = maxDuration + 1 },
		func(o *Options) { o.RequestsPerSecond = 0 },
		func(o *Options) { o.CancelFraction = 2 },
		func(o *Options) { o.ZipfExponent = 1 },
	} {
		o := options("127.0.0.1:1")
		change(&o)
		_, err := Run(context.Background(), o)
		is.True(Invalid.Has(err))
	}
}
