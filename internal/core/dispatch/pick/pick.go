// Package pick chooses an upstream for one request: filters drop candidates,
// scorers rate the rest, and a picker chooses one. Each is a file of its own, and
// every decision carries its reason.
//
// Inputs are the request, the candidates and a random source. Collecting the
// candidates' load and health, and dispatching, are left to the caller.
package pick

import "gentiancroft/internal/core"

// Request is the input of one choice.
type Request struct {
	PrefixHash uint64 // hash of the start of the prompt; 0: none
	Class      core.Class
	Domain     core.Domain       // of the choosing host
	Avoid      []core.UpstreamID // upstreams on which the request has failed
}

// Candidate is one upstream in the choosing host's view.
type Candidate struct {
	Upstream        core.UpstreamID
	Domain          core.Domain
	Load            int     // requests running and waiting, including this host's in flight
	Batch           int     // maximum number of running requests
	SlowStartWeight float64 // slow start: fraction of a full load that it may get, in (0, 1]
	Ejected         bool    // ejected for its health
	Leaving         bool    // accepts no new work
}

// occupancy returns the load relative to what the upstream may get now.
func (c *Candidate) occupancy() float64 {
	room := float64(max(c.Batch, 1)) * c.SlowStartWeight
	return float64(c.Load) / max(room, 1)
}

// Filter drops candidates. Name is the decision's reason if it leaves none; Keep
// may modify all.
type Filter interface {
	Name() string
	Keep(r *Request, all []Candidate) []Candidate
}

// Scorer rates a candidate within [0, 1]; higher is better.
type Scorer interface {
	Name() string
	Score(r *Request, c *Candidate) float64
}

// Weighted is a scorer and the weight of its rating.
type Weighted struct {
	Scorer
	Weight float64
}

// Decision is the outcome of one choice.
type Decision struct {
	Upstream core.UpstreamID
	OK       bool
	Reason   string // the filter that left none, or the rule that chose
}

// Chooser is a chain of filters, scorers and a picker.
type Chooser struct {
	Filters []Filter
	Scorers []Weighted
}

// Default returns the chain for requests.
func Default() Chooser {
	return Chooser{
		Filters: []Filter{NotTried{}, NotLeaving{}, NotEjected{}},
		Scorers: []Weighted{{Occupancy{}, 1}, {Locality{}, 0.05}},
	}
}

// Choose picks one of the candidates, or none if the filters leave none. It may
// reorder the slice.
func (c Chooser) Choose(r *Request, all []Candidate, rng *core.Rand) Decision {
	for _, f := range c.Filters {
		all = f.Keep(r, all)
		if len(all) == 0 {
			return Decision{Reason: f.Name()}
		}
	}
	if i, ok := prefixUpstream(r, all); ok {
		return Decision{Upstream: all[i].Upstream, OK: true, Reason: "prefix"}
	}
	i, reason := twoChoices(all, rng, func(x *Candidate) float64 { return c.score(r, x) })
	return Decision{Upstream: all[i].Upstream, OK: true, Reason: reason}
}

func (c Chooser) score(r *Request, x *Candidate) float64 {
	total := 0.0
	for _, s := range c.Scorers {
		total += s.Weight * s.Score(r, x)
	}
	return total
}
