// Package once measures what at-most-once, the tracking of crashing requests and
// a change of the configuration cost and give, beside their baselines. Time is
// virtual; a run is the same for the same seed.
package once

import "gentiancroft/internal/measure"

// Measure is the measurement for the command line.
var Measure = measure.Measure{
	Name:  "once",
	Short: "At most once, crashing requests and the cost of a configuration change",
	Run:   run,
}

func run(seed uint64) (measure.Report, error) {
	r := measure.Report{Name: "once", Seed: seed}
	calls := callTable(seed)
	poison, lost := poisonTable(seed)
	clearing, refused := clearingTable(seed)
	change, err := changeTable()
	if err != nil {
		return r, err
	}
	r.Tables = []measure.Table{calls, poison, clearing, change}
	r.Targets = []measure.Target{
		{Name: "upstreams lost to one crashing request, worst case with all hosts reachable", Bound: "<= 2", Measured: float64(lost), Met: lost <= 2},
		{Name: "innocent neighbours refused for good", Bound: "0", Measured: float64(refused), Met: refused == 0},
	}
	return r, nil
}
