package membership

import (
	"runtime/debug"
	"slices"
	"time"

	"gentiancroft/internal/measure"
)

// Measure is the measurement as the command line lists it.
var Measure = measure.Measure{
	Name:  "membership",
	Short: "object calls, takeover, moves and the time until a configuration is in force",
	Run:   run,
}

func run(seed uint64) (measure.Report, error) {
	const gcPercent = 400 // fleets are short-lived: fewer collections
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	report := measure.Report{Name: "membership", Seed: seed}
	steps := []func(uint64) (measure.Table, []measure.Target, error){measureCalls, measureTakeover, measureMoves, measureRollout}
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

// quantile sorts the durations in place and returns the quantile q (0 to 1) in
// seconds; 0 if there are none.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)].Seconds()
}

// domainCount returns the number of failure domains of a fleet of n hosts.
func domainCount(n int) int {
	const small = 3
	if n <= 30 {
		return small
	}
	return 8
}

// startHosts starts n hosts one after the other and runs until the fleet is
// stable.
func startHosts(f *Fleet, n int) []*Host {
	const startInterval = 15 * time.Millisecond
	places := Places(domainCount(n))
	var hosts []*Host
	for i := range n {
		hosts = append(hosts, f.AddHost(places[i%len(places)]))
		f.Run(startInterval)
	}
	f.Run(20 * time.Second)
	return hosts
}
