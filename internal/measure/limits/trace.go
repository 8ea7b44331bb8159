package limits

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// Arrival is one request of a trace.
type Arrival struct {
	At             core.Instant
	ID             core.RequestID
	Slot           int // entry address that the caller uses
	Workspace      core.WorkspaceID
	ReservedTokens core.Tokens // reserved: prompt and maximum output
	UsedTokens     core.Tokens // used by the end
	Duration       time.Duration
}

// Tenant describes one workspace of a trace and its callers.
type Tenant struct {
	Limit             limit.Limit
	OfferedFraction   float64       // offered load as a fraction of the rate, in used tokens
	MeanReservation   core.Tokens   // mean reservation of a request, which varies by half of it
	UsedFraction      float64       // fraction of the reservation used by a completed request
	CancelledFraction float64       // fraction of the requests that use and last a tenth
	MeanDuration      time.Duration // mean
	Weights           []float64     // of the slots in the callers' choice
}

// usedFraction returns the expected fraction of a reservation that is used.
func (t Tenant) usedFraction() float64 { return t.UsedFraction * (1 - 0.9*t.CancelledFraction) }

// arrivals returns a tenant's Poisson arrivals before end.
func (t Tenant) arrivals(r *core.Rand, end core.Instant) []Arrival {
	perSecond := t.OfferedFraction * float64(t.Limit.Rate) / (float64(t.MeanReservation) * t.usedFraction())
	var out []Arrival
	at := 0.0
	for n := 0; ; n++ {
		at += r.ExpFloat64() / perSecond
		if core.Instant(at*1e9) >= end {
			return out
		}
		tokens := t.MeanReservation/2 + core.Tokens(r.Int64N(int64(t.MeanReservation)+1))
		tokens = min(tokens, t.Limit.Burst)
		part, lasts := t.UsedFraction, t.MeanDuration
		if r.Float64() < t.CancelledFraction {
			part, lasts = part/10, lasts/10
		}
		out = append(out, Arrival{
			At: core.Instant(at * 1e9), ID: core.RequestID(fmt.Sprintf("%s/%d", t.Limit.Workspace, n)),
			Slot: pickSlot(r, t.Weights), Workspace: t.Limit.Workspace, ReservedTokens: tokens,
			UsedTokens: max(1, core.Tokens(part*float64(tokens))), Duration: lasts/2 + time.Duration(r.Int64N(int64(lasts)+1)),
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
	At      core.Instant
	Kind    string // "lose": the host of Slot crashes; "replace": a new host starts in its slot; "store down", "store up"
	Slot    int
	OwnerOf core.WorkspaceID // with "lose": the owner of this workspace crashes instead
}

// Trace describes a fleet, its callers and its faults.
type Trace struct {
	Name      string
	Hosts     int
	Duration  time.Duration
	Tenants   []Tenant
	Faults    []Fault
	NoFaults  bool // no faults: the stricter target applies
	HostsLost bool // hosts are lost: the weaker target applies
}

// Arrivals returns the arrivals of all tenants, one tenant after the other.
func (t Trace) Arrivals(seed uint64) []Arrival {
	var out []Arrival
	for i, x := range t.Tenants {
		out = append(out, x.arrivals(core.NewRand(seed+uint64(i)*7919), core.Instant(t.Duration))...)
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
			Limit:           limit.Limit{Workspace: core.WorkspaceID(fmt.Sprintf("ws%d", i)), Rate: rate, Burst: 20 * rate},
			OfferedFraction: offered, MeanReservation: 900, UsedFraction: 0.7, CancelledFraction: 0.3, MeanDuration: 4 * time.Second, Weights: weights(i),
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
	flood[1].OfferedFraction = 5
	cancel := todayTenants(hosts, 0.8, calm)
	for i := range cancel {
		cancel[i].CancelledFraction, cancel[i].MeanReservation = 0.8, 3000
		cancel[i].MeanDuration = 2 * time.Second
	}
	small := todayTenants(hosts, 0.7, calm)
	small = append(small, Tenant{
		Limit:           limit.Limit{Workspace: "board", Rate: 100, Burst: 1500},
		OfferedFraction: 0.5, MeanReservation: 1000, UsedFraction: 0.7, MeanDuration: 4 * time.Second, Weights: []float64{1, 0.05, 0.05},
	})
	wide := []Tenant{
		{Limit: limit.Limit{Workspace: "wide", Rate: 60_000, Burst: 120_000}, OfferedFraction: 0.8, MeanReservation: 900, UsedFraction: 0.7,
			CancelledFraction: 0.3, MeanDuration: 4 * time.Second, Weights: evenWeights(350)},
		{Limit: limit.Limit{Workspace: "narrow", Rate: 60_000, Burst: 120_000}, OfferedFraction: 0.8, MeanReservation: 900, UsedFraction: 0.7,
			CancelledFraction: 0.3, MeanDuration: 4 * time.Second, Weights: evenWeights(6)},
	}
	return []Trace{
		{Name: "even", Hosts: hosts, Duration: lasts, Tenants: todayTenants(hosts, 0.9, calm), NoFaults: true},
		{Name: "skewed entry hosts", Hosts: hosts, Duration: lasts, Tenants: todayTenants(hosts, 0.9, skew), NoFaults: true},
		{Name: "one tenant at 5x", Hosts: hosts, Duration: lasts, Tenants: flood, NoFaults: true},
		{Name: "many cancellations", Hosts: hosts, Duration: lasts, Tenants: cancel, NoFaults: true},
		{Name: "a host lost every minute", Hosts: hosts, Duration: lasts, Tenants: todayTenants(hosts, 0.8, calm), Faults: hostLosses(hosts, lasts), HostsLost: true},
		{Name: "owner lost", Hosts: hosts, Duration: 4 * time.Minute, Tenants: todayTenants(hosts, 0.8, calm), HostsLost: true,
			Faults: []Fault{{At: core.Instant(time.Minute), Kind: "lose", OwnerOf: "ws0"}}},
		{Name: "store out for 10 min", Hosts: hosts, Duration: 14 * time.Minute, Tenants: todayTenants(hosts, 0.8, calm),
			Faults: []Fault{{At: core.Instant(2 * time.Minute), Kind: "store down"}, {At: core.Instant(12 * time.Minute), Kind: "store up"}}},
		{Name: "burst of one request", Hosts: hosts, Duration: lasts, Tenants: small, NoFaults: true},
		{Name: "350 hosts, rate/350 < a request", Hosts: 350, Duration: 2 * time.Minute, Tenants: wide, NoFaults: true},
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
