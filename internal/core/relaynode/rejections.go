package relaynode

import (
	"time"

	"gentiancroft/internal/core/replicas"
)

// rejectionTime is how long an engine that has rejected a request gets no other one of this host.
// It is about the time in which one of a full batch's requests ends.
const rejectionTime = 100 * time.Millisecond

// avoidRejecting keeps requests from an engine that has just rejected one. An engine that sheds load
// is full whatever the hosts know of its load: a request whose adapter it alone has would be sent to
// it again within a millisecond, until its attempts are used up.
func (m *Machine) avoidRejecting(x *replicas.Replica) {
	if m.table == nil || m.table.Services[x.Service] == nil || m.table.Services[x.Service].Engine == nil {
		return
	}
	m.replicas.MarkRejecting(m.now, x.ID, x.Started, rejectionTime)
	m.rejectsUntil = m.now.Add(rejectionTime)
}

// endRejections lets waiting requests be placed again while engines become usable that have rejected
// some.
func (m *Machine) endRejections() {
	if m.rejectsUntil == 0 {
		return
	}
	m.placementDue = true
	if m.now >= m.rejectsUntil {
		m.rejectsUntil = 0
	}
}
