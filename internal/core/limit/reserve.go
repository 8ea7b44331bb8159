package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// source is where a reservation's tokens came from.
type source uint8

const (
	sourceShare source = iota + 1
	sourcePool
	sourceLoan
)

// reservation is what one request has taken.
type reservation struct {
	workspace  core.WorkspaceID
	tokens     core.Tokens
	source     source
	lender     core.HostID // set for a loan
	mark       uint64      // for settle; unused for a loan
	generation uint32
}

func (m *Machine) grant(r *Result, id core.RequestID) {
	m.stats.Granted++
	r.Decisions = append(r.Decisions, Decision{ID: id, Granted: true})
}

func (m *Machine) refuse(r *Result, id core.RequestID, code core.Code, retry time.Duration, why string) {
	m.stats.Refused++
	r.Decisions = append(r.Decisions, Decision{ID: id, Refusal: core.Refuse(code, retry, why)})
}

// Reserve takes tokens (prompt and allowed output) for a request. The decision
// comes with the result, or within LoanTimeout if a loan is needed.
func (m *Machine) Reserve(now core.Instant, own core.Ownership, id core.RequestID, ws core.WorkspaceID, tokens core.Tokens) Result {
	var r Result
	l, ok := m.limits[ws]
	switch {
	case !ok:
		m.refuse(&r, id, core.CodeRateLimited, 0, "no limit is configured for the workspace")
	case tokens <= 0:
		m.refuse(&r, id, core.CodeBadRequest, 0, "tokens: must be at least 1")
	case tokens > l.Burst:
		m.refuse(&r, id, core.CodeExceedsBurst, 0, "prompt and max_tokens exceed the workspace's burst")
	default:
		m.reserve(now, own, id, ws, tokens, &r)
	}
	return r
}

func (m *Machine) reserve(now core.Instant, own core.Ownership, id core.RequestID, ws core.WorkspaceID, n core.Tokens, r *Result) {
	if _, ok := m.reservations[id]; ok {
		m.grant(r, id)
		return
	}
	if m.pendingLoans[id] != nil {
		return
	}
	h := m.holderOf(now, ws)
	h.demand.record(n)
	m.dropExpired(now, h)
	if h.bucket.burst > 0 {
		if mark, ok := h.bucket.take(now, toNanotokens(n)); ok {
			m.recordReservation(r, id, reservation{ws, n, sourceShare, "", mark, h.bucket.generation})
			return
		}
	}
	led := m.openLedger(now, own, ws, r)
	if led != nil && m.maySpend(now, own, led) {
		if mark, ok := led.pool.take(now, toNanotokens(n)); ok {
			m.recordReservation(r, id, reservation{ws, n, sourcePool, "", mark, led.pool.generation})
			return
		}
	}
	if h.nextRequest == 0 {
		m.scheduleRequest(now.Add(m.firstRequestDelay()), ws, h)
	}
	m.requestLoan(now, own, id, ws, n, led, r)
}

// firstRequestDelay returns a random delay, which spreads the first share requests
// of many hosts.
func (m *Machine) firstRequestDelay() time.Duration {
	return minDemandSpan/2 + time.Duration(m.rand.Jitter(int64(minDemandSpan)))
}

func (m *Machine) recordReservation(r *Result, id core.RequestID, res reservation) {
	m.reservations[id] = res
	m.grant(r, id)
}

// Settle ends a reservation with the tokens used, prompt and output. If the
// upstream's count is missing (not counted), used is what this host saw; if it saw
// nothing, the whole reservation is charged. The charge counts at the time of the
// reservation. A second Settle of an id does nothing.
func (m *Machine) Settle(now core.Instant, own core.Ownership, id core.RequestID, used core.Tokens, counted bool) Result {
	var r Result
	v, ok := m.reservations[id]
	if !ok {
		return r
	}
	delete(m.reservations, id)
	if !counted && used <= 0 {
		used = v.tokens
	}
	used = clampTokens(used)
	over := max(used-v.tokens, 0)
	m.stats.Overrun += over
	m.returnTokens(now, v, id, v.tokens-min(used, v.tokens), over, &r)
	return r
}

// Cancel ends a request that has not been dispatched: nothing was used.
func (m *Machine) Cancel(now core.Instant, _ core.Ownership, id core.RequestID) Result {
	var r Result
	if p := m.pendingLoans[id]; p != nil && !p.abandoned {
		p.abandoned = true // a loan that still comes is returned
	}
	if v, ok := m.reservations[id]; ok {
		delete(m.reservations, id)
		m.returnTokens(now, v, id, v.tokens, 0, &r)
	}
	return r
}

// returnTokens returns unused tokens to their source, or charges an overrun to it.
// An overrun of a loan is not charged.
func (m *Machine) returnTokens(now core.Instant, res reservation, id core.RequestID, unused, over core.Tokens, r *Result) {
	if res.source == sourceLoan {
		// also if nothing is unused, so that the lender deletes the loan
		r.Send(res.lender, Message{LoanReturn: &LoanReturn{Workspace: res.workspace, ID: id, Unused: unused}})
		return
	}
	s := m.sourceBucket(res.workspace, res.source == sourcePool, res.generation)
	if s == nil {
		m.stats.LateReturns += unused
		return
	}
	s.settle(now, res.mark, toNanotokens(unused))
	if over > 0 {
		s.charge(now, toNanotokens(over))
	}
}
