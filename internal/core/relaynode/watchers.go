package relaynode

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// A few hosts, the watchers, watch the store and send its changes to the others: the
// list of replicas, the configuration, the adapters' newest versions and the
// registered hosts. The other hosts compare digests and versions with the watchers'
// heartbeats, and read the store themselves where they differ or where no watcher is
// reachable.
const (
	watcherCount       = 3 // hosts that watch the store
	watchersKind       = 31
	maxSentConfigBytes = 64 << 10                // a longer configuration is read from the store
	storeAnswerTTL     = 1600 * time.Millisecond // how long an answer of the store counts; a host calls it at least once a second
	listDifferTimeout  = 600 * time.Millisecond  // how long a watcher's list may differ
	standbyDifferDelay = relayInterval           // added on standby hosts, whose heartbeats are relayed
	// newerElsewhereTimeout is how long another host may have a newer document. The first watcher may read a change
	// up to a watch's interval after the other watchers, whose heartbeats show it, and sends it with its own next
	// heartbeat: after a shorter time all hosts would read the store for each new version of an adapter.
	newerElsewhereTimeout = 800 * time.Millisecond
	rereadInterval        = time.Second // minimum time between two rereads
)

// watchState is the state of this host's view of the store, compared with that of
// the other hosts.
type watchState struct {
	differSince   map[core.HostID]core.Instant // when a watcher's list was first seen to differ from this host's
	olderSince    core.Instant                 // when newest was first seen; 0: no other host has newer documents
	newest        documents                    // newest ones of another host that this host lacks
	lastReread    core.Instant                 // when documents were last reread
	lastAnswer    core.Instant                 // when the latest call that the store has answered was sent
	era           uint64                       // of the store; 0: it has given none
	storeLost     bool                         // no call has been answered that was sent as late as the last one that failed
	rereadPending bool                         // a reread is due after rereadInterval
}

// ReadPlan is how the store is to be read.
type ReadPlan struct {
	Watch       bool   // watch the objects, instead of relying on a watcher's messages
	Reread      uint64 // rises each time that the configuration and versions are to be read again
	Relist      uint64 // rises each time that all objects are to be listed again
	Standby     bool   // this host is a standby host
	Evacuations bool   // the same as Watch for the evacuations, which watchers of the previous build don't watch
	Forming     bool   // the whole deployment starts, and its hosts are finding each other
}

// formingTime is how long after the start of a whole deployment its hosts may still have
// to find the watchers.
const formingTime = 4 * time.Second

// forming reports whether the whole deployment has just started.
func (m *Machine) forming() bool {
	return m.settings.FirstStart && m.now < core.Instant(formingTime)
}

// ReadPlan returns how the store is to be read now.
func (m *Machine) ReadPlan() ReadPlan {
	return ReadPlan{
		Watch:   m.isWatcher() || !m.keptCurrent(),
		Reread:  m.rereads,
		Relist:  m.relists,
		Standby: !m.fleet.Active(),
		Forming: m.forming(),

		Evacuations: m.watchesEvacuations(),
	}
}

// watcherNames returns the hosts that watch the store, in order of preference. The
// first that is reachable and answered by the store sends the documents.
func (m *Machine) watcherNames() []core.HostID {
	return core.RendezvousN(m.fleet.Members(m.now), watchersKind, "replicas", watcherCount)
}

// isWatcher reports whether this host is one of those that watch the store.
func (m *Machine) isWatcher() bool {
	return slices.Contains(m.watcherNames(), core.HostID(m.settings.Self.Name))
}

// keptCurrent reports whether a watcher's messages keep this host's state current.
func (m *Machine) keptCurrent() bool {
	return m.initialized() && !m.listDiffers() && m.firstWatcher() != ""
}

// listDiffers reports whether a watcher's list has differed from this host's for too
// long. Each watcher is compared separately: a second watcher that is outdated in the
// same way must not hide the difference.
func (m *Machine) listDiffers() bool {
	for h, since := range m.watch.differSince {
		switch {
		case !m.fleet.Reachable(m.now, h):
			delete(m.watch.differSince, h)
		case m.now.Sub(since) >= m.differTimeout():
			return true
		}
	}
	return false
}

// firstWatcher returns the first reachable host that watches the store and is
// answered by it, "" where there is none.
func (m *Machine) firstWatcher() core.HostID {
	for _, name := range m.watcherNames() {
		if name == core.HostID(m.settings.Self.Name) {
			if m.storeAnswers() {
				return name
			}
			continue
		}
		p, ok := m.fleet.ByName(string(name))
		if ok && m.fleet.Reachable(m.now, p.Host) && m.gossip.latest[p.Host].IsWatcher {
			return name
		}
	}
	return ""
}

// listDigest returns a digest of the listed replicas and hosts.
func (m *Machine) listDigest() uint64 { return m.replicas.Digest() + m.fleet.Digest() }

func (m *Machine) differTimeout() time.Duration {
	if m.fleet.Active() {
		return listDifferTimeout
	}
	return listDifferTimeout + standbyDifferDelay
}

// handleStoreReached records an answer of the store. After an outage everything is
// read again: calls that were pending since before it may never be answered.
func (m *Machine) handleStoreReached(e StoreAnswered) {
	m.applyEra(e.Era)
	m.watch.lastAnswer = max(m.watch.lastAnswer, m.sentAt(e.Sent))
	m.replicas.StoreReached(m.now)
	if !m.watch.storeLost {
		return
	}
	m.watch.storeLost = false
	m.emit(LogDecision{Name: "store", Reason: "back", Age: m.now.Sub(m.sentAt(e.Sent))})
	m.list.doubtedAt = m.now
	m.relists++ // changes during the outage have not reached this host if it missed the watchers' messages too
	m.requestReread("store_back", "")
}

// handleStoreLost records that a call has failed. It shows nothing where the store has answered a call
// that was sent later: opening a connection may fail seconds after the path works again.
func (m *Machine) handleStoreLost(e StoreCallFailed) {
	sent := m.sentAt(e.Sent)
	if sent < m.watch.lastAnswer {
		m.emit(LogDecision{Name: "store", Reason: "failed_late", Age: m.now.Sub(sent)})
		return
	}
	if !m.watch.storeLost {
		m.emit(LogDecision{Name: "store", Reason: "lost", Age: m.now.Sub(sent)})
	}
	m.watch.storeLost = true
	m.replicas.StoreLost(sent)
}

// requestReread requests a new read of the configuration, versions and lists,
// delayed if the last one was less than rereadInterval ago.
func (m *Machine) requestReread(reason, detail string) {
	if m.watch.lastReread != 0 && m.now.Sub(m.watch.lastReread) < rereadInterval {
		m.watch.rereadPending = true
		return
	}
	m.watch.rereadPending = false
	m.watch.lastReread = m.now
	m.rereads++
	m.emit(LogDecision{Name: "reread", Reason: reason, Detail: detail})
}

// storeAnswers reports whether the store answers this host: its last call was not
// refused or lost, and one that was sent within storeAnswerTTL has been answered.
func (m *Machine) storeAnswers() bool {
	return m.watch.lastAnswer != 0 && !m.watch.storeLost && m.now.Sub(m.watch.lastAnswer) < storeAnswerTTL
}

// applyEra records the era of the store. In a new one the store has lost what was written
// last: the list may lack running replicas for a while, as after an outage, and this
// host's registration is written again.
func (m *Machine) applyEra(era uint64) {
	if era <= m.watch.era {
		return
	}
	restored := m.watch.lastAnswer != 0
	m.watch.era = era
	m.shards.SetEra(era, restored)
	if !restored {
		return
	}
	m.replicas.StoreRestored(m.now)
	m.due.register = m.now.Add(time.Duration(m.rng.IntN(int(registrationSpread))))
	m.emit(LogDecision{Name: "store", Reason: "restored", Detail: "era " + utoa(era)})
}

// registrationSpread is the time within which all hosts write their registrations again
// after the store was restored.
const registrationSpread = 700 * time.Millisecond

// compareState compares another host's versions with this host's, and a watcher's
// list. Newer documents elsewhere are reread after newerElsewhereTimeout.
func (m *Machine) compareState(b *Heartbeat) {
	if b.IsWatcher {
		m.compareLists(b)
	} else {
		delete(m.watch.differSince, b.Host)
	}
	if m.watch.olderSince != 0 && !m.lacks(m.watch.newest) {
		m.watch.olderSince = 0 // this host has caught up
	}
	theirs := documents{config: b.ConfigVersion, restored: b.ConfigRestored, versionSum: b.VersionSum}
	if !m.lacks(theirs) {
		return
	}
	if m.watch.olderSince == 0 {
		m.watch.olderSince, m.watch.newest = m.now, theirs
	}
	if m.now.Sub(m.watch.olderSince) >= newerElsewhereTimeout {
		m.watch.olderSince = 0
		m.requestReread("newer_elsewhere", string(b.Host))
	}
}

// documents are the versions of a host's documents.
type documents struct {
	config     uint64 // version of the configuration
	restored   uint64 // as in Heartbeat.ConfigRestored
	versionSum uint64 // sum of the adapters' newest versions
}

// lacks reports whether another host's documents replace this host's.
func (m *Machine) lacks(d documents) bool {
	return m.isReplacedBy(d) || d.versionSum > m.versionSum
}

// compareLists compares a watcher's list with this host's.
func (m *Machine) compareLists(b *Heartbeat) {
	if b.ListDigest == m.listDigest() {
		delete(m.watch.differSince, b.Host)
		return
	}
	if _, ok := m.watch.differSince[b.Host]; !ok {
		m.watch.differSince[b.Host] = m.now
	}
}

// sendConfiguration sends a configuration that this host has read from the store to
// all hosts, if this is the first watcher.
func (m *Machine) sendConfiguration(e ConfigurationRead) {
	if !m.isFirstWatcher() {
		return
	}
	if len(e.Document) > maxSentConfigBytes {
		m.sendToAll(Message{NewerConfiguration: e.Table.Version})
		return
	}
	m.sendToAll(Message{Configuration: e.Document, ConfigurationRestored: m.configuration.restored})
}

// changes are the changes that this host has read from the store since the last
// heartbeat.
type changes struct {
	replicas []replicas.Entry
	gone     []replicas.Removal
	leaving  []replicas.Removal // they have said so themselves
	hosts    []fleet.Registration
	versions []VersionAnnounced
}

// startupTime is how long after its start a host sends no changes: what it finds
// then has already been read by the others.
const startupTime = 2 * time.Second

// sendChanges sends the changes since the last call. All watchers send those of the
// list of replicas, so that no more requests go to one that leaves; only the first
// watcher sends the rest.
func (m *Machine) sendChanges() {
	c := m.changes
	m.changes = changes{}
	m.sendLeaving(c.leaving)
	if m.now < core.Instant(startupTime) || !m.isWatcher() {
		return
	}
	message := Message{Replicas: c.replicas, RemovedReplicas: c.gone}
	if m.isFirstWatcher() {
		message.Hosts, message.Versions = c.hosts, m.withAges(c.versions)
	}
	if len(message.Replicas)+len(message.RemovedReplicas)+len(message.Hosts)+len(message.Versions) > 0 {
		m.sendToAll(message)
	}
}

// isFirstWatcher reports whether this host sends the documents that it reads. The
// other watchers' heartbeats show that they have read them too.
func (m *Machine) isFirstWatcher() bool { return m.firstWatcher() == core.HostID(m.settings.Self.Name) }

// applyDocuments applies the versions and registrations that a watcher has sent. A
// configuration must be decoded first, and is an event of its own.
func (m *Machine) applyDocuments(e MessageReceived) {
	for _, v := range e.Message.Versions {
		m.applyVersion(v, versionReported)
	}
	for _, r := range e.Message.Hosts {
		if m.fleet.UpdateRegistration(m.now, r, m.watch.era) {
			m.origins.resendOwn = true
		}
	}
	if e.Message.NewerConfiguration > m.configVersion() {
		m.requestReread("newer_elsewhere", string(e.From))
	}
}

// applyListChanges applies the changes of the list of replicas that a watcher has
// sent.
func (m *Machine) applyListChanges(message Message) {
	for _, e := range message.Replicas {
		m.updateReplica(e, replicas.FromHost)
	}
	for _, x := range message.RemovedReplicas {
		known := m.replicas.Get(x.ID) != nil
		m.replicas.ApplyRemoval(m.now, x)
		if known {
			m.dropIfGone(x.ID)
		}
	}
	m.applyLeaving(message.LeavingReplicas)
}
