package adapters

import (
	"fmt"
	"math"
	"sort"
	"time"

	"gentiancroft/internal/core"
)

// deployment is a region of one of today's deployments.
type deployment struct {
	name      string
	engines   int
	adapters  int
	storeRate float64 // loads per second
	hosts     int
	domains   int
}

// Today's deployments.
var (
	parapet = deployment{name: "parapet", engines: 9, adapters: 3000, storeRate: 3, hosts: 8, domains: 3}
	embalse = deployment{name: "embalse", engines: 12, adapters: 3000, storeRate: 3.5, hosts: 8, domains: 3}
)

// Shape of the traffic. The mean tokens per request are those of the target
// peak: 940,000 tokens/s over 2,400 requests/s. The request rate is relative to
// the store's load rate.
const (
	requestsPerStoreLoad = 1.5
	meanTokens           = 392.0
	minTokens            = 8
	maxTokens            = 2048
	workspaces           = 5
	requestTimeout       = 60 * time.Second // a caller's deadline
	runTime              = 50 * time.Minute
	warmUp               = 20 * time.Minute // not measured: the engines start without adapters
)

// Faults of every run.
const (
	shiftInterval   = 4 * time.Minute // between changes of popularity
	shiftTopRanks   = 100             // top ranks that a change affects
	shiftSwaps      = 20              // adapters of the top that swap ranks with others
	restartAt       = 30 * time.Minute
	restartedEngine = 2
	halfRateFrom    = 38 * time.Minute
	halfRateUntil   = 44 * time.Minute
)

// call is one request of a trace.
type call struct {
	at        time.Duration
	adapter   int
	tokens    float64 // to generate
	host      int
	workspace core.WorkspaceID
}

// workload is a trace with the true popularity, which only bounds may use.
type workload struct {
	calls  []call
	shifts []shift
}

// shift is the true popularity order from a time until the next shift.
type shift struct {
	at   time.Duration
	rank []int // by adapter
}

func (w *workload) addShift(at time.Duration, ranks []int) {
	rank := make([]int, len(ranks))
	for r, a := range ranks {
		rank[a] = r
	}
	w.shifts = append(w.shifts, shift{at, rank})
}

// rank returns an adapter's rank in the popularity order at a time, 0 for the
// most popular.
func (w *workload) rank(at time.Duration, a int) int {
	i := len(w.shifts) - 1
	for i > 0 && w.shifts[i].at > at {
		i--
	}
	return w.shifts[i].rank[a]
}

// trace draws the requests of one run: Poisson arrivals, Zipf popularity with
// changing ranks, exponential lengths.
func trace(d deployment, skew float64, seed uint64) *workload {
	rng := core.NewRand(seed)
	cumulative := make([]float64, d.adapters)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -skew)
		cumulative[i] = sum
	}
	ranks := rng.Perm(d.adapters)
	rate := requestsPerStoreLoad * d.storeRate
	w := &workload{}
	w.addShift(0, ranks)
	shift := shiftInterval
	for at := time.Duration(0); at < runTime; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for ; at >= shift; shift += shiftInterval {
			for range shiftSwaps {
				i, j := rng.IntN(shiftTopRanks), shiftTopRanks+rng.IntN(d.adapters-shiftTopRanks)
				ranks[i], ranks[j] = ranks[j], ranks[i]
			}
			w.addShift(shift, ranks)
		}
		rank := sort.SearchFloat64s(cumulative, rng.Float64()*sum)
		a := ranks[min(rank, d.adapters-1)]
		w.calls = append(w.calls, call{
			at:        at,
			adapter:   a,
			tokens:    min(max(rng.ExpFloat64()*meanTokens, minTokens), maxTokens),
			host:      rng.IntN(d.hosts),
			workspace: core.WorkspaceID(fmt.Sprintf("w%d", a%workspaces)),
		})
	}
	return w
}
