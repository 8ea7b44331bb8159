package relaynode

import "gentiancroft/internal/core/fleet"

// welcome tells a host that has registered what others are told only as it changes: it may have just
// started. The watchers do so, of which there are few in a fleet of any size.
func (m *Machine) welcome(r fleet.Registration) {
	if !m.isWatcher() || r.Host == m.settings.Self.Host {
		return
	}
	m.sendVerdicts(r.Host)
	m.sendCrashCounts(r.Host)
	m.sendAllLimits(r)
}
