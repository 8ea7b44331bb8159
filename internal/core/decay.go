package core

import (
	"math"
	"time"
)

// Decay returns the value after exponential decay over a duration; a duration of 0 or
// less changes nothing.
func Decay(value float64, passed, halfLife time.Duration) float64 {
	if passed <= 0 {
		return value
	}
	return value * math.Exp2(-float64(passed)/float64(halfLife))
}

// Decaying is a sum whose summands decay exponentially from when they were added. All
// calls on one sum must pass the same half-life.
type Decaying struct {
	Value float64 // as of At
	At    Instant
}

// Now returns the sum decayed to t. An earlier t than At doesn't change it.
func (d Decaying) Now(t Instant, halfLife time.Duration) float64 {
	return Decay(d.Value, t.Sub(d.At), halfLife)
}

// Add decays the sum to t and adds v.
func (d *Decaying) Add(t Instant, v float64, halfLife time.Duration) {
	d.Value = d.Now(t, halfLife) + v
	d.At = t
}
