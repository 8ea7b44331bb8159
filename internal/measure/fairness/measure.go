package fairness

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
	"gentiancroft/internal/measure"
)

// Measure is the measurement as the command line lists it.
var Measure = measure.Measure{
	Name:  "fairness",
	Short: "served and entitled tokens, and waits, of the worst-served workspace",
	Run:   Run,
}

// tenant is a workspace of the trace with its callers.
type tenant struct {
	name         core.WorkspaceID
	weight       int         // its relative rate and its weight in the queue
	rateMultiple float64     // offered load / its rate
	tokens       core.Tokens // minimum reservation of a request; the maximum is twice that
	entries      []int       // entry hosts of its callers
	class        core.Class
}

const flooder = core.WorkspaceID("flooder")

// tenants are four workspaces within their rates, of different sizes and entry
// hosts, and one that sends five times its rate through all hosts.
var tenants = []tenant{
	{"utility", 10, 0.9, 250, []int{0, 1, 2, 3, 4, 5, 6, 7}, core.Interactive},
	{"housing", 10, 0.9, 500, []int{1, 2}, core.Interactive},
	{"homes", 5, 0.9, 150, []int{3}, core.Interactive},
	{"board", 1, 0.9, 100, []int{5}, core.Interactive},
	{flooder, 10, 5, 250, []int{0, 1, 2, 3, 4, 5, 6, 7}, core.Interactive},
}

const traceLength = core.Instant(10 * time.Minute)

// trace returns the arrivals of tenants at a load, a multiple of the capacity,
// in order of time.
func trace(seed uint64, all []tenant, load float64) []arrival {
	total := 0.0
	for _, t := range all {
		total += float64(t.weight) * t.rateMultiple
	}
	var out []arrival
	for i, t := range all {
		perSecond := load * capacityTokensPerSecond * float64(t.weight) * t.rateMultiple / total / float64(t.tokens)
		out = append(out, t.arrivals(core.NewRand(seed+uint64(i)*104729), perSecond)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.item.Enqueued, b.item.Enqueued) })
	return out
}

func (t tenant) arrivals(r *core.Rand, perSecond float64) []arrival {
	var out []arrival
	at := core.Instant(1)
	for n := 0; ; n++ {
		at = at.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		if at >= traceLength {
			return out
		}
		cost := t.tokens + core.Tokens(r.Int64N(int64(t.tokens)))                    // reserved
		used := max(1, cost*core.Tokens(40+r.Int64N(54))/100)                        // two thirds of it on average
		entry := core.HostID(fmt.Sprint(t.entries[r.IntN(len(t.entries))], "-host")) // starts with the number of the host
		out = append(out, arrival{used: used, item: admission.Item{
			Request: core.RequestID(fmt.Sprintf("%s/%d", t.name, n)), Entry: entry, Workspace: t.name,
			Weight: t.weight, Class: t.class, Cost: cost, Enqueued: at, Deadline: at.Add(requestTimeout),
		}})
	}
}

// onlyOf returns the arrivals of one workspace.
func onlyOf(all []arrival, ws core.WorkspaceID) []arrival {
	return slices.DeleteFunc(slices.Clone(all), func(a arrival) bool { return a.item.Workspace != ws })
}

// placesShare returns a workspace's share of the places by weight.
func placesShare(t tenant) int {
	sum := 0
	for _, x := range tenants {
		sum += x.weight
	}
	return max(1, places*t.weight/sum)
}

func p95(d []time.Duration) float64 {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[len(d)*95/100].Seconds()
}

// worstServed is the worst-served workspace within its rate.
type worstServed struct {
	servedFraction float64 // served / entitled
	wait           float64 // p95, seconds
	excessWait     float64 // maximum excess of the p95 over maxWaitRatio times the p95 alone on its share of the places, seconds
}

// maxWaitRatio is the maximum ratio of the wait of a workspace within its rate
// to its wait alone.
const maxWaitRatio = 1.2

func worstOf(r *result, own map[core.WorkspaceID]float64) worstServed {
	w := worstServed{servedFraction: 1, excessWait: -requestTimeout.Seconds()}
	for _, t := range tenants {
		if t.name == flooder {
			continue
		}
		s := r.by[t.name]
		w.servedFraction = min(w.servedFraction, float64(s.servedTokens)/float64(s.offeredTokens))
		p := p95(s.waits)
		w.wait = max(w.wait, p)
		w.excessWait = max(w.excessWait, p-maxWaitRatio*own[t.name])
	}
	return w
}

// utilizationPercent returns the served tokens in percent of the capacity.
func (r *result) utilizationPercent() float64 {
	sum := core.Tokens(0)
	for _, s := range r.by {
		sum += s.servedTokens
	}
	return 100 * float64(sum) / (capacityTokensPerSecond * traceLength.Sub(0).Seconds())
}

// namedQueue is a queue with its name.
type namedQueue struct {
	name  string
	start func() queue
}

var queues = []namedQueue{
	{"first come, first served", func() queue { return &fifo{} }},
	{"fair queue at each entry host", func() queue { return newPerHost() }},
	{"gentiancroft: fair queue at the owner", func() queue { return newOwnerQueue(0, 0) }},
	{"gentiancroft: a sixteenth of the places kept for those within their share", func() queue { return newOwnerQueue(0, places/16) }},
}

const targetQueueIndex = 3

// Run measures every queue at every load.
func Run(seed uint64) (measure.Report, error) {
	rep := measure.Report{Name: "fairness", Seed: seed}
	for _, load := range []float64{0.7, 1.0, 1.5} {
		table := measure.Table{
			Title: fmt.Sprintf("load %.0f %%, one workspace at five times its rate", load*100),
			Columns: []string{
				"worst served/entitled, %", "worst p95 wait, s", "worst p95 over 1.2 x alone, s", "flooder served, % of its rate",
				"all served, % of capacity",
			},
		}
		all := trace(seed, tenants, load)
		own := make(map[core.WorkspaceID]float64)
		for _, t := range tenants {
			own[t.name] = p95(play(newOwnerQueue(0, 0), onlyOf(all, t.name), placesShare(t), traceLength).of(t.name).waits)
		}
		for i, w := range queues {
			r := play(w.start(), all, places, traceLength)
			x := worstOf(r, own)
			f := r.by[flooder]
			flood := 100 * float64(f.servedTokens) / (float64(f.offeredTokens) / 5)
			table.Rows = append(table.Rows, measure.Row{Label: w.name, Values: []float64{100 * x.servedFraction, x.wait, x.excessWait, flood, r.utilizationPercent()}})
			if i == targetQueueIndex {
				rep.Targets = append(rep.Targets, targets(load, x)...)
			}
		}
		rep.Tables = append(rep.Tables, table)
	}
	night, t := overnight(seed)
	rep.Tables = append(rep.Tables, night)
	rep.Targets = append(rep.Targets, t...)
	return rep, nil
}

func targets(load float64, x worstServed) []measure.Target {
	at := fmt.Sprintf(" at %.0f %% load", load*100)
	return []measure.Target{
		{Name: "worst served/entitled" + at, Bound: ">= 95 %", Measured: 100 * x.servedFraction, Met: x.servedFraction >= 0.95},
		{Name: "worst p95 wait over 1.2 x its wait alone, s" + at, Bound: "<= 0", Measured: x.excessWait, Met: x.excessWait <= 0},
	}
}
