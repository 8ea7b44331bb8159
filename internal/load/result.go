package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = int64(20 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// quantiles of Latency, in percent.
var quantiles = []float64{50, 95, 99, 99.9}

// Result is the result of a run.
type Result struct {
	mu         sync.Mutex
	count      int
	outcomes   map[string]int
	firstToken *hdrhistogram.Histogram // of requests with outcome ok
	total      *hdrhistogram.Histogram // of requests with outcome ok
	tokenGaps  *hdrhistogram.Histogram
	elapsed    time.Duration
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &Result{outcomes: map[string]int{}, firstToken: histogram(), total: histogram(), tokenGaps: histogram()}
}

func (r *Result) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
}

func (r *Result) record(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[s.outcome]++
	for _, g := range s.tokenGaps {
		_ = r.tokenGaps.RecordValue(g.Microseconds())
	}
	if s.outcome != outcomeOK {
		return
	}
	_ = r.firstToken.RecordValue(s.firstToken.Microseconds())
	_ = r.total.RecordValue(s.total.Microseconds())
}

func (r *Result) setElapsed(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed = elapsed
}

// RequestCount returns the number of requests offered.
func (r *Result) RequestCount() int { return r.count }

// OutcomeCount returns the number of requests with an outcome.
func (r *Result) OutcomeCount(name string) int { return r.outcomes[name] }

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Summary is a result as written in JSON.
type Summary struct {
	Requests          int            `json:"requests"`
	Seconds           float64        `json:"seconds"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	Outcomes          map[string]int `json:"outcomes"`
	FirstToken        Latency        `json:"first_token"`
	Total             Latency        `json:"total"`
	BetweenTokens     Latency        `json:"between_tokens"`
}

// Summary returns the summary of a result.
func (r *Result) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Requests:          r.count,
		Seconds:           r.elapsed.Seconds(),
		RequestsPerSecond: float64(r.count) / max(r.elapsed.Seconds(), time.Microsecond.Seconds()),
		Outcomes:          r.outcomes,
		FirstToken:        latency(r.firstToken),
		Total:             latency(r.total),
		BetweenTokens:     latency(r.tokenGaps),
	}
}

func latency(h *hdrhistogram.Histogram) Latency {
	const perMilli = 1000
	v := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMilli }
	return Latency{
		Count: h.TotalCount(),
		P50:   v(quantiles[0]), P95: v(quantiles[1]), P99: v(quantiles[2]), P999: v(quantiles[3]),
		Max: float64(h.Max()) / perMilli,
	}
}

// WriteJSON writes the summary as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r.Summary()) }

// WriteText writes the summary as text with tables.
func (r *Result) WriteText(w io.Writer) error {
	s := r.Summary()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d requests in %.1f s, %.1f a second\n\n", s.Requests, s.Seconds, s.RequestsPerSecond)
	fmt.Fprintln(t, "ms\tcount\tp50\tp95\tp99\tp99.9\tmax")
	for _, row := range []struct {
		name string
		l    Latency
	}{{"first token", s.FirstToken}, {"total", s.Total}, {"between tokens", s.BetweenTokens}} {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", row.name, row.l.Count, row.l.P50, row.l.P95, row.l.P99, row.l.P999, row.l.Max)
	}
	fmt.Fprintln(t, "\noutcome\tcount")
	names := make([]string, 0, len(s.Outcomes))
	for name := range s.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(t, "%s\t%d\n", name, s.Outcomes[name])
	}
	return t.Flush()
}
