// Package load is an open-loop load tool: requests start at the times of a
// Poisson process whatever became of the earlier ones, and latencies count
// from those times, so that a slow system can't hide its queue.
package load

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/upstream"

	"gentiancroft/internal/supervise"
)

// Invalid is the class of options that can't be used.
var Invalid = errs.Class("load options")

// Bounds of one run.
const (
	maxRequests = 1_000_000
	maxDuration = 10 * time.Minute
	maxInFlight = 20_000
)

// Options of a run.
type Options struct {
	Targets  []string      // ip:port of hosts to ask first; loopback only
	Keys     []string      // callers' keys, drawn with equal chance
	Path     string        // of completions
	Rate     float64       // requests a second
	Requests int           // at most so many
	Duration time.Duration // at most so long
	Timeout  time.Duration // of one request

	Adapters  []string // by falling popularity
	Skew      float64  // exponent of Zipf's law over Adapters, above 1
	MaxTokens int
	Prompt    int     // bytes
	Cancel    float64 // share of requests that hang up
	// CancelAfter is the mean of the exponential time until a hang-up.
	CancelAfter time.Duration
	Follow      bool // ask GET /v1/entries, and use its answer as long as told
	Seed        uint64
}

func (o Options) check() error {
	switch {
	case len(o.Targets) == 0:
		return Invalid.New("no target")
	case len(o.Keys) == 0 || len(o.Adapters) == 0:
		return Invalid.New("no key or no adapter")
	case !(o.Rate > 0) || math.IsInf(o.Rate, 0):
		return Invalid.New("rate: %v is not a number of requests a second", o.Rate)
	case o.Requests < 1 || o.Requests > maxRequests:
		return Invalid.New("requests: %d is not from 1 to %d", o.Requests, maxRequests)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return Invalid.New("duration: %v is not up to %v", o.Duration, maxDuration)
	case o.Timeout <= 0 || o.Timeout > maxDuration:
		return Invalid.New("timeout: %v is not up to %v", o.Timeout, maxDuration)
	case !(o.Skew > 1):
		return Invalid.New("skew: %v is not above 1", o.Skew)
	case !(o.Cancel >= 0 && o.Cancel <= 1):
		return Invalid.New("cancel: %v is not a share from 0 to 1", o.Cancel)
	case o.Cancel > 0 && o.CancelAfter <= 0:
		return Invalid.New("cancel-after: %v is not a duration", o.CancelAfter)
	case o.MaxTokens < 1 || o.Prompt < 1:
		return Invalid.New("max-tokens and prompt are at least 1")
	}
	for _, t := range o.Targets {
		if !loopback(t) {
			return Invalid.New("target %q is not a loopback ip:port", t)
		}
	}
	return nil
}

// loopback reports whether an address can only be this machine.
func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// plan is one request before it starts.
type plan struct {
	at      time.Duration // since the start of the run
	adapter string
	key     string
	cancel  time.Duration // until the hang-up; 0: none
	number  int
}

// planner draws requests; the same seed draws the same ones.
type planner struct {
	options Options
	rng     *core.Rand
	weights []float64 // cumulated
	at      time.Duration
	number  int
}

func newPlanner(o Options) *planner {
	p := &planner{options: o, rng: core.NewRand(o.Seed)}
	total := 0.0
	for i := range o.Adapters {
		total += math.Pow(float64(i+1), -o.Skew)
		p.weights = append(p.weights, total)
	}
	return p
}

// next draws a request, or says that the run is over.
func (p *planner) next() (plan, bool) {
	o := p.options
	p.at += time.Duration(p.rng.ExpFloat64() / o.Rate * float64(time.Second))
	if p.number >= o.Requests || p.at > o.Duration {
		return plan{}, false
	}
	r := plan{at: p.at, number: p.number}
	p.number++
	r.key = o.Keys[p.rng.IntN(len(o.Keys))]
	r.adapter = o.Adapters[p.pick()]
	if p.rng.Float64() < o.Cancel {
		r.cancel = 1 + time.Duration(p.rng.ExpFloat64()*float64(o.CancelAfter))
	}
	return r, true
}

func (p *planner) pick() int {
	x := p.rng.Float64() * p.weights[len(p.weights)-1]
	low, high := 0, len(p.weights)-1
	for low < high {
		middle := (low + high) / 2
		if p.weights[middle] > x {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// Run carries out a run to its end and returns what came of it.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	client := upstream.NewClient(nil, nil)
	defer client.Close()
	c := &callers{options: o, client: client, known: map[string]known{}}
	result := newResult()
	planner := newPlanner(o)
	started := time.Now()
	var running sync.WaitGroup
	places := make(chan struct{}, maxInFlight)
	for {
		p, ok := planner.next()
		if !ok || !supervise.Sleep(ctx, time.Until(started.Add(p.at))) {
			break
		}
		result.offered()
		select {
		case places <- struct{}{}:
		default:
			result.add(sample{outcome: outcomeNoPlace})
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			result.add(c.ask(ctx, p, started.Add(p.at)))
			<-places
		}()
	}
	running.Wait()
	result.finish(time.Since(started))
	return result, nil
}
