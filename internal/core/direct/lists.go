package direct

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
)

// named is an adapter's newest version and when it was named, at the latest.
type named struct {
	version int
	at      core.Instant
}

func (m *Machine) replicasListed(entries []replicas.Entry) {
	m.listed = true
	clear(m.watch.differs)
	var changed []replicas.Entry
	for _, e := range entries {
		if m.takeEntry(e) {
			changed = append(changed, e)
		}
	}
	m.replicas.List(m.now, entries)
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

func (m *Machine) replicaListed(e replicas.Entry) {
	if m.takeEntry(e) {
		m.changes.replicas = append(m.changes.replicas, e)
	}
	m.placeWaiting()
}

// takeEntry takes an entry of the list. It reports whether the entry tells
// something new of where and whether the replica may be used.
func (m *Machine) takeEntry(e replicas.Entry) (changed bool) {
	before := m.replicas.Get(e.ID)
	moved := before != nil && before.Address != e.Address
	wasLeaving := before != nil && before.Leaving
	fresh := m.replicas.Put(m.now, e)
	m.residency.Put(e)
	if fresh {
		m.emit(Note{Name: "replica", Reason: "started", Upstream: e.ID, Detail: string(e.Service)})
	}
	leaves := e.Leaving && (fresh || !wasLeaving)
	if leaves {
		m.emit(Note{Name: "replica", Reason: "leaving", Upstream: e.ID, Detail: string(e.Service)})
	}
	return fresh || leaves || moved
}

// dropIfGone forgets what belongs to a replica that is not there any more.
func (m *Machine) dropIfGone(id core.UpstreamID) bool {
	if m.replicas.Get(id) != nil {
		return false
	}
	m.residency.Remove(id)
	delete(m.failures, id)
	delete(m.awaiting, id)
	delete(m.unsent, id)
	m.emit(Note{Name: "replica", Reason: "gone", Upstream: id})
	return true
}

// versionNamed takes an adapter's version. It reports whether it is newer than what
// was known.
func (m *Machine) versionNamed(e VersionNamed) bool {
	if e.Adapter.Version <= m.versions[e.Adapter.ID].version {
		return false
	}
	m.versionSum += uint64(e.Adapter.Version - m.versions[e.Adapter.ID].version)
	at := m.now
	if e.Listed {
		at = at.Add(-m.settings.VersionGrace)
	}
	m.versions[e.Adapter.ID] = named{version: e.Adapter.Version, at: at}
	m.residency.Newest(e.Model, e.Adapter)
	return true
}
