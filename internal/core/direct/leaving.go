package direct

// leave begins a graceful shutdown: the host is named to callers no more, hands
// its shards over, and serves those who still come for a while.
func (m *Machine) leave() {
	if m.leaving != 0 {
		return
	}
	m.leaving = m.now
	m.fleet.Leave()
	m.shards.Leave()
	m.due.register = m.now
	m.due.heartbeat = m.now
	m.emit(Note{Name: "leave", Reason: "begun"})
	m.tick()
}

// leaveOn ends a graceful shutdown once nothing is left to do.
func (m *Machine) leaveOn() {
	if m.leaving == 0 || m.left {
		return
	}
	passed := m.now.Sub(m.leaving)
	idle := len(m.requests.byID) == 0 && passed >= m.settings.LeaveAfter
	if idle || passed >= m.settings.LeaveBy {
		m.left = true
		m.emit(Note{Name: "leave", Reason: "ended", Detail: utoa(uint64(len(m.requests.byID))) + " requests left"})
		m.emit(Left{})
	}
}

// Leaving reports whether the host is shutting down.
func (m *Machine) Leaving() bool { return m.leaving != 0 }
