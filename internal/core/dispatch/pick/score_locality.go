package pick

// Locality prefers the choosing host's own failure domain.
type Locality struct{}

// Name implements Scorer.
func (Locality) Name() string { return "locality" }

// Score implements Scorer.
func (Locality) Score(r *Request, c *Candidate) float64 {
	if r.Domain != "" && r.Domain == c.Domain {
		return 1
	}
	return 0
}
