// Package once measures the object calls of at-most-once execution, the
// upstreams lost to a crashing request beside two baselines, the delay of its
// innocent neighbours, and the bytes of a configuration change. Time is
// virtual; the same seed gives the same report.
package once

import "gentiancroft/internal/measure"

// Measure is the measurement as the command line lists it.
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
