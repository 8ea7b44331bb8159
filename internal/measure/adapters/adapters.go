package adapters

import (
	"fmt"

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

// Run plays every case.
func Run(seed uint64) (measure.Report, error) {
	r := measure.Report{Name: "adapters", Seed: seed}
	for _, d := range []deployment{parapet, embalse} {
		for _, skew := range []float64{0.9, 1.1} {
			calls := trace(d, skew, seed)
			for _, slots := range []int{8, 32} {
				add(&r, d, skew, slots, calls, seed)
			}
		}
	}
	return r, nil
}

func add(r *measure.Report, d deployment, skew float64, slots int, calls []call, seed uint64) {
	name := fmt.Sprintf("%s, Zipf %.1f, %d slots", d.name, skew, slots)
	ours := runPlaced(d, slots, calls, seed)
	least := runBaseline(d, slots, calls, leastLoaded{})
	hash := runBaseline(d, slots, calls, hashed{})
	bound := runBaseline(d, slots, calls, clairvoyant{})
	r.Tables = append(r.Tables, measure.Table{
		Title:   name,
		Columns: []string{"stalled share", "stall seconds", "p95 first token s", "mean batch", "loads/min", "refused", "cut", "faults"},
		Rows: []measure.Row{
			row("placement", ours), row("least loaded, LRU", least), row("consistent hash, LRU", hash), row("clairvoyant", bound),
		},
	})
	better := min(least.share(), hash.share())
	betterSeconds := min(least.stall, hash.stall).Seconds()
	r.Targets = append(r.Targets,
		target(name+": stalled share / better baseline", stallsOfBaseline, ours.share()/better),
		target(name+": stall seconds / better baseline", stallsOfBaseline, ours.stall.Seconds()/betterSeconds),
		target(name+": stalled share / clairvoyant", stallsOfClairvoyant, ours.share()/bound.share()),
		target(name+": stall seconds / clairvoyant", stallsOfClairvoyant, ours.stall.Seconds()/bound.stall.Seconds()),
		atLeast(name+": batch / least loaded", batchOfLeastLoaded, ours.batch/least.batch),
		target(name+": faults", 0, float64(ours.faults)),
	)
}

func row(label string, s *score) measure.Row {
	return measure.Row{Label: label, Values: []float64{
		s.share(), s.stall.Seconds(), s.p95(), s.batch, s.loads, float64(s.refused), float64(s.cut), float64(s.faults),
	}}
}

func target(name string, bound, got float64) measure.Target {
	return measure.Target{Name: name, Bound: fmt.Sprintf("<= %g", bound), Measured: got, Met: got <= bound}
}

func atLeast(name string, bound, got float64) measure.Target {
	return measure.Target{Name: name, Bound: fmt.Sprintf(">= %g", bound), Measured: got, Met: got >= bound}
}
