package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// workHead reads the head where a newer one is known or a change needs it, and
// writes the change that this host wants.
func (m *Machine) workHead(now core.Instant) {
	wants := m.wantsChange(now)
	behind := m.wanted > m.head.Version && now >= m.wantedAt
	fresh := m.headObject != 0 || m.headAbsent
	if (behind || (wants && !fresh)) && m.calls.ready(now, callHead) {
		m.call(now, callHead, core.ObjectCall{Op: core.ObjectGet, Key: HeadKey})
		return
	}
	if wants && fresh && m.calls.ready(now, callHeadWrite) && !m.calls.flights[callHead].busy {
		m.writeHead(now)
	}
}

// wantsChange reports whether this host wants the head changed. It looks at the
// effect, so a write whose answer was lost is not wanted again once seen.
func (m *Machine) wantsChange(now core.Instant) bool {
	i, in := m.head.find(m.Self())
	switch {
	case m.release:
		return in
	case !in:
		return true
	case m.leaving && !m.head.Members[i].Leaving:
		return true
	}
	return len(m.watch.removable(m, now)) > 0
}

// writeHead proposes the next version, all wanted changes in one update.
func (m *Machine) writeHead(now core.Instant) {
	next := m.head.clone()
	next.Version++
	switch {
	case m.release:
		next.remove(m.Self())
	case m.leaving:
		next.mark(m.Self())
	default:
		next.join(m.set.Self, m.set.BatchSize)
	}
	for _, id := range m.watch.removable(m, now) {
		next.remove(id)
	}
	next.trim(m.set.Log)
	value, err := EncodeHead(next)
	if err != nil {
		return
	}
	m.writing = next
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: HeadKey, Value: value, IfVersion: m.headObject}
	if m.headAbsent {
		call = core.ObjectCall{Op: core.ObjectCreate, Key: HeadKey, Value: value}
	}
	m.call(now, callHeadWrite, call)
}

// headWritten takes the end of a change. After a lost answer the head is read
// back: the change is there or it is tried again under the newer version.
func (m *Machine) headWritten(now core.Instant, r core.ObjectResult) {
	if r.Status == core.ObjectOK {
		value, err := EncodeHead(m.writing)
		if err == nil {
			m.adopt(now, m.writing, value, r.Object.Version)
		}
		return
	}
	m.headObject, m.headAbsent = 0, false
	if r.Status == core.ObjectConflict {
		m.spread(now, callHead)
	}
}

// spread keeps hosts that conflicted from meeting again.
func (m *Machine) spread(now core.Instant, k callKind) {
	wait := m.rng.Jitter(int64(m.set.BackoffMin) / 4)
	m.calls.flights[k].after = now.Add(time.Duration(wait))
}

func (m *Machine) headRead(now core.Instant, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		m.headObjectSeen(now, r.Object)
		if m.headObject == 0 || m.wanted > m.head.Version {
			m.spread(now, callHead) // an old read
		}
	case core.ObjectNotFound:
		m.headAbsent = m.head.Version == 0
		m.spread(now, callHead)
	}
}

// headObjectSeen takes a head that came from the store. An old read is dropped.
func (m *Machine) headObjectSeen(now core.Instant, o core.Object) {
	if o.Key != HeadKey || o.Version < m.headSeen {
		return
	}
	h, err := DecodeHead(o.Value)
	if err != nil {
		return
	}
	m.headSeen = o.Version
	m.adopt(now, h, o.Value, o.Version)
}

// adopt moves this host to a newer view, one version at a time. Views never go
// back, so the view in a heartbeat is a bound for good.
func (m *Machine) adopt(now core.Instant, h Head, value []byte, object uint64) {
	if h.Version < m.head.Version {
		return
	}
	m.headAbsent = false
	m.headSeen = max(m.headSeen, object)
	if h.Version == m.head.Version {
		if object != 0 {
			m.headObject = object
		}
		return
	}
	i, in := h.find(m.Self())
	if m.number != 0 && (!in || h.Members[i].Number != m.number) {
		m.removed(&h)
		return
	}
	m.advance(now, &h)
	m.head, m.headBytes, m.headObject = h, value, object
	if in && m.number == 0 {
		m.number, m.batch = h.Members[i].Number, h.Members[i].key()
		m.member.ackAt = now
	}
	m.reassign(now)
	m.claimPending(now)
	m.member.next = now // the new view is acknowledged at once
	m.shards.dirty = true
}

// removed takes a head without this host.
func (m *Machine) removed(h *Head) {
	m.head = *h
	if m.release {
		m.left = true
	} else {
		m.lose()
	}
	m.shards.dirty = true
}

// reassign works out this host's duties under the new view.
func (m *Machine) reassign(now core.Instant) {
	m.lead.batch = m.lead.batch[:0]
	var same, domain []core.HostID
	pollers := map[core.Domain][]core.HostID{}
	var domains []core.Domain
	for i := range m.head.Members {
		e := &m.head.Members[i]
		if m.number != 0 && e.key() == m.batch {
			m.lead.batch = append(m.lead.batch, *e)
			if !e.Leaving {
				same = append(same, e.Host)
			}
		}
		if e.Leaving {
			continue
		}
		if e.Domain == m.set.Self.Domain {
			domain = append(domain, e.Host)
		}
		if pollers[e.Domain] == nil {
			domains = append(domains, e.Domain)
		}
		pollers[e.Domain] = append(pollers[e.Domain], e.Host)
	}
	m.member.rank = rank(same, m.Self(), m.batch)
	m.watch.assigned = m.set.PollsItself || len(m.head.Members) <= m.set.SmallFleet
	m.watch.assigned = m.watch.assigned || rank(domain, m.Self(), BeatsPrefix) < m.set.Pollers
	m.watch.pollers = m.watch.pollers[:0]
	for _, d := range domains {
		const kindRank = 0xff
		m.watch.pollers = append(m.watch.pollers, core.RendezvousN(pollers[d], kindRank, BeatsPrefix, m.set.Pollers)...)
	}
	m.watch.forget(&m.head, now)
}
