package relaynode

import (
	"time"

	"gentiancroft/internal/core"
)

// failureHalfLife is the half-life of a failure in a replica's failure score.
const failureHalfLife = 3 * time.Second

// maxFailureScore bounds the sum of the failures of one replica.
const maxFailureScore = 8

// recordFailure adds a failure to a replica's failure score.
func (m *Machine) recordFailure(id core.UpstreamID, weight float64) {
	d := m.failures[id]
	if d == nil {
		d = &core.Decaying{}
		m.failures[id] = d
	}
	d.Add(m.now, weight, failureHalfLife)
	d.Value = min(d.Value, maxFailureScore)
}

// recordSuccess halves a replica's failure score.
func (m *Machine) recordSuccess(id core.UpstreamID) {
	if d := m.failures[id]; d != nil {
		d.Value = d.Now(m.now, failureHalfLife) / 2
		d.At = m.now
	}
}

func (m *Machine) failureScore(id core.UpstreamID) float64 {
	if d := m.failures[id]; d != nil {
		return d.Now(m.now, failureHalfLife)
	}
	return 0
}
