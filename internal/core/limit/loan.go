package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// pendingLoan is a request that waits for a loan.
type pendingLoan struct {
	workspace  core.WorkspaceID
	tokens     core.Tokens
	expires    core.Instant
	lender     core.HostID
	ownerTried bool // the loan was requested from the owner after another host refused
	abandoned  bool // refused or cancelled: a loan that still comes is returned
}

// loan is what this host lent.
type loan struct {
	workspace   core.WorkspaceID
	amount      nanotokens
	fromPool    bool   // from the pool, else from this host's share
	mark        uint64 // set when the flight has ended
	generation  uint32
	flightEnded bool // received, or can't be accepted any more
}

// Bounds of the retry times in refusals, and lifetimes of loan records.
const (
	minRetryAfter     = 20 * time.Millisecond
	noOwnerRetryAfter = 500 * time.Millisecond // while a workspace has no owner that may act
	maxRetryAfter     = 60 * time.Second
	abandonedTTL      = 2 * time.Second  // how long a late loan is returned
	loanTTL           = 10 * time.Minute // how long the unused part of a loan can be returned
)

// requestLoan requests the tokens of one request from another host.
func (m *Machine) requestLoan(now core.Instant, own core.Ownership, id core.RequestID, ws core.WorkspaceID, n core.Tokens, led *ledger, r *Result) {
	h := m.holderOf(now, ws)
	if h.exhausted.covers(now, n) {
		m.refuse(r, id, core.CodeRateLimited, h.exhausted.until.Sub(now), "the workspace's rate is used up")
		return
	}
	to := m.chooseLender(now, own, ws, h, n, led)
	if to == "" && led == nil {
		m.refuse(r, id, core.CodeOverloaded, noOwnerRetryAfter, "the workspace's limit is changing hosts")
		return
	}
	if to == "" {
		m.refuse(r, id, core.CodeRateLimited, m.retryAfter(now, ws, n, led), "the workspace's rate is used up")
		return
	}
	if len(m.pendingLoans) >= m.settings.MaxPendingLoans {
		m.refuse(r, id, core.CodeOverloaded, time.Second, "too many requests wait for their limit")
		return
	}
	p := &pendingLoan{workspace: ws, tokens: n, expires: now.Add(m.settings.LoanTimeout), lender: to}
	m.pendingLoans[id] = p
	m.timers.add(timer{at: now.Add(m.settings.LoanTimeout / resendDivisor), kind: timerPendingLoan, request: id})
	r.Send(to, Message{LoanRequest: &LoanRequest{Workspace: ws, ID: id, Tokens: n, Entry: m.settings.Self}})
	if now.Sub(h.lastRequest) >= m.settings.MinRequestInterval && led == nil && (h.bucket.burst > 0 || h.lastRequest == 0) {
		m.requestShare(now, own, ws, h, r)
	}
}

// chooseLender returns the host to request a loan from: for an owner the holder with
// the most left, for others the last lender or the owner; empty if there is none.
func (m *Machine) chooseLender(now core.Instant, own core.Ownership, ws core.WorkspaceID, h *shareHolder, n core.Tokens, led *ledger) core.HostID {
	if led != nil {
		return led.bestLender(now, toNanotokens(n), m.settings.Self)
	}
	if h.lastLender != "" {
		return h.lastLender
	}
	owner, ok := own.Owner(shardOf(ws))
	if !ok || (owner == m.settings.Self && !m.ledgerOpening(ws)) {
		return ""
	}
	return owner
}

// ledgerOpening reports whether this host is opening the workspace's ledger.
func (m *Machine) ledgerOpening(ws core.WorkspaceID) bool {
	led := m.ledgers[ws]
	return led != nil && led.phase != phaseOpen
}

// bestLender returns the holder with the highest estimated level of at least n, and
// debits n from that estimate; empty if there is none.
func (led *ledger) bestLender(now core.Instant, n nanotokens, requester core.HostID) core.HostID {
	var best *entry
	bestLevel := nanotokens(0)
	for _, e := range led.entries {
		if level := e.estimatedLevel(now); e.host != requester && level >= n && level > bestLevel {
			best, bestLevel = e, level
		}
	}
	if best == nil {
		return ""
	}
	best.level, best.statedAt = bestLevel-n, now
	return best.host
}

// markUnresponsive excludes a holder from loans until its next share request.
func (led *ledger) markUnresponsive(host core.HostID) {
	if e := led.entry(host); e != nil {
		e.unresponsive = true
	}
}

// estimatedLevel returns the holder's level if it has spent nothing since its last
// statement; 0 if it is unresponsive.
func (e *entry) estimatedLevel(now core.Instant) nanotokens {
	if e.unresponsive {
		return 0
	}
	return min(e.level+accrued(e.rate, now.Sub(e.statedAt)), e.burst)
}

// retryAfter returns the time until the workspace as a whole should have n tokens.
func (m *Machine) retryAfter(now core.Instant, ws core.WorkspaceID, n core.Tokens, led *ledger) time.Duration {
	need := toNanotokens(n)
	if led != nil {
		led.pool.advance(now)
		need -= max(led.pool.level, 0)
		for _, e := range led.entries {
			need -= max(e.estimatedLevel(now), 0)
		}
	}
	return min(max(accrualTime(need, toMicrotokenRate(m.limits[ws].Rate)), minRetryAfter), maxRetryAfter)
}

// onLoanRequest lends from the share or the pool, or forwards the request to the
// holder that should have enough. The source is debited before the answer is sent,
// and only once per id.
func (m *Machine) onLoanRequest(now core.Instant, own core.Ownership, from core.HostID, q LoanRequest, r *Result) {
	if q.Tokens <= 0 || q.Tokens > MaxTokens {
		return
	}
	if l, ok := m.loans[q.ID]; ok {
		if !l.flightEnded {
			r.Send(q.Entry, Message{LoanReply: &LoanReply{Workspace: q.Workspace, ID: q.ID, Granted: true}})
		}
		return
	}
	led := m.openLedger(now, own, q.Workspace, r)
	if led == nil && m.queueLoanRequest(q) {
		return
	}
	if owner, ok := own.Owner(shardOf(q.Workspace)); ok && led == nil && owner == m.settings.Self {
		return // not opened yet: this is no refusal, and the borrower asks again
	}
	if led != nil && !q.Forwarded {
		led.loanDemand.record(q.Tokens) // loans to other hosts are demand on the pool
	}
	if m.lend(now, own, q, led) {
		r.Send(q.Entry, Message{LoanReply: &LoanReply{Workspace: q.Workspace, ID: q.ID, Granted: true}})
		return
	}
	if led != nil && !q.Forwarded {
		if q.Repeated {
			led.markUnresponsive(led.bestLender(now, toNanotokens(q.Tokens), q.Entry))
		}
		if to := led.bestLender(now, toNanotokens(q.Tokens), q.Entry); to != "" {
			q.Forwarded = true
			r.Send(to, Message{LoanRequest: &q})
			return
		}
	}
	retry := m.retryAfter(now, q.Workspace, q.Tokens, led)
	r.Send(q.Entry, Message{LoanReply: &LoanReply{Workspace: q.Workspace, ID: q.ID, RetryAfter: retry, LargestLoan: led.largestLoan(now)}})
}

// largestLoan returns the most that one host could lend now; 0 without a ledger.
func (led *ledger) largestLoan(now core.Instant) core.Tokens {
	if led == nil {
		return 0
	}
	n := led.pool.level
	for _, e := range led.entries {
		n = max(n, e.estimatedLevel(now))
	}
	return core.Tokens(max(n, 0) / nanotokensPerToken)
}

// maxQueuedLoans bounds the loan requests that wait for one ledger to open.
const maxQueuedLoans = 64

// queueLoanRequest keeps a loan request until the ledger is open, and reports whether
// it did.
func (m *Machine) queueLoanRequest(q LoanRequest) bool {
	led := m.ledgers[q.Workspace]
	if led == nil || led.phase == phaseOpen || len(led.queuedLoans) >= maxQueuedLoans {
		return false
	}
	led.queuedLoans = append(led.queuedLoans, q)
	return true
}

func (m *Machine) serveQueuedLoans(now core.Instant, own core.Ownership, led *ledger, r *Result) {
	queue := led.queuedLoans
	led.queuedLoans = nil
	for _, q := range queue {
		m.onLoanRequest(now, own, q.Entry, q, r)
	}
}

// lend debits a loan and reports whether it could. The amount occupies burst until
// it has arrived for certain or can't be accepted any more. A loan is made only if
// its flight ends within the share's term or the owner's own right to act.
func (m *Machine) lend(now core.Instant, own core.Ownership, q LoanRequest, led *ledger) bool {
	flight := extendedByDrift(m.settings.LoanTimeout, m.settings.DriftPPM)
	n := toNanotokens(q.Tokens)
	h := m.holderOf(now, q.Workspace)
	m.dropExpired(now, h)
	l := loan{workspace: q.Workspace, amount: n}
	ok := false
	if h.bucket.burst > 0 && now.Add(flight).Before(h.expires) {
		ok = h.bucket.lend(now, n)
		l.generation = h.bucket.generation
	}
	if !ok && led != nil && m.maySpend(now, own, led) && now.Add(flight).Before(led.actingUntil) {
		ok = led.pool.lend(now, n)
		l.generation, l.fromPool = led.pool.generation, true
	}
	if !ok {
		return false
	}
	m.loans[q.ID] = l
	m.timers.add(timer{at: now.Add(flight), kind: timerFlightEnd, request: q.ID})
	m.timers.add(timer{at: now.Add(loanTTL), kind: timerLoanExpiry, request: q.ID})
	return true
}

// sourceBucket returns the bucket that a loan or reservation was taken from; nil if
// it is gone or was reset since.
func (m *Machine) sourceBucket(ws core.WorkspaceID, pool bool, generation uint32) *bucket {
	var s *bucket
	if pool {
		if led := m.ledgers[ws]; led != nil {
			s = &led.pool
		}
	} else if h := m.holders[ws]; h != nil {
		s = &h.bucket
	}
	if s == nil || s.generation != generation {
		return nil
	}
	return s
}

func (m *Machine) endLoanInFlight(now core.Instant, id core.RequestID) {
	l, ok := m.loans[id]
	if !ok || l.flightEnded {
		return
	}
	l.flightEnded = true
	if s := m.sourceBucket(l.workspace, l.fromPool, l.generation); s != nil {
		l.mark = s.endInFlight(now, l.amount)
	}
	m.loans[id] = l
}

// onLoanReply accepts a loan once, and only while the request still waits. A loan
// that comes later is returned.
func (m *Machine) onLoanReply(now core.Instant, own core.Ownership, from core.HostID, l LoanReply, r *Result) {
	p := m.pendingLoans[l.ID]
	if p == nil {
		return
	}
	if p.abandoned || !now.Before(p.expires) {
		if l.Granted {
			delete(m.pendingLoans, l.ID)
			r.Send(from, Message{LoanReturn: &LoanReturn{Workspace: p.workspace, ID: l.ID, Unused: p.tokens}})
		}
		return
	}
	h := m.holderOf(now, p.workspace)
	if l.Granted {
		delete(m.pendingLoans, l.ID)
		h.lastLender = from
		h.exhausted.granted()
		m.reservations[l.ID] = reservation{workspace: p.workspace, tokens: p.tokens, source: sourceLoan, lender: from}
		m.stats.Borrowed++
		m.grant(r, l.ID)
		return
	}
	m.onLoanRefused(now, own, from, l, p, h, r)
}

// onLoanRefused requests the loan from the owner if another host refused it, and
// otherwise refuses the request.
func (m *Machine) onLoanRefused(now core.Instant, own core.Ownership, from core.HostID, l LoanReply, p *pendingLoan, h *shareHolder, r *Result) {
	owner, ok := own.Owner(shardOf(p.workspace))
	if h.lastLender == from {
		h.lastLender = ""
	}
	if ok && from != owner && p.lender == from && !p.ownerTried && owner != m.settings.Self {
		p.ownerTried, p.lender = true, owner
		r.Send(owner, Message{LoanRequest: &LoanRequest{Workspace: p.workspace, ID: l.ID, Tokens: p.tokens, Entry: m.settings.Self}})
		return
	}
	delete(m.pendingLoans, l.ID)
	retry := min(max(l.RetryAfter, minRetryAfter), maxRetryAfter)
	h.exhausted.refused(now, l, m.settings.MaxExhaustedTTL)
	m.refuse(r, l.ID, core.CodeRateLimited, retry, "the workspace's rate is used up")
}

// An unanswered loan request is sent again every LoanTimeout/resendDivisor: a message may
// have been lost, or the owner is opening its ledger. The lender debits an id only once.
const resendDivisor = 4

// resendLoanRequest repeats a loan request, to the owner if that is another host:
// the first lender may be gone.
func (m *Machine) resendLoanRequest(now core.Instant, own core.Ownership, id core.RequestID, p *pendingLoan, r *Result) {
	next := min(now.Add(m.settings.LoanTimeout/resendDivisor), p.expires)
	m.timers.add(timer{at: next, kind: timerPendingLoan, request: id})
	if owner, ok := own.Owner(shardOf(p.workspace)); ok && owner != m.settings.Self {
		p.lender = owner
	}
	r.Send(p.lender, Message{LoanRequest: &LoanRequest{Workspace: p.workspace, ID: id, Tokens: p.tokens, Entry: m.settings.Self, Repeated: true}})
}

// onPendingTimer repeats a loan request, and refuses the request if no loan came in
// time.
func (m *Machine) onPendingTimer(now core.Instant, own core.Ownership, id core.RequestID, r *Result) {
	p := m.pendingLoans[id]
	if p == nil {
		return
	}
	if p.abandoned {
		delete(m.pendingLoans, id)
		return
	}
	if now.Before(p.expires) {
		m.resendLoanRequest(now, own, id, p, r)
		return
	}
	p.abandoned = true
	m.timers.add(timer{at: now.Add(abandonedTTL), kind: timerPendingLoan, request: id})
	if h := m.holders[p.workspace]; h != nil && h.lastLender == p.lender {
		h.lastLender = ""
	}
	m.stats.LoanTimeouts++
	m.refuse(r, id, core.CodeRateLimited, time.Second, "no answer in time from the host that keeps the workspace's limit")
}

// onLoanReturn takes the unused part of a loan back, once.
func (m *Machine) onLoanReturn(now core.Instant, returned LoanReturn) {
	l, ok := m.loans[returned.ID]
	if !ok || l.workspace != returned.Workspace {
		return
	}
	m.endLoanInFlight(now, returned.ID)
	l = m.loans[returned.ID]
	delete(m.loans, returned.ID)
	unused := min(toNanotokens(returned.Unused), l.amount)
	s := m.sourceBucket(l.workspace, l.fromPool, l.generation)
	if s == nil {
		m.stats.LateReturns += returned.Unused
		return
	}
	s.settle(now, l.mark, unused)
}
