package direct

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
)

// A few hosts watch the list of replicas and tell the others what changes there;
// the others compare digests, and read the list themselves where they differ or
// where no watcher is heard.
const (
	watchers     = 3 // hosts that watch the list
	watchersKind = 31
	storeFresh   = 3 * time.Second        // an answer of the store counts so long
	differFor    = 600 * time.Millisecond // that a watcher may know something else
	olderFor     = 300 * time.Millisecond // that another host may know a newer document
	readAgain    = time.Second            // between two readings for the same reason
)

// watchState is what a host knows of the others' view of the store.
type watchState struct {
	differs  core.Instant // since when a watcher's list differs; 0: it does not
	older    core.Instant // since when another host has a newer document; 0: none has
	read     core.Instant // when documents were last read again
	answered core.Instant // when the store last answered this host
	lost     bool         // the last call to it failed
	again    bool         // documents are to be read again as soon as that is allowed
}

// Reading is how the machine wants the store to be read.
type Reading struct {
	Watch  bool   // follow the list of replicas, instead of being told of its changes
	Reread uint64 // rises each time that the configuration and versions are to be read again
	Alone  bool   // no other host is heard: only this host's own calls show a change
}

// Reading tells how the store is to be read now.
func (m *Machine) Reading() Reading {
	return Reading{
		Watch:  m.watching() || !m.covered(),
		Reread: m.rereads,
		Alone:  len(m.fleet.Members(m.now)) <= 1,
	}
}

// watching reports whether this host is one of those that watch the list.
func (m *Machine) watching() bool {
	first := core.RendezvousN(m.fleet.Members(m.now), watchersKind, "replicas", watchers)
	return slices.Contains(first, core.HostID(m.settings.Self.Name))
}

// covered reports whether a watcher keeps this host's list current.
func (m *Machine) covered() bool {
	if !m.listed || m.watch.differs != 0 && m.now.Sub(m.watch.differs) >= differFor {
		return false
	}
	for _, name := range core.RendezvousN(m.fleet.Members(m.now), watchersKind, "replicas", watchers) {
		p, ok := m.fleet.Named(string(name))
		if ok && m.fleet.Alive(m.now, p.Host) && m.gossip.known[p.Host].Watches {
			return true
		}
	}
	return false
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

func (m *Machine) storeAnswers() bool {
	return m.watch.answered != 0 && m.now.Sub(m.watch.answered) < storeFresh
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
		switch {
		case b.List == m.replicas.Digest():
			m.watch.differs = 0
		case m.watch.differs == 0:
			m.watch.differs = m.now
		}
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

// tellList tells the others what has changed in the list of replicas.
func (m *Machine) tellList(changed []replicas.Entry, gone []core.UpstreamID) {
	if len(changed)+len(gone) > 0 && m.watching() {
		m.tellAll(Message{Replicas: changed, Gone: gone})
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
