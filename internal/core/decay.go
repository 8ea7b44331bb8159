package core

import (
	"math"
	"time"
)

// Decay halves a value every half-life.
func Decay(value float64, passed, halfLife time.Duration) float64 {
	if passed <= 0 {
		return value
	}
	return value * math.Exp2(-float64(passed)/float64(halfLife))
}

// Decaying is a sum in which what was added longer ago counts less. All calls on one
// of them take the same half-life.
type Decaying struct {
	Value float64 // as of At
	At    Instant
}

// Now is the sum as it has decayed until t.
func (d Decaying) Now(t Instant, halfLife time.Duration) float64 {
	return Decay(d.Value, t.Sub(d.At), halfLife)
}

// Add adds to the sum.
func (d *Decaying) Add(t Instant, v float64, halfLife time.Duration) {
	d.Value = d.Now(t, halfLife) + v
	d.At = t
}
