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
	Slot      int // entry address that the caller uses
	Workspace core.WorkspaceID
	Tokens    core.Tokens // reserved: prompt and maximum output
	Used      core.Tokens // used by the end
	Lasts     time.Duration
}

// Tenant describes one workspace of a trace and its callers.
type Tenant struct {
	Limit     limit.Limit
	Offered   float64       // offered load as a fraction of the rate, in used tokens
	Tokens    core.Tokens   // mean reservation of a request, which varies by half of it
	UsedPart  float64       // fraction of the reservation used by a completed request
	Cancelled float64       // fraction of the requests that use and last a tenth
	Lasts     time.Duration // mean
	Weights   []float64     // of the slots in the callers' choice
}

// usedFraction returns the expected fraction of a reservation that is used.
func (t Tenant) usedFraction() float64 { return t.UsedPart * (1 - 0.9*t.Cancelled) }

// arrivals returns a tenant's Poisson arrivals before end.
func (t Tenant) arrivals(r *core.Rand, end core.Instant) []Arrival {
	perSecond := t.Offered * float64(t.Limit.Rate) / (float64(t.Tokens) * t.usedFraction())
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
			Slot: pickSlot(r, t.Weights), Workspace: t.Limit.Workspace, Tokens: tokens,
			Used: max(1, core.Tokens(part*float64(tokens))), Lasts: lasts/2 + time.Duration(r.Int64N(int64(lasts)+1)),
		})
	}
}

// pickSlot draws a slot by weight.
func pickSlot(r *core.Rand, weights []float64) int {
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
	Kind string // "lose": the host of Slot crashes; "replace": a new host starts in its slot; "store down", "store up"
	Slot int
	Of   core.WorkspaceID // with "lose": the owner of this workspace crashes instead
}

// Trace describes a fleet, its callers and its faults.
type Trace struct {
	Name    string
	Hosts   int
	Lasts   time.Duration
	Tenants []Tenant
	Faults  []Fault
	Calm    bool // no faults: the stricter target applies
	Faulty  bool // hosts are lost: the weaker target applies
}

// Arrivals returns the arrivals of all tenants, one tenant after the other.
func (t Trace) Arrivals(seed uint64) []Arrival {
	var out []Arrival
	for i, x := range t.Tenants {
		out = append(out, x.arrivals(core.NewRand(seed+uint64(i)*7919), core.Instant(t.Lasts))...)
	}
	return out
}

// evenWeights gives n slots the same weight.
func evenWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

// skewedWeights gives slot i the weight 1/(1+i+shift)^2, in a ring.
func skewedWeights(n, shift int) []float64 {
	w := make([]float64, n)
	for i := range w {
		rank := float64(1 + (i+shift)%n)
		w[i] = 1 / (rank * rank)
	}
	return w
}

// todayTenants returns the five workspaces of today's deployments, a few of
// them large, with a load of the given fraction of their rates.
func todayTenants(hosts int, offered float64, weights func(i int) []float64) []Tenant {
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

// preferredSlots returns the weights of a small workspace, whose callers are
// assigned to few entry hosts: three slots, and rarely another one.
func preferredSlots(hosts, first int) []float64 {
	w := make([]float64, hosts)
	for i := range w {
		w[i] = 0.005
		if (i+hosts-first)%hosts < 3 {
			w[i] = 1
		}
	}
	return w
}

// Traces returns the traces of the measurement.
func Traces() []Trace {
	const hosts, lasts = 8, 10 * time.Minute
	calm := func(i int) []float64 {
		if i >= 3 {
			return preferredSlots(hosts, i)
		}
		return evenWeights(hosts)
	}
	skew := func(i int) []float64 { return skewedWeights(hosts, 3*i) }
	flood := todayTenants(hosts, 0.7, calm)
	flood[1].Offered = 5
	cancel := todayTenants(hosts, 0.8, calm)
	for i := range cancel {
		cancel[i].Cancelled, cancel[i].Tokens = 0.8, 3000
		cancel[i].Lasts = 2 * time.Second
	}
	small := todayTenants(hosts, 0.7, calm)
	small = append(small, Tenant{
		Limit:   limit.Limit{Workspace: "board", Rate: 100, Burst: 1500},
		Offered: 0.5, Tokens: 1000, UsedPart: 0.7, Lasts: 4 * time.Second, Weights: []float64{1, 0.05, 0.05},
	})
	wide := []Tenant{
		{Limit: limit.Limit{Workspace: "wide", Rate: 60_000, Burst: 120_000}, Offered: 0.8, Tokens: 900, UsedPart: 0.7,
			Cancelled: 0.3, Lasts: 4 * time.Second, Weights: evenWeights(350)},
		{Limit: limit.Limit{Workspace: "narrow", Rate: 60_000, Burst: 120_000}, Offered: 0.8, Tokens: 900, UsedPart: 0.7,
			Cancelled: 0.3, Lasts: 4 * time.Second, Weights: evenWeights(6)},
	}
	return []Trace{
		{Name: "even", Hosts: hosts, Lasts: lasts, Tenants: todayTenants(hosts, 0.9, calm), Calm: true},
		{Name: "skewed entry hosts", Hosts: hosts, Lasts: lasts, Tenants: todayTenants(hosts, 0.9, skew), Calm: true},
		{Name: "one tenant at 5x", Hosts: hosts, Lasts: lasts, Tenants: flood, Calm: true},
		{Name: "many cancellations", Hosts: hosts, Lasts: lasts, Tenants: cancel, Calm: true},
		{Name: "a host lost every minute", Hosts: hosts, Lasts: lasts, Tenants: todayTenants(hosts, 0.8, calm), Faults: hostLosses(hosts, lasts), Faulty: true},
		{Name: "owner lost", Hosts: hosts, Lasts: 4 * time.Minute, Tenants: todayTenants(hosts, 0.8, calm), Faulty: true,
			Faults: []Fault{{At: core.Instant(time.Minute), Kind: "lose", Of: "ws0"}}},
		{Name: "store out for 10 min", Hosts: hosts, Lasts: 14 * time.Minute, Tenants: todayTenants(hosts, 0.8, calm),
			Faults: []Fault{{At: core.Instant(2 * time.Minute), Kind: "store down"}, {At: core.Instant(12 * time.Minute), Kind: "store up"}}},
		{Name: "burst of one request", Hosts: hosts, Lasts: lasts, Tenants: small, Calm: true},
		{Name: "350 hosts, rate/350 < a request", Hosts: 350, Lasts: 2 * time.Minute, Tenants: wide, Calm: true},
	}
}

// hostLosses crashes one host per minute, slot after slot; each is replaced
// after 40 s.
func hostLosses(hosts int, lasts time.Duration) []Fault {
	var out []Fault
	for m := 1; time.Duration(m)*time.Minute < lasts; m++ {
		at := core.Instant(time.Duration(m) * time.Minute)
		out = append(out, Fault{At: at, Kind: "lose", Slot: m % hosts}, Fault{At: at.Add(40 * time.Second), Kind: "replace", Slot: m % hosts})
	}
	return out
}
