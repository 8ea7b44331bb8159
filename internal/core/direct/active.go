package direct

import (
	"math"
	"time"

	"gentiancroft/internal/core"
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
	rate := float64(m.arrivals.rate(m.now))
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

// arrivalsOver is how long a request counts in the rate of arrivals.
const arrivalsOver = 3 * time.Second

// arrivals is a rate of requests that follows the last seconds.
type arrivals struct {
	count float64 // decays over arrivalsOver
	at    core.Instant
}

func (a *arrivals) add(now core.Instant) {
	a.decay(now)
	a.count++
}

func (a *arrivals) decay(now core.Instant) {
	a.count *= math.Exp(-float64(max(now.Sub(a.at), 0)) / float64(arrivalsOver))
	a.at = max(a.at, now)
}

// rate is the requests a second.
func (a *arrivals) rate(now core.Instant) float32 {
	a.decay(now)
	return float32(a.count / arrivalsOver.Seconds())
}
