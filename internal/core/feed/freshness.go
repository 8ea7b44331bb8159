package feed

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Intervals of the cut-off rule.
const (
	storeDownAfter = 2 * time.Second // without freshness, while its store calls fail, a watcher reports it after this time
	statusInterval = time.Second
)

// freshness is what this host has learned about the newest configuration: as of
// asOf, by its own clock, the newest version was version.
type freshness struct {
	known   bool
	version uint64
	asOf    core.Instant

	everCurrent bool         // the configuration in force was once known to be the newest
	currentAsOf core.Instant // latest instant as of which it was

	statusSeq  uint64 // own status reports so far
	nextStatus core.Instant
}

// recordNewest records that version was the newest one as of an instant.
func (m *Machine) recordNewest(version uint64, at core.Instant) {
	f := &m.freshness
	if !f.known || at > f.asOf {
		f.known, f.asOf = true, at
		f.version = max(f.version, version)
	}
	m.updateFreshness()
}

// updateFreshness advances currentAsOf if the newest version on record is in force.
func (m *Machine) updateFreshness() {
	f := &m.freshness
	if f.known && m.conf.inForce.Version >= f.version {
		f.everCurrent, f.currentAsOf = true, max(f.currentAsOf, f.asOf)
	}
}

// FreshAsOf returns the instant as of which the configuration in force is known
// to have been the newest. It returns false if that was never known.
func (m *Machine) FreshAsOf() (core.Instant, bool) {
	return m.freshness.currentAsOf, m.freshness.everCurrent
}

// CutOff reports whether this host must refuse requests, since their key may
// have been withdrawn: its configuration in force has not been known to be the
// newest for longer than the bound, and the store isn't known to be down for
// all hosts (see OutageForAll). A host that never had a newest configuration is
// cut off.
func (m *Machine) CutOff(now core.Instant) bool {
	if m.freshness.everCurrent && now.Sub(m.freshness.currentAsOf) <= m.settings.FreshnessBound {
		return false
	}
	return !m.freshness.everCurrent || !m.OutageForAll(now)
}

// OutageForAll reports whether within the bound watchers in more than half of
// the failure domains have reported that they reach neither the store nor any
// fresh host.
func (m *Machine) OutageForAll(now core.Instant) bool {
	down := map[core.Domain]bool{}
	for _, o := range m.tree.members {
		v := m.values[Key{Topic: TopicStatus, Name: string(o.Host)}]
		if v != nil && now.Sub(v.receivedAt) <= m.settings.FreshnessBound {
			down[o.Domain] = true
		}
	}
	return 2*len(down) > m.tree.domains
}

// reportStoreDown reports to all hosts, as long as it holds, that this watcher
// reaches neither the store nor a fresh host.
func (m *Machine) reportStoreDown(now core.Instant) {
	f := &m.freshness
	stale := !f.known || now.Sub(f.asOf) > storeDownAfter
	if !m.tree.watcher || !m.calls.failing || !stale || now < f.nextStatus {
		return
	}
	f.nextStatus = now.Add(statusInterval)
	f.statusSeq++
	m.apply(now, Entry{
		Key:   Key{Topic: TopicStatus, Name: string(m.settings.Self.Host)},
		Stamp: Stamp{Seq: f.statusSeq},
	}, "")
}

// isHostTopic reports whether a topic's keys are the names of the hosts that
// set them.
func isHostTopic(t Topic) bool { return t == TopicStatus || t == TopicSuspects || t == TopicLoad }

// isOrphan reports whether a key is the name of a host that is not a member.
// Its value is dropped and not accepted again, so that removed hosts leave no
// values behind.
func (m *Machine) isOrphan(k Key) bool {
	if !isHostTopic(k.Topic) || m.tree.version == 0 || k.Name == string(m.settings.Self.Host) {
		return false
	}
	return !slices.ContainsFunc(m.tree.members, func(o core.Member) bool { return string(o.Host) == k.Name })
}

// pruneOrphans drops the values of hosts that are no longer members.
func (m *Machine) pruneOrphans() {
	for k, v := range m.values {
		if m.isOrphan(k) {
			m.toggleSums(v)
			delete(m.values, k)
		}
	}
}
