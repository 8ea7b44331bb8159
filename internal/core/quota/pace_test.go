package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

const (
	trialStep     = 10 * time.Millisecond
	trialSlice    = 100 * time.Millisecond
	trialGossip   = 300 * time.Millisecond
	slicesPer8s   = int(8 * time.Second / trialSlice)
	stepsPerSlice = int(trialSlice / trialStep)
)

// trial is a fleet whose hosts admit one workspace's requests in virtual time.
type trial struct {
	hosts       int
	rate, burst float64
	cost        int64
	length      time.Duration
	demand      func(now time.Duration) float64 // of all hosts, as a multiple of the rate
	weights     []float64                       // of the hosts' demand; nil: equal
	urgentShare float64                         // share of the demand that has rank 0; the rest has rank 2
	legacy      int                             // the first so many hosts are of the previous build
	inPhase     bool                            // all hosts send their heartbeats at the same time
	joining     bool
	event       func(tr *trialRun, now time.Duration) // faults; called at each step
	seed        uint64
}

// trialHost is one host of a trial.
type trialHost struct {
	m       *Machine
	name    core.HostID
	dead    bool
	group   int // hosts of one group hear each other
	phase   time.Duration
	started time.Duration
}

// trialRun is the state and the result of a trial.
type trialRun struct {
	trial
	rng              *core.Rand
	all              []*trialHost
	admitted         []float64       // tokens, by slice
	byHost           []float64       // tokens admitted
	askedRank, rankN map[int]float64 // tokens asked and admitted, by rank
	refused, asked   int             // requests
	waits            map[float64]int // Retry-After of refused requests
	refusedBySlice   map[int]int
}

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

func (tr *trialRun) startHost(i int, joining bool, now time.Duration) {
	h := tr.all[i]
	h.m = New(joining)
	h.m.SetHosts(core.Instant(now), tr.hosts)
	h.m.Configure(core.Instant(now), workspaces(tr.rate, tr.burst))
	h.started = now
	h.name = core.HostID(fmt.Sprintf("%d/%d", i, now))
}

// admitLegacy decides as the previous build did: by the level alone.
func admitLegacy(m *Machine, now core.Instant, cost int64) bool {
	b := m.buckets["w"]
	m.refill(now, b)
	if b.level <= 0 {
		return false
	}
	b.level -= float64(cost)
	m.admitted["w"] += cost
	return true
}

func (t trial) run() *trialRun {
	tr := &trialRun{trial: t, rng: core.NewRand(t.seed + 1), byHost: make([]float64, t.hosts), askedRank: map[int]float64{}, rankN: map[int]float64{}, waits: map[float64]int{}, refusedBySlice: map[int]int{}}
	if tr.weights == nil {
		tr.weights = slices.Repeat([]float64{1}, t.hosts)
	}
	for i := range t.hosts {
		h := &trialHost{phase: time.Duration(tr.rng.Int64N(int64(trialGossip/trialStep))) * trialStep}
		if t.inPhase {
			h.phase = 0
		}
		tr.all = append(tr.all, h)
		tr.startHost(i, t.joining, 0)
	}
	for now := time.Duration(0); now < t.length; now += trialStep {
		if now%trialSlice == 0 {
			tr.admitted = append(tr.admitted, 0)
		}
		if t.event != nil {
			t.event(tr, now)
		}
		tr.request(now)
		tr.gossip(now)
	}
	return tr
}

// request lets the requests of one step arrive: a Poisson number of them.
func (tr *trialRun) request(now time.Duration) {
	mean := tr.demand(now) * tr.rate * trialStep.Seconds() / float64(tr.cost)
	total := 0.0
	for _, w := range tr.weights {
		total += w
	}
	for left := tr.rng.ExpFloat64(); left < mean; left += tr.rng.ExpFloat64() {
		x, i := tr.rng.Float64()*total, 0
		for ; i < tr.hosts-1 && x >= tr.weights[i]; i++ {
			x -= tr.weights[i]
		}
		tr.ask(now, i)
	}
}

func (tr *trialRun) ask(now time.Duration, i int) {
	h := tr.all[i]
	for h.dead { // its callers go to the next host
		i = (i + 1) % tr.hosts
		h = tr.all[i]
	}
	rank := 0
	if tr.rng.Float64() >= tr.urgentShare {
		rank = 2
	}
	tr.asked++
	tr.askedRank[rank] += float64(tr.cost)
	ok, wait := false, time.Duration(0)
	if i < tr.legacy {
		ok = admitLegacy(h.m, core.Instant(now), tr.cost)
	} else {
		ok, wait = h.m.Admit(core.Instant(now), Request{Workspace: "w", Cost: core.Tokens(tr.cost), Rank: rank, Hash: uint32(tr.rng.Uint64())})
	}
	if !ok {
		tr.refused++
		tr.refusedBySlice[int(now/trialSlice)]++
		tr.waits[wait.Seconds()]++
		return
	}
	tr.admitted[len(tr.admitted)-1] += float64(tr.cost)
	tr.byHost[i] += float64(tr.cost)
	tr.rankN[rank] += float64(tr.cost)
}

func (tr *trialRun) gossip(now time.Duration) {
	for _, h := range tr.all {
		if now%trialSlice == 0 {
			h.m.SetHosts(core.Instant(now), tr.live())
		}
	}
	for i, from := range tr.all {
		if from.dead || (now+from.phase)%trialGossip != 0 {
			continue
		}
		asked := from.m.Asked()
		if i < tr.legacy {
			asked = from.m.Admitted()
		}
		for j, to := range tr.all {
			if i == j || to.dead || to.group != from.group {
				continue
			}
			if !to.m.HasTotals(from.name) && from.started < to.started {
				to.m.SetTotals(from.name, from.m.Admitted())
			}
			to.m.ApplyTotals(core.Instant(now), from.name, from.m.Admitted())
			to.m.ApplyAsked(core.Instant(now), from.name, now-from.started, asked)
		}
	}
}

func (tr *trialRun) live() (n int) {
	for _, h := range tr.all {
		if !h.dead {
			n++
		}
	}
	return n
}

// setGroups partitions the fleet.
func (tr *trialRun) setGroups(now time.Duration, group func(i int) int) {
	sizes := map[int]int{}
	for i, h := range tr.all {
		h.group = group(i)
		sizes[h.group]++
	}
	for _, h := range tr.all {
		h.m.SetReachableFraction(core.Instant(now), float64(sizes[h.group])/float64(tr.hosts))
	}
}

// sumOver8s returns the highest sum of any 8 s.
func (tr *trialRun) sumOver8s() (highest float64) {
	for from := 0; from+slicesPer8s <= len(tr.admitted); from++ {
		highest = max(highest, sumOf(tr.admitted[from:from+slicesPer8s]))
	}
	return highest
}

func sumOf(x []float64) (total float64) {
	for _, v := range x {
		total += v
	}
	return total
}

// keepsRate reports whether every 8 s stay within what may reach replicas.
func (tr *trialRun) keepsRate() bool {
	const overshoot, slack = 1.1, 17000
	return tr.sumOver8s() <= (tr.rate*8+tr.burst)*overshoot+slack
}

// usage is the fraction of the rate that was admitted from a time on.
func (tr *trialRun) usage(from time.Duration) float64 {
	x := tr.admitted[from/trialSlice:]
	return sumOf(x) / (tr.rate * trialSlice.Seconds() * float64(len(x)))
}

// variation is the highest slice from a time on divided by the lowest.
func (tr *trialRun) variation(from time.Duration) float64 {
	x := tr.admitted[from/trialSlice:]
	if slices.Min(x) == 0 {
		return math.Inf(1)
	}
	return slices.Max(x) / slices.Min(x)
}

func (tr *trialRun) servedShare(rank int) float64 { return tr.rankN[rank] / tr.askedRank[rank] }

func (tr *trialRun) log(t *testing.T) {
	t.Helper()
	bound := (tr.rate*8+tr.burst)*1.1 + 17000
	t.Logf("%d hosts: 8 s %.0f of %.0f allowed (%.2f), usage %.3f, variation after 1 s %.2f, refused %d of %d, served urgent %.2f, others %.2f",
		tr.hosts, tr.sumOver8s(), bound, tr.sumOver8s()/bound, tr.usage(time.Second), tr.variation(time.Second), tr.refused, tr.asked, tr.servedShare(0), tr.servedShare(2))
}

// fourfold is a workspace that asks 4 times its rate from the start.
func fourfold(hosts int) trial {
	return trial{hosts: hosts, rate: 1_000_000, burst: 1_000_000, cost: 1000, length: 16 * time.Second, demand: constant(4), urgentShare: 1}
}

// Guards against admitting in waves: all hosts admit until they hear of each other, and then
// all refuse until the debt is paid back.
func TestAdmissionUnderOverloadIsEven(t *testing.T) {
	for _, hosts := range []int{1, 4, 20, 70} {
		for _, inPhase := range []bool{false, true} {
			for _, burst := range []float64{0.3, 1} {
				t.Run(fmt.Sprintf("%d hosts, in phase %v, burst %g", hosts, inPhase, burst), func(t *testing.T) {
					is := is.New(t)
					x := fourfold(hosts)
					x.inPhase = inPhase
					x.burst *= burst
					tr := x.run()
					tr.log(t)
					is.True(tr.variation(time.Second) < 2)
					is.True(tr.keepsRate())
					is.True(tr.usage(time.Second) >= 0.9)
				})
			}
		}
	}
}

// Guards against waves where hosts admit few requests each: a host of 70 has room for 1.2 a second.
func TestAdmissionOfLargeRequestsIsEven(t *testing.T) {
	for _, hosts := range []int{12, 70} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			x := fourfold(hosts)
			x.rate, x.burst, x.cost = 94030, 94030, 1100
			tr := x.run()
			tr.log(t)
			is.True(tr.keepsRate())
			is.True(tr.usage(time.Second) >= 0.9)
			for from := 10; from+5 <= len(tr.admitted); from++ { // 0.5 s: 43 requests
				half := sumOf(tr.admitted[from:from+5]) / (tr.rate / 2)
				is.True(half > 0.5 && half < 1.5)
			}
		})
	}
}

// The trial itself: where all hosts decide by the level alone, it shows the waves.
func TestTrialShowsTheWavesOfThePreviousBuild(t *testing.T) {
	for _, hosts := range []int{20, 70} {
		x := fourfold(hosts)
		x.legacy = hosts
		tr := x.run()
		tr.log(t)
		is.New(t).True(tr.variation(time.Second) > 10)
	}
}

// Guards against hosts that get the same pace whatever is asked of them, and against a pace that
// follows demand too late.
func TestPaceFollowsDemandBetweenHosts(t *testing.T) {
	for _, hosts := range []int{4, 20, 70} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			x := fourfold(hosts)
			x.weights = slices.Repeat([]float64{1}, hosts)
			x.weights[0] = 10
			x.length = 30 * time.Second
			x.event = func(tr *trialRun, now time.Duration) {
				if now == 15*time.Second { // the demand moves
					tr.weights[0], tr.weights[1] = 1, 10
					clear(tr.byHost)
				}
			}
			tr := x.run()
			tr.log(t)
			is.True(tr.keepsRate())
			is.True(tr.usage(time.Second) >= 0.9)
			fair := 10 / float64(hosts+9)
			got := tr.byHost[1] / sumOf(tr.byHost)
			t.Logf("share of the host with the most demand: %.3f, fair %.3f", got, fair)
			is.True(got > 0.75*fair && got < 1.25*fair)
		})
	}
}

// Guards against urgent requests that are refused as often as others, and against others that starve.
func TestUrgentRequestsGoFirst(t *testing.T) {
	for _, hosts := range []int{4, 20, 70} {
		for _, urgent := range []float64{0.15, 0.5, 0.9} {
			t.Run(fmt.Sprintf("%d hosts, %g urgent", hosts, urgent), func(t *testing.T) {
				is := is.New(t)
				x := fourfold(hosts)
				x.urgentShare = urgent
				tr := x.run()
				tr.log(t)
				is.True(tr.keepsRate())
				is.True(tr.usage(time.Second) >= 0.9)
				is.True(tr.servedShare(0) > tr.servedShare(2))
				served := (tr.rankN[0] + tr.rankN[2]) / (tr.askedRank[0] + tr.askedRank[2])
				quarter := tr.rankN[2] >= 0.25*0.9*tr.rate*tr.length.Seconds()
				is.True(quarter || tr.servedShare(2) > 0.75*served) // of the pace, or served nearly as often as all
				if urgent*4 < 0.75 {
					is.True(tr.servedShare(0) >= 0.9) // all of it has room
				}
			})
		}
	}
}

// Guards against refusing a workspace that is within its rate, for instance on a host with few
// requests, whose pace is low.
func TestWorkspaceWithinItsRateIsNotRefused(t *testing.T) {
	for _, hosts := range []int{1, 4, 20, 70} {
		for _, cost := range []int64{1000, 20_000} {
			t.Run(fmt.Sprintf("%d hosts, %d tokens", hosts, cost), func(t *testing.T) {
				is := is.New(t)
				x := fourfold(hosts)
				x.cost, x.length = cost, 30*time.Second
				x.demand = func(now time.Duration) float64 { return 0.75 + 0.15*math.Sin(now.Seconds()) }
				tr := x.run()
				is.Equal(tr.refused, 0)
			})
		}
	}
}

// Guards against a host that has just started, whose bucket is low and who knows no other host's
// demand, and that refuses a workspace within its rate.
func TestRestartsInCalmRefuseNothing(t *testing.T) {
	for _, hosts := range []int{8, 20, 70} {
		for _, cost := range []int64{1100, 11_000} {
			t.Run(fmt.Sprintf("%d hosts, %d tokens", hosts, cost), func(t *testing.T) {
				x := fourfold(hosts)
				x.cost, x.demand, x.event = cost, constant(0.8), restartInTurn
				is.New(t).Equal(x.run().refused, 0)
			})
		}
	}
}

// restartInTurn restarts a host every half second.
func restartInTurn(tr *trialRun, now time.Duration) {
	const every = 500 * time.Millisecond
	if now >= 4*time.Second && now%every == 0 {
		tr.startHost(int(now/every)%tr.hosts, true, now)
	}
}

// Guards against a workspace that is refused after its overload has ended, and against waves when
// it begins in a running fleet.
func TestOverloadBeginsAndEnds(t *testing.T) {
	for _, hosts := range []int{4, 20, 70} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			x := fourfold(hosts)
			x.length = 40 * time.Second
			x.demand = func(now time.Duration) float64 {
				if now >= 10*time.Second && now < 25*time.Second {
					return 7.5
				}
				return 0.7
			}
			tr := x.run()
			tr.log(t)
			is.True(tr.keepsRate())
			is.True((&trialRun{trial: x, admitted: tr.admitted[:250]}).variation(11*time.Second) < 2)
			late := 0
			for slice, n := range tr.refusedBySlice {
				if slice >= 280 { // 3 s after its end
					late += n
				}
			}
			is.Equal(late, 0)
		})
	}
}

// Guards against losing the rate, or its use, where hosts of the previous build admit by the level.
func TestHostsOfThePreviousBuildBeside(t *testing.T) {
	for _, legacy := range []int{1, 10, 19} {
		t.Run(fmt.Sprint(legacy), func(t *testing.T) {
			is := is.New(t)
			x := fourfold(20)
			x.legacy = legacy
			tr := x.run()
			tr.log(t)
			is.True(tr.keepsRate())
			is.True(tr.usage(time.Second) >= 0.9)
			mine := sumOf(tr.byHost[legacy:]) / sumOf(tr.byHost) / (float64(20-legacy) / 20)
			t.Logf("share of the hosts of this build, of a fair one: %.2f", mine)
			is.True(mine > 0.4)
		})
	}
}

// Guards against losing the rate, or its use, where hosts die, others start, and all restart.
func TestPaceKeepsTheRateWhenHostsChange(t *testing.T) {
	events := map[string]func(tr *trialRun, now time.Duration){
		"half die": func(tr *trialRun, now time.Duration) {
			if now == 6*time.Second {
				for _, h := range tr.all[:tr.hosts/2] {
					h.dead = true
				}
			}
		},
		"hosts restart in turn": restartInTurn,
		"all restart": func(tr *trialRun, now time.Duration) {
			if now == 8*time.Second {
				for i := range tr.all {
					tr.startHost(i, true, now)
				}
			}
		},
	}
	for name, event := range events {
		for _, hosts := range []int{8, 20, 70} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				is := is.New(t)
				x := fourfold(hosts)
				x.length, x.event = 24*time.Second, event
				tr := x.run()
				tr.log(t)
				is.True(tr.keepsRate())
				is.True(tr.usage(time.Second) >= 0.9)
			})
		}
	}
}

// Guards against sides of a partition that together admit more than the rate, and against hosts
// that stay slow after it.
func TestPaceKeepsTheRateInPartitions(t *testing.T) {
	for _, hosts := range []int{4, 20, 70} {
		for _, groups := range []int{2, 3, hosts} {
			t.Run(fmt.Sprintf("%d hosts in %d groups", hosts, groups), func(t *testing.T) {
				is := is.New(t)
				x := fourfold(hosts)
				x.length = 30 * time.Second
				x.event = func(tr *trialRun, now time.Duration) {
					switch now {
					case 6 * time.Second:
						tr.setGroups(now, func(i int) int { return i % groups })
					case 16 * time.Second:
						tr.setGroups(now, func(int) int { return 0 })
					}
				}
				tr := x.run()
				tr.log(t)
				is.True(tr.keepsRate())
				is.True(tr.usage(time.Second) >= 0.9)
				is.True(tr.usage(22*time.Second) >= 0.9)
			})
		}
	}
}

// Guards against refused callers that come back together.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	tr := fourfold(20).run()
	most := 0
	for wait, n := range tr.waits {
		is.True(wait >= minRetryAfter.Seconds() && wait <= maxRetryAfter.Seconds())
		most = max(most, n)
	}
	is.True(len(tr.waits) > 1000)
	is.True(float64(most) < 0.02*float64(tr.refused))
	is.Equal(spread(0, 0, 3), minRetryAfter)
	is.Equal(spread(time.Hour, math.MaxUint32, 3), maxRetryAfter)
	is.Equal(spread(time.Second, 0, 0), time.Second)
}

// Guards against ranks that take what is reserved for less urgent ones, or leave room unused.
func TestRankRates(t *testing.T) {
	for _, c := range []struct{ demand, want [ranks]float64 }{
		{[ranks]float64{400}, [ranks]float64{100, 25, 25, 25}},
		{[ranks]float64{400, 0, 400}, [ranks]float64{75, 25, 25, 25}},
		{[ranks]float64{20, 0, 400}, [ranks]float64{40, 25, 80, 25}},
		{[ranks]float64{400, 400, 0, 400}, [ranks]float64{75, 18.75, 25, 6.25}},
		{[ranks]float64{380, 0, 20}, [ranks]float64{96, 25, 4, 25}}, // served 0.8 times as often as all
	} {
		is.New(t).Equal(rankRates(100, c.demand), c.want)
	}
}
