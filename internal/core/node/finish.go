package node

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/placement"
)

func (n *Node) handleFirstByte(e FirstByteSent) {
	if r := n.requests.atStage(e.ID, stageRunning); r != nil && r.attempt == e.Attempt {
		r.firstByteSent = true
	}
}

// handleCallerGone ends a request whose caller hung up, at any stage. A running
// attempt is cancelled; its end is still accounted for.
func (n *Node) handleCallerGone(e CallerGone) {
	r := n.requests.byID[e.ID]
	if r == nil || r.callerDone {
		return
	}
	n.logDecision("cancel", stageNames[r.stage], e.ID)
	if r.stage == stageRunning {
		r.callerDone = true
		n.emit(Cancel{ID: e.ID, Attempt: r.attempt})
		return
	}
	n.abandon(r, r.mayHaveRun())
}

var stageNames = map[stage]string{
	stageLimit:   "at_limit",
	stageRecord:  "at_record",
	stagePlace:   "queued",
	stageClaim:   "at_claim",
	stageRunning: "running",
}

// refuse gives a request its final answer now. A running attempt is cancelled; its
// end is awaited only to account for its use.
func (n *Node) refuse(r *request, refusal *core.Refusal) {
	if r.callerDone {
		return
	}
	refusal = correctRan(r, refusal)
	n.logDecision("refusal", string(refusal.Code), r.id())
	if r.stage != stageRunning {
		n.abandon(r, refusal.Ran)
		n.emit(Refuse{ID: r.id(), Refusal: refusal})
		return
	}
	r.callerDone = true
	if r.firstByteSent {
		n.emit(AbortAnswer{ID: r.id(), Refusal: refusal})
		return
	}
	n.emit(Refuse{ID: r.id(), Refusal: refusal})
	n.emit(Cancel{ID: r.id(), Attempt: r.attempt})
}

// correctRan returns the refusal with Ran set by the state of the request's attempts.
// Invariant: a refusal says "not run" only if no attempt may have run.
func correctRan(r *request, refusal *core.Refusal) *core.Refusal {
	ran := refusal.Ran
	switch {
	case r.firstByteSent:
		ran = core.RanYes
	case refusal.Ran == core.RanNo && r.mayHaveRun() != core.RanNo:
		ran = core.RanUnknown
	}
	if ran == refusal.Ran {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = ran
	return &corrected
}

// abandon removes a request without a running attempt and releases its tokens,
// ticket, claim and record.
func (n *Node) abandon(r *request, ran core.Ran) {
	n.requests.remove(r)
	switch r.stage {
	case stageRecord:
		n.applyOnceResult(n.once.Cancel(n.now, r.id()))
	case stagePlace, stageClaim:
		n.applyPlacementResult(n.placement.Cancel(n.now, n.lease, r.id()))
	}
	n.releaseClaim(r, suspect.EndNotSent)
	if r.hasRecord {
		n.applyOnceResult(n.once.Finish(n.now, r.id(), core.Outcome{}, ran))
	}
	n.settleCharge(r)
}

// settleCharge refunds the unused part of the reservation, all of it if no attempt
// used tokens.
func (n *Node) settleCharge(r *request) {
	if r.tokensUsed == 0 {
		n.applyLimitResult(n.limit.Cancel(n.now, n.lease, r.id()))
		return
	}
	n.applyLimitResult(n.limit.Settle(n.now, n.lease, r.id(), min(r.tokensUsed, r.cost()), true))
}

// handleAttemptEnd accounts for the end of an attempt, releases its ticket and
// claim, and completes or retries the request.
func (n *Node) handleAttemptEnd(e AttemptEnded) {
	r := n.requests.atStage(e.ID, stageRunning)
	if r == nil || r.attempt != e.Attempt {
		n.logDecision("attempt", "late", e.ID)
		return
	}
	n.logDecision("attempt", endReasons[e.Kind], e.ID)
	n.addUsage(r, e)
	n.applyPlacementResult(n.placement.Release(n.now, n.lease, e.ID, placement.TicketEnd{
		TokensUsed:     e.TokensUsed,
		OK:             e.Kind == EndOK,
		AdapterMissing: e.Kind == EndAdapterMissing,
		Crashed:        e.Crashed,
		NotReached:     e.Kind == EndNotRun,
	}))
	n.releaseClaim(r, suspectEnd(e))
	if e.Crashed {
		n.applySuspectResult(n.suspect.UpstreamCrashed(n.now, n.lease, r.ticket.Upstream, nil))
	}
	switch e.Kind {
	case EndOK:
		n.handleSuccess(r, e)
	case EndBroken, EndCancelled:
		n.complete(r, core.RanUnknown)
	default:
		n.handleFailure(r, e)
	}
}

var endReasons = map[EndKind]string{
	EndOK:             "ok",
	EndNotRun:         "not_run",
	EndFailed:         "failed",
	EndBroken:         "broken",
	EndAdapterMissing: "adapter_missing",
	EndCancelled:      "cancelled",
}

func suspectEnd(e AttemptEnded) suspect.End {
	switch {
	case e.Kind == EndOK:
		return suspect.EndOK
	case e.Crashed:
		return suspect.EndCrashed
	case e.Kind == EndNotRun || e.Kind == EndAdapterMissing:
		return suspect.EndNotSent
	}
	return suspect.EndAborted
}

// addUsage adds the tokens that an attempt used: the cost of a service call, else
// the tokens reported with the end, else the prompt, which the upstream may have read.
func (n *Node) addUsage(r *request, e AttemptEnded) {
	switch {
	case e.Kind == EndNotRun || e.Kind == EndAdapterMissing:
	case r.isService():
		r.tokensUsed += r.cost()
	case e.TokensUsed > 0:
		r.tokensUsed += e.TokensUsed
	default:
		r.tokensUsed += r.arrival.PromptTokens
	}
}

func (n *Node) handleSuccess(r *request, e AttemptEnded) {
	if r.hasRecord {
		r.hasRecord = false
		n.applyOnceResult(n.once.Finish(n.now, e.ID, e.Outcome, core.RanYes))
	}
	n.complete(r, core.RanYes)
}

// complete removes a request that was answered or needs no answer.
func (n *Node) complete(r *request, ran core.Ran) {
	n.requests.remove(r)
	if r.hasRecord {
		n.applyOnceResult(n.once.Finish(n.now, r.id(), core.Outcome{}, ran))
	}
	n.settleCharge(r)
}

// handleFailure retries a request on another upstream or refuses it.
func (n *Node) handleFailure(r *request, e AttemptEnded) {
	didNotRun := e.Kind == EndNotRun || e.Kind == EndAdapterMissing
	if didNotRun {
		r.notRun++
	}
	if r.callerDone {
		n.complete(r, r.mayHaveRun())
		return
	}
	if n.mayRetry(r) {
		r.excluded = append(r.excluded, r.ticket.Upstream)
		n.logDecision("retry", endReasons[e.Kind], e.ID)
		n.place(r)
		return
	}
	refusal := &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the upstream failed", Ran: r.mayHaveRun(), RetryAfter: retryAfterNoUpstream}
	if didNotRun {
		refusal.Code = core.CodeNoUpstream
		refusal.Message = "no upstream took the request"
	}
	n.logDecision("refusal", string(refusal.Code), e.ID)
	n.complete(r, refusal.Ran)
	n.emit(Refuse{ID: e.ID, Refusal: refusal})
}

// mayRetry reports whether a request may be tried on another upstream, and takes
// the retry from the budget if so. Invariants: a non-idempotent request is never
// dispatched twice; no request is retried after the first byte to its caller.
func (n *Node) mayRetry(r *request) bool {
	if r.firstByteSent || !r.route.Idempotent || r.attempt >= maxAttempts || n.now >= r.deadline {
		return false
	}
	return n.retries.Withdraw(n.now)
}

// refuseExpired refuses the requests whose deadline has passed.
func (n *Node) refuseExpired() {
	for _, r := range n.requests.all() {
		if n.now >= r.deadline && !r.callerDone {
			n.refuse(r, core.Refuse(core.CodeDeadlineExceeded, retryAfterDeadline, "no whole answer before the request's deadline"))
		}
	}
}
