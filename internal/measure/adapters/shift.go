package adapters

import (
	"math"
	"slices"
	"sort"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
)

// Shape of the shift: at a moment other adapters become the popular ones.
const (
	shiftReplicas    = 112
	shiftHosts       = 12
	shiftAdapters    = 10000
	shiftSkew        = 1.2
	shiftedRanks     = 20    // the most popular adapters, which swap with others
	shiftRate        = 400.0 // requests a second
	shiftAt          = 16 * time.Second
	shiftMeasureFrom = 10 * time.Second
	shiftSettled     = 3 * time.Second // from the shift until the demand counts as settled
	shiftEnd         = 24 * time.Second
	shiftWarmUp      = 3 * time.Second // the hosts find each other and take their shards
	shiftObjective   = time.Second
	shiftMaxGap      = 300 * time.Millisecond
	meanPrompt       = 1500.0
	maxPrompt        = 16000
	meanOutput       = 90.0
	maxOutput        = 800
	streamTimeout    = 20 * time.Second
)

// streamCall is a request of the shift's trace and what became of it.
type streamCall struct {
	at      time.Duration
	adapter int
	prompt  core.Tokens
	output  int
	host    int

	first      time.Duration // until its first event; 0: none
	largestGap time.Duration
	refused    bool
	tries      int
}

// shiftTrace draws the requests: Poisson arrivals, Zipf popularity, exponential lengths.
func shiftTrace(seed uint64) []streamCall {
	rng := core.NewRand(seed)
	cumulative := make([]float64, shiftAdapters)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -shiftSkew)
		cumulative[i] = sum
	}
	before := rng.Perm(shiftAdapters)
	after := slices.Clone(before)
	for i := range shiftedRanks {
		j := shiftedRanks + rng.IntN(shiftAdapters-shiftedRanks)
		after[i], after[j] = after[j], after[i]
	}
	var calls []streamCall
	for at := shiftWarmUp; at < shiftEnd; {
		at += time.Duration(rng.ExpFloat64() / shiftRate * float64(time.Second))
		rank := min(sort.SearchFloat64s(cumulative, rng.Float64()*sum), shiftAdapters-1)
		a := before[rank]
		if at >= shiftAt {
			a = after[rank]
		}
		calls = append(calls, streamCall{
			at: at, adapter: a, host: rng.IntN(shiftHosts),
			prompt: core.Tokens(min(1+rng.ExpFloat64()*meanPrompt, maxPrompt)),
			output: int(min(tokensPerEvent+rng.ExpFloat64()*meanOutput, maxOutput)),
		})
	}
	return calls
}

// period is the part of a run of which the requests are counted together.
type period struct {
	name     string
	from, to time.Duration // arrivals
}

var shiftPeriods = []period{
	{"before", shiftMeasureFrom, shiftAt},
	{"shift", shiftAt, shiftAt + shiftSettled},
	{"after", shiftAt + shiftSettled, shiftEnd},
}

// periodScore is the result of one policy in one period.
type periodScore struct {
	requests, late, paused, refused int
	busiest                         float64 // busy places of the busiest engine / mean
}

// share returns a count as a share of the requests.
func (s *periodScore) share(n int) float64 { return float64(n) / float64(max(s.requests, 1)) }

// shiftScore is the result of one policy.
type shiftScore struct {
	periods []periodScore
	loads   int // of adapters, in the measured time
}

// collect counts the calls by period.
func (s *shiftScore) collect(calls []streamCall) {
	for i := range calls {
		c := &calls[i]
		for j, p := range shiftPeriods {
			if c.at < p.from || c.at >= p.to {
				continue
			}
			s.periods[j].count(c)
		}
	}
}

func (s *periodScore) count(c *streamCall) {
	s.requests++
	switch {
	case c.refused:
		s.refused++
	case c.first == 0 || c.first > shiftObjective:
		s.late++
	case c.largestGap > shiftMaxGap:
		s.paused++
	}
}

// run runs a clock to the end of the trace and records what the engines and calls show.
func (s *shiftScore) run(c *clock, engines []*streamEngine, calls []streamCall) {
	s.watchBusy(c, engines)
	before := 0
	c.after(shiftMeasureFrom, func() { before = s.loads })
	c.runUntil(shiftEnd + streamTimeout)
	s.loads -= before
	s.collect(calls)
}

// watchBusy records the busy places of the engines at the bounds of the periods.
func (s *shiftScore) watchBusy(c *clock, engines []*streamEngine) {
	s.periods = make([]periodScore, len(shiftPeriods))
	for i, p := range shiftPeriods {
		start := make([]float64, len(engines))
		c.after(p.from, func() {
			for j, e := range engines {
				start[j] = e.busy
			}
		})
		c.after(p.to-1, func() {
			most, sum := 0.0, 0.0
			for j, e := range engines {
				most, sum = max(most, e.busy-start[j]), sum+e.busy-start[j]
			}
			s.periods[i].busiest = most * float64(len(engines)) / max(sum, 1e-9)
		})
	}
}

// measureShift runs the trace of a seed through the hosts and the baselines.
func measureShift(seed uint64) measure.Table {
	calls := shiftTrace(seed)
	return shiftTable(
		[]string{"relaying hosts", "choice of 48aacaf, full knowledge", "least occupied", "two random choices", "hash with bounded load"},
		[]*shiftScore{
			runRelayFleet(calls, seed),
			runStreamBaseline(calls, formerChoice{}, seed),
			runStreamBaseline(calls, leastOccupied{}, seed),
			runStreamBaseline(calls, twoChoices{}, seed),
			runStreamBaseline(calls, boundedHash{}, seed),
		})
}

// shiftTable lists the results of the policies.
func shiftTable(labels []string, scores []*shiftScore) measure.Table {
	t := measure.Table{Title: "popular adapters change, " + strconv.Itoa(shiftReplicas) + " replicas"}
	for _, p := range shiftPeriods {
		t.Columns = append(t.Columns, p.name+" late", p.name+" paused", p.name+" refused", p.name+" busiest/mean")
	}
	t.Columns = append(t.Columns, "loads")
	for i, s := range scores {
		var values []float64
		for _, p := range s.periods {
			values = append(values, p.share(p.late), p.share(p.paused), p.share(p.refused), p.busiest)
		}
		t.Rows = append(t.Rows, measure.Row{Label: labels[i], Values: append(values, float64(s.loads))})
	}
	return t
}
