// Package pick chooses an upstream for one request: filters drop candidates,
// scorers rate the rest, and a picker takes one. Each is a file of its own,
// and every decision carries its reason.
package pick

import "gentiancroft/internal/core"

// Request is what the choice depends on.
type Request struct {
	Prefix uint64 // hash of the prompt's head; 0 for none
	Class  core.Class
	Domain core.Domain // of the asking host
	Avoid  []core.UpstreamID
}

// Candidate is one upstream as the asking host sees it.
type Candidate struct {
	Upstream core.UpstreamID
	Domain   core.Domain
	Load     int     // requests running and waiting, the host's own in flight included
	Batch    int     // requests it runs at once
	Warmth   float64 // share of a full load it may take, in (0, 1]
	Suspect  bool
	Leaving  bool
}

// occupancy is the load relative to what the upstream may take now.
func (c *Candidate) occupancy() float64 {
	room := float64(max(c.Batch, 1)) * c.Warmth
	return float64(c.Load) / max(room, 1)
}

// Filter keeps the candidates that may be chosen.
type Filter interface {
	Name() string
	Keep(r *Request, all []Candidate) []Candidate
}

// Scorer rates a candidate within [0, 1].
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
	Reason   string // the filter that left nothing, or the rule that chose
}

// Chooser is a chain of filters, scorers and a picker.
type Chooser struct {
	Filters []Filter
	Scorers []Weighted
}

// Default is the chain that requests go through.
func Default() Chooser {
	return Chooser{
		Filters: []Filter{NotTried{}, NotLeaving{}, NotSuspect{}},
		Scorers: []Weighted{{Occupancy{}, 1}, {Locality{}, 0.05}},
	}
}

// Choose picks one of the candidates. It may reorder the slice.
func (c Chooser) Choose(r *Request, all []Candidate, rng *core.Rand) Decision {
	for _, f := range c.Filters {
		all = f.Keep(r, all)
		if len(all) == 0 {
			return Decision{Reason: f.Name()}
		}
	}
	if i, ok := prefixHome(r, all); ok {
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
