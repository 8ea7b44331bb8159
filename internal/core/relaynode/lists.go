package relaynode

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
)

// announcedVersion is an adapter's newest version, and the latest time at which it
// can have been announced as the newest.
type announcedVersion struct {
	version     int
	announcedAt core.Instant
}

func (m *Machine) applyReplicaList(entries []replicas.Entry) {
	m.replicasRead = true
	clear(m.watch.differSince)
	var changed []replicas.Entry
	for _, e := range entries {
		if m.updateReplica(e) {
			changed = append(changed, e)
		}
	}
	m.replicas.RemoveUnlisted(m.now, entries)
	var gone []core.UpstreamID
	for _, id := range m.residency.Replicas() {
		if m.dropIfGone(id) {
			gone = append(gone, id)
		}
	}
	m.changes.replicas = append(m.changes.replicas, changed...)
	m.changes.gone = append(m.changes.gone, gone...)
	m.placeWaiting()
}

func (m *Machine) applyReplicaEntry(e replicas.Entry) {
	if m.updateReplica(e) {
		m.changes.replicas = append(m.changes.replicas, e)
	}
	m.placeWaiting()
}

// updateReplica applies an entry of the list. It reports whether the replica is new
// or restarted, starts to leave, or has another address.
func (m *Machine) updateReplica(e replicas.Entry) (changed bool) {
	before := m.replicas.Get(e.ID)
	moved := before != nil && before.Address != e.Address
	wasLeaving := before != nil && before.Leaving
	fresh := m.replicas.Update(m.now, e)
	m.residency.UpdateReplica(e)
	if fresh {
		m.emit(LogDecision{Name: "replica", Reason: "started", Upstream: e.ID, Detail: string(e.Service)})
	}
	leaves := e.Leaving && (fresh || !wasLeaving)
	if leaves {
		m.emit(LogDecision{Name: "replica", Reason: "leaving", Upstream: e.ID, Detail: string(e.Service)})
	}
	return fresh || leaves || moved
}

// dropIfGone removes the state of a replica that no longer exists, and reports
// whether it did.
func (m *Machine) dropIfGone(id core.UpstreamID) bool {
	if m.replicas.Get(id) != nil {
		return false
	}
	m.residency.RemoveReplica(id)
	delete(m.failures, id)
	delete(m.waiters, id)
	delete(m.unsent, id)
	m.emit(LogDecision{Name: "replica", Reason: "gone", Upstream: id})
	return true
}

// applyVersion applies an adapter's version and reports whether it is newer than the
// last one.
func (m *Machine) applyVersion(e VersionAnnounced) bool {
	if e.Adapter.Version <= m.versions[e.Adapter.ID].version {
		return false
	}
	m.versionSum += uint64(e.Adapter.Version - m.versions[e.Adapter.ID].version)
	at := m.now
	if e.Listed {
		at = at.Add(-m.settings.VersionGrace)
	}
	m.versions[e.Adapter.ID] = announcedVersion{version: e.Adapter.Version, announcedAt: at}
	m.residency.SetNewestVersion(e.Model, e.Adapter)
	return true
}
