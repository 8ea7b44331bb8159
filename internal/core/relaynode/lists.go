package relaynode

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
)

func (m *Machine) applyReplicaList(entries []replicas.Entry) {
	m.replicasRead = true
	clear(m.watch.differSince)
	for _, e := range entries {
		if m.updateReplica(e, replicas.FromList) {
			m.changes.replicas = append(m.changes.replicas, e)
		}
	}
	m.cold.listRead = true
	m.replicas.RemoveUnlisted(m.now, entries)
	for _, id := range m.residency.Replicas() {
		m.dropIfGone(id)
	}
	m.placementDue = true
}

func (m *Machine) applyReplicaEntry(e replicas.Entry) {
	if m.updateReplica(e, replicas.FromChange) {
		m.changes.replicas = append(m.changes.replicas, e)
	}
	m.placementDue = true
}

// updateReplica applies an entry of the list. It reports whether the replica is new
// or restarted, starts to leave, turns cold or no longer is, or has another address. An
// entry that is older than the replica's removal is ignored.
func (m *Machine) updateReplica(e replicas.Entry, from replicas.Source) (changed bool) {
	if !m.replicas.Accepts(m.now, e, from) {
		m.emit(LogDecision{Name: "replica", Reason: "outdated", Upstream: e.ID, Detail: string(e.Service)})
		return false
	}
	before := m.replicas.Get(e.ID)
	moved := before != nil && before.Address != e.Address
	wasLeaving := before != nil && before.Leaving
	change := m.compareEntry(&e)
	fresh := m.replicas.Update(m.now, e)
	coldChanged := m.observeStart(&e, change)
	m.origins.versions.Observe(m.now, e.Service, e.Software)
	m.residency.UpdateReplica(e)
	if fresh {
		m.emit(LogDecision{Name: "replica", Reason: "started", Upstream: e.ID, Detail: string(e.Service) + " at " + string(e.Software)})
	}
	if before != nil && fresh {
		m.paths.Forget(e.ID)
		m.confirmReplacedEnds(e.ID, before.Unavailable())
	}
	leaves := e.Leaving && (fresh || !wasLeaving)
	if leaves {
		m.emit(LogDecision{Name: "replica", Reason: "leaving", Upstream: e.ID, Detail: string(e.Service)})
	}
	return fresh || leaves || moved || coldChanged
}

// dropIfGone removes the state of a replica that no longer exists, and keeps its removal
// for the other hosts.
func (m *Machine) dropIfGone(id core.UpstreamID) {
	if m.replicas.Get(id) != nil {
		return
	}
	if x, ok := m.replicas.LastRemoval(id); ok {
		m.changes.gone = append(m.changes.gone, x)
		m.confirmReplacedEnds(id, x.Leaving)
	}
	m.residency.RemoveReplica(id)
	m.paths.Forget(id)
	delete(m.failures, id)
	m.errors.Forget(m.now, id)
	delete(m.waiters, id)
	delete(m.unsent, id)
	m.emit(LogDecision{Name: "replica", Reason: "gone", Upstream: id})
}
