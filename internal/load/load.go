// Package load is an open-loop load generator. Requests start at the times of a
// Poisson process, independently of the answers to earlier ones, and latencies
// count from those times, so that the time a request has to wait for a slow
// system is included. Options give the rate, the mix of adapters and keys and
// the share of cancelled requests; Result holds the outcomes and latencies.
// Only loopback addresses are used.
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

// Invalid is the class of invalid options.
var Invalid = errs.Class("load options")

// Upper limits of one run.
const (
	maxRequests = 1_000_000
	maxDuration = 10 * time.Minute
	maxInFlight = 20_000
)

// Options of a run.
type Options struct {
	Targets           []string      // ip:port of the hosts to start with; loopback only
	Keys              []string      // API keys of callers, drawn uniformly
	Path              string        // of completions
	RequestsPerSecond float64       // mean requests per second
	MaxRequests       int           // maximum number of requests
	Duration          time.Duration // maximum time in which requests start
	RequestTimeout    time.Duration // of one request

	Adapters       []string // most popular first
	ZipfExponent   float64  // exponent of Zipf's law over Adapters, above 1
	MaxTokens      int
	PromptBytes    int     // bytes of the prompt
	CancelFraction float64 // fraction of requests that the caller cancels
	// MeanCancelDelay is the mean of the exponentially distributed time until a
	// cancellation.
	MeanCancelDelay time.Duration
	UseEntries      bool // use the addresses of GET /v1/entries, for as long as the answer may be cached
	Seed            uint64
}

func (o Options) check() error {
	switch {
	case len(o.Targets) == 0:
		return Invalid.New("no target")
	case len(o.Keys) == 0 || len(o.Adapters) == 0:
		return Invalid.New("no key or no adapter")
	case !(o.RequestsPerSecond > 0) || math.IsInf(o.RequestsPerSecond, 0):
		return Invalid.New("rate: %v is not a positive number of requests per second", o.RequestsPerSecond)
	case o.MaxRequests < 1 || o.MaxRequests > maxRequests:
		return Invalid.New("requests: %d is not between 1 and %d", o.MaxRequests, maxRequests)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return Invalid.New("duration: %v is not above 0 and at most %v", o.Duration, maxDuration)
	case o.RequestTimeout <= 0 || o.RequestTimeout > maxDuration:
		return Invalid.New("timeout: %v is not above 0 and at most %v", o.RequestTimeout, maxDuration)
	case !(o.ZipfExponent > 1):
		return Invalid.New("skew: %v is not above 1", o.ZipfExponent)
	case !(o.CancelFraction >= 0 && o.CancelFraction <= 1):
		return Invalid.New("cancel: %v is not a fraction between 0 and 1", o.CancelFraction)
	case o.CancelFraction > 0 && o.MeanCancelDelay <= 0:
		return Invalid.New("cancel-after: %v is not above 0", o.MeanCancelDelay)
	case o.MaxTokens < 1 || o.PromptBytes < 1:
		return Invalid.New("max-tokens and prompt must be at least 1")
	}
	for _, t := range o.Targets {
		if !loopback(t) {
			return Invalid.New("target %q is not a loopback ip:port", t)
		}
	}
	return nil
}

// loopback reports whether an address is an ip:port of the loopback interface.
func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// plan is one request to be sent.
type plan struct {
	startOffset time.Duration // since the start of the run
	adapter     string
	key         string
	cancelAfter time.Duration // time until the caller hangs up; 0: never
	number      int
}

// planner draws the requests of a run from a seeded random generator.
type planner struct {
	options           Options
	rng               *core.Rand
	cumulativeWeights []float64
	startOffset       time.Duration
	number            int
}

func newPlanner(o Options) *planner {
	p := &planner{options: o, rng: core.NewRand(o.Seed)}
	total := 0.0
	for i := range o.Adapters {
		total += math.Pow(float64(i+1), -o.ZipfExponent)
		p.cumulativeWeights = append(p.cumulativeWeights, total)
	}
	return p
}

// next draws the next request; false at the end of the run.
func (p *planner) next() (plan, bool) {
	o := p.options
	p.startOffset += time.Duration(p.rng.ExpFloat64() / o.RequestsPerSecond * float64(time.Second))
	if p.number >= o.MaxRequests || p.startOffset > o.Duration {
		return plan{}, false
	}
	r := plan{startOffset: p.startOffset, number: p.number}
	p.number++
	r.key = o.Keys[p.rng.IntN(len(o.Keys))]
	r.adapter = o.Adapters[p.pickAdapter()]
	if p.rng.Float64() < o.CancelFraction {
		r.cancelAfter = 1 + time.Duration(p.rng.ExpFloat64()*float64(o.MeanCancelDelay))
	}
	return r, true
}

// pickAdapter draws the index of an adapter by Zipf's law.
func (p *planner) pickAdapter() int {
	x := p.rng.Float64() * p.cumulativeWeights[len(p.cumulativeWeights)-1]
	low, high := 0, len(p.cumulativeWeights)-1
	for low < high {
		middle := (low + high) / 2
		if p.cumulativeWeights[middle] > x {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// Run offers the load until the limits of the options are reached or ctx is
// done, waits for the requests in flight and returns the result. It returns an
// Invalid error for invalid options.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	client := upstream.NewClient(nil, nil)
	defer client.Close()
	c := &loadClient{options: o, client: client, entriesByKey: map[string]cachedEntries{}}
	result := newResult()
	planner := newPlanner(o)
	started := time.Now()
	var running sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for {
		p, ok := planner.next()
		if !ok || !supervise.Sleep(ctx, time.Until(started.Add(p.startOffset))) {
			break
		}
		result.countRequest()
		select {
		case slots <- struct{}{}:
		default:
			result.record(sample{outcome: outcomeNotStarted})
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			result.record(c.send(ctx, p, started.Add(p.startOffset)))
			<-slots
		}()
	}
	running.Wait()
	result.setElapsed(time.Since(started))
	return result, nil
}
