package adapters

import (
	"fmt"
	"sync"

	"gentiancroft/internal/measure"
)

// Measure compares placement with its baselines on load stalls and batches.
var Measure = measure.Measure{
	Name:  "adapters",
	Short: "load stalls and batch sizes of placement against baselines",
	Run:   Run,
}

// Bounds from the targets.
const (
	stallsOfBaseline    = 0.5
	stallsOfClairvoyant = 1.3
	batchOfLeastLoaded  = 0.95
)

// scenario is one table of the report.
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

// scores are one scenario's results.
type scores struct{ ours, least, hash, informed, clairvoyant *score }

// Run plays every scenario. They are independent, so they run side by side.
func Run(seed uint64) (measure.Report, error) {
	all := scenarios()
	results := make([]scores, len(all))
	var wait sync.WaitGroup
	for i, s := range all {
		wait.Go(func() { results[i] = s.play(seed) })
	}
	wait.Wait()
	r := measure.Report{Name: "adapters", Seed: seed}
	for i, s := range all {
		r.Tables = append(r.Tables, table(s.String(), results[i]))
		r.Targets = append(r.Targets, targets(s.String(), results[i])...)
	}
	bytes, err := sizes()
	r.Tables = append(r.Tables, bytes)
	return r, err
}

func (s scenario) play(seed uint64) scores {
	w := trace(s.deployment, s.skew, seed)
	return scores{
		ours:        runPlaced(s.deployment, s.slots, w, seed),
		least:       runBaseline(s.deployment, s.slots, w, leastLoaded{}),
		hash:        runBaseline(s.deployment, s.slots, w, hashed{}),
		informed:    runBaseline(s.deployment, s.slots, w, informed),
		clairvoyant: runBaseline(s.deployment, s.slots, w, clairvoyant),
	}
}

func table(title string, s scores) measure.Table {
	return measure.Table{
		Title:   title,
		Columns: []string{"stalled share", "stall seconds", "p95 first token s", "mean batch", "loads/min", "refused", "cut", "faults", "feed B/s"},
		Rows: []measure.Row{
			row("placement", s.ours),
			row("least loaded, LRU", s.least),
			row("consistent hash, LRU", s.hash),
			row("knows the popularity", s.informed),
			row("clairvoyant", s.clairvoyant),
		},
	}
}

func targets(name string, s scores) []measure.Target {
	share := min(s.least.share(), s.hash.share())
	seconds := min(s.least.stall, s.hash.stall).Seconds()
	return []measure.Target{
		target(name+": stalled share / better baseline", stallsOfBaseline, s.ours.share()/share),
		target(name+": stall seconds / better baseline", stallsOfBaseline, s.ours.stall.Seconds()/seconds),
		target(name+": stalled share / clairvoyant", stallsOfClairvoyant, s.ours.share()/s.clairvoyant.share()),
		target(name+": stall seconds / clairvoyant", stallsOfClairvoyant, s.ours.stall.Seconds()/s.clairvoyant.stall.Seconds()),
		atLeast(name+": batch / least loaded", batchOfLeastLoaded, s.ours.batch/s.least.batch),
		target(name+": faults", 0, float64(s.ours.faults)),
	}
}

func row(label string, s *score) measure.Row {
	return measure.Row{Label: label, Values: []float64{
		s.share(), s.stall.Seconds(), s.p95(), s.batch, s.loads, float64(s.refused), float64(s.cut), float64(s.faults), s.feed,
	}}
}

func target(name string, bound, got float64) measure.Target {
	return measure.Target{Name: name, Bound: fmt.Sprintf("<= %g", bound), Measured: got, Met: got <= bound}
}

func atLeast(name string, bound, got float64) measure.Target {
	return measure.Target{Name: name, Bound: fmt.Sprintf(">= %g", bound), Measured: got, Met: got >= bound}
}
