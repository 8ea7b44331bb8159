package fairness

import (
	"fmt"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
)

// reservedPlaces are kept free of all but interactive work in the case that is judged.
const reservedPlaces = places / 4

// overnight measures interactive callers with and without overnight work that
// would fill the upstream on its own.
func overnight(seed uint64) (measure.Table, []measure.Target) {
	table := measure.Table{
		Title: "overnight work beside interactive callers",
		Columns: []string{
			"interactive p95 wait, s", "interactive served, %", "overnight tokens/s", "overnight started before a waiting interactive",
		},
	}
	var ts []measure.Target
	for _, load := range []float64{0.5, 0.8} {
		day := tenant{"day", 1, 1, 250, []int{0}, core.Interactive}
		night := tenant{"night", 1, 1, 500, []int{0}, core.Overnight}
		both := trace(seed, []tenant{day, night}, 2*load)
		cases := []struct {
			name  string
			queue queue
			trace []arrival
		}{
			{"interactive only", newFair(0, 0), alone(both, day.name)},
			{"with overnight, first come, first served", &fifo{}, both},
			{"with overnight", newFair(0, 0), both},
			{"with overnight, an eighth of the places kept", newFair(places/8, 0), both},
			{"with overnight, a quarter of the places kept", newFair(reservedPlaces, 0), both},
		}
		var base float64
		for i, c := range cases {
			r := play(c.queue, c.trace, places, lasts)
			d, n := r.of(day.name), r.of(night.name)
			wait, moved := p95(d.waits), float64(n.got)/lasts.Sub(0).Seconds()
			table.Rows = append(table.Rows, measure.Row{
				Label:  fmt.Sprintf("%.0f %% interactive: %s", 100*load, c.name),
				Values: []float64{wait, 100 * float64(d.got) / float64(d.asked), moved, float64(r.overtook)},
			})
			switch i {
			case 0:
				base = wait
			case len(cases) - 1:
				ts = append(ts, nightTargets(load, wait-base, moved, r.overtook)...)
			}
		}
	}
	return table, ts
}

func nightTargets(load, delay, moved float64, overtook int) []measure.Target {
	at := fmt.Sprintf(" at %.0f %% interactive load, places kept", 100*load)
	return []measure.Target{
		{Name: "overnight started before a waiting interactive" + at, Bound: "0", Measured: float64(overtook), Met: overtook == 0},
		{Name: "overnight moves, tokens/s" + at, Bound: "> 0", Measured: moved, Met: moved > 0},
		{Name: "delay of interactive p95 by overnight, s" + at, Bound: "<= 0", Measured: delay, Met: delay <= 0},
	}
}
