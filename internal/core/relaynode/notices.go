package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// What a replica says about itself in the header of an answer overrides its entry in the
// platform's list: it has left the moment it says so, and it is sent nothing while it asks
// for a pause. That it leaves, and the limit that it names, is sent to the other hosts; a pause is for this host alone.

// handleAttemptNotice applies what the answer to an attempt says about its replica.
func (m *Machine) handleAttemptNotice(e ReplicaNoticed) {
	r := m.requests.byID[e.ID]
	if r == nil || r.attempt != e.Attempt {
		return
	}
	m.applyNotice(r.upstream, r.upstreamStarted, e.Notice)
	m.forwardPause(r, e.Notice.Pause)
	if e.Notice.Limit == (replicas.NamedLimit{}) && !e.Confirmation {
		m.applyNoLimit(r)
	}
	if !e.Confirmation && !e.Notice.Brittle.Named {
		m.applyBrittleNotice(r.upstream, r.upstreamStarted, e.Notice.Brittle, m.now.Sub(r.stageSince))
	}
}

// forwardPause sends a pause to the host that carried the request: the replica has seen that host.
func (m *Machine) forwardPause(r *request, pause time.Duration) {
	p, ok := m.fleet.ByHostID(r.carrier.Host)
	if pause > 0 && ok {
		m.send([]fleet.Registration{p}, Message{Pauses: []Pause{{Replica: r.upstream, Started: r.upstreamStarted, For: pause}}})
	}
}

// applyNotice applies what an incarnation of a replica says about itself.
func (m *Machine) applyNotice(id core.UpstreamID, started int64, n replicas.Notice) {
	if n.Leaving && m.replicas.MarkLeaving(id, started) {
		m.recordLeaving(replicas.Removal{ID: id, Started: started}, "says_leaving")
	}
	m.applyLimitNotice(id, started, n.Limit, 0)
	m.applyColdNotice(id, started, n.Cold)
	if n.Brittle.Named {
		m.applyBrittleNotice(id, started, n.Brittle, 0)
	}
	if n.Pause > 0 {
		m.replicas.MarkPaused(m.now, id, started, n.Pause)
		m.pausesUntil = max(m.pausesUntil, m.now.Add(n.Pause))
		m.emit(LogDecision{Name: "replica", Reason: "paused", Upstream: id, Detail: n.Pause.String()})
	}
}

// applyCurrentNotice is applyNotice for the present incarnation of a replica.
func (m *Machine) applyCurrentNotice(id core.UpstreamID, n replicas.Notice) {
	if x := m.replicas.Get(id); x != nil {
		m.applyNotice(id, x.Started, n)
	}
}

// recordLeaving logs that a replica leaves and keeps it for the other hosts.
func (m *Machine) recordLeaving(x replicas.Removal, reason string) {
	m.emit(LogDecision{Name: "replica", Reason: reason, Upstream: x.ID})
	m.changes.leaving = append(m.changes.leaving, x)
}

// applyLeaving applies what another host has heard from replicas. Watchers pass on what
// they did not know.
func (m *Machine) applyLeaving(leaving []replicas.Removal) {
	for _, x := range leaving {
		if !m.replicas.MarkLeaving(x.ID, x.Started) {
			continue
		}
		if m.isWatcher() {
			m.recordLeaving(x, "reported_leaving")
		} else {
			m.emit(LogDecision{Name: "replica", Reason: "reported_leaving", Upstream: x.ID})
		}
	}
}

// sendLeaving sends what this host has heard from replicas: a watcher to all hosts, any
// other host to those that pass it on.
func (m *Machine) sendLeaving(leaving []replicas.Removal) {
	message := Message{LeavingReplicas: leaving}
	switch {
	case len(leaving) == 0:
	case m.isWatcher():
		m.sendToAll(message)
	case m.fleet.Active():
		m.send(m.fleet.ActivePeers(), message)
	default:
		m.send(m.fleet.StandbyContacts(), message)
	}
}

// servicePause returns the shortest time until a replica of a service takes requests of
// this host again, and false unless every one that is neither leaving nor evacuated is paused.
func (m *Machine) servicePause(service table.ServiceID) (shortest time.Duration, all bool) {
	for _, x := range m.replicas.ByService(service) {
		if x.Unavailable() || m.evacuated(x) {
			continue
		}
		pause := x.Pause(m.now)
		if pause == 0 {
			return 0, false
		}
		if !all || pause < shortest {
			shortest, all = pause, true
		}
	}
	return shortest, all
}

// refusePaused refuses a request whose service wants no requests of this host now.
func (m *Machine) refusePaused(r *request, pause time.Duration) {
	m.refuse(r, core.Refuse(core.CodeOverloaded, pause, "every replica of the service has asked for a pause"))
}

// endPauses places the waiting requests once the last pause has ended.
func (m *Machine) endPauses() {
	if m.pausesUntil != 0 && m.now >= m.pausesUntil {
		m.pausesUntil = 0
		m.placementDue = true
	}
}
