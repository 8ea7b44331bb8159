package adapters

import (
	"fmt"
	"math"
	"sort"
	"time"

	"gentiancroft/internal/core"
)

// deployment is one of the users' regions of today.
type deployment struct {
	name      string
	engines   int
	adapters  int
	storeRate float64 // loads per second
	hosts     int
	domains   int
}

// Today's sizes, from the brief.
var (
	parapet = deployment{name: "parapet", engines: 9, adapters: 3000, storeRate: 3, hosts: 8, domains: 3}
	embalse = deployment{name: "embalse", engines: 12, adapters: 3000, storeRate: 3.5, hosts: 8, domains: 3}
)

// Shape of the traffic. Tokens a request is the brief's peak, 940,000 tokens
// over 2,400 requests a second. The rate offered is stated against the store's.
const (
	requestsPerLoad = 1.5
	meanTokens      = 392.0
	minTokens       = 8
	maxTokens       = 2048
	workspaces      = 5
	patience        = 60 * time.Second // a caller's deadline
	runTime         = 50 * time.Minute
	warmUp          = 20 * time.Minute // not measured: every cache starts empty
)

// Faults of every run.
const (
	shiftEvery  = 4 * time.Minute // of popularity
	shiftTop    = 100             // ranks among which
	shiftMoved  = 20              // this many change places with colder ones
	restartAt   = 30 * time.Minute
	restarted   = 2 // the engine that comes back empty
	halfRateAt  = 38 * time.Minute
	halfRateEnd = 44 * time.Minute
)

// call is one request of a trace.
type call struct {
	at        time.Duration
	adapter   int
	tokens    float64 // to generate
	host      int
	workspace core.WorkspaceID
}

// workload is a trace with what only a bound may know of it.
type workload struct {
	calls  []call
	shifts []shift
}

// shift is the true popularity order from a time on.
type shift struct {
	at   time.Duration
	rank []int // by adapter
}

func (w *workload) noteRanks(at time.Duration, ranks []int) {
	rank := make([]int, len(ranks))
	for r, a := range ranks {
		rank[a] = r
	}
	w.shifts = append(w.shifts, shift{at, rank})
}

// rank is an adapter's place in the popularity order at a time.
func (w *workload) rank(at time.Duration, a int) int {
	i := len(w.shifts) - 1
	for i > 0 && w.shifts[i].at > at {
		i--
	}
	return w.shifts[i].rank[a]
}

// trace draws the requests of one run: Poisson arrivals, Zipf popularity whose
// ranks shift, exponential lengths.
func trace(d deployment, skew float64, seed uint64) *workload {
	rng := core.NewRand(seed)
	cumulative := make([]float64, d.adapters)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -skew)
		cumulative[i] = sum
	}
	ranks := rng.Perm(d.adapters)
	rate := requestsPerLoad * d.storeRate
	w := &workload{}
	w.noteRanks(0, ranks)
	shift := shiftEvery
	for at := time.Duration(0); at < runTime; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for ; at >= shift; shift += shiftEvery {
			for range shiftMoved {
				i, j := rng.IntN(shiftTop), shiftTop+rng.IntN(d.adapters-shiftTop)
				ranks[i], ranks[j] = ranks[j], ranks[i]
			}
			w.noteRanks(shift, ranks)
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
