package fairness

import (
	"fmt"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
)

// reservedPlaces are reserved for interactive work in the case with targets.
const reservedPlaces = places / 4

// overnight measures the waits of interactive callers with and without overnight
// work that could fill the upstream on its own.
func overnight(seed uint64) (measure.Table, []measure.Target) {
	table := measure.Table{
		Title: "overnight work beside interactive callers",
		Columns: []string{
			"interactive p95 wait, s", "interactive served, %", "overnight tokens/s", "overnight started before a waiting interactive",
		},
	}
	var bounds []measure.Target
	for _, load := range []float64{0.5, 0.8} {
		day := tenant{"day", 1, 1, 250, []int{0}, core.Interactive}
		night := tenant{"night", 1, 1, 500, []int{0}, core.Overnight}
		both := trace(seed, []tenant{day, night}, 2*load)
		cases := []struct {
			name  string
			queue queue
			trace []arrival
		}{
			{"interactive only", newOwnerQueue(0, 0), onlyOf(both, day.name)},
			{"with overnight, first come, first served", &fifo{}, both},
			{"with overnight", newOwnerQueue(0, 0), both},
			{"with overnight, an eighth of the places kept", newOwnerQueue(places/8, 0), both},
			{"with overnight, a quarter of the places kept", newOwnerQueue(reservedPlaces, 0), both},
		}
		var waitAlone float64
		for i, c := range cases {
			r := play(c.queue, c.trace, places, traceLength)
			dayResult, nightResult := r.of(day.name), r.of(night.name)
			wait, tokensPerSecond := p95(dayResult.waits), float64(nightResult.servedTokens)/traceLength.Sub(0).Seconds()
			table.Rows = append(table.Rows, measure.Row{
				Label:  fmt.Sprintf("%.0f %% interactive: %s", 100*load, c.name),
				Values: []float64{wait, 100 * float64(dayResult.servedTokens) / float64(dayResult.offeredTokens), tokensPerSecond, float64(r.overtook)},
			})
			switch i {
			case 0:
				waitAlone = wait
			case len(cases) - 1:
				bounds = append(bounds, nightTargets(load, wait-waitAlone, tokensPerSecond, r.overtook)...)
			}
		}
	}
	return table, bounds
}

func nightTargets(load, delay, tokensPerSecond float64, overtook int) []measure.Target {
	suffix := fmt.Sprintf(" at %.0f %% interactive load, places kept", 100*load)
	return []measure.Target{
		{Name: "overnight started before a waiting interactive" + suffix, Bound: "0", Measured: float64(overtook), Met: overtook == 0},
		{Name: "overnight moves, tokens/s" + suffix, Bound: "> 0", Measured: tokensPerSecond, Met: tokensPerSecond > 0},
		{Name: "delay of interactive p95 by overnight, s" + suffix, Bound: "<= 0", Measured: delay, Met: delay <= 0},
	}
}
