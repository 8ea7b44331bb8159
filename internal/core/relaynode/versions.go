package relaynode

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// initialVersion is the version of an adapter before any is announced.
const initialVersion = 1

// announcedVersion is a version of an adapter, and the latest time at which it can have
// been announced.
type announcedVersion struct {
	version int
	at      core.Instant
}

// versionHistory is the announcements of an adapter's versions, the newest version last.
// Each one limits the use of the versions before it by itself: a later announcement doesn't
// extend that time.
type versionHistory []announcedVersion

// newest returns the newest version, 0 if none was announced.
func (h versionHistory) newest() int {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].version
}

// newestAt returns the newest version that had been announced at a time, 0 if none had.
func (h versionHistory) newestAt(t core.Instant) int {
	newest := 0
	for _, a := range h {
		if a.at <= t {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// add adds a version that is newer than the others. Announcements that limit no more than
// one that had been made at the time cutoff are dropped.
func (h versionHistory) add(a announcedVersion, cutoff core.Instant) versionHistory {
	obsolete := h.newestAt(cutoff)
	h = slices.DeleteFunc(h, func(old announcedVersion) bool { return old.version < obsolete })
	return append(h, a)
}

// Sources of an adapter's version, as logged.
const (
	versionListed    = "listed"
	versionAnnounced = "announced"
	versionReported  = "reported"
)

// versionSource returns how this host has learned of a version from the store.
func versionSource(e VersionAnnounced) string {
	if e.Listed {
		return versionListed
	}
	return versionAnnounced
}

// applyVersion applies an adapter's version and reports whether it is newer than the
// last one. A version of which it isn't known when it was announced counts as announced so
// long ago that no older one may be used. That holds also for versions that were skipped.
func (m *Machine) applyVersion(e VersionAnnounced, source string) bool {
	h := m.versions[e.Adapter.ID]
	if e.Adapter.Version <= h.newest() {
		return false
	}
	m.versionSum += uint64(e.Adapter.Version - h.newest())
	longAgo := m.now.Add(-max(m.settings.VersionGrace, m.settings.VersionExpiry))
	at := m.now.Add(-e.Age)
	if e.Listed {
		at = longAgo
	}
	if skipped := e.Adapter.Version - 1; skipped > max(h.newest(), initialVersion) {
		h = h.add(announcedVersion{skipped, longAgo}, longAgo)
	}
	m.versions[e.Adapter.ID] = h.add(announcedVersion{e.Adapter.Version, at}, longAgo)
	m.residency.SetNewestVersion(e.Model, e.Adapter)
	m.emit(LogDecision{Name: "version", Reason: source, Detail: e.Adapter.String()})
	return true
}

// withAges returns announcements with their ages, for a message that is sent now.
func (m *Machine) withAges(announced []VersionAnnounced) []VersionAnnounced {
	aged := slices.Clone(announced)
	for i, e := range aged {
		for _, a := range m.versions[e.Adapter.ID] {
			if a.version == e.Adapter.Version {
				aged[i].Age = m.now.Sub(a.at)
			}
		}
	}
	return aged
}

// minVersion returns the oldest version of an adapter that a request may be sent to now;
// 0: any.
func (m *Machine) minVersion(a core.AdapterID) int {
	return m.versions[a].newestAt(m.now.Add(-m.settings.VersionGrace))
}

// beginsInTime reports whether a request that is sent to a replica now is expected to begin
// before the adapter version there expires.
func (m *Machine) beginsInTime(r *request, x *replicas.Replica, version int) bool {
	history := m.versions[r.arrival.Adapter]
	if version >= history.newest() {
		return true // it doesn't expire: no prediction is needed
	}
	begin := m.now.Add(m.promptDelay(x, r.arrival.Prompt))
	return version >= history.newestAt(begin.Add(-m.settings.VersionExpiry))
}

// versionExpired reports whether a request waits at its replica although the version of its
// adapter there has expired. Only the answers of streams show whether a request has begun.
func (m *Machine) versionExpired(r *request) bool {
	if r.arrival.Adapter == "" || r.route.Kind != table.Streaming || r.answerStarted || r.moving {
		return false
	}
	return r.version < m.versions[r.arrival.Adapter].newestAt(m.now.Add(-m.settings.VersionExpiry))
}
