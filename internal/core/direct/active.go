package direct

import (
	"math"
	"time"

	"gentiancroft/internal/core/fleet"
)

const (
	// requestCost is what a request a second takes of a core, streams included.
	requestCost = 0.0025
	// headroom is how much of the load's own need the active hosts carry.
	headroom = 1.6
	// spareMost is the part of the active hosts' capacity that may be idle before
	// hosts stand by again: each that does loses its callers' connections.
	spareMost = 0.3
)

// selectActive chooses the active hosts for the requests that the fleet gets now.
func (m *Machine) selectActive() {
	rate := float64(m.arrivalRate())
	for h, b := range m.gossip.known {
		if m.fleet.Alive(m.now, h) {
			rate += float64(b.Rate)
		}
	}
	want := max(rate*requestCost*headroom, fleet.NeedLeast)
	if want > m.need || want < m.need*(1-spareMost) {
		m.need = want
	}
	was := m.fleet.Active()
	m.fleet.Select(m.now, m.need)
	if m.fleet.Active() == was {
		return
	}
	m.due.heartbeat = 0
	reason := "standby"
	if m.fleet.Active() {
		reason = "active"
	}
	m.emit(Note{Name: "fleet", Reason: reason, Detail: utoa(uint64(len(m.fleet.Members(m.now)))) + " active hosts heard"})
}

// arrivalsHalf is after how long a request counts half in the rate of arrivals.
const arrivalsHalf = 2079 * time.Millisecond

// arrivalRate is the requests a second that this host gets, as the last seconds show.
func (m *Machine) arrivalRate() float32 {
	return float32(m.arrivals.Now(m.now, arrivalsHalf) * math.Ln2 / arrivalsHalf.Seconds())
}
