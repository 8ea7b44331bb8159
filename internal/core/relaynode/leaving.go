package relaynode

// startLeaving starts a graceful shutdown: the host is no longer advertised to
// callers, releases its leases, and for a while still serves the requests that
// arrive.
func (m *Machine) startLeaving() {
	if m.leavingSince != 0 {
		return
	}
	m.leavingSince = m.now
	m.fleet.Leave()
	m.shards.Leave()
	m.due.register = m.now
	m.due.heartbeat = m.now
	m.emit(LogDecision{Name: "leave", Reason: "begun"})
	m.tick()
}

// finishLeaving ends a graceful shutdown once no requests are left, or at its time
// limit.
func (m *Machine) finishLeaving() {
	if m.leavingSince == 0 || m.leaveDone {
		return
	}
	passed := m.now.Sub(m.leavingSince)
	idle := len(m.requests.byID) == 0 && m.paths.carried == 0 && passed >= m.settings.RequestRefusalDelay
	if idle || passed >= m.settings.LeaveTimeout {
		m.leaveDone = true
		m.emit(LogDecision{Name: "leave", Reason: "ended", Detail: utoa(uint64(len(m.requests.byID))) + " requests left"})
		m.emit(LeaveCompleted{})
	}
}

// Leaving reports whether the host is shutting down.
func (m *Machine) Leaving() bool { return m.leavingSince != 0 }
