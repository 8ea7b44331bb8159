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
	lender     core.HostID
	mark       uint64
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
// comes with the result, or within BorrowBound where it needs a loan.
func (m *Machine) Reserve(now core.Instant, own core.Ownership, id core.RequestID, ws core.WorkspaceID, tokens core.Tokens) Result {
	var r Result
	l, ok := m.limits[ws]
	switch {
	case !ok:
		m.refuse(&r, id, core.CodeRateLimited, 0, "no limit is configured for the workspace")
	case tokens <= 0:
		m.refuse(&r, id, core.CodeBadRequest, 0, "tokens: must be at least 1")
	case tokens > l.Burst:
		m.refuse(&r, id, core.CodeNeverFits, 0, "prompt and max_tokens exceed the workspace's burst")
	default:
		m.reserve(now, own, id, ws, tokens, &r)
	}
	return r
}

func (m *Machine) reserve(now core.Instant, own core.Ownership, id core.RequestID, ws core.WorkspaceID, n core.Tokens, r *Result) {
	if _, ok := m.taken[id]; ok {
		m.grant(r, id)
		return
	}
	if m.pending[id] != nil {
		return
	}
	h := m.holder(now, ws)
	h.demand.note(n)
	m.lapse(now, h)
	if h.slice.burst > 0 {
		if mark, ok := h.slice.take(now, nanos(n)); ok {
			m.take(r, id, reservation{ws, n, sourceShare, "", mark, h.slice.generation})
			return
		}
	}
	b := m.book(now, own, ws, r)
	if b != nil && m.spendable(now, own, b) {
		if mark, ok := b.pool.take(now, nanos(n)); ok {
			m.take(r, id, reservation{ws, n, sourcePool, "", mark, b.pool.generation})
			return
		}
	}
	if h.next == 0 {
		m.schedule(now.Add(m.rampUp()), ws, h)
	}
	m.borrow(now, own, id, ws, n, b, r)
}

// rampUp spreads the first asks of many hosts.
func (m *Machine) rampUp() time.Duration {
	return leastDemandSpan/2 + time.Duration(m.rand.Jitter(int64(leastDemandSpan)))
}

func (m *Machine) take(r *Result, id core.RequestID, v reservation) {
	m.taken[id] = v
	m.grant(r, id)
}

// Settle ends a reservation with what was used, prompt and output. Where the
// upstream's count is missing (not counted), used is what this host saw; with
// nothing seen the whole reservation stays charged. The charge counts at the
// instant of the reservation. A second Settle of an id does nothing.
func (m *Machine) Settle(now core.Instant, own core.Ownership, id core.RequestID, used core.Tokens, counted bool) Result {
	var r Result
	v, ok := m.taken[id]
	if !ok {
		return r
	}
	delete(m.taken, id)
	if !counted && used <= 0 {
		used = v.tokens
	}
	used = clampTokens(used)
	over := max(used-v.tokens, 0)
	m.stats.Overrun += over
	m.giveBack(now, v, id, v.tokens-min(used, v.tokens), over, &r)
	return r
}

// Cancel ends a request that has not been dispatched: nothing was used.
func (m *Machine) Cancel(now core.Instant, _ core.Ownership, id core.RequestID) Result {
	var r Result
	if p := m.pending[id]; p != nil && !p.dead {
		p.dead = true // a loan that comes goes back
	}
	if v, ok := m.taken[id]; ok {
		delete(m.taken, id)
		m.giveBack(now, v, id, v.tokens, 0, &r)
	}
	return r
}

// giveBack returns unused tokens to where they came from. An overrun is
// charged to whatever this host holds.
func (m *Machine) giveBack(now core.Instant, v reservation, id core.RequestID, unused, over core.Tokens, r *Result) {
	if v.source == sourceLoan {
		// also with nothing unused: the lender forgets the loan
		r.Send(v.lender, Message{Return: &Return{Workspace: v.workspace, ID: id, Unused: unused}})
		return
	}
	s := m.slice(v.workspace, v.source == sourcePool, v.generation)
	if s == nil {
		m.stats.Forgone += unused
		return
	}
	s.settle(now, v.mark, nanos(unused))
	if over > 0 {
		s.charge(now, nanos(over))
	}
}
