package limits

import (
	"fmt"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/table"
	"gentiancroft/internal/measure"
)

// Hosts that admit alone, from what they last heard of each other: internal/core/quota beside the
// rule of the previous build and baselines.

const (
	gossipInterval = 300 * time.Millisecond
	paceSlice      = 100 * time.Millisecond
	paceWindow     = 8 * time.Second
	paceLength     = 30 * time.Second
	paceSettling   = time.Second // not counted in the slices and the usage
	// paceOvershoot and paceSlack bound what may reach replicas in paceWindow.
	paceOvershoot, paceSlack = 1.1, 17000
	// urgentFraction is the fraction of the requests that are urgent.
	urgentFraction = 0.3
	urgentRank     = 0
	otherRank      = 2
	// maxVariation stands for the variation where a slice is empty.
	maxVariation = 1000
)

const paced core.WorkspaceID = "w"

// gate admits requests at the hosts of a fleet.
type gate interface {
	admit(now core.Instant, slot int, r quota.Request) bool
	gossip(now core.Instant, slot int) // the slot's host sends its heartbeat
}

// paceTrace is the demand for one workspace.
type paceTrace struct {
	name    string
	hosts   int
	tenant  Tenant
	overall float64 // demand as a multiple of the rate
}

func paceTraces() []paceTrace {
	var all []paceTrace
	for _, hosts := range []int{12, 70} {
		uneven := evenWeights(hosts)
		uneven[0] = 10
		for _, t := range []paceTrace{
			{name: "within its rate", overall: 0.8},
			{name: "4x its rate", overall: 4},
			{name: "4x its rate, one host gets 10 times the others' demand", overall: 4, tenant: Tenant{Weights: uneven}},
		} {
			t.hosts = hosts
			t.name = fmt.Sprintf("hosts that admit alone, %d hosts, workspace asks %s", hosts, t.name)
			if t.tenant.Weights == nil {
				t.tenant.Weights = evenWeights(hosts)
			}
			t.tenant.Limit = limit.Limit{Workspace: paced, Rate: 1_000_000, Burst: 1_000_000}
			t.tenant.OfferedFraction, t.tenant.MeanReservation, t.tenant.UsedFraction = t.overall, 1000, 1
			all = append(all, t)
		}
	}
	return all
}

var gates = []struct {
	name  string
	start func(t paceTrace) gate
}{
	{"central bucket, full knowledge", newCentralGate},
	{"static equal split", newStaticGate},
	{"level alone (previous build)", newLevelGate},
	{"own pace", newPaceGate},
}

const paceGateIndex = 3

// paceOutcome is the result of one gate on one trace.
type paceOutcome struct {
	slices            []float64
	asked, served     map[int]float64
	refused, requests int
	rate, burst       float64
}

func runGate(t paceTrace, g gate, seed uint64) *paceOutcome {
	loop := &EventLoop{Rand: core.NewRand(seed)}
	o := &paceOutcome{
		slices: make([]float64, int(paceLength/paceSlice)), asked: map[int]float64{}, served: map[int]float64{},
		rate: float64(t.tenant.Limit.Rate), burst: float64(t.tenant.Limit.Burst),
	}
	for slot := range t.hosts {
		loop.After(time.Duration(loop.Rand.Int64N(int64(gossipInterval))), func() {
			g.gossip(loop.Now, slot)
			loop.Every(gossipInterval, func() { g.gossip(loop.Now, slot) })
		})
	}
	for _, a := range t.tenant.arrivals(core.NewRand(seed+1), core.Instant(paceLength)) {
		rank := otherRank
		if loop.Rand.Float64() < urgentFraction {
			rank = urgentRank
		}
		r := quota.Request{Workspace: paced, Cost: a.ReservedTokens, Rank: rank, Hash: core.ShortHash(string(a.ID))}
		loop.At(a.At, func() { o.count(loop.Now, r, g.admit(loop.Now, a.Slot, r)) })
	}
	loop.RunUntil(core.Instant(paceLength))
	return o
}

func (o *paceOutcome) count(now core.Instant, r quota.Request, admitted bool) {
	o.requests++
	o.asked[r.Rank]++
	if !admitted {
		o.refused++
		return
	}
	o.served[r.Rank]++
	o.slices[time.Duration(now)/paceSlice] += float64(r.Cost)
}

func total(x []float64) (sum float64) {
	for _, v := range x {
		sum += v
	}
	return sum
}

// ofAllowed is the highest sum of a window as a fraction of what is allowed.
func (o *paceOutcome) ofAllowed() float64 {
	n, highest := int(paceWindow/paceSlice), 0.0
	for from := 0; from+n <= len(o.slices); from++ {
		highest = max(highest, total(o.slices[from:from+n]))
	}
	return highest / ((o.rate*paceWindow.Seconds()+o.burst)*paceOvershoot + paceSlack)
}

func (o *paceOutcome) settled() []float64 { return o.slices[paceSettling/paceSlice:] }

// variation is the highest slice divided by the lowest.
func (o *paceOutcome) variation() float64 {
	x := o.settled()
	if lowest := slices.Min(x); lowest > 0 {
		return min(slices.Max(x)/lowest, maxVariation)
	}
	return maxVariation
}

// usage is the admitted fraction of the rate.
func (o *paceOutcome) usage() float64 {
	x := o.settled()
	return total(x) / (o.rate * paceSlice.Seconds() * float64(len(x)))
}

// measurePace measures every gate on every trace.
func measurePace(seed uint64) (tables []measure.Table, targets []measure.Target) {
	worst := paceOutcomes{lowestUsage: 1}
	for _, t := range paceTraces() {
		x := measure.Table{Title: t.name, Columns: []string{
			"highest 8 s of allowed", "100 ms slices, highest / lowest", "used of its rate, %", "refused, %", "urgent served, %", "others served, %",
		}}
		for i, g := range gates {
			o := runGate(t, g.start(t), seed)
			x.Rows = append(x.Rows, measure.Row{Label: g.name, Values: []float64{
				o.ofAllowed(), o.variation(), 100 * o.usage(), percent(o.refused, o.requests),
				100 * o.served[urgentRank] / o.asked[urgentRank], 100 * o.served[otherRank] / o.asked[otherRank],
			}})
			if i == paceGateIndex {
				worst.add(t, o)
			}
		}
		tables = append(tables, x)
	}
	return tables, worst.targets()
}

// paceOutcomes collects the worst values for the targets.
type paceOutcomes struct {
	ofAllowed, variation, lowestUsage, refusedCalm float64
}

func (w *paceOutcomes) add(t paceTrace, o *paceOutcome) {
	w.ofAllowed = max(w.ofAllowed, o.ofAllowed())
	if t.overall <= 1 {
		w.refusedCalm = max(w.refusedCalm, percent(o.refused, o.requests))
		return
	}
	w.variation = max(w.variation, o.variation())
	w.lowestUsage = min(w.lowestUsage, o.usage())
}

func (w *paceOutcomes) targets() []measure.Target {
	return []measure.Target{
		{Name: "own pace: highest 8 s of allowed, worst", Bound: "<= 1", Measured: w.ofAllowed, Met: w.ofAllowed <= 1},
		{Name: "own pace: 100 ms slices over the rate, highest / lowest, worst", Bound: "< 2", Measured: w.variation, Met: w.variation < 2},
		{Name: "own pace: used of the rate under demand, worst", Bound: ">= 90 %", Measured: 100 * w.lowestUsage, Met: w.lowestUsage >= 0.9},
		{Name: "own pace: refused within the rate, worst", Bound: "<= 0 %", Measured: w.refusedCalm, Met: w.refusedCalm <= 0},
	}
}

// splitGate has one bucket, or one with an equal part for each host.
type splitGate struct{ buckets []*levelBucket }

func newCentralGate(t paceTrace) gate {
	return &splitGate{[]*levelBucket{newLevelBucket(t, 1)}}
}

func newStaticGate(t paceTrace) gate {
	g := &splitGate{}
	for range t.hosts {
		g.buckets = append(g.buckets, newLevelBucket(t, float64(t.hosts)))
	}
	return g
}

func (g *splitGate) admit(now core.Instant, slot int, r quota.Request) bool {
	return g.buckets[slot%len(g.buckets)].admit(now, float64(r.Cost))
}

func (g *splitGate) gossip(core.Instant, int) {}

// levelBucket is a token bucket that admits while it is not in debt.
type levelBucket struct {
	rate, burst, level float64
	at                 core.Instant
}

func newLevelBucket(t paceTrace, parts float64) *levelBucket {
	rate, burst := float64(t.tenant.Limit.Rate)/parts, float64(t.tenant.Limit.Burst)/parts
	return &levelBucket{rate: rate, burst: burst, level: burst}
}

func (b *levelBucket) refill(now core.Instant) {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.burst)
	b.at = now
}

func (b *levelBucket) admit(now core.Instant, cost float64) bool {
	b.refill(now)
	if b.level <= 0 {
		return false
	}
	b.level -= cost
	return true
}

// levelGate is the rule of the previous build: every host has a copy of the fleet's bucket.
type levelGate struct {
	copies []*levelBucket
	unsent []float64 // tokens admitted since the last heartbeat
}

func newLevelGate(t paceTrace) gate {
	g := &levelGate{unsent: make([]float64, t.hosts)}
	for range t.hosts {
		g.copies = append(g.copies, newLevelBucket(t, 1))
	}
	return g
}

func (g *levelGate) admit(now core.Instant, slot int, r quota.Request) bool {
	if !g.copies[slot].admit(now, float64(r.Cost)) {
		return false
	}
	g.unsent[slot] += float64(r.Cost)
	return true
}

func (g *levelGate) gossip(now core.Instant, slot int) {
	for other, b := range g.copies {
		if other != slot {
			b.refill(now)
			b.level = max(b.level-g.unsent[slot], -b.burst-b.rate)
		}
	}
	g.unsent[slot] = 0
}

// paceGate is internal/core/quota.
type paceGate struct{ hosts []*quota.Machine }

func newPaceGate(t paceTrace) gate {
	g := &paceGate{}
	for range t.hosts {
		m := quota.New(false)
		m.Configure(0, map[core.WorkspaceID]*table.Workspace{
			paced: {ID: paced, Rate: float64(t.tenant.Limit.Rate), Burst: float64(t.tenant.Limit.Burst)},
		})
		g.hosts = append(g.hosts, m)
	}
	return g
}

func (g *paceGate) admit(now core.Instant, slot int, r quota.Request) bool {
	ok, _ := g.hosts[slot].Admit(now, r)
	return ok
}

func (g *paceGate) gossip(now core.Instant, slot int) {
	from := g.hosts[slot]
	from.SetHosts(now, len(g.hosts))
	name := core.HostID(fmt.Sprint(slot))
	for other, to := range g.hosts {
		if other != slot {
			to.ApplyTotals(now, name, from.Admitted())
			to.ApplyAsked(now, name, time.Duration(now), from.Asked())
		}
	}
}
