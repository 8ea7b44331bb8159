package once

import (
	"gentiancroft/internal/core"
)

// create sends the conditional create that must succeed before a dispatch.
func (m *Machine) create(now core.Instant, e *entry) {
	e.step = stepCreate
	e.attempts++
	r := record{Token: e.token, Body: e.req.BodyHash, Phase: phaseRunning}
	m.call(now, e, core.ObjectCall{Op: core.ObjectCreate, Value: r.encode()})
}

// read fetches the record under the entry's key.
func (m *Machine) read(now core.Instant, e *entry) {
	e.attempts++
	m.call(now, e, core.ObjectCall{Op: core.ObjectGet})
}

// proceed sends the call of an entry's step, or drops the entry after its deadline.
func (m *Machine) proceed(now core.Instant, e *entry) {
	if e.deadline != 0 && !now.Before(e.deadline) {
		m.drop(e) // the record expires as "may have run"
		return
	}
	switch e.step {
	case stepCreate:
		m.create(now, e)
	case stepRead, stepCleanup:
		m.read(now, e)
	case stepRecord:
		m.call(now, e, core.ObjectCall{Op: core.ObjectUpdate, Value: e.outcome.encode(), IfVersion: e.version})
	case stepRelease:
		// Invariant: the version is that of this entry's own record, so that a late or
		// duplicate delete can't remove the record of a retry.
		m.call(now, e, core.ObjectCall{Op: core.ObjectDelete, IfVersion: e.version})
	}
}

// handleResult applies the result of an entry's call.
func (m *Machine) handleResult(now core.Instant, e *entry, r core.ObjectResult) {
	delete(m.byTag, e.tag)
	e.tag = 0
	switch e.step {
	case stepCreate:
		m.handleCreate(now, e, r)
	case stepRead:
		m.handleRead(now, e, r)
	case stepCleanup:
		m.handleCleanupRead(now, e, r)
	case stepRecord, stepRelease:
		m.handleFinalWrite(now, e, r)
	}
}

// handleCreate applies the result of the conditional create.
func (m *Machine) handleCreate(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		m.confirmOwn(now, e, r.Object.Version)
	case core.ObjectConflict:
		if len(r.Object.Value) > 0 {
			m.compareRecord(now, e, r.Object)
			return
		}
		e.step = stepRead
		m.proceed(now, e)
	case core.ObjectUnavailable:
		if e.attempts > 1 {
			// An earlier create of this entry may still take effect.
			m.abandonBegin(now, e)
			return
		}
		m.refuseUnavailable(e)
		m.drop(e)
	default:
		// Invariant: an unanswered create counts as written until read back.
		e.step = stepRead
		m.proceed(now, e)
	}
}

// handleRead applies the result of reading the record under the key.
func (m *Machine) handleRead(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		m.compareRecord(now, e, r.Object)
	case core.ObjectNotFound:
		// The create did not take effect yet, or the read is stale. Creating again
		// under the same token is safe: at most one of the two takes effect.
		if m.refuseIfExhausted(now, e) {
			return
		}
		e.step = stepCreate
		m.scheduleRetry(now, e)
	default:
		if m.refuseIfExhausted(now, e) {
			return
		}
		m.scheduleRetry(now, e)
	}
}

// refuseIfExhausted refuses a request that has used up its calls, and reports
// whether it did.
func (m *Machine) refuseIfExhausted(now core.Instant, e *entry) bool {
	if e.attempts < 2*maxAttempts {
		return false
	}
	m.abandonBegin(now, e)
	return true
}

// confirmOwn proceeds after the record was found to carry this entry's token.
func (m *Machine) confirmOwn(now core.Instant, e *entry, version uint64) {
	e.version = version
	if e.cancelled {
		// Never dispatched and never will be: deleting the record is safe.
		e.step = stepRelease
		e.deadline = now.Add(outcomeTimeout)
		m.proceed(now, e)
		return
	}
	e.step = stepRun
	m.out.Decisions = append(m.out.Decisions, Decision{ID: e.req.ID, Kind: Run})
}

// compareRecord decides an entry by the record found under its key: only a running
// one with its own token lets it run.
func (m *Machine) compareRecord(now core.Instant, e *entry, o core.Object) {
	r, err := decodeRecord(o.Value)
	if err == nil && r.Token == e.token && r.Phase == phaseRunning {
		m.confirmOwn(now, e, o.Version)
		return
	}
	if !e.cancelled {
		m.out.Decisions = append(m.out.Decisions, decisionFor(e.req, r, err))
	}
	m.drop(e)
}

// decisionFor returns the decision for a request whose key has another entry's
// record; err is from decoding it.
func decisionFor(q Request, r record, err error) Decision {
	d := Decision{ID: q.ID, Kind: Refuse}
	switch {
	case err != nil:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the record of this key can't be read", Ran: core.RanUnknown}
	case r.Body != q.BodyHash:
		d.Refusal = core.Refuse(core.CodeIdempotencyKeyReused, 0, "this Idempotency-Key was used for another request")
	case r.Phase == phaseDone && r.Outcome != nil:
		return Decision{ID: q.ID, Kind: Replay, Outcome: *r.Outcome}
	case r.Phase == phaseDone:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the request ran; its answer was not kept", Ran: core.RanYes}
	case r.Phase == phaseRunning:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the first try of this request has no outcome yet", Ran: core.RanUnknown, RetryAfter: runningRetryAfter}
	default:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the first try of this request may have run", Ran: core.RanUnknown}
	}
	return d
}

func (m *Machine) refuseUnavailable(e *entry) {
	if !e.cancelled {
		m.refuse(e.req.ID, core.Refuse(core.CodeStoreUnavailable, unavailableRetryAfter, "the request could not be recorded"))
	}
}

// abandonBegin refuses a request whose create may still take effect. It never
// runs, so any record that it left may be deleted.
func (m *Machine) abandonBegin(now core.Instant, e *entry) {
	m.refuseUnavailable(e)
	delete(m.byID, e.req.ID)
	if m.cleanup >= maxCleanups {
		m.drop(e)
		return
	}
	e.step = stepCleanup
	m.cleanup++
	e.deadline = now.Add(outcomeTimeout)
	m.scheduleRetry(now, e)
}

// handleCleanupRead applies the read of a record that a refused request may have
// left.
func (m *Machine) handleCleanupRead(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		left, err := decodeRecord(r.Object.Value)
		if err != nil || left.Token != e.token {
			m.drop(e)
			return
		}
		e.version = r.Object.Version
		e.step = stepRelease
		m.cleanup--
		m.proceed(now, e)
	case core.ObjectNotFound:
		m.drop(e)
	default:
		m.scheduleRetry(now, e)
	}
}

// handleFinalWrite applies the result of recording an outcome or deleting a record.
func (m *Machine) handleFinalWrite(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK, core.ObjectNotFound, core.ObjectConflict:
		// A conflict comes from an earlier attempt of the same step whose result
		// was lost, or from expiry: no other entry writes this record.
		m.drop(e)
	default:
		m.scheduleRetry(now, e)
	}
}
