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

// Measure compares queues before an upstream.
var Measure = measure.Measure{
	Name:  "fairness",
	Short: "served and entitled tokens, and waits, of the worst-served workspace",
	Run:   Run,
}

// tenant is a workspace of the trace.
type tenant struct {
	name    core.WorkspaceID
	weight  int     // its rate, and its weight in the queue
	sends   float64 // times its rate
	tokens  core.Tokens
	entries []int // the entry hosts its callers use
	class   core.Class
}

const flooder = core.WorkspaceID("flooder")

// tenants: four within their rates, of different sizes and entry hosts, and one
// that sends five times its rate over all hosts.
var tenants = []tenant{
	{"utility", 10, 0.9, 250, []int{0, 1, 2, 3, 4, 5, 6, 7}, core.Interactive},
	{"housing", 10, 0.9, 500, []int{1, 2}, core.Interactive},
	{"homes", 5, 0.9, 150, []int{3}, core.Interactive},
	{"board", 1, 0.9, 100, []int{5}, core.Interactive},
	{flooder, 10, 5, 250, []int{0, 1, 2, 3, 4, 5, 6, 7}, core.Interactive},
}

const lasts = core.Instant(10 * time.Minute)

// trace makes the arrivals of tenants at a load, in parts of the capacity.
func trace(seed uint64, all []tenant, load float64) []arrival {
	total := 0.0
	for _, t := range all {
		total += float64(t.weight) * t.sends
	}
	var out []arrival
	for i, t := range all {
		perSecond := load * capacity * float64(t.weight) * t.sends / total / float64(t.tokens)
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
		if at >= lasts {
			return out
		}
		cost := t.tokens + core.Tokens(r.Int64N(int64(t.tokens)))                    // reserved
		used := max(1, cost*core.Tokens(40+r.Int64N(54))/100)                        // two thirds of it on average
		entry := core.HostID(fmt.Sprint(t.entries[r.IntN(len(t.entries))], "-host")) // begins with the slot
		out = append(out, arrival{used: used, item: admission.Item{
			Request: core.RequestID(fmt.Sprintf("%s/%d", t.name, n)), Entry: entry, Workspace: t.name,
			Weight: t.weight, Class: t.class, Cost: cost, Enqueued: at, Deadline: at.Add(patience),
		}})
	}
}

// alone is the trace's part of one workspace.
func alone(all []arrival, ws core.WorkspaceID) []arrival {
	return slices.DeleteFunc(slices.Clone(all), func(a arrival) bool { return a.item.Workspace != ws })
}

// ownPlaces is a workspace's part of the places by weight.
func ownPlaces(t tenant) int {
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

// worst is the worst-served workspace within its rate.
type worst struct {
	part   float64 // served / entitled
	wait   float64 // p95, seconds
	exceed float64 // the most by which p95 exceeds 1.2 times that alone on its part of the places, seconds
}

// waitBound is how many times its wait alone a workspace within its rate may wait.
const waitBound = 1.2

func judge(r *result, own map[core.WorkspaceID]float64) worst {
	w := worst{part: 1, exceed: -patience.Seconds()}
	for _, t := range tenants {
		if t.name == flooder {
			continue
		}
		s := r.by[t.name]
		w.part = min(w.part, float64(s.got)/float64(s.asked))
		p := p95(s.waits)
		w.wait = max(w.wait, p)
		w.exceed = max(w.exceed, p-waitBound*own[t.name])
	}
	return w
}

// busy is what was served, in percent of the capacity.
func (r *result) busy() float64 {
	sum := core.Tokens(0)
	for _, s := range r.by {
		sum += s.got
	}
	return 100 * float64(sum) / (capacity * lasts.Sub(0).Seconds())
}

type way struct {
	name  string
	start func() queue
}

var ways = []way{
	{"first come, first served", func() queue { return &fifo{} }},
	{"fair queue at each entry host", func() queue { return newPerHost() }},
	{"gentiancroft: fair queue at the owner", func() queue { return newFair(0, 0) }},
	{"gentiancroft: a sixteenth of the places kept for those within their share", func() queue { return newFair(0, places/16) }},
}

const oursAt = 3

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
			own[t.name] = p95(play(newFair(0, 0), alone(all, t.name), ownPlaces(t), lasts).of(t.name).waits)
		}
		for i, w := range ways {
			r := play(w.start(), all, places, lasts)
			x := judge(r, own)
			f := r.by[flooder]
			flood := 100 * float64(f.got) / (float64(f.asked) / 5)
			table.Rows = append(table.Rows, measure.Row{Label: w.name, Values: []float64{100 * x.part, x.wait, x.exceed, flood, r.busy()}})
			if i == oursAt {
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

func targets(load float64, x worst) []measure.Target {
	at := fmt.Sprintf(" at %.0f %% load", load*100)
	return []measure.Target{
		{Name: "worst served/entitled" + at, Bound: ">= 95 %", Measured: 100 * x.part, Met: x.part >= 0.95},
		{Name: "worst p95 wait over 1.2 x its wait alone, s" + at, Bound: "<= 0", Measured: x.exceed, Met: x.exceed <= 0},
	}
}
