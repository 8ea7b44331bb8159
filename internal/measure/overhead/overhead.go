// Package overhead measures what one entry host adds to a request. Unlike the
// other measurements it runs in real time over loopback, with caller, host and
// engine in one process, so its figures vary from run to run.
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

// Error is the class of failures of this measurement.
var Error = errs.Class("measure overhead")

// Measure is listed by the command line.
var Measure = measure.Measure{
	Name:  "overhead",
	Short: "What one entry host adds to a request (real time, over loopback)",
	Run:   func(seed uint64) (measure.Report, error) { return run(seed, full) },
}

// sizes of a run.
type sizes struct {
	pairs    int           // of a direct request and one through the host
	hangUps  int           // callers that hang up in each phase
	saturate time.Duration // of each closed loop
	peers    int           // that one host is linked with
	payloads int           // between two hosts
}

var full = sizes{pairs: 300, hangUps: 300, saturate: 4 * time.Second, peers: linkPeers, payloads: linkBatch}

const (
	warmUps   = 20
	tokens    = 16
	readyTime = 20 * time.Second
	// needed is the target's peak of 2,400 requests a second over 350 hosts.
	needed = 2400.0 / 350
)

func run(seed uint64, s sizes) (measure.Report, error) {
	report := measure.Report{Name: "overhead (real time, loopback, one process)", Seed: seed}
	f, err := start()
	if err != nil {
		return report, err
	}
	defer f.stop()
	for _, part := range []func(*fleet, sizes) ([]measure.Table, []measure.Target, error){streamed, hangUps, saturation, links} {
		tables, targets, err := part(f, s)
		if err != nil {
			return report, err
		}
		report.Tables = append(report.Tables, tables...)
		report.Targets = append(report.Targets, targets...)
	}
	return report, nil
}

// times of one streamed request.
type times struct{ first, total time.Duration }

// streamed alternates between the engine itself, a bare relay of bytes, the
// callers' interface alone and the whole host, so that all see the same machine.
func streamed(f *fleet, s sizes) ([]measure.Table, []measure.Target, error) {
	alone, stop, err := f.startAlone()
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	bare, err := startRelay(f.engine)
	if err != nil {
		return nil, nil, err
	}
	defer bare.stop()
	ways := []struct{ address, model string }{
		{f.engine, adapterName + "@1"}, {bare.address(), adapterName + "@1"}, {alone, adapterName}, {f.host, adapterName},
	}
	took := make([][]times, len(ways))
	for i := range s.pairs + warmUps {
		for w, way := range ways {
			t, err := f.request(way.address, way.model)
			if err != nil {
				return nil, nil, err
			}
			if i >= warmUps {
				took[w] = append(took[w], t)
			}
		}
	}
	return []measure.Table{compare(took)}, nil, nil
}

func compare(took [][]times) measure.Table {
	table := measure.Table{
		Title:   "streamed request of 16 tokens, 1 ms to the first (cached prompt) and 1 ms between",
		Columns: []string{"direct µs", "bare relay µs", "entry alone µs", "whole host µs", "added µs", "ratio"},
	}
	first := func(t times) time.Duration { return t.first }
	total := func(t times) time.Duration { return t.total }
	for _, q := range []struct {
		name  string
		at    float64
		value func(times) time.Duration
	}{{"first token p50", 0.50, first}, {"first token p99", 0.99, first}, {"whole answer p50", 0.50, total}, {"whole answer p99", 0.99, total}} {
		row := measure.Row{Label: q.name}
		for _, way := range took {
			row.Values = append(row.Values, quantile(way, q.at, q.value))
		}
		direct, host := row.Values[0], row.Values[len(took)-1]
		row.Values = append(row.Values, host-direct, host/direct)
		table.Rows = append(table.Rows, row)
	}
	return table
}

// request makes one streamed request and times it.
func (f *fleet) request(address, model string) (times, error) {
	started := time.Now()
	a, err := f.client.Do(context.Background(), call(address, model, tokens))
	if err != nil {
		return times{}, Error.Wrap(err)
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		body, _ := upstream.ReadBody(a, upstream.MaxAnswerBytes)
		return times{}, Error.New("%s answered %d: %s", address, a.Status, body)
	}
	var t times
	lines := bufio.NewReader(a.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return times{}, Error.New("the answer of %s broke off: %w", address, err)
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

func call(address, model string, n int) upstream.Call {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "level of the reservoir", "max_tokens": n, "stream": true})
	return upstream.Call{
		Address: address, Method: "POST", Path: "/v1/completions", Body: body,
		Headers: []upstream.Header{{Name: "Authorization", Value: "Bearer " + callerKey}},
	}
}

// quantile is in microseconds.
func quantile[T any](all []T, at float64, value func(T) time.Duration) float64 {
	values := make([]time.Duration, 0, len(all))
	for _, x := range all {
		values = append(values, value(x))
	}
	slices.Sort(values)
	i := min(int(at*float64(len(values))), len(values)-1)
	return float64(values[i]) / float64(time.Microsecond)
}
