package limits

import (
	"fmt"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
)

// Measure compares ways to keep limits, on the same traces.
var Measure = measure.Measure{
	Name:  "limits",
	Short: "token limits over all hosts: over-grant, false refusals, messages a request",
	Run:   Run,
}

// way is one policy by name.
type way struct {
	name  string
	start func(*World) Policy
}

var ways = []way{
	{"central bucket, full knowledge", newCentral},
	{"static equal split", newStatic},
	{"one owner, short leases", newShort},
	{"standing shares, peer transfers", newPeers},
	{"gentiancroft: owner's shares and loans", newOurs},
}

const oursAt, centralAt = 4, 0

// tally sums up one way on one trace.
type tally struct {
	over        core.Tokens
	refused     int // of workspaces that keep within their rate
	within      int // their requests
	waited      int
	allRequests int
	messages    float64
	flooderPart float64 // admitted tokens of workspaces over their rate, of what the rate gives
}

// Run measures every way on every trace.
func Run(seed uint64) (measure.Report, error) {
	rep := measure.Report{Name: "limits", Seed: seed}
	var worst bounds
	for _, t := range Traces() {
		table := measure.Table{Title: t.Name, Columns: []string{
			"over-grant, tokens", "refused within rate, %", "above central, %", "decided after a round trip, %",
			"messages/request", "used of its rate by a tenant over it, %",
		}}
		arrivals := t.Arrivals(seed)
		var central tally
		for i, w := range ways {
			x := play(t, w, seed, arrivals)
			if i == centralAt {
				central = x
			}
			extra := percent(x.refused-central.refused, x.within)
			table.Rows = append(table.Rows, measure.Row{Label: w.name, Values: []float64{
				float64(x.over), percent(x.refused, x.within), extra, percent(x.waited, x.allRequests), x.messages, x.flooderPart,
			}})
			if i == oursAt {
				worst.note(t, x, extra)
			}
		}
		rep.Tables = append(rep.Tables, table)
	}
	rep.Targets = worst.targets()
	return rep, nil
}

func percent(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return 100 * float64(n) / float64(of)
}

func play(t Trace, w way, seed uint64, arrivals []Arrival) tally {
	world := newWorld(t, seed)
	o := run(world, w.start(world), arrivals)
	x := tally{over: o.Over(t), allRequests: o.Requests, messages: float64(o.Messages) / float64(max(1, o.Requests))}
	for _, tenant := range t.Tenants {
		c := o.By[tenant.Limit.Workspace]
		x.waited += c.Waited
		if tenant.Offered <= 1 {
			x.refused += c.Refused
			x.within += c.Asked
			continue
		}
		x.flooderPart = 100 * float64(c.Tokens) / (float64(tenant.Limit.Rate) * t.Lasts.Seconds())
	}
	return x
}

// bounds collect the worst of what the targets bound.
type bounds struct {
	over                   core.Tokens
	calm, lost             float64
	messages, waited       float64
	messagesOut, waitedOut float64
}

// todayHosts is the most entry hosts of today's deployments.
const todayHosts = 8

func (b *bounds) note(t Trace, x tally, extra float64) {
	b.over = max(b.over, x.over)
	waited := percent(x.waited, x.allRequests)
	switch {
	case t.Calm && t.Hosts <= todayHosts:
		b.calm = max(b.calm, extra)
		b.messages = max(b.messages, x.messages)
		b.waited = max(b.waited, waited)
	case t.Calm:
		b.calm = max(b.calm, extra)
	case t.Faulty:
		b.lost = max(b.lost, extra)
	}
	b.messagesOut = max(b.messagesOut, x.messages)
	b.waitedOut = max(b.waitedOut, waited)
}

func (b *bounds) targets() []measure.Target {
	under := func(name string, bound, measured float64, unit string) measure.Target {
		return measure.Target{Name: name, Bound: fmt.Sprintf("<= %g%s", bound, unit), Measured: measured, Met: measured <= bound}
	}
	return []measure.Target{
		under("over-grant, all traces, tokens", 0, float64(b.over), ""),
		under("refused within the rate above central, calm traces, worst", 0.1, b.calm, " %"),
		under("refused within the rate above central, hosts lost, worst", 2, b.lost, " %"),
		under("messages a request, calm traces at today's sizes, worst", 0.2, b.messages, ""),
		under("decided after a round trip, calm traces at today's sizes, worst", 1, b.waited, " %"),
		under("messages a request, all traces, worst", 0.2, b.messagesOut, ""),
		under("decided after a round trip, all traces, worst", 1, b.waitedOut, " %"),
	}
}
