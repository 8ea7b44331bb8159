package limits

import (
	"fmt"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
)

// Measure is the measurement as the command line lists it.
var Measure = measure.Measure{
	Name:  "limits",
	Short: "token limits over all hosts: over-grant, false refusals, messages a request",
	Run:   Run,
}

// namedPolicy is a policy with its name.
type namedPolicy struct {
	name  string
	start func(*World) Policy
}

var policies = []namedPolicy{
	{"central bucket, full knowledge", newCentral},
	{"static equal split", newStatic},
	{"one owner, short leases", newShort},
	{"standing shares, peer transfers", newPeers},
	{"gentiancroft: owner's shares and loans", newMachinePolicy},
}

const machinePolicyIndex, centralIndex = 4, 0

// summary sums up the results of one policy on one trace.
type summary struct {
	over           core.Tokens // maximum over-grant of a workspace
	refused        int         // requests of workspaces within their rate
	within         int         // all requests of workspaces within their rate
	waited         int         // decided after a round trip
	allRequests    int
	messages       float64 // per request
	flooderPercent float64 // tokens used by a workspace over its rate, in percent of its rate
}

// Run measures every policy on every trace.
func Run(seed uint64) (measure.Report, error) {
	rep := measure.Report{Name: "limits", Seed: seed}
	var worst worstCases
	for _, t := range Traces() {
		table := measure.Table{Title: t.Name, Columns: []string{
			"over-grant, tokens", "refused within rate, %", "above central, %", "decided after a round trip, %",
			"messages/request", "used of its rate by a tenant over it, %",
		}}
		arrivals := t.Arrivals(seed)
		var central summary
		for i, w := range policies {
			x := measurePolicy(t, w, seed, arrivals)
			if i == centralIndex {
				central = x
			}
			extra := percent(x.refused-central.refused, x.within)
			table.Rows = append(table.Rows, measure.Row{Label: w.name, Values: []float64{
				float64(x.over), percent(x.refused, x.within), extra, percent(x.waited, x.allRequests), x.messages, x.flooderPercent,
			}})
			if i == machinePolicyIndex {
				worst.add(t, x, extra)
			}
		}
		rep.Tables = append(rep.Tables, table)
	}
	tables, targets := measurePace(seed)
	rep.Tables = append(rep.Tables, tables...)
	rep.Targets = append(worst.targets(), targets...)
	return rep, nil
}

func percent(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return 100 * float64(n) / float64(of)
}

func measurePolicy(t Trace, w namedPolicy, seed uint64, arrivals []Arrival) summary {
	world := newWorld(t, seed)
	o := run(world, w.start(world), arrivals)
	x := summary{over: o.MaxOverGrant(t), allRequests: o.Requests, messages: float64(o.Messages) / float64(max(1, o.Requests))}
	for _, tenant := range t.Tenants {
		c := o.CountsByWorkspace[tenant.Limit.Workspace]
		x.waited += c.Waited
		if tenant.OfferedFraction <= 1 {
			x.refused += c.Refused
			x.within += c.Requests
			continue
		}
		x.flooderPercent = 100 * float64(c.UsedTokens) / (float64(tenant.Limit.Rate) * t.Duration.Seconds())
	}
	return x
}

// worstCases collects the worst values for the targets.
type worstCases struct {
	over                          core.Tokens
	refusedCalm, refusedHostsLost float64 // percent refused above central, without faults and with hosts lost
	messages, waited              float64 // without faults, at today's sizes
	messagesAll, waitedAll        float64 // on all traces
}

// maxHostsToday is the largest number of entry hosts of today's deployments.
const maxHostsToday = 8

func (b *worstCases) add(t Trace, x summary, extra float64) {
	b.over = max(b.over, x.over)
	waited := percent(x.waited, x.allRequests)
	switch {
	case t.NoFaults && t.Hosts <= maxHostsToday:
		b.refusedCalm = max(b.refusedCalm, extra)
		b.messages = max(b.messages, x.messages)
		b.waited = max(b.waited, waited)
	case t.NoFaults:
		b.refusedCalm = max(b.refusedCalm, extra)
	case t.HostsLost:
		b.refusedHostsLost = max(b.refusedHostsLost, extra)
	}
	b.messagesAll = max(b.messagesAll, x.messages)
	b.waitedAll = max(b.waitedAll, waited)
}

func (b *worstCases) targets() []measure.Target {
	under := func(name string, bound, measured float64, unit string) measure.Target {
		return measure.Target{Name: name, Bound: fmt.Sprintf("<= %g%s", bound, unit), Measured: measured, Met: measured <= bound}
	}
	return []measure.Target{
		under("over-grant, all traces, tokens", 0, float64(b.over), ""),
		under("refused within the rate above central, calm traces, worst", 0.1, b.refusedCalm, " %"),
		under("refused within the rate above central, hosts lost, worst", 2, b.refusedHostsLost, " %"),
		under("messages a request, calm traces at today's sizes, worst", 0.2, b.messages, ""),
		under("decided after a round trip, calm traces at today's sizes, worst", 1, b.waited, " %"),
		under("messages a request, all traces, worst", 0.2, b.messagesAll, ""),
		under("decided after a round trip, all traces, worst", 1, b.waitedAll, " %"),
	}
}
