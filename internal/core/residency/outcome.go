package residency

import (
	"gentiancroft/internal/core"
)

// Open returns an order that has no end yet.
func (m *Machine) Open(id uint64) (Order, bool) {
	s := m.byOrder[id]
	if s == nil || s.order == nil {
		return Order{}, false
	}
	return *s.order, true
}

// Done takes the end of an order.
func (m *Machine) Done(now core.Instant, d OrderDone) {
	s := m.byOrder[d.ID]
	if s == nil {
		return
	}
	delete(m.byOrder, d.ID)
	o := *s.order
	s.order = nil
	if !s.synced || s.sequence != o.Expected {
		s.resync(now)
		return
	}
	checks := s.checks
	s.checks = false
	switch d.Outcome {
	case Accepted:
		if checks {
			s.stillOnItsWay(now, o)
			return
		}
		s.accepted(now, o)
	case Holds:
		s.done(now, o, checks)
	case Conflict, Elsewhere, Invalid:
		s.resync(now)
	case Unknown:
		s.resync(now.Add(settle))
	}
}

// resync asks the replica for its state before it is ordered again.
func (s *replica) resync(at core.Instant) {
	s.synced = false
	s.probe = at
}

// stillOnItsWay takes the answer that an order is being carried out yet.
func (s *replica) stillOnItsWay(now core.Instant, o Order) {
	i := s.residents[o.Adapter.ID]
	if i == nil {
		return
	}
	again := unloadAgain
	if o.Load {
		again = loadAgain
	}
	i.check = now.Add(again)
	if i.copied {
		i.copied = false // the copy is gone: it is being fetched
		i.check = i.since.Add(fetchTime)
	}
}

// accepted takes the answer that an order has been begun.
func (s *replica) accepted(now core.Instant, o Order) {
	s.sequence++
	s.changed = true
	switch {
	case o.Adapter.ID == "":
		s.busy = now
		s.probe = now.Add(probeModel)
	case o.Load:
		i := &resident{version: o.Adapter.Version, state: loading, since: now, used: now, copied: s.copies[o.Adapter.ID]}
		if old := s.residents[o.Adapter.ID]; old != nil {
			i.used = old.used
			i.copied = false // another version of it
		}
		i.check = now.Add(fetchTime)
		if i.copied {
			i.check = now.Add(copyTime)
		}
		s.residents[o.Adapter.ID] = i
	default:
		if i := s.residents[o.Adapter.ID]; i != nil {
			i.state, i.since = unloading, now
			i.check = now.Add(unloadAgain)
		}
	}
}

// done takes the answer that the replica is as ordered.
func (s *replica) done(now core.Instant, o Order, checks bool) {
	s.changed = true
	switch {
	case o.Adapter.ID == "":
		s.resync(now)
	case o.Load:
		i := &resident{version: o.Adapter.Version, state: ready, since: now, used: now}
		if old := s.residents[o.Adapter.ID]; old != nil {
			i.used = max(old.used, old.since)
		}
		s.residents[o.Adapter.ID] = i
		s.copies[o.Adapter.ID] = true
	default:
		delete(s.residents, o.Adapter.ID)
		if !checks {
			s.sequence++ // an unused adapter goes at once, and that counts as an order
		}
	}
}

// Reported takes a replica's report. One that tells of an earlier state than
// this host knows is passed over.
func (m *Machine) Reported(now core.Instant, r Report) {
	s := m.known[r.Replica]
	if s == nil {
		return
	}
	s.probing = false
	switch {
	case !r.OK:
		s.probe = now.Add(probeFailed)
		return
	case r.Started != s.started && r.Started != 0:
		s.probe = now.Add(probeFailed) // the list tells of the new start
		return
	case s.synced && r.Sequence < s.sequence:
		s.probe = now.Add(probeEvery)
		return
	case s.order != nil:
		s.probe = now.Add(probeEvery) // the order under way changes what the report says
		return
	}
	s.adopt(now, r.Sequence, r.Models, r.Pending)
	if r.Busy {
		s.busy = max(s.busy, now)
	} else if len(s.models) > 0 || s.busy != 0 && now.Sub(s.busy) > probeModel {
		s.busy = 0
	}
	if s.busy != 0 {
		s.probe = now.Add(probeModel)
	}
}
