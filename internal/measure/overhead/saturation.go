package overhead

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"gentiancroft/internal/measure"
	"gentiancroft/internal/upstream"
)

const closedLoopCallers = 64

// loopResult is the result of a closed loop of callers against one address.
type loopResult struct {
	answersPerSecond float64 // complete answers per second
	allocsPerAnswer  float64 // allocations of the whole process per answer
	kbPerAnswer      float64 // KB allocated by the whole process per answer
	failed           int64
}

// measureSaturation measures throughput and allocations under 64 callers in a
// closed loop. A loop against the engine alone gives the allocations of callers
// and engine, which are subtracted.
func measureSaturation(f *testbed, s sizes) ([]measure.Table, []measure.Target, error) {
	direct, err := f.runClosedLoop(s, f.quick, adapterName+"@1", pathUsual)
	if err != nil {
		return nil, nil, err
	}
	through, err := f.runClosedLoop(s, f.host, adapterName, pathQuick)
	if err != nil {
		return nil, nil, err
	}
	table := measure.Table{
		Title:   "64 callers in a closed loop, answers of one token without delay",
		Columns: []string{"answers/s", "allocations per answer", "KB per answer", "refused or failed"},
		Rows: []measure.Row{
			{Label: "engine alone", Values: []float64{direct.answersPerSecond, direct.allocsPerAnswer, direct.kbPerAnswer, float64(direct.failed)}},
			{Label: "through the host", Values: []float64{through.answersPerSecond, through.allocsPerAnswer, through.kbPerAnswer, float64(through.failed)}},
			{Label: "host's own", Values: []float64{0, through.allocsPerAnswer - direct.allocsPerAnswer, through.kbPerAnswer - direct.kbPerAnswer, 0}},
		},
	}
	target := measure.Target{Name: "answers a second of one host", Bound: ">= 6.9 (2,400/s over 350 hosts)", Measured: through.answersPerSecond, Met: through.answersPerSecond >= minAnswersPerSecond}
	return []measure.Table{table}, []measure.Target{target}, nil
}

// runClosedLoop runs a closed loop against one address. A loop without a
// complete answer is an error.
func (f *testbed) runClosedLoop(s sizes, address, model, path string) (loopResult, error) {
	var complete, failed atomic.Int64
	var running sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), s.loopDuration)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	c := completionCall(address, model, 1)
	c.Path = path
	for range closedLoopCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			for ctx.Err() == nil {
				if f.completes(c) {
					complete.Add(1)
				} else {
					failed.Add(1)
				}
			}
		}()
	}
	running.Wait()
	took := time.Since(started)
	runtime.ReadMemStats(&after)
	if complete.Load() == 0 {
		return loopResult{}, Error.New("%s gave no complete answer", address)
	}
	answers := float64(complete.Load() + failed.Load())
	return loopResult{
		answersPerSecond: float64(complete.Load()) / took.Seconds(),
		allocsPerAnswer:  float64(after.Mallocs-before.Mallocs) / answers,
		kbPerAnswer:      float64(after.TotalAlloc-before.TotalAlloc) / answers / 1024,
		failed:           failed.Load(),
	}, nil
}

// completes sends one request and reports whether it got a complete answer.
func (f *testbed) completes(c upstream.Call) bool {
	a, err := f.client.Do(context.Background(), c)
	if err != nil {
		return false
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.Status == http.StatusOK
}
