package residency

import (
	"time"

	"gentiancroft/internal/core"
)

// OpenOrder returns the order with an id, and false if it has ended.
func (m *Machine) OpenOrder(id uint64) (Order, bool) {
	r := m.byOrder[id]
	if r == nil || r.order == nil {
		return Order{}, false
	}
	return *r.order, true
}

// ApplyOrderResult applies the result of an order. After an unexpected or unknown
// result the replica's state is read again. Unknown ids are ignored.
func (m *Machine) ApplyOrderResult(now core.Instant, d OrderDone) {
	r := m.byOrder[d.ID]
	if r == nil {
		return
	}
	delete(m.byOrder, d.ID)
	o := *r.order
	r.order = nil
	if !r.synced || r.sequence != o.ExpectedSequence {
		r.resync(now)
		return
	}
	wasCheck := r.checking
	r.checking = false
	switch d.Outcome {
	case Accepted:
		if wasCheck {
			r.checkPending(now, o)
			return
		}
		r.applyAccepted(now, o)
	case AlreadyDone:
		r.applyAlreadyDone(now, o, wasCheck)
	case Conflict, WrongReplica, Invalid:
		r.resync(now)
	case Unknown:
		r.retryOrder(now, o, wasCheck)
	}
}

const (
	// maxOrderSends is how often an order is sent before the replica's state is read.
	maxOrderSends = 4
	// orderResendDelay is the time from a lost answer to the next send.
	orderResendDelay = 20 * time.Millisecond
)

// retryOrder sends an order again whose answer was lost. Of two that expect the same number
// of accepted orders the replica carries out one at most, however late they arrive.
func (r *replica) retryOrder(now core.Instant, o Order, check bool) {
	if r.sends >= maxOrderSends {
		r.resync(now.Add(unknownOrderDelay))
		return
	}
	r.resend = &resend{order: o, check: check, sends: r.sends, at: now.Add(orderResendDelay)}
}

// resync schedules a probe and holds further orders until it is answered.
func (r *replica) resync(at core.Instant) {
	r.synced = false
	r.probeAt = at
	r.resend = nil
}

// checkPending applies the answer to a check that the order is still being carried out.
func (r *replica) checkPending(now core.Instant, o Order) {
	res := r.residents[o.Adapter.ID]
	if res == nil {
		return
	}
	again := unloadCheckInterval
	if o.Load {
		again = loadCheckInterval
	}
	res.nextCheck = now.Add(again)
	if res.fromCopy {
		res.fromCopy = false // the replica has no copy any more and loads from the weight store
		res.nextCheck = res.since.Add(FetchLoadTime)
	}
}

// applyAccepted applies the answer that the replica has started an order.
func (r *replica) applyAccepted(now core.Instant, o Order) {
	r.sequence++
	r.changed = true
	switch {
	case o.Adapter.ID == "":
		r.modelLoadingSince = now
		r.probeAt = now.Add(probeModelInterval)
	case o.Load:
		res := &resident{version: o.Adapter.Version, model: o.Model, state: loading, since: now, lastUsed: now, fromCopy: r.copies[o.Adapter.ID]}
		if old := r.residents[o.Adapter.ID]; old != nil {
			res.lastUsed = old.lastUsed
			res.fromCopy = false // the copy is of another version
		}
		res.nextCheck = now.Add(FetchLoadTime)
		if res.fromCopy {
			res.nextCheck = now.Add(copyLoadTime)
		}
		r.residents[o.Adapter.ID] = res
	default:
		if res := r.residents[o.Adapter.ID]; res != nil {
			res.state, res.since = unloading, now
			res.nextCheck = now.Add(unloadCheckInterval)
		}
	}
}

// applyAlreadyDone applies the answer that the replica is in the ordered state.
func (r *replica) applyAlreadyDone(now core.Instant, o Order, wasCheck bool) {
	r.changed = true
	switch {
	case o.Adapter.ID == "":
		r.resync(now)
	case o.Load:
		res := &resident{version: o.Adapter.Version, model: o.Model, state: ready, since: now, lastUsed: now}
		if old := r.residents[o.Adapter.ID]; old != nil {
			res.lastUsed = max(old.lastUsed, old.since)
		}
		r.residents[o.Adapter.ID] = res
		r.copies[o.Adapter.ID] = true
	default:
		delete(r.residents, o.Adapter.ID)
		if !wasCheck {
			r.sequence++ // an unused adapter is unloaded immediately, which counts as an accepted order
		}
	}
}

// ApplyReport applies a replica's report. Reports that failed, are of another start,
// are older than the known state or arrive while an order is open are ignored, and a
// new probe is scheduled.
func (m *Machine) ApplyReport(now core.Instant, report Report) {
	r := m.byID[report.Replica]
	if r == nil {
		return
	}
	r.probing = false
	switch {
	case !report.OK:
		r.probeAt = now.Add(probeFailedInterval)
		return
	case report.Started != r.started && report.Started != 0:
		r.probeAt = now.Add(probeFailedInterval) // the platform's list will show the new start
		return
	case r.synced && report.Sequence < r.sequence:
		r.probeAt = now.Add(probeStaleInterval)
		return
	case r.order != nil:
		r.probeAt = now.Add(probeStaleInterval) // the open order changes the reported state
		return
	}
	r.applyState(now, report.Sequence, report.Models, report.Pending)
	if report.Busy {
		r.modelLoadingSince = max(r.modelLoadingSince, now)
	} else if len(r.models) > 0 || r.modelLoadingSince != 0 && now.Sub(r.modelLoadingSince) > probeModelInterval {
		r.modelLoadingSince = 0
	}
	if r.modelLoadingSince != 0 {
		r.probeAt = now.Add(probeModelInterval)
	}
}
