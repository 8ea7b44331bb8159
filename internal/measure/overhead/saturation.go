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

const workers = 64

// saturated is what a closed loop of workers got out of one address.
type saturated struct {
	rate   float64 // whole answers a second
	allocs float64 // of the whole process, an answer
	bytes  float64 // the same in KB
	failed int64
}

// saturation asks as fast as 64 callers can. The callers' and the engine's own
// allocations are taken off by measuring them without the host.
func saturation(f *fleet, s sizes) ([]measure.Table, []measure.Target, error) {
	direct, err := f.saturate(s, f.quick, adapterName+"@1", pathUsual)
	if err != nil {
		return nil, nil, err
	}
	through, err := f.saturate(s, f.host, adapterName, pathQuick)
	if err != nil {
		return nil, nil, err
	}
	table := measure.Table{
		Title:   "64 callers in a closed loop, answers of one token without delay",
		Columns: []string{"answers/s", "allocations per answer", "KB per answer", "refused or failed"},
		Rows: []measure.Row{
			{Label: "engine alone", Values: []float64{direct.rate, direct.allocs, direct.bytes, float64(direct.failed)}},
			{Label: "through the host", Values: []float64{through.rate, through.allocs, through.bytes, float64(through.failed)}},
			{Label: "host's own", Values: []float64{0, through.allocs - direct.allocs, through.bytes - direct.bytes, 0}},
		},
	}
	target := measure.Target{Name: "answers a second of one host", Bound: ">= 6.9 (2,400/s over 350 hosts)", Measured: through.rate, Met: through.rate >= needed}
	return []measure.Table{table}, []measure.Target{target}, nil
}

func (f *fleet) saturate(s sizes, address, model, path string) (saturated, error) {
	var whole, failed atomic.Int64
	var all sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), s.saturate)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	c := call(address, model, 1)
	c.Path = path
	for range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			for ctx.Err() == nil {
				if f.once(c) {
					whole.Add(1)
				} else {
					failed.Add(1)
				}
			}
		}()
	}
	all.Wait()
	took := time.Since(started)
	runtime.ReadMemStats(&after)
	if whole.Load() == 0 {
		return saturated{}, Error.New("%s gave no whole answer", address)
	}
	answers := float64(whole.Load() + failed.Load())
	return saturated{
		rate:   float64(whole.Load()) / took.Seconds(),
		allocs: float64(after.Mallocs-before.Mallocs) / answers,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / answers / 1024,
		failed: failed.Load(),
	}, nil
}

func (f *fleet) once(c upstream.Call) bool {
	a, err := f.client.Do(context.Background(), c)
	if err != nil {
		return false
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.Status == http.StatusOK
}
