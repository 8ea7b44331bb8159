package limits

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// Arrival is one request of a trace.
type Arrival struct {
	At        core.Instant
	ID        core.RequestID
	Slot      int // which entry address the caller uses
	Workspace core.WorkspaceID
	Tokens    core.Tokens // reserved: prompt and allowed output
	Used      core.Tokens // really used
	Lasts     time.Duration
}

// Tenant is one workspace of a trace and its callers.
type Tenant struct {
	Limit     limit.Limit
	Offered   float64     // of the rate, in reserved tokens less what comes back
	Tokens    core.Tokens // a request reserves half to one and a half of this
	UsedPart  float64     // of the reservation, of a request that ends by itself
	Cancelled float64     // part of the requests that use a tenth of that
	Lasts     time.Duration
	Weights   []float64 // of the slots its callers use
}

// used is the expected part of a reservation that stays charged.
func (t Tenant) used() float64 { return t.UsedPart * (1 - 0.9*t.Cancelled) }

// arrivals makes a tenant's Poisson arrivals up to end.
func (t Tenant) arrivals(r *core.Rand, end core.Instant) []Arrival {
	perSecond := t.Offered * float64(t.Limit.Rate) / (float64(t.Tokens) * t.used())
	var out []Arrival
	at := 0.0
	for n := 0; ; n++ {
		at += r.ExpFloat64() / perSecond
		if core.Instant(at*1e9) >= end {
			return out
		}
		tokens := t.Tokens/2 + core.Tokens(r.Int64N(int64(t.Tokens)+1))
		tokens = min(tokens, t.Limit.Burst)
		part, lasts := t.UsedPart, t.Lasts
		if r.Float64() < t.Cancelled {
			part, lasts = part/10, lasts/10
		}
		out = append(out, Arrival{
			At: core.Instant(at * 1e9), ID: core.RequestID(fmt.Sprintf("%s/%d", t.Limit.Workspace, n)),
			Slot: pick(r, t.Weights), Workspace: t.Limit.Workspace, Tokens: tokens,
			Used: max(1, core.Tokens(part*float64(tokens))), Lasts: lasts/2 + time.Duration(r.Int64N(int64(lasts)+1)),
		})
	}
}

func pick(r *core.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Fault is a change of the fleet at a time.
type Fault struct {
	At   core.Instant
	Kind string // "lose": the host of Slot dies; "replace": a new one takes its slot; "store down", "store up"
	Slot int
	Of   core.WorkspaceID // with "lose": the owner of this workspace, whichever slot it has
}

// Trace is a fleet, its callers and its faults.
type Trace struct {
	Name    string
	Hosts   int
	Lasts   time.Duration
	Tenants []Tenant
	Faults  []Fault
	Calm    bool // no fault: the stricter target holds
	Faulty  bool // hosts are lost: the weaker target holds
}

// Arrivals merges all tenants' arrivals in order of time.
func (t Trace) Arrivals(seed uint64) []Arrival {
	var out []Arrival
	for i, x := range t.Tenants {
		out = append(out, x.arrivals(core.NewRand(seed+uint64(i)*7919), core.Instant(t.Lasts))...)
	}
	return out
}

func even(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

// skewed gives slot i the weight 1/(1+i+shift)^2, in a ring.
func skewed(n, shift int) []float64 {
	w := make([]float64, n)
	for i := range w {
		rank := float64(1 + (i+shift)%n)
		w[i] = 1 / (rank * rank)
	}
	return w
}

// today's five workspaces, a few large, at the given part of their rates.
func today(hosts int, offered float64, weights func(i int) []float64) []Tenant {
	rates := []core.Tokens{24_000, 12_000, 6_000, 2_000, 1_000}
	var out []Tenant
	for i, rate := range rates {
		out = append(out, Tenant{
			Limit:   limit.Limit{Workspace: core.WorkspaceID(fmt.Sprintf("ws%d", i)), Rate: rate, Burst: 20 * rate},
			Offered: offered, Tokens: 900, UsedPart: 0.7, Cancelled: 0.3, Lasts: 4 * time.Second, Weights: weights(i),
		})
	}
	return out
}

// homes are three slots, and now and then another: callers of a small workspace
// are told to use few entry hosts.
func homes(hosts, first int) []float64 {
	w := make([]float64, hosts)
	for i := range w {
		w[i] = 0.005
		if (i+hosts-first)%hosts < 3 {
			w[i] = 1
		}
	}
	return w
}

// Traces are those that the measurement runs.
func Traces() []Trace {
	const hosts, lasts = 8, 10 * time.Minute
	calm := func(i int) []float64 {
		if i >= 3 {
			return homes(hosts, i)
		}
		return even(hosts)
	}
	skew := func(i int) []float64 { return skewed(hosts, 3*i) }
	flood := today(hosts, 0.7, calm)
	flood[1].Offered = 5
	cancel := today(hosts, 0.8, calm)
	for i := range cancel {
		cancel[i].Cancelled, cancel[i].Tokens = 0.8, 3000
		cancel[i].Lasts = 2 * time.Second
	}
	small := today(hosts, 0.7, calm)
	small = append(small, Tenant{
		Limit:   limit.Limit{Workspace: "board", Rate: 100, Burst: 1500},
		Offered: 0.5, Tokens: 1000, UsedPart: 0.7, Lasts: 4 * time.Second, Weights: []float64{1, 0.05, 0.05},
	})
	wide := []Tenant{
		{Limit: limit.Limit{Workspace: "wide", Rate: 60_000, Burst: 120_000}, Offered: 0.8, Tokens: 900, UsedPart: 0.7,
			Cancelled: 0.3, Lasts: 4 * time.Second, Weights: even(350)},
		{Limit: limit.Limit{Workspace: "narrow", Rate: 60_000, Burst: 120_000}, Offered: 0.8, Tokens: 900, UsedPart: 0.7,
			Cancelled: 0.3, Lasts: 4 * time.Second, Weights: even(6)},
	}
	return []Trace{
		{Name: "even", Hosts: hosts, Lasts: lasts, Tenants: today(hosts, 0.9, calm), Calm: true},
		{Name: "skewed entry hosts", Hosts: hosts, Lasts: lasts, Tenants: today(hosts, 0.9, skew), Calm: true},
		{Name: "one tenant at 5x", Hosts: hosts, Lasts: lasts, Tenants: flood, Calm: true},
		{Name: "many cancellations", Hosts: hosts, Lasts: lasts, Tenants: cancel, Calm: true},
		{Name: "a host lost every minute", Hosts: hosts, Lasts: lasts, Tenants: today(hosts, 0.8, calm), Faults: losses(hosts, lasts), Faulty: true},
		{Name: "owner lost", Hosts: hosts, Lasts: 4 * time.Minute, Tenants: today(hosts, 0.8, calm), Faulty: true,
			Faults: []Fault{{At: core.Instant(time.Minute), Kind: "lose", Of: "ws0"}}},
		{Name: "store out for 10 min", Hosts: hosts, Lasts: 14 * time.Minute, Tenants: today(hosts, 0.8, calm),
			Faults: []Fault{{At: core.Instant(2 * time.Minute), Kind: "store down"}, {At: core.Instant(12 * time.Minute), Kind: "store up"}}},
		{Name: "burst of one request", Hosts: hosts, Lasts: lasts, Tenants: small, Calm: true},
		{Name: "350 hosts, rate/350 < a request", Hosts: 350, Lasts: 2 * time.Minute, Tenants: wide, Calm: true},
	}
}

// losses loses one host a minute, round the slots; another takes its slot 40 s later.
func losses(hosts int, lasts time.Duration) []Fault {
	var out []Fault
	for m := 1; time.Duration(m)*time.Minute < lasts; m++ {
		at := core.Instant(time.Duration(m) * time.Minute)
		out = append(out, Fault{At: at, Kind: "lose", Slot: m % hosts}, Fault{At: at.Add(40 * time.Second), Kind: "replace", Slot: m % hosts})
	}
	return out
}
