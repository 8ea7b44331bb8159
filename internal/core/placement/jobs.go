package placement

import (
	"maps"
	"slices"

	"gentiancroft/internal/core"
)

// job is one load that the loader has asked for.
type job struct {
	LoadMessage
	from    core.HostID
	evicted Popular
	ends    core.Instant // when its order is given up
}

// order is an adapter order that has not ended.
type order struct {
	upstream *owned
	adapter  core.AdapterRef // of the order
	job      *job
	load     bool
}

// load takes a load from the loader: into a free slot, or in place of a victim.
func (m *Machine) load(from core.HostID, l LoadMessage) {
	o := m.owned.byID[l.Upstream]
	if o == nil || !m.own.Serving(m.now, o.shard) {
		m.send(from, Message{LoadDone: &LoadDoneMessage{ID: l.ID, Adapter: l.Adapter, Upstream: l.Upstream, End: LoadNotOwner}})
		return
	}
	j := &job{LoadMessage: l, from: from}
	if s := o.slots[l.Adapter]; s != nil {
		m.loadPresent(o, s, j)
		return
	}
	if o.jobs[l.Adapter] != nil {
		return // doubled, or under way for an earlier loader
	}
	if !o.reported || m.leavingNow(o) {
		m.endJob(o, j, LoadNoSlot)
		return
	}
	if len(o.slots) < o.config.Slots {
		m.startLoad(o, j)
		m.flush()
		return
	}
	m.makeRoom(o, j)
	m.flush()
}

func (m *Machine) loadPresent(o *owned, s *slot, j *job) {
	switch s.state {
	case resident:
		m.endJob(o, j, LoadOK)
	case loading:
		if known := o.jobs[s.adapter]; known != nil {
			known.LoadMessage, known.from = j.LoadMessage, j.from
		}
	default:
		m.endJob(o, j, LoadNoSlot)
	}
}

// makeRoom evicts a victim for a load. Only the acting owner may, for as long
// as the order certainly arrives before its term ends.
func (m *Machine) makeRoom(o *owned, j *job) {
	v := m.victim(o, j.Most)
	grant, acting := m.own.Acting(m.now, o.shard)
	last := grant.Until.Add(-m.settings.OrderLinger)
	if v == nil || !acting || !m.now.Before(last) {
		m.note("load.no_slot", string(o.id)+": every slot is pinned, waited for or worth more")
		m.endJob(o, j, LoadNoSlot)
		return
	}
	v.become(unloading, m.now)
	j.evicted = m.popular(v)
	o.jobs[j.Adapter] = j
	m.note("evict", v.adapter.String()+" from "+string(o.id))
	m.issue(o, &order{upstream: o, adapter: v.adapter, job: j}, core.Grant{Fence: grant.Fence, Until: last})
	o.stale = true // whoever asks for the victim meanwhile is turned away
}

func (m *Machine) startLoad(o *owned, j *job) {
	o.jobs[j.Adapter] = j
	o.add(&slot{adapter: j.Adapter, state: loading, since: m.now, score: j.Score, touched: m.now})
	delete(o.gone, j.Adapter)
	until := m.now.Add(m.settings.LoadTimeout)
	m.note("load", j.Adapter.String()+" to "+string(o.id))
	m.issue(o, &order{upstream: o, adapter: j.Adapter, job: j, load: true}, core.Grant{Fence: o.fence, Until: until})
	o.stale = true
}

func (m *Machine) issue(o *owned, x *order, g core.Grant) {
	timeout := m.settings.OrderLinger
	if x.load {
		timeout = m.settings.LoadTimeout
	}
	if m.owned.orders == nil {
		m.owned.orders = map[uint64]*order{}
	}
	m.orders++
	m.owned.orders[m.orders] = x
	x.job.ends = m.now.Add(timeout + m.settings.OrderLinger)
	m.out.Orders = append(m.out.Orders, core.AdapterOrder{
		ID: m.orders, Upstream: o.id, Address: o.config.Address, Load: x.load, Adapter: x.adapter, Grant: g, Timeout: timeout,
	})
}

func (m *Machine) orderDone(d core.OrderDone) {
	x := m.owned.orders[d.ID]
	if x == nil {
		return
	}
	delete(m.owned.orders, d.ID)
	o := x.upstream
	if m.owned.byID[o.id] != o || o.jobs[x.job.Adapter] != x.job {
		return
	}
	if x.load {
		m.loadEnded(o, x, d)
	} else {
		m.unloadEnded(o, x, d)
	}
	m.pump(o)
	m.flush()
}

func (m *Machine) loadEnded(o *owned, x *order, d core.OrderDone) {
	s := o.slots[x.adapter]
	end := LoadFailed
	switch {
	case s == nil:
	case d.OK:
		s.become(resident, m.now)
		end = LoadOK
	case d.Sure:
		delete(o.slots, x.adapter)
	default:
		s.become(doubtful, m.now)
	}
	o.dirty = true
	m.endJob(o, x.job, end)
}

func (m *Machine) unloadEnded(o *owned, x *order, d core.OrderDone) {
	v := o.slots[x.adapter]
	o.stale = true
	switch {
	case d.OK || v == nil:
		delete(o.slots, x.adapter)
		o.gone[x.adapter] = m.now
		m.startLoad(o, x.job)
	case d.Sure:
		v.become(resident, m.now)
		m.endJob(o, x.job, LoadFailed)
	default:
		v.become(doubtful, m.now)
		m.endJob(o, x.job, LoadFailed)
	}
}

func (m *Machine) endJob(o *owned, j *job, end LoadEnd) {
	if o.jobs[j.Adapter] == j {
		delete(o.jobs, j.Adapter)
	}
	if end == LoadFailed {
		m.note("load.failed", j.Adapter.String()+" on "+string(o.id))
	}
	m.send(j.from, Message{LoadDone: &LoadDoneMessage{ID: j.ID, Adapter: j.Adapter, Upstream: o.id, End: end, Evicted: j.evicted}})
	j.evicted = Popular{}
}

// tickJobs gives up orders whose end never came.
func (m *Machine) tickJobs(o *owned) {
	for _, a := range slices.SortedFunc(maps.Keys(o.jobs), compareRefs) {
		j := o.jobs[a]
		if m.now.Before(j.ends) {
			continue
		}
		for _, s := range o.slots {
			if s.adapter == a || s.adapter == j.evicted.Adapter && s.state == unloading {
				s.become(doubtful, m.now)
			}
		}
		o.dirty = true
		m.endJob(o, j, LoadFailed)
	}
}

// doubt stops tickets for an adapter until a report settles where it is.
func (m *Machine) doubt(o *owned, a core.AdapterRef, why string) {
	s := o.slots[a]
	if s == nil || s.state != resident {
		return
	}
	s.become(doubtful, m.now)
	o.dirty = true
	m.note("adapter.doubt", a.String()+" on "+string(o.id)+": "+why)
}
