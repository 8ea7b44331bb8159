package core

import "math/rand/v2"

// Rand is a seeded source of randomness for a machine.
type Rand struct{ *rand.Rand }

// NewRand returns a source that gives the same sequence for the same seed.
func NewRand(seed uint64) *Rand {
	const stream = 0x9e3779b97f4a7c15
	return &Rand{rand.New(rand.NewPCG(seed, stream))}
}

// Jitter returns a random value in [0.5, 1.5) times d, which must be positive.
func (r *Rand) Jitter(d int64) int64 { return d/2 + r.Int64N(d) }
