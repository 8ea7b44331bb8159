package adapters

import (
	"fmt"
	"sync"

	"gentiancroft/internal/measure"
)

// Measure is the measurement as the command line lists it.
var Measure = measure.Measure{
	Name:  "adapters",
	Short: "load stalls and batch sizes of placement against baselines",
	Run:   Run,
}

// Bounds of the targets, as ratios.
const (
	maxStallsOfBaseline    = 0.5
	maxStallsOfClairvoyant = 1.3
	minBatchOfLeastLoaded  = 0.95
)

// scenario is the deployment, popularity skew and slots per engine of one table
// of the report.
type scenario struct {
	deployment deployment
	skew       float64
	slots      int
}

func (s scenario) String() string {
	return fmt.Sprintf("%s, Zipf %.1f, %d slots", s.deployment.name, s.skew, s.slots)
}

func scenarios() []scenario {
	var all []scenario
	for _, d := range []deployment{parapet, embalse} {
		for _, skew := range []float64{0.9, 1.1} {
			for _, slots := range []int{8, 32} {
				all = append(all, scenario{d, skew, slots})
			}
		}
	}
	return all
}

// scores are the results of one scenario by policy.
type scores struct{ placement, leastLoaded, hash, informed, clairvoyant *score }

// Run measures every scenario. They are independent and run concurrently.
func Run(seed uint64) (measure.Report, error) {
	all := scenarios()
	results := make([]scores, len(all))
	var wait sync.WaitGroup
	for i, s := range all {
		wait.Go(func() { results[i] = s.evaluate(seed) })
	}
	wait.Wait()
	r := measure.Report{Name: "adapters", Seed: seed}
	for i, s := range all {
		r.Tables = append(r.Tables, table(s.String(), results[i]))
		r.Targets = append(r.Targets, targets(s.String(), results[i])...)
	}
	r.Tables = append(r.Tables, measureShift(seed))
	bytes, err := messageSizes()
	r.Tables = append(r.Tables, bytes)
	return r, err
}

func (s scenario) evaluate(seed uint64) scores {
	w := trace(s.deployment, s.skew, seed)
	return scores{
		placement:   runPlacement(s.deployment, s.slots, w, seed),
		leastLoaded: runBaseline(s.deployment, s.slots, w, leastLoaded{}),
		hash:        runBaseline(s.deployment, s.slots, w, consistentHash{}),
		informed:    runBaseline(s.deployment, s.slots, w, informed),
		clairvoyant: runBaseline(s.deployment, s.slots, w, clairvoyant),
	}
}

func table(title string, s scores) measure.Table {
	return measure.Table{
		Title:   title,
		Columns: []string{"stalled share", "stall seconds", "p95 first token s", "mean batch", "loads/min", "refused", "cut", "faults", "feed B/s"},
		Rows: []measure.Row{
			row("placement", s.placement),
			row("least loaded, LRU", s.leastLoaded),
			row("consistent hash, LRU", s.hash),
			row("knows the popularity", s.informed),
			row("clairvoyant", s.clairvoyant),
		},
	}
}

func targets(name string, s scores) []measure.Target {
	bestShare := min(s.leastLoaded.stalledFraction(), s.hash.stalledFraction())
	bestStall := min(s.leastLoaded.stallTime, s.hash.stallTime).Seconds()
	return []measure.Target{
		target(name+": stalled share / better baseline", maxStallsOfBaseline, s.placement.stalledFraction()/bestShare),
		target(name+": stall seconds / better baseline", maxStallsOfBaseline, s.placement.stallTime.Seconds()/bestStall),
		target(name+": stalled share / clairvoyant", maxStallsOfClairvoyant, s.placement.stalledFraction()/s.clairvoyant.stalledFraction()),
		target(name+": stall seconds / clairvoyant", maxStallsOfClairvoyant, s.placement.stallTime.Seconds()/s.clairvoyant.stallTime.Seconds()),
		atLeast(name+": batch / least loaded", minBatchOfLeastLoaded, s.placement.meanBatch/s.leastLoaded.meanBatch),
		target(name+": faults", 0, float64(s.placement.faults)),
	}
}

func row(label string, s *score) measure.Row {
	return measure.Row{Label: label, Values: []float64{
		s.stalledFraction(), s.stallTime.Seconds(), s.firstTokenP95(), s.meanBatch, s.loadsPerMinute, float64(s.refused), float64(s.aborted), float64(s.faults), s.feedBytesPerSecond,
	}}
}

func target(name string, bound, got float64) measure.Target {
	return measure.Target{Name: name, Bound: fmt.Sprintf("<= %g", bound), Measured: got, Met: got <= bound}
}

func atLeast(name string, bound, got float64) measure.Target {
	return measure.Target{Name: name, Bound: fmt.Sprintf(">= %g", bound), Measured: got, Met: got >= bound}
}
