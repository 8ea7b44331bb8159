package residency

import (
	"gentiancroft/internal/core"
)

// Open returns an order that has no end yet.
func (m *Machine) Open(id uint64) (Order, bool) {
	r := m.byOrder[id]
	if r == nil || r.order == nil {
		return Order{}, false
	}
	return *r.order, true
}

// Done takes the end of an order.
func (m *Machine) Done(now core.Instant, d OrderDone) {
	r := m.byOrder[d.ID]
	if r == nil {
		return
	}
	delete(m.byOrder, d.ID)
	o := *r.order
	r.order = nil
	if !r.synced || r.sequence != o.Expected {
		r.resync(now)
		return
	}
	checks := r.checks
	r.checks = false
	switch d.Outcome {
	case Accepted:
		if checks {
			r.stillOnItsWay(now, o)
			return
		}
		r.accepted(now, o)
	case Holds:
		r.done(now, o, checks)
	case Conflict, Elsewhere, Invalid:
		r.resync(now)
	case Unknown:
		r.resync(now.Add(settle))
	}
}

// resync asks the replica for its state before it is ordered again.
func (r *replica) resync(at core.Instant) {
	r.synced = false
	r.probe = at
}

// stillOnItsWay takes the answer that an order is being carried out yet.
func (r *replica) stillOnItsWay(now core.Instant, o Order) {
	i := r.residents[o.Adapter.ID]
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
func (r *replica) accepted(now core.Instant, o Order) {
	r.sequence++
	r.changed = true
	switch {
	case o.Adapter.ID == "":
		r.busy = now
		r.probe = now.Add(probeModel)
	case o.Load:
		i := &resident{version: o.Adapter.Version, state: loading, since: now, used: now, copied: r.copies[o.Adapter.ID]}
		if old := r.residents[o.Adapter.ID]; old != nil {
			i.used = old.used
			i.copied = false // another version of it
		}
		i.check = now.Add(fetchTime)
		if i.copied {
			i.check = now.Add(copyTime)
		}
		r.residents[o.Adapter.ID] = i
	default:
		if i := r.residents[o.Adapter.ID]; i != nil {
			i.state, i.since = unloading, now
			i.check = now.Add(unloadAgain)
		}
	}
}

// done takes the answer that the replica is as ordered.
func (r *replica) done(now core.Instant, o Order, checks bool) {
	r.changed = true
	switch {
	case o.Adapter.ID == "":
		r.resync(now)
	case o.Load:
		i := &resident{version: o.Adapter.Version, state: ready, since: now, used: now}
		if old := r.residents[o.Adapter.ID]; old != nil {
			i.used = max(old.used, old.since)
		}
		r.residents[o.Adapter.ID] = i
		r.copies[o.Adapter.ID] = true
	default:
		delete(r.residents, o.Adapter.ID)
		if !checks {
			r.sequence++ // an unused adapter goes at once, and that counts as an order
		}
	}
}

// Reported takes a replica's report. One that tells of an earlier state than
// this host knows is passed over.
func (m *Machine) Reported(now core.Instant, report Report) {
	r := m.known[report.Replica]
	if r == nil {
		return
	}
	r.probing = false
	switch {
	case !report.OK:
		r.probe = now.Add(probeFailed)
		return
	case report.Started != r.started && report.Started != 0:
		r.probe = now.Add(probeFailed) // the list tells of the new start
		return
	case r.synced && report.Sequence < r.sequence:
		r.probe = now.Add(probeEvery)
		return
	case r.order != nil:
		r.probe = now.Add(probeEvery) // the order under way changes what the report says
		return
	}
	r.adopt(now, report.Sequence, report.Models, report.Pending)
	if report.Busy {
		r.busy = max(r.busy, now)
	} else if len(r.models) > 0 || r.busy != 0 && now.Sub(r.busy) > probeModel {
		r.busy = 0
	}
	if r.busy != 0 {
		r.probe = now.Add(probeModel)
	}
}
