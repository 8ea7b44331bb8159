package pick

// Occupancy prefers the upstream with the most room in its batch. One that has
// just started counts as smaller than it is until it is warm.
type Occupancy struct{}

// Name implements Scorer.
func (Occupancy) Name() string { return "occupancy" }

// Score implements Scorer.
func (Occupancy) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + c.occupancy()) }
