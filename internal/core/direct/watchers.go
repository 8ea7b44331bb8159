package direct

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// A few hosts watch the store and tell the others what changes there: the list of
// replicas, the configuration, the adapters' newest versions and the registered
// hosts. The others compare digests and versions, and read the store themselves
// where they differ or where no watcher is heard.
const (
	watchers     = 3 // hosts that watch the store
	watchersKind = 31
	toldMost     = 64 << 10                // bytes of a configuration that is told; a longer one is read from the store
	storeFresh   = 1600 * time.Millisecond // an answer of the store counts so long; a host asks once a second at least
	differFor    = 600 * time.Millisecond  // that a watcher may know something else
	differLonger = relayEvery              // added where heartbeats come through others
	olderFor     = 300 * time.Millisecond  // that another host may know a newer document
	readAgain    = time.Second             // between two readings for the same reason
)

// watchState is what a host knows of the others' view of the store.
type watchState struct {
	differs  map[core.HostID]core.Instant // since when a watcher's list differs from this host's
	older    core.Instant                 // since when another host has a newer document; 0: none has
	read     core.Instant                 // when documents were last read again
	answered core.Instant                 // when the store last answered this host
	lost     bool                         // the last call to it failed
	again    bool                         // documents are to be read again as soon as that is allowed
}

// Reading is how the machine wants the store to be read.
type Reading struct {
	Watch   bool   // follow the objects, instead of being told of their changes
	Reread  uint64 // rises each time that the configuration and versions are to be read again
	Relist  uint64 // rises each time that all objects are
	Standby bool   // stronger hosts serve
	Alone   bool   // no other host is heard: only this host's own calls show a change
}

// Reading tells how the store is to be read now.
func (m *Machine) Reading() Reading {
	return Reading{
		Watch:   m.watching() || !m.covered(),
		Reread:  m.rereads,
		Relist:  m.relists,
		Standby: !m.fleet.Active(),
		Alone:   len(m.fleet.Members(m.now)) <= 1,
	}
}

// watcherNames are the hosts that watch the store, the one that tells configurations
// first.
func (m *Machine) watcherNames() []core.HostID {
	return core.RendezvousN(m.fleet.Members(m.now), watchersKind, "replicas", watchers)
}

// watching reports whether this host is one of those that watch the store.
func (m *Machine) watching() bool {
	return slices.Contains(m.watcherNames(), core.HostID(m.settings.Self.Name))
}

// covered reports whether a watcher keeps current what this host knows.
func (m *Machine) covered() bool {
	return m.informed() && !m.differs() && m.firstWatcher() != ""
}

// differs reports whether a watcher has had another list than this host for long. Each
// is compared by itself: one that is behind, too, would hide what this host lacks.
func (m *Machine) differs() bool {
	for h, since := range m.watch.differs {
		switch {
		case !m.fleet.Alive(m.now, h):
			delete(m.watch.differs, h)
		case m.now.Sub(since) >= m.differFor():
			return true
		}
	}
	return false
}

// firstWatcher is the first host that watches the store and is answered by it, ""
// where there is none.
func (m *Machine) firstWatcher() core.HostID {
	for _, name := range m.watcherNames() {
		if name == core.HostID(m.settings.Self.Name) {
			if m.storeAnswers() {
				return name
			}
			continue
		}
		p, ok := m.fleet.Named(string(name))
		if ok && m.fleet.Alive(m.now, p.Host) && m.gossip.known[p.Host].Watches {
			return name
		}
	}
	return ""
}

// listDigest is of the replicas and hosts that are listed.
func (m *Machine) listDigest() uint64 { return m.replicas.Digest() + m.fleet.Digest() }

func (m *Machine) differFor() time.Duration {
	if m.fleet.Active() {
		return differFor
	}
	return differFor + differLonger
}

// storeReached notes an answer of the store. After an outage everything is read
// again: calls that wait since before it may never be answered.
func (m *Machine) storeReached() {
	m.watch.answered = m.now
	m.replicas.StoreReached(m.now)
	if !m.watch.lost {
		return
	}
	m.watch.lost = false
	m.relists++ // what changed meanwhile was told to no one that did not hear the watchers either
	m.reread("store_back", "")
}

// reread has the configuration, versions and lists read again, a little later if
// they were a moment ago.
func (m *Machine) reread(reason, detail string) {
	if m.watch.read != 0 && m.now.Sub(m.watch.read) < readAgain {
		m.watch.again = true
		return
	}
	m.watch.again = false
	m.watch.read = m.now
	m.rereads++
	m.emit(Note{Name: "reread", Reason: reason, Detail: detail})
}

// storeAnswers reports whether the store answers this host: its last call was not
// refused or lost, and it is not long ago.
func (m *Machine) storeAnswers() bool {
	return m.watch.answered != 0 && !m.watch.lost && m.now.Sub(m.watch.answered) < storeFresh
}

func (m *Machine) configVersion() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Version
}

// compare looks for what another host knows and this one does not.
func (m *Machine) compare(b *Heartbeat) {
	if b.Watches {
		m.compareLists(b)
	} else {
		delete(m.watch.differs, b.Host)
	}
	if b.Config <= m.configVersion() && b.Versions <= m.versionSum {
		return
	}
	if m.watch.older == 0 {
		m.watch.older = m.now
	}
	if m.now.Sub(m.watch.older) >= olderFor {
		m.watch.older = 0
		m.reread("newer_elsewhere", string(b.Host))
	}
}

// compareLists compares a watcher's list with this host's.
func (m *Machine) compareLists(b *Heartbeat) {
	if b.List == m.listDigest() {
		delete(m.watch.differs, b.Host)
		return
	}
	if _, ok := m.watch.differs[b.Host]; !ok {
		m.watch.differs[b.Host] = m.now
	}
}

// tellConfiguration tells a configuration that this host has read from the store.
func (m *Machine) tellConfiguration(e Configured) {
	if !m.tells() {
		return
	}
	if len(e.Document) > toldMost {
		m.tellAll(Message{Newer: e.Table.Version})
		return
	}
	m.tellAll(Message{Configuration: e.Document})
}

// changes are what has changed in the store's objects since the last heartbeat, as
// far as this host has read it from there.
type changes struct {
	replicas []replicas.Entry
	gone     []core.UpstreamID
	hosts    []fleet.Registration
	versions []VersionNamed
}

// startFor is how long after its start a host tells none: what it finds then, the
// others have read.
const startFor = 2 * time.Second

// tellChanges tells what has changed since the last call: all watchers the list of
// replicas, so that one that leaves is sent nothing more; one of them the rest.
func (m *Machine) tellChanges() {
	c := m.changes
	m.changes = changes{}
	if m.now < core.Instant(startFor) || !m.watching() {
		return
	}
	message := Message{Replicas: c.replicas, Gone: c.gone}
	if m.tells() {
		message.Hosts, message.Versions = c.hosts, c.versions
	}
	if len(message.Replicas)+len(message.Gone)+len(message.Hosts)+len(message.Versions) > 0 {
		m.tellAll(message)
	}
}

// tells reports whether this host is the one that tells what it reads. The other
// watchers' heartbeats show that they have read it too.
func (m *Machine) tells() bool { return m.firstWatcher() == core.HostID(m.settings.Self.Name) }

// takeDocuments takes what a watcher has told of the store. The configuration is an
// event of its own: it has to be decoded first.
func (m *Machine) takeDocuments(e FromPeer) {
	for _, v := range e.Message.Versions {
		m.versionNamed(v)
	}
	for _, r := range e.Message.Hosts {
		m.fleet.Listed(m.now, r)
	}
	if e.Message.Newer > m.configVersion() {
		m.reread("newer_elsewhere", string(e.From))
	}
}

// takeList takes what a watcher has told of the list.
func (m *Machine) takeList(message Message) {
	for _, e := range message.Replicas {
		m.takeEntry(e)
	}
	for _, id := range message.Gone {
		m.replicas.Remove(m.now, id)
		m.dropIfGone(id)
	}
}
