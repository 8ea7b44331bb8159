package relaynode

import (
	"encoding/json"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// writes holds the calls to the store that have not been answered.
type writes struct {
	lastTag uint64
	pending map[uint64]func(core.ObjectResult)
}

func (w *writes) complete(r core.ObjectResult) {
	if f := w.pending[r.Tag]; f != nil {
		delete(w.pending, r.Tag)
		f(r)
	}
}

func (m *Machine) write(c core.ObjectCall, done func(core.ObjectResult)) {
	m.writes.lastTag++
	c.Tag = m.writes.lastTag
	m.writes.pending[c.Tag] = done
	m.emit(WriteObject{Call: c})
}

// registerRetryInterval is the time between two attempts to register.
const registerRetryInterval = 700 * time.Millisecond

// register writes this host's registration into the store: once at the start, when it
// leaves, and after the store was restored. It waits for the store's first answer, which
// gives the era.
func (m *Machine) register() {
	if m.due.register < 0 || m.now < m.due.register || m.watch.lastAnswer == 0 {
		return
	}
	r := m.settings.Self
	r.Era = m.watch.era
	r.Leaving = m.leavingSince != 0
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings, numbers and booleans: its encoding fails only for a capacity that is not finite
	}
	m.due.register = m.now.Add(registerRetryInterval)
	m.putRegistration(m.RegistrationKey(), value, r.Era, 0)
}

// RegistrationKey is the key of this host's registration in the store. It never changes.
func (m *Machine) RegistrationKey() string { return HostsPrefix + m.settings.Self.Name }

// putRegistration writes this host's registration of an era of the store, whatever is
// stored there: no other host writes its key.
func (m *Machine) putRegistration(key string, value []byte, era, version uint64) {
	c := core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: version}
	if version == 0 {
		c.Op = core.ObjectCreate
	}
	m.write(c, func(r core.ObjectResult) {
		switch r.Status {
		case core.ObjectOK:
			if r.Era == era {
				m.due.register = -1
			}
		case core.ObjectConflict:
			if r.Object.Version != 0 {
				m.putRegistration(key, value, era, r.Object.Version)
			}
		}
	})
}

// restoreQuota fills the workspaces' buckets to the levels that the leases carry,
// for a host that has just started.
func (m *Machine) restoreQuota() {
	if m.table == nil {
		return
	}
	if levels := m.shards.Levels(); levels != nil {
		m.quota.Restore(levels)
	}
}

// shardCandidates returns the names of the hosts that may own shards: the reachable active
// ones. While a whole deployment starts, few hosts have heard from each other, so that the
// selected ones count as reachable; otherwise each host would try to create every lease.
func (m *Machine) shardCandidates() []core.HostID {
	if !m.forming() {
		return slices.DeleteFunc(m.fleet.Members(m.now), func(name core.HostID) bool {
			p, ok := m.fleet.ByName(string(name))
			return ok && m.paths.IsCutOff(m.now, p.Host)
		})
	}
	var names []core.HostID
	for _, p := range m.fleet.ActivePeers() {
		names = append(names, core.HostID(p.Name))
	}
	if m.fleet.Active() {
		names = append(names, core.HostID(m.settings.Self.Name))
	}
	return names
}

// renewLeases renews and acquires the shards' leases.
func (m *Machine) renewLeases() {
	for _, c := range m.shards.Tick(m.now, m.shardCandidates) {
		m.write(c.Object, func(r core.ObjectResult) {
			before := m.shards.Owner(c.Shard)
			m.shards.ApplyWriteResult(m.now, c, r)
			if after := m.shards.Owner(c.Shard); after != before {
				m.emit(LogDecision{Name: "shard", Reason: "holder", Detail: utoa(uint64(c.Shard)) + " " + string(after)})
			}
		})
	}
}
