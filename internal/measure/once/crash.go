package once

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
)

// Parameters of the runs with a request that crashes its upstream.
const (
	poisonFingerprint = 1
	poisonRepeats     = 5 // by each caller
	poisonRunTime     = 30 * time.Second
	seedsPerCase      = 5 // runs of a case; the worst is reported
)

// poisonCase is a fleet that receives a crashing request.
type poisonCase struct {
	label     string
	hosts     int
	upstreams int
	homeDead  bool // the host that owns the fingerprint is dead, its lease not expired
}

var poisonCases = []poisonCase{
	{"8 hosts, 12 upstreams", 8, 12, false},
	{"30 hosts, 60 upstreams", 30, 60, false},
	{"350 hosts, 670 upstreams", 350, 670, false},
	{"8 hosts, home dead and not yet replaced", 8, 12, true},
	{"350 hosts, home dead and not yet replaced", 350, 670, true},
}

// poisonTable sends one crashing request, with repeats, through every entry host
// at once. It also returns the maximum number of upstreams lost under claims in
// the cases with all hosts alive.
func poisonTable(seed uint64) (measure.Table, int) {
	t := measure.Table{
		Title:   "Upstreams lost to one crashing request sent through every host at once, 5 repeats each: worst of 5 seeds",
		Columns: []string{"not tracked", "broadcast only", "claims", "messages a request (claims)"},
	}
	worst := 0
	for _, c := range poisonCases {
		var lost [3]int
		messages := 0.0
		for s := range uint64(seedsPerCase) {
			for p := range lost {
				f := c.run(policy(p), seed+s)
				lost[p] = max(lost[p], f.upstreamsLost[poisonFingerprint])
				if policy(p) == claims {
					messages = max(messages, float64(f.messages)/float64(f.arrivals))
				}
			}
		}
		if !c.homeDead {
			worst = max(worst, lost[claims])
		}
		t.Rows = append(t.Rows, measure.Row{Label: c.label, Values: []float64{float64(lost[untracked]), float64(lost[broadcastOnly]), float64(lost[claims]), messages}})
	}
	return t, worst
}

func (c poisonCase) run(p policy, seed uint64) *fleet {
	f := newFleet(p, c.hosts, c.upstreams, seed)
	if c.homeDead {
		hosts := make([]core.HostID, 0, c.hosts)
		for _, m := range f.members {
			hosts = append(hosts, m.Host)
		}
		const homeKind = 101
		home, _ := core.Rendezvous(hosts, homeKind, strconv.FormatUint(poisonFingerprint, 16))
		f.dead[f.index(home)] = true
	}
	f.startTicks()
	for i := range c.hosts {
		q := &request{print: poisonFingerprint, poison: true, entry: i, upstream: i % c.upstreams, repeatsLeft: poisonRepeats}
		f.after(time.Duration(f.rng.Int64N(int64(time.Millisecond))), func() { f.arrive(q) })
	}
	f.run(poisonRunTime)
	return f
}

// clearingTable measures the innocent neighbours of a crashing request: those
// that ran on the same upstream. It also returns how many were refused for good.
func clearingTable(seed uint64) (measure.Table, int) {
	t := measure.Table{
		Title:   "Innocent neighbours of a crashing request, 1 s of work each, sent again by their callers (claims): worst of 5 seeds",
		Columns: []string{"neighbours", "completed", "refused for good", "upstreams lost", "s until half are done", "s until all are done"},
	}
	refused := 0
	for _, c := range []struct {
		label                 string
		upstreams, neighbours int
	}{
		{"9 upstreams, batch of 16", 9, 16},
		{"9 upstreams, batch of 32", 9, 32},
		{"12 upstreams, batch of 32", 12, 32},
		{"168 upstreams, batch of 64", 168, 64},
	} {
		worst := measure.Row{Label: c.label}
		for s := range uint64(seedsPerCase) {
			row, r := clearingCase(c.upstreams, c.neighbours, seed+s)
			refused += r
			worst.Values = worseValues(worst.Values, row.Values)
		}
		t.Rows = append(t.Rows, worst)
	}
	return t, refused
}

// worseValues returns the larger of each value, but the smaller number
// completed.
func worseValues(a, b []float64) []float64 {
	if a == nil {
		return b
	}
	const completed = 1
	out := slices.Clone(a)
	for i := range out {
		if i == completed {
			out[i] = min(a[i], b[i])
		} else {
			out[i] = max(a[i], b[i])
		}
	}
	return out
}

// clearingCase runs one case of clearingTable.
func clearingCase(upstreams, neighbours int, seed uint64) (measure.Row, int) {
	f := newFleet(claims, 8, upstreams, seed)
	f.startTicks()
	for i := range neighbours {
		q := &request{print: uint64(100 + i), entry: i % 8, repeatsLeft: 50}
		f.after(0, func() { f.arrive(q) })
	}
	poison := &request{print: poisonFingerprint, poison: true, repeatsLeft: poisonRepeats}
	f.after(300*time.Millisecond, func() { f.arrive(poison) })
	start := f.now
	done := map[uint64]time.Duration{}
	for range 6000 {
		f.run(10 * time.Millisecond)
		for _, q := range f.byID {
			if _, ok := done[q.print]; q.done && !ok {
				done[q.print] = f.now.Sub(start)
			}
		}
	}
	times := make([]time.Duration, 0, len(done))
	for _, d := range done {
		times = append(times, d)
	}
	slices.Sort(times)
	half, all := 0.0, 0.0
	if len(times) > 0 {
		half, all = times[len(times)/2].Seconds(), times[len(times)-1].Seconds()
	}
	convicted := map[uint64]bool{}
	for _, q := range f.byID {
		if q.refused == core.CodeSuspect && !q.poison {
			if _, ok := done[q.print]; !ok {
				convicted[q.print] = true
			}
		}
	}
	return measure.Row{Values: []float64{float64(neighbours), float64(len(done)), float64(len(convicted)), float64(f.upstreamsLost[poisonFingerprint]), half, all}}, len(convicted)
}
