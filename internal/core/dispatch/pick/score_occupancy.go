package pick

// Occupancy prefers the upstream with the most room in its batch. During slow
// start the batch counts as smaller.
type Occupancy struct{}

// Name implements Scorer.
func (Occupancy) Name() string { return "occupancy" }

// Score implements Scorer.
func (Occupancy) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + c.occupancy()) }
