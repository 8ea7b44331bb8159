package node

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/placement"
)

func (n *Node) firstByte(e FirstByte) {
	if r := n.requests.at(e.ID, stageRunning); r != nil && r.attempt == e.Attempt {
		r.answered = true
	}
}

// gone ends a request whose caller hung up, at whatever stage it is.
func (n *Node) gone(e Gone) {
	r := n.requests.byID[e.ID]
	if r == nil || r.gone {
		return
	}
	n.note("cancel", stageNames[r.stage], e.ID)
	if r.stage == stageRunning {
		r.gone = true
		n.emit(Cancel{ID: e.ID, Attempt: r.attempt})
		return
	}
	n.end(r, r.mayHaveRun())
}

var stageNames = map[stage]string{
	stageLimit:   "at_limit",
	stageRecord:  "at_record",
	stagePlace:   "queued",
	stageClaim:   "at_claim",
	stageRunning: "running",
}

// refuse gives a request its final answer now. A running attempt is cancelled
// and its end awaited for the books alone.
func (n *Node) refuse(r *request, refusal *core.Refusal) {
	if r.gone {
		return
	}
	refusal = truthful(r, refusal)
	n.note("refusal", string(refusal.Code), r.id())
	if r.stage != stageRunning {
		n.end(r, refusal.Ran)
		n.emit(Refuse{ID: r.id(), Refusal: refusal})
		return
	}
	r.gone = true
	if r.answered {
		n.emit(Cut{ID: r.id(), Refusal: refusal})
		return
	}
	n.emit(Refuse{ID: r.id(), Refusal: refusal})
	n.emit(Cancel{ID: r.id(), Attempt: r.attempt})
}

// truthful corrects what a refusal says about running. Keeps: a refusal that
// says "not run" is true.
func truthful(r *request, refusal *core.Refusal) *core.Refusal {
	ran := refusal.Ran
	switch {
	case r.answered:
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

// end gives back all that a request holds while no attempt of it runs.
func (n *Node) end(r *request, ran core.Ran) {
	n.requests.remove(r)
	switch r.stage {
	case stageRecord:
		n.onceResult(n.once.Forget(n.now, r.id()))
	case stagePlace, stageClaim:
		n.placementResult(n.placement.Withdraw(n.now, n.lease, r.id()))
	}
	n.releaseClaim(r, suspect.EndNotSent)
	if r.record {
		n.onceResult(n.once.Finish(n.now, r.id(), core.Outcome{}, ran))
	}
	n.settle(r)
}

// settle returns what was not used, or charges what earlier attempts used.
func (n *Node) settle(r *request) {
	if r.spent == 0 {
		n.limitResult(n.limit.Cancel(n.now, n.lease, r.id()))
		return
	}
	n.limitResult(n.limit.Settle(n.now, n.lease, r.id(), min(r.spent, r.cost()), true))
}

// ended takes the end of an attempt and decides whether to try elsewhere.
func (n *Node) ended(e Ended) {
	r := n.requests.at(e.ID, stageRunning)
	if r == nil || r.attempt != e.Attempt {
		n.note("attempt", "late", e.ID)
		return
	}
	n.note("attempt", endReasons[e.Kind], e.ID)
	n.account(r, e)
	n.placementResult(n.placement.Release(n.now, n.lease, e.ID, placement.End{
		Used:       e.Used,
		OK:         e.Kind == EndOK,
		Missing:    e.Kind == EndMissing,
		Crashed:    e.Crashed,
		NotReached: e.Kind == EndNotRun,
	}))
	n.releaseClaim(r, suspectEnd(e))
	if e.Crashed {
		n.suspectResult(n.suspect.Died(n.now, n.lease, r.ticket.Upstream, nil))
	}
	switch e.Kind {
	case EndOK:
		n.succeeded(r, e)
	case EndBroken, EndCancelled:
		n.finished(r, core.RanUnknown)
	default:
		n.failed(r, e)
	}
}

var endReasons = map[EndKind]string{
	EndOK:        "ok",
	EndNotRun:    "not_run",
	EndFailed:    "failed",
	EndBroken:    "broken",
	EndMissing:   "adapter_missing",
	EndCancelled: "cancelled",
}

func suspectEnd(e Ended) suspect.End {
	switch {
	case e.Kind == EndOK:
		return suspect.EndOK
	case e.Crashed:
		return suspect.EndDied
	case e.Kind == EndNotRun || e.Kind == EndMissing:
		return suspect.EndNotSent
	}
	return suspect.EndCut
}

// account adds up what an attempt used: the upstream's count, else what this
// host saw, else the prompt that it must have read.
func (n *Node) account(r *request, e Ended) {
	switch {
	case e.Kind == EndNotRun || e.Kind == EndMissing:
	case r.isService():
		r.spent += r.cost()
	case e.Used > 0:
		r.spent += e.Used
	default:
		r.spent += r.arrive.Prompt
	}
}

func (n *Node) succeeded(r *request, e Ended) {
	if r.record {
		r.record = false
		n.onceResult(n.once.Finish(n.now, e.ID, e.Outcome, core.RanYes))
	}
	n.finished(r, core.RanYes)
}

// finished ends a request that has had its answer, or needs none any more.
func (n *Node) finished(r *request, ran core.Ran) {
	n.requests.remove(r)
	if r.record {
		n.onceResult(n.once.Finish(n.now, r.id(), core.Outcome{}, ran))
	}
	n.settle(r)
}

// failed tries a request elsewhere, or gives its final answer at once.
func (n *Node) failed(r *request, e Ended) {
	surely := e.Kind == EndNotRun || e.Kind == EndMissing
	if surely {
		r.notRun++
	}
	if r.gone {
		n.finished(r, r.mayHaveRun())
		return
	}
	if n.mayRetry(r) {
		r.tried = append(r.tried, r.ticket.Upstream)
		n.note("retry", endReasons[e.Kind], e.ID)
		n.place(r)
		return
	}
	refusal := &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the upstream failed", Ran: r.mayHaveRun(), RetryAfter: retryNoUpstream}
	if surely {
		refusal.Code = core.CodeNoUpstream
		refusal.Message = "no upstream took the request"
	}
	n.note("refusal", string(refusal.Code), e.ID)
	n.finished(r, refusal.Ran)
	n.emit(Refuse{ID: e.ID, Refusal: refusal})
}

// mayRetry reports whether a request may be tried on another upstream. Keeps:
// a non-idempotent request is never dispatched twice, and nothing is tried
// again once the caller has seen a byte.
func (n *Node) mayRetry(r *request) bool {
	if r.answered || !r.route.Idempotent || r.attempt >= maxAttempts || n.now >= r.deadline {
		return false
	}
	return n.retries.Retry(n.now)
}

// expire ends the requests whose deadline has passed.
func (n *Node) expire() {
	for _, r := range n.requests.all() {
		if n.now >= r.deadline && !r.gone {
			n.refuse(r, core.Refuse(core.CodeDeadline, retryDeadline, "no whole answer before the request's deadline"))
		}
	}
}
