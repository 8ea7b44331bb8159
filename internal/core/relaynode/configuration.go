package relaynode

import (
	"time"

	"gentiancroft/internal/core"
)

// A store that is restored from an older copy may list an older configuration than the
// one in force, until the operator writes the newest one again. The one in force stays
// until then. The operator's writes may also repeat the older versions in turn, so that
// a lower version counts as his newest word only once no other write has followed it
// for rewriteDelay.

// rewriteDelay is how long a lower version must remain the newest in a restored store
// before it replaces a higher one.
const rewriteDelay = 500 * time.Millisecond

// configurationState is where the configuration in force comes from.
type configurationState struct {
	since    core.Instant  // when it came into force
	hash     uint64        // of its document
	readIn   uint64        // era of the store in which it was read
	restored uint64        // era in which it replaced one that was not older; 0: none
	seen     core.Revision // of the latest object that was read

	rewrite   *ConfigurationRead // a lower version that was written in a restored store; nil: none
	rewriteAt core.Instant       // when it was read
}

// order is the place of a configuration among those that it may replace.
type order uint8

const (
	notNewer  order = iota
	newer           // replaces the configuration in force
	rewritten       // a lower version, written after the store was restored
)

// handleConfiguration applies a configuration. One that was read from the store is
// sent to the other hosts, except the first: they have already read what a host
// finds at its start.
func (m *Machine) handleConfiguration(e ConfigurationRead) {
	first := m.table == nil
	place := m.orderOf(&e)
	if m.configuration.seen.Before(e.Revision) {
		m.configuration.seen = e.Revision
		m.configuration.rewrite = nil // something was written after it
	}
	switch place {
	case notNewer:
		return
	case rewritten:
		m.configuration.rewrite, m.configuration.rewriteAt = &e, m.now
		return
	}
	m.replaceConfiguration(&e)
	if !first && e.Document != nil {
		m.sendConfiguration(e)
	}
}

// orderOf compares a configuration with the one in force. Invariant: the one in force is
// replaced by a lower version only if that was written after the store was restored.
func (m *Machine) orderOf(e *ConfigurationRead) order {
	c := &m.configuration
	switch {
	case m.table == nil || e.Table.Version > m.table.Version:
		return newer
	case e.Document == nil:
		if e.Restored > c.restored {
			return newer // the host that sent it has seen that it was written
		}
		return notNewer
	case e.Revision.Era <= c.readIn:
		return notNewer
	case e.Table.Version == m.table.Version:
		if e.Hash != c.hash {
			return newer // the copy has either the same document or older versions
		}
		return notNewer
	case e.Revision.Era == c.seen.Era && c.seen.Before(e.Revision):
		return rewritten
	}
	return notNewer // as the copy has it
}

// replaceConfiguration puts a configuration in force.
func (m *Machine) replaceConfiguration(e *ConfigurationRead) {
	c := &m.configuration
	replaced := m.table != nil && e.Table.Version <= m.table.Version
	m.table, c.since, c.hash, c.rewrite = e.Table, m.now, e.Hash, nil
	c.readIn = max(c.readIn, e.Revision.Era)
	c.restored = max(c.restored, e.Restored)
	if replaced {
		c.restored = max(c.restored, e.Revision.Era)
	}
	m.quota.Configure(m.now, m.table.Workspaces)
	m.restoreQuota()
	m.residency.Configure(m.table.Services)
	m.applyColdRules()
	m.workspaces = make(map[uint32]core.WorkspaceID, len(m.table.Workspaces))
	for id := range m.table.Workspaces {
		m.workspaces[core.ShortHash(string(id))] = id
	}
	m.emit(LogDecision{Name: "configuration", Reason: "in_force", Detail: "version " + utoa(m.table.Version)})
	m.refuseWithdrawnKeys()
}

// applyRewrite puts a lower version in force once it has remained the newest for
// rewriteDelay, and sends it to the other hosts.
func (m *Machine) applyRewrite() {
	e := m.configuration.rewrite
	if e == nil || m.now.Sub(m.configuration.rewriteAt) < rewriteDelay {
		return
	}
	m.replaceConfiguration(e)
	m.sendConfiguration(*e)
}

// refuseWithdrawnKeys refuses the waiting requests whose keys are no longer valid.
// Running requests are completed.
func (m *Machine) refuseWithdrawnKeys() {
	for _, r := range m.requests.all() {
		if r.stage != stageWaiting || r.route.KeyOptional || !m.table.KeysRequired {
			continue
		}
		if m.table.Keys[r.arrival.Key] == nil {
			m.refuse(r, core.Refuse(core.CodeKeyWithdrawn, 0, "the key has been withdrawn"))
		}
	}
}

func (m *Machine) configVersion() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Version
}

// isReplacedBy reports whether another host's configuration replaces this host's.
func (m *Machine) isReplacedBy(d documents) bool {
	if d.restored != m.configuration.restored {
		return d.restored > m.configuration.restored && d.config != m.configVersion()
	}
	return d.config > m.configVersion()
}
