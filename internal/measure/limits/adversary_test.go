package limits

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	os.Exit(m.Run())
}

// adversary runs a fleet with callers that use all they can get, under random
// faults.
type adversary struct {
	t         *rapid.T
	loop      *EventLoop
	fleet     *Fleet
	limits    []limit.Limit
	bounds    map[core.WorkspaceID][]Bound
	charges   map[core.WorkspaceID][]Charge
	next      int
	idleUntil core.Instant // callers are idle until then, so that buckets refill
}

// shortSettings has times short enough that terms, horizons and takeovers end
// within a run.
var shortSettings = limit.Settings{ShareTTL: 16 * time.Second, RenewInterval: 5 * time.Second, MinRequestInterval: 2 * time.Second, OutageHorizon: 45 * time.Second}

func newAdversary(t *rapid.T, hosts int, ppm int64) *adversary {
	loop := &EventLoop{Rand: core.NewRand(rapid.Uint64().Draw(t, "seed"))}
	a := &adversary{t: t, loop: loop, bounds: make(map[core.WorkspaceID][]Bound), charges: make(map[core.WorkspaceID][]Charge)}
	links := &Links{EventLoop: loop, OneWay: linkDelay, LossFraction: 0.1, DuplicateFraction: 0.1, DelayFraction: 0.1, MaxExtraDelay: 20 * time.Second}
	a.limits = []limit.Limit{{Workspace: "large", Rate: 1000, Burst: 8000}, {Workspace: "small", Rate: 40, Burst: 300}}
	for _, l := range a.limits {
		a.bounds[l.Workspace] = []Bound{{Rate: l.Rate, Burst: l.Burst}}
	}
	a.fleet = NewFleet(loop, links, hosts, a.limits, shortSettings, ppm)
	loop.Every(50*time.Millisecond, a.requestAtAll)
	return a
}

// requestAtAll sends a request of a random workspace and size through every
// slot.
func (a *adversary) requestAtAll() {
	if a.loop.Now < a.idleUntil {
		return
	}
	if a.loop.Rand.IntN(40) == 0 {
		a.idleUntil = a.loop.Now.Add(time.Duration(a.loop.Rand.Int64N(int64(20 * time.Second))))
	}
	for _, n := range a.fleet.slots {
		l := a.limits[a.loop.Rand.IntN(len(a.limits))]
		tokens := 1 + core.Tokens(a.loop.Rand.Int64N(int64(l.Burst)/4))
		if a.loop.Rand.IntN(20) == 0 {
			tokens = l.Burst
		}
		a.reserve(n, l.Workspace, tokens)
	}
}

func (a *adversary) reserve(n *Node, ws core.WorkspaceID, tokens core.Tokens) {
	a.next++
	id := core.RequestID(fmt.Sprint(a.next))
	n.callbacks[id] = func(granted bool) {
		if granted {
			a.granted(n, id, ws, tokens)
		}
	}
	a.fleet.runStep(n, func() limit.Result { return n.Machine.Reserve(n.now(a.fleet), n.Ownership, id, ws, tokens) })
}

// granted ends a request never, once or several times; only the first end has
// an effect.
func (a *adversary) granted(n *Node, id core.RequestID, ws core.WorkspaceID, tokens core.Tokens) {
	used, ends := tokens, a.loop.Rand.IntN(4)
	if ends > 0 {
		used = core.Tokens(a.loop.Rand.Int64N(int64(tokens) + 1))
	}
	a.charges[ws] = append(a.charges[ws], Charge{ws, a.loop.Now, used})
	for range ends {
		a.loop.After(time.Duration(a.loop.Rand.Int64N(int64(8*time.Second))), func() {
			a.fleet.runStep(n, func() limit.Result {
				r := n.Machine.Settle(n.now(a.fleet), n.Ownership, id, used, true)
				n.Machine.Cancel(n.now(a.fleet), n.Ownership, id) // after the end: has no effect
				return r
			})
		})
	}
}

// reserveAndKeep reserves tokens and uses all of them.
func (a *adversary) reserveAndKeep(n *Node, ws core.WorkspaceID, tokens core.Tokens) {
	id := core.RequestID(fmt.Sprint(a.next))
	n.callbacks[id] = func(granted bool) {
		if granted {
			a.charges[ws] = append(a.charges[ws], Charge{ws, a.loop.Now, tokens})
		}
	}
	a.fleet.runStep(n, func() limit.Result { return n.Machine.Reserve(n.now(a.fleet), n.Ownership, id, ws, tokens) })
}

// fault injects one random fault. Each ends by itself or by a later fault.
func (a *adversary) fault() {
	slot := rapid.IntRange(0, len(a.fleet.slots)-1).Draw(a.t, "slot")
	n := a.fleet.slots[slot]
	span := time.Duration(rapid.IntRange(1, 30).Draw(a.t, "seconds")) * time.Second
	switch rapid.SampledFrom([]string{"lose", "leave", "pause", "isolate", "store", "part", "limit", "none"}).Draw(a.t, "fault") {
	case "leave":
		a.fleet.runStep(n, func() limit.Result { return n.Machine.Leave(n.now(a.fleet), n.Ownership) })
		a.fleet.Crash(n)
		a.fleet.StartHost(slot)
	case "lose":
		a.fleet.Crash(n)
		a.fleet.StartHost(slot)
	case "pause":
		a.fleet.Pause(n, span)
	case "isolate":
		a.fleet.Isolate(n, true)
		a.loop.After(span, func() { a.fleet.Isolate(n, false) })
	case "store":
		a.fleet.leases.StoreDown = true
		a.loop.After(2*span, func() { a.fleet.leases.StoreDown = false })
	case "part": // some hosts are cut off from the others and the store
		a.partition(slot, span)
	case "limit":
		a.changeLimit()
	}
}

func (a *adversary) partition(first int, span time.Duration) {
	away := map[core.HostID]bool{}
	for i := range 1 + len(a.fleet.slots)/2 {
		n := a.fleet.slots[(first+i)%len(a.fleet.slots)]
		away[n.ID] = true
		a.fleet.Isolate(n, true)
		a.loop.After(span, func() { a.fleet.Isolate(n, false) })
	}
	a.fleet.links.Cut = func(from, to core.HostID) bool { return away[from] != away[to] }
	a.loop.After(span, func() { a.fleet.links.Cut = nil })
}

// maxConfigDelay is the maximum time until every live host has applied a change,
// pauses included.
const maxConfigDelay = 40 * time.Second

// changeLimit lowers or restores the large workspace's limit. Until all hosts
// have applied it, the larger limit bounds the charges.
func (a *adversary) changeLimit() {
	was := a.limits[0]
	now := was
	if was.Rate == 1000 {
		now.Rate, now.Burst = 400, 4000
	} else {
		now.Rate, now.Burst = 1000, 8000
	}
	a.limits = []limit.Limit{now, a.limits[1]}
	a.fleet.Configure(a.limits, 4*time.Second)
	a.bounds["large"] = append(a.bounds["large"],
		Bound{a.loop.Now, max(was.Rate, now.Rate), max(was.Burst, now.Burst)},
		Bound{a.loop.Now.Add(maxConfigDelay), now.Rate, now.Burst})
	a.loop.RunUntil(a.loop.Now.Add(maxConfigDelay + time.Second)) // one change at a time
}

func (a *adversary) over() core.Tokens {
	worst := core.Tokens(0)
	for _, l := range a.limits {
		worst = max(worst, MaxOverGrant(a.charges[l.Workspace], a.bounds[l.Workspace]))
	}
	return worst
}

func (a *adversary) play(faults int) {
	a.loop.RunUntil(core.Instant(3 * time.Second))
	for range faults {
		a.fault()
		gap := time.Duration(rapid.IntRange(0, 15).Draw(a.t, "gap")) * time.Second
		a.loop.RunUntil(a.loop.Now.Add(gap))
	}
	a.loop.RunUntil(a.loop.Now.Add(time.Minute))
}

// No workspace gets more than its limit under pauses, crashes, partitions, store
// outages, changes of limits, and messages that are lost, duplicated or 20 s
// late.
func TestNeverOverGrants(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversary(t, rapid.IntRange(1, 5).Draw(t, "hosts"), limit.DefaultDriftPPM)
		a.play(12)
		if over := a.over(); over != 0 {
			t.Fatalf("over-granted by %d tokens", over)
		}
		granted += len(a.charges["large"]) + len(a.charges["small"])
	})
	is := is.New(t)
	is.True(granted > 100*200) // the fleet granted requests
}
