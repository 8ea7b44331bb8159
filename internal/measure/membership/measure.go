package membership

import (
	"runtime/debug"
	"slices"
	"time"

	"gentiancroft/internal/measure"
)

// Measure is the measurement of membership, ownership and the feed.
var Measure = measure.Measure{
	Name:  "membership",
	Short: "object calls, takeover, moves and the time until a configuration is in force",
	Run:   run,
}

func run(seed uint64) (measure.Report, error) {
	const garbage = 400 // percent; fleets are short-lived
	defer debug.SetGCPercent(debug.SetGCPercent(garbage))
	report := measure.Report{Name: "membership", Seed: seed}
	steps := []func(uint64) (measure.Table, []measure.Target, error){calls, takeover, moves, force}
	for _, step := range steps {
		table, targets, err := step(seed)
		if err != nil {
			return report, err
		}
		report.Tables = append(report.Tables, table)
		report.Targets = append(report.Targets, targets...)
	}
	return report, nil
}

// quantile returns the q-th part of sorted-in-place durations, in seconds.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)].Seconds()
}

// domainsFor is how many failure domains a fleet of n hosts is spread over.
func domainsFor(n int) int {
	const small = 3
	if n <= 30 {
		return small
	}
	return 8
}

// grow starts n hosts over a while and lets them settle.
func grow(f *Fleet, n int) []*Host {
	const apart = 15 * time.Millisecond
	places := Places(domainsFor(n))
	var hosts []*Host
	for i := range n {
		hosts = append(hosts, f.Add(places[i%len(places)]))
		f.Run(apart)
	}
	f.Run(20 * time.Second)
	return hosts
}
