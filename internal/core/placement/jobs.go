package placement

import (
	"maps"
	"slices"

	"gentiancroft/internal/core"
)

// loadJob is one load that the loader ordered.
type loadJob struct {
	LoadOrderMessage
	from    core.HostID
	evicted AdapterPopularity
	expires core.Instant // when it is abandoned
}

// order is an adapter order to a replica whose result has not come.
type order struct {
	upstream *ownedUpstream
	adapter  core.AdapterRef // the one to load or unload
	job      *loadJob
	load     bool
}

// receiveLoad handles a load order of the loader: it loads into a free slot or
// in place of a victim.
func (m *Machine) receiveLoad(from core.HostID, l LoadOrderMessage) {
	o := m.owned.byID[l.Upstream]
	if o == nil || !m.ownership.Serving(m.now, o.shard) {
		m.send(from, Message{LoadDone: &LoadDoneMessage{ID: l.ID, Adapter: l.Adapter, Upstream: l.Upstream, End: LoadNotOwner}})
		return
	}
	j := &loadJob{LoadOrderMessage: l, from: from}
	if s := o.slots[l.Adapter]; s != nil {
		m.loadPresentAdapter(o, s, j)
		return
	}
	if o.loadJobs[l.Adapter] != nil {
		return // a duplicate, or ordered by an earlier loader
	}
	if !o.reported || m.isLeaving(o) {
		m.endLoadJob(o, j, LoadNoSlot)
		return
	}
	if len(o.slots) < o.config.Slots {
		m.startLoad(o, j)
		m.publish()
		return
	}
	m.evictFor(o, j)
	m.publish()
}

func (m *Machine) loadPresentAdapter(o *ownedUpstream, s *slot, j *loadJob) {
	switch s.state {
	case resident:
		m.endLoadJob(o, j, LoadOK)
	case loading:
		if known := o.loadJobs[s.adapter]; known != nil {
			known.LoadOrderMessage, known.from = j.LoadOrderMessage, j.from
		}
	default:
		m.endLoadJob(o, j, LoadNoSlot)
	}
}

// evictFor evicts a victim for a load. Only the acting owner may, and only
// while the order is certain to arrive before its lease ends.
func (m *Machine) evictFor(o *ownedUpstream, j *loadJob) {
	v := m.victim(o, j.MaxEvictionCost)
	grant, acting := m.ownership.Acting(m.now, o.shard)
	last := grant.Until.Add(-m.settings.MaxOrderDelay)
	if v == nil || !acting || !m.now.Before(last) {
		m.logDecision("load.no_slot", string(o.id)+": no slot is free and no adapter may be evicted")
		m.endLoadJob(o, j, LoadNoSlot)
		return
	}
	v.setState(unloading, m.now)
	j.evicted = m.popularityOf(v)
	o.loadJobs[j.Adapter] = j
	m.logDecision("evict", v.adapter.String()+" from "+string(o.id))
	m.sendOrder(o, &order{upstream: o, adapter: v.adapter, job: j}, core.Grant{Fence: grant.Fence, Until: last})
	o.publishSoon = true // publish soon: requests for the victim are rejected from now on
}

func (m *Machine) startLoad(o *ownedUpstream, j *loadJob) {
	o.loadJobs[j.Adapter] = j
	o.addSlot(&slot{adapter: j.Adapter, state: loading, stateSince: m.now, score: j.Score, lastRequest: m.now})
	delete(o.removedAt, j.Adapter)
	until := m.now.Add(m.settings.LoadTimeout)
	m.logDecision("load", j.Adapter.String()+" to "+string(o.id))
	m.sendOrder(o, &order{upstream: o, adapter: j.Adapter, job: j, load: true}, core.Grant{Fence: o.fence, Until: until})
	o.publishSoon = true
}

func (m *Machine) sendOrder(o *ownedUpstream, x *order, g core.Grant) {
	timeout := m.settings.MaxOrderDelay
	if x.load {
		timeout = m.settings.LoadTimeout
	}
	if m.owned.orders == nil {
		m.owned.orders = map[uint64]*order{}
	}
	m.lastOrderID++
	m.owned.orders[m.lastOrderID] = x
	x.job.expires = m.now.Add(timeout + m.settings.MaxOrderDelay)
	m.result.Orders = append(m.result.Orders, core.AdapterOrder{
		ID: m.lastOrderID, Upstream: o.id, Address: o.config.Address, Load: x.load, Adapter: x.adapter, Grant: g, Timeout: timeout,
	})
}

func (m *Machine) orderDone(d core.OrderDone) {
	x := m.owned.orders[d.ID]
	if x == nil {
		return
	}
	delete(m.owned.orders, d.ID)
	o := x.upstream
	if m.owned.byID[o.id] != o || o.loadJobs[x.job.Adapter] != x.job {
		return
	}
	if x.load {
		m.loadEnded(o, x, d)
	} else {
		m.unloadEnded(o, x, d)
	}
	m.issueTickets(o)
	m.publish()
}

func (m *Machine) loadEnded(o *ownedUpstream, x *order, d core.OrderDone) {
	s := o.slots[x.adapter]
	end := LoadFailed
	switch {
	case s == nil:
	case d.OK:
		s.setState(resident, m.now)
		end = LoadOK
	case d.NoEffect:
		delete(o.slots, x.adapter)
	default:
		s.setState(uncertain, m.now)
	}
	o.publishNow = true
	m.endLoadJob(o, x.job, end)
}

func (m *Machine) unloadEnded(o *ownedUpstream, x *order, d core.OrderDone) {
	v := o.slots[x.adapter]
	o.publishSoon = true
	switch {
	case d.OK || v == nil:
		delete(o.slots, x.adapter)
		o.removedAt[x.adapter] = m.now
		m.startLoad(o, x.job)
	case d.NoEffect:
		v.setState(resident, m.now)
		m.endLoadJob(o, x.job, LoadFailed)
	default:
		v.setState(uncertain, m.now)
		m.endLoadJob(o, x.job, LoadFailed)
	}
}

func (m *Machine) endLoadJob(o *ownedUpstream, j *loadJob, end LoadEnd) {
	if o.loadJobs[j.Adapter] == j {
		delete(o.loadJobs, j.Adapter)
	}
	if end == LoadFailed {
		m.logDecision("load.failed", j.Adapter.String()+" on "+string(o.id))
	}
	m.send(j.from, Message{LoadDone: &LoadDoneMessage{ID: j.ID, Adapter: j.Adapter, Upstream: o.id, End: end, Evicted: j.evicted}})
	j.evicted = AdapterPopularity{}
}

// expireLoadJobs abandons load jobs whose result never came.
func (m *Machine) expireLoadJobs(o *ownedUpstream) {
	for _, a := range slices.SortedFunc(maps.Keys(o.loadJobs), compareRefs) {
		j := o.loadJobs[a]
		if m.now.Before(j.expires) {
			continue
		}
		for _, s := range o.slots {
			if s.adapter == a || s.adapter == j.evicted.Adapter && s.state == unloading {
				s.setState(uncertain, m.now)
			}
		}
		o.publishNow = true
		m.endLoadJob(o, j, LoadFailed)
	}
}

// markUncertain stops tickets for an adapter until a report shows whether it is
// loaded.
func (m *Machine) markUncertain(o *ownedUpstream, a core.AdapterRef, why string) {
	s := o.slots[a]
	if s == nil || s.state != resident {
		return
	}
	s.setState(uncertain, m.now)
	o.publishNow = true
	m.logDecision("adapter.doubt", a.String()+" on "+string(o.id)+": "+why)
}
