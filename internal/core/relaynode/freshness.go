package relaynode

import (
	"time"

	"gentiancroft/internal/core"
)

// Whether a host's list of replicas is as new as it seems must not be judged by answers that
// waited while the process stood still, nor by answers to other calls than those for the list. An
// answer counts from the time at which its call was sent. After a stall, and after the store has come
// back, the list is in doubt until it has been compared by a call that was sent later.

const (
	// stallTimeout is the time between two steps of the machine from which the process has stood
	// still. A tick comes every 20 ms.
	stallTimeout = 500 * time.Millisecond
	// listTTL is how long a comparison of the list counts: the wait of a watch, the pause before
	// it and the store's answer.
	listTTL = 3 * time.Second
)

// listState is when the list of replicas was last known to be the store's.
type listState struct {
	comparedAt core.Instant // when the latest call was sent that has compared it; 0: none has
	doubtedAt  core.Instant // comparisons that were asked for before don't count
}

// advanceTo sets the time of a step. Time never goes back: an earlier one counts as that of the last
// step.
func (m *Machine) advanceTo(now core.Instant) {
	last := m.now
	m.now = max(last, now)
	if last == 0 || m.now.Sub(last) < stallTimeout {
		return
	}
	m.list.doubtedAt = m.now
	m.relists++
	m.softwareUnobserved(last)
	m.emit(LogDecision{Name: "stall", Reason: "list_in_doubt", Age: m.now.Sub(last)})
}

// sentAt returns the time at which a call was sent; 0 stands for now.
func (m *Machine) sentAt(sent core.Instant) core.Instant {
	if sent == 0 {
		return m.now
	}
	return sent
}

// listCompared records that the list was compared with the store's by a call that was sent at a time.
func (m *Machine) listCompared(sent core.Instant) {
	m.list.comparedAt = max(m.list.comparedAt, m.sentAt(sent))
}

// listInDoubt reports whether the list has not been compared since it came into doubt.
func (m *Machine) listInDoubt() bool {
	return m.list.comparedAt == 0 || m.list.comparedAt < m.list.doubtedAt
}

// listIsCurrent reports whether the list of replicas has lately been the store's, as this host's own
// comparison shows or a watcher that has the same list.
func (m *Machine) listIsCurrent() bool {
	if m.listInDoubt() {
		return false
	}
	return m.storeAnswers() && m.now.Sub(m.list.comparedAt) < listTTL || m.watcherAgrees()
}

// watcherAgrees reports whether the first watcher is another host and has the same list of replicas.
func (m *Machine) watcherAgrees() bool {
	name := m.firstWatcher()
	if name == "" || name == core.HostID(m.settings.Self.Name) {
		return false
	}
	p, ok := m.fleet.ByName(string(name))
	if !ok {
		return false
	}
	if digest := m.gossip.latest[p.Host].ReplicaDigest; digest != 0 {
		return digest == m.replicas.Digest()
	}
	_, differs := m.watch.differSince[p.Host]
	return !differs
}
