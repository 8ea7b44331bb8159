package relaynode

import (
	"math"
	"time"

	"gentiancroft/internal/core/fleet"
)

const (
	// coreSecondsPerRequest is the CPU time that a host spends on a request, streams
	// included.
	coreSecondsPerRequest = 0.0025
	// headroomFactor is the capacity of the active hosts relative to what the load
	// needs.
	headroomFactor = 1.6
	// maxSpareFraction is the fraction of the required capacity that may be idle before
	// active hosts become standby hosts again. Each that does loses its callers'
	// connections.
	maxSpareFraction = 0.3
)

// selectActive chooses the active hosts for the present request rate of the fleet.
func (m *Machine) selectActive() {
	rate := float64(m.arrivalRate())
	for h, b := range m.gossip.latest {
		if m.fleet.Reachable(m.now, h) {
			rate += float64(b.RequestRate)
		}
	}
	required := max(rate*coreSecondsPerRequest*headroomFactor, fleet.MinActiveCapacity)
	if required > m.requiredCores || required < m.requiredCores*(1-maxSpareFraction) {
		m.requiredCores = required
	}
	wasActive := m.fleet.Active()
	m.fleet.SelectActive(m.now, m.requiredCores)
	if m.fleet.Active() == wasActive {
		return
	}
	m.due.heartbeat = 0
	reason := "standby"
	if m.fleet.Active() {
		reason = "active"
	}
	m.emit(LogDecision{Name: "fleet", Reason: reason, Detail: utoa(uint64(len(m.fleet.Members(m.now)))) + " active hosts reachable"})
}

// arrivalHalfLife is the half-life of a request in the arrival rate.
const arrivalHalfLife = 2079 * time.Millisecond

// arrivalRate returns the decaying average of the requests per second that arrive at
// this host.
func (m *Machine) arrivalRate() float32 {
	return float32(m.arrivals.Now(m.now, arrivalHalfLife) * math.Ln2 / arrivalHalfLife.Seconds())
}
