// Package overhead measures the latency, allocations and memory that one entry
// host adds to a request. Unlike the other measurements it runs in real time
// over loopback, with caller, host and engine in one process, so its figures
// vary from run to run and only throughput has a target.
package overhead

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/measure"
	"gentiancroft/internal/upstream"
)

// Error is the class of errors of this measurement.
var Error = errs.Class("measure overhead")

// Measure is the measurement as the command line lists it.
var Measure = measure.Measure{
	Name:  "overhead",
	Short: "What one entry host adds to a request (real time, over loopback)",
	Run:   func(seed uint64) (measure.Report, error) { return run(seed, full) },
}

// sizes are the sample counts and durations of a run.
type sizes struct {
	rounds       int           // rounds of one request to each endpoint
	hangUps      int           // per phase of an answer
	loopDuration time.Duration // length of each closed loop
	peers        int           // hosts linked with the first one
	payloads     int           // sent from one host to another
}

var full = sizes{rounds: 300, hangUps: 300, loopDuration: 4 * time.Second, peers: linkedHosts, payloads: payloadCount}

const (
	warmUpRounds = 20 // not measured
	answerTokens = 16
	readyTimeout = 20 * time.Second
	// minAnswersPerSecond is one host's part of the target peak: 2,400
	// requests/s over 350 hosts.
	minAnswersPerSecond = 2400.0 / 350
)

func run(seed uint64, s sizes) (measure.Report, error) {
	report := measure.Report{Name: "overhead (real time, loopback, one process)", Seed: seed}
	f, err := start()
	if err != nil {
		return report, err
	}
	defer f.stop()
	for _, step := range []func(*testbed, sizes) ([]measure.Table, []measure.Target, error){measureStreaming, measureHangUps, measureSaturation, measureLinks} {
		tables, targets, err := step(f, s)
		if err != nil {
			return report, err
		}
		report.Tables = append(report.Tables, tables...)
		report.Targets = append(report.Targets, targets...)
	}
	return report, nil
}

// requestTimes are the latencies of one streamed request.
type requestTimes struct{ first, total time.Duration }

// measureStreaming compares latencies of the engine itself, a byte relay, the
// callers' interface alone and the whole host. It alternates between them, so
// that changes of the machine's load affect all alike.
func measureStreaming(f *testbed, s sizes) ([]measure.Table, []measure.Target, error) {
	alone, stop, err := f.startEntryOnly()
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	bare, err := startRelay(f.engine)
	if err != nil {
		return nil, nil, err
	}
	defer bare.stop()
	endpoints := []struct{ address, model string }{
		{f.engine, adapterName + "@1"}, {bare.address(), adapterName + "@1"}, {alone, adapterName}, {f.host, adapterName},
	}
	latencies := make([][]requestTimes, len(endpoints))
	for round := range s.rounds + warmUpRounds {
		for n, endpoint := range endpoints {
			t, err := f.request(endpoint.address, endpoint.model)
			if err != nil {
				return nil, nil, err
			}
			if round >= warmUpRounds {
				latencies[n] = append(latencies[n], t)
			}
		}
	}
	return []measure.Table{latencyTable(latencies)}, nil, nil
}

func latencyTable(latencies [][]requestTimes) measure.Table {
	table := measure.Table{
		Title:   "streamed request of 16 tokens, 1 ms to the first (cached prompt) and 1 ms between",
		Columns: []string{"direct µs", "bare relay µs", "entry alone µs", "whole host µs", "added µs", "ratio"},
	}
	first := func(t requestTimes) time.Duration { return t.first }
	total := func(t requestTimes) time.Duration { return t.total }
	for _, q := range []struct {
		name  string
		at    float64
		value func(requestTimes) time.Duration
	}{{"first token p50", 0.50, first}, {"first token p99", 0.99, first}, {"whole answer p50", 0.50, total}, {"whole answer p99", 0.99, total}} {
		row := measure.Row{Label: q.name}
		for _, endpoint := range latencies {
			row.Values = append(row.Values, quantile(endpoint, q.at, q.value))
		}
		direct, host := row.Values[0], row.Values[len(latencies)-1]
		row.Values = append(row.Values, host-direct, host/direct)
		table.Rows = append(table.Rows, row)
	}
	return table
}

// request sends one streamed request and measures its latencies.
func (f *testbed) request(address, model string) (requestTimes, error) {
	started := time.Now()
	a, err := f.client.Do(context.Background(), completionCall(address, model, answerTokens))
	if err != nil {
		return requestTimes{}, Error.Wrap(err)
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		body, _ := upstream.ReadBody(a, upstream.MaxAnswerBytes)
		return requestTimes{}, Error.New("%s answered %d: %s", address, a.Status, body)
	}
	var t requestTimes
	lines := bufio.NewReader(a.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return requestTimes{}, Error.New("the answer of %s ended early: %w", address, err)
		}
		if t.first == 0 {
			t.first = time.Since(started)
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			t.total = time.Since(started)
			_, err := io.Copy(io.Discard, lines)
			return t, Error.Wrap(err)
		}
	}
}

func completionCall(address, model string, n int) upstream.Call {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "level of the reservoir", "max_tokens": n, "stream": true})
	return upstream.Call{
		Address: address, Method: "POST", Path: "/v1/completions", Body: body,
		Headers: []upstream.Header{{Name: "Authorization", Value: "Bearer " + callerKey}},
	}
}

// quantile returns the quantile at (0 to 1) of the values, in microseconds.
func quantile[T any](all []T, at float64, value func(T) time.Duration) float64 {
	values := make([]time.Duration, 0, len(all))
	for _, x := range all {
		values = append(values, value(x))
	}
	slices.Sort(values)
	i := min(int(at*float64(len(values))), len(values)-1)
	return float64(values[i]) / float64(time.Microsecond)
}
