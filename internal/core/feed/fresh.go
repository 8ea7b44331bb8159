package feed

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Times of the cut-off.
const (
	downAfter   = 2 * time.Second // without freshness, while the store fails, a watcher says so
	statusEvery = time.Second
)

// fresh is what this host knows about the newest configuration: as of at, on
// its own clock, that was version.
type fresh struct {
	known   bool
	version uint64
	at      core.Instant

	forced   bool         // the configuration in force was ever the newest
	forcedAt core.Instant // as of when it was

	status   uint64 // own reports so far
	statusAt core.Instant
}

// newest takes a statement that as of an instant a version was the newest.
func (m *Machine) newest(version uint64, at core.Instant) {
	f := &m.fresh
	if !f.known || at > f.at {
		f.known, f.at = true, at
		f.version = max(f.version, version)
	}
	m.force()
}

// force counts the statement once that version is in force here.
func (m *Machine) force() {
	f := &m.fresh
	if f.known && m.conf.force.Version >= f.version {
		f.forced, f.forcedAt = true, max(f.forcedAt, f.at)
	}
}

// Freshness is the instant as of which the configuration in force is known to
// have been the newest.
func (m *Machine) Freshness() (core.Instant, bool) { return m.fresh.forcedAt, m.fresh.forced }

// CutOff reports whether this host must refuse what a withdrawn key could get:
// for the bound it has heard of no newest configuration that is in force here,
// and it can't tell that the store is down for all. See OutageForAll.
func (m *Machine) CutOff(now core.Instant) bool {
	if m.fresh.forced && now.Sub(m.fresh.forcedAt) <= m.set.Bound {
		return false
	}
	return !m.fresh.forced || !m.OutageForAll(now)
}

// OutageForAll reports whether watchers in more than half of the failure
// domains said within the bound that neither the store nor any fresh host
// answers them.
func (m *Machine) OutageForAll(now core.Instant) bool {
	down := map[core.Domain]bool{}
	for _, o := range m.tree.members {
		v := m.values[Key{Topic: TopicStatus, Name: string(o.Host)}]
		if v != nil && now.Sub(v.at) <= m.set.Bound {
			down[o.Domain] = true
		}
	}
	return 2*len(down) > m.tree.domains
}

// workStatus tells all hosts, while it is so, that this watcher reaches neither
// the store nor a fresh host.
func (m *Machine) workStatus(now core.Instant) {
	f := &m.fresh
	alone := !f.known || now.Sub(f.at) > downAfter
	if !m.tree.watcher || !m.calls.failing || !alone || now < f.statusAt {
		return
	}
	f.statusAt = now.Add(statusEvery)
	f.status++
	m.apply(now, Entry{
		Key:   Key{Topic: TopicStatus, Name: string(m.set.Self.Host)},
		Stamp: Stamp{Seq: f.status},
	}, "")
}

// ofHost reports whether a topic's keys are named after the hosts that set them.
func ofHost(t Topic) bool { return t == TopicStatus || t == TopicSuspects || t == TopicLoad }

// stray reports whether a key is named after a host that is no member: a value
// of it is dropped and not taken again, so that hosts gone leave nothing behind.
func (m *Machine) stray(k Key) bool {
	if !ofHost(k.Topic) || m.tree.version == 0 || k.Name == string(m.set.Self.Host) {
		return false
	}
	return !slices.ContainsFunc(m.tree.members, func(o core.Member) bool { return string(o.Host) == k.Name })
}

// pruneStrays drops the values of hosts that are members no more.
func (m *Machine) pruneStrays() {
	for k, v := range m.values {
		if m.stray(k) {
			m.tally(v)
			delete(m.values, k)
		}
	}
}
