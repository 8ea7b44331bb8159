package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// lastAnswerTime is how long before the end of a graceful shutdown a request must have ended, so that its
// answer still reaches its caller.
const lastAnswerTime = 200 * time.Millisecond

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

// mayOutlastHost reports whether a leaving host rejects a request, as it may still run when the host
// ends. For a while every request is taken: callers learn late that the host leaves. After that only
// those are that end in time by their timeout, as how long they run isn't known, and no streams.
func (m *Machine) mayOutlastHost(r *request) bool {
	if m.leavingSince == 0 {
		return false
	}
	passed := m.now.Sub(m.leavingSince)
	switch {
	case passed <= m.settings.StreamRefusalDelay:
		return false
	case r.route.Kind == table.Streaming || passed > m.settings.RequestRefusalDelay:
		return true
	}
	return passed+r.timeout()+lastAnswerTime > m.settings.LeaveTimeout
}

// refuseRemaining answers the requests that remain at the end of a graceful shutdown. Those that may
// have run are told so.
func (m *Machine) refuseRemaining() {
	for _, r := range m.requests.all() {
		m.refuse(r, core.Refuse(core.CodeHostLeaving, retryAfterLeaving, "this host ends, and the request has not"))
	}
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
		m.refuseRemaining()
		m.emit(LeaveCompleted{})
	}
}

// Leaving reports whether the host is shutting down.
func (m *Machine) Leaving() bool { return m.leavingSince != 0 }
