package direct

import (
	"encoding/json"
	"time"

	"gentiancroft/internal/core"
)

// writes are the calls to the store that have no answer yet.
type writes struct {
	next uint64
	open map[uint64]func(core.ObjectResult)
}

func (w *writes) done(r core.ObjectResult) {
	if f := w.open[r.Tag]; f != nil {
		delete(w.open, r.Tag)
		f(r)
	}
}

func (m *Machine) write(c core.ObjectCall, done func(core.ObjectResult)) {
	m.writes.next++
	c.Tag = m.writes.next
	m.writes.open[c.Tag] = done
	m.emit(Object{Call: c})
}

// registerAgain is how long a failed registration waits.
const registerAgain = 700 * time.Millisecond

// register writes this host into the store, once, and again when it leaves.
func (m *Machine) register() {
	if m.due.register < 0 || m.now < m.due.register {
		return
	}
	r := m.settings.Self
	r.Leaving = m.leaving != 0
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings
	}
	m.due.register = m.now.Add(registerAgain)
	m.put(HostsPrefix+r.Name, value, 0)
}

// put writes an object that is this host's alone, whatever stands there.
func (m *Machine) put(key string, value []byte, version uint64) {
	c := core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: version}
	if version == 0 {
		c.Op = core.ObjectCreate
	}
	m.write(c, func(r core.ObjectResult) {
		switch r.Status {
		case core.ObjectOK:
			m.due.register = -1
		case core.ObjectConflict:
			if r.Object.Version != 0 {
				m.put(key, value, r.Object.Version)
			}
		}
	})
}

// restore takes from the leases how full the workspaces' buckets were before
// this host started.
func (m *Machine) restore() {
	if m.table == nil {
		return
	}
	if levels := m.shards.Levels(); levels != nil {
		m.quota.Restore(levels)
	}
}

// leases renews and takes the shards' leases.
func (m *Machine) leases() {
	for _, c := range m.shards.Tick(m.now, func() []core.HostID { return m.fleet.Members(m.now) }) {
		m.write(c.Object, func(r core.ObjectResult) {
			had := m.shards.Holder(c.Shard)
			m.shards.Written(m.now, c, r)
			if now := m.shards.Holder(c.Shard); now != had {
				m.emit(Note{Name: "shard", Reason: "holder", Detail: utoa(uint64(c.Shard)) + " " + string(now)})
			}
		})
	}
}
