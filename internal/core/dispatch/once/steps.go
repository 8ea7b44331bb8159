package once

import (
	"gentiancroft/internal/core"
)

// create sends the conditional create that must succeed before a dispatch.
func (m *Machine) create(now core.Instant, e *entry) {
	e.step = stepCreate
	e.attempts++
	r := record{Token: e.token, Body: e.req.Body, Phase: phaseRunning}
	m.call(now, e, core.ObjectCall{Op: core.ObjectCreate, Value: r.encode()})
}

// read fetches the record that stands under the key.
func (m *Machine) read(now core.Instant, e *entry) {
	e.attempts++
	m.call(now, e, core.ObjectCall{Op: core.ObjectGet})
}

// proceed sends the call that an entry's step asks for.
func (m *Machine) proceed(now core.Instant, e *entry) {
	if e.giveUp != 0 && !now.Before(e.giveUp) {
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
		// Invariant: the version is that of this entry's own record, so that a
		// late or doubled delete can't take the record of a repeat.
		m.call(now, e, core.ObjectCall{Op: core.ObjectDelete, IfVersion: e.version})
	}
}

// ended takes the end of the call that an entry waited for.
func (m *Machine) ended(now core.Instant, e *entry, r core.ObjectResult) {
	delete(m.byTag, e.tag)
	e.tag = 0
	switch e.step {
	case stepCreate:
		m.created(now, e, r)
	case stepRead:
		m.readBack(now, e, r)
	case stepCleanup:
		m.cleaned(now, e, r)
	case stepRecord, stepRelease:
		m.settled(now, e, r)
	}
}

// created takes the end of the conditional create.
func (m *Machine) created(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		m.mine(now, e, r.Object.Version)
	case core.ObjectConflict:
		if len(r.Object.Value) > 0 {
			m.judge(now, e, r.Object)
			return
		}
		e.step = stepRead
		m.proceed(now, e)
	case core.ObjectUnavailable:
		if e.attempts > 1 {
			// An earlier create of this entry may still take effect.
			m.giveUpBegin(now, e)
			return
		}
		m.storeDown(e)
		m.drop(e)
	default:
		// Invariant: an unanswered create counts as written until read back.
		e.step = stepRead
		m.proceed(now, e)
	}
}

// readBack takes the record that stands under the key.
func (m *Machine) readBack(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		m.judge(now, e, r.Object)
	case core.ObjectNotFound:
		// The create did not take effect yet, or the read is old. Creating again
		// under the same token is safe: at most one of the two takes effect.
		if m.spent(now, e) {
			return
		}
		e.step = stepCreate
		m.later(now, e)
	default:
		if m.spent(now, e) {
			return
		}
		m.later(now, e)
	}
}

// spent refuses a Begin that has used up its calls.
func (m *Machine) spent(now core.Instant, e *entry) bool {
	if e.attempts < 2*maxAttempts {
		return false
	}
	m.giveUpBegin(now, e)
	return true
}

// mine is reached once the record is known to carry this entry's token.
func (m *Machine) mine(now core.Instant, e *entry, version uint64) {
	e.version = version
	if e.cancelled {
		// Never dispatched and never will be: releasing is safe.
		e.step = stepRelease
		e.giveUp = now.Add(giveUpAfter)
		m.proceed(now, e)
		return
	}
	e.step = stepRun
	m.out.Decisions = append(m.out.Decisions, Decision{ID: e.req.ID, Kind: Run})
}

// judge compares the record that stands with this entry.
func (m *Machine) judge(now core.Instant, e *entry, o core.Object) {
	r, err := decodeRecord(o.Value)
	if err == nil && r.Token == e.token && r.Phase == phaseRunning {
		m.mine(now, e, o.Version)
		return
	}
	if !e.cancelled {
		m.out.Decisions = append(m.out.Decisions, verdict(e.req, r, err))
	}
	m.drop(e)
}

// verdict is the answer to a request whose key another request holds.
func verdict(q Request, r record, err error) Decision {
	d := Decision{ID: q.ID, Kind: Refuse}
	switch {
	case err != nil:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the record of this key can't be read", Ran: core.RanUnknown}
	case r.Body != q.Body:
		d.Refusal = core.Refuse(core.CodeKeyReused, 0, "this Idempotency-Key was used for another request")
	case r.Phase == phaseDone && r.Outcome != nil:
		return Decision{ID: q.ID, Kind: Replay, Outcome: *r.Outcome}
	case r.Phase == phaseDone:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the request ran; its answer was not kept", Ran: core.RanYes}
	case r.Phase == phaseRunning:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the first try of this request has no outcome yet", Ran: core.RanUnknown, RetryAfter: runningRetry}
	default:
		d.Refusal = &core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the first try of this request may have run", Ran: core.RanUnknown}
	}
	return d
}

func (m *Machine) storeDown(e *entry) {
	if !e.cancelled {
		m.refuse(e.req.ID, core.Refuse(core.CodeStoreUnavailable, storeDownHint, "the request could not be recorded"))
	}
}

// giveUpBegin refuses a request whose create may yet take effect. It never
// runs, so that whatever record it left may be deleted.
func (m *Machine) giveUpBegin(now core.Instant, e *entry) {
	m.storeDown(e)
	delete(m.byID, e.req.ID)
	if m.cleanup >= maxCleanups {
		m.drop(e)
		return
	}
	e.step = stepCleanup
	m.cleanup++
	e.giveUp = now.Add(giveUpAfter)
	m.later(now, e)
}

// cleaned takes the read of what a refused Begin may have left.
func (m *Machine) cleaned(now core.Instant, e *entry, r core.ObjectResult) {
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
		m.later(now, e)
	}
}

// settled takes the end of recording an outcome or releasing a record.
func (m *Machine) settled(now core.Instant, e *entry, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK, core.ObjectNotFound, core.ObjectConflict:
		// A conflict is the trace of an earlier try of the same step, whose
		// answer was lost, or of expiry: nobody else writes this record.
		m.drop(e)
	default:
		m.later(now, e)
	}
}
