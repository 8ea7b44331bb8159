package direct

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/retry"
	"gentiancroft/internal/core/table"
)

const (
	// resendAfter is how much of its objective a repeatable request stays at a
	// replica without an answer before it is tried elsewhere.
	resendAfter = 0.7
	// resendLeast is the least of such a wait.
	resendLeast = 50 * time.Millisecond
	// sendsBeyond is how many sends that were not run a request may have beyond
	// its attempts.
	sendsBeyond = 3
	// budgetPart is how much of the fleet's retries is used; the rest is left for
	// hosts that count alone.
	budgetPart = 0.7
	// lookEvery is how often a request's times are looked at.
	lookEvery = 20 * time.Millisecond
	// lateRetry is the time before the deadline within which nothing is retried.
	lateRetry = 30 * time.Millisecond
)

// standbyPart is what the hosts that stand by have of the fleet's retries, together.
const standbyPart = 0.15

// retryPart is this host's part of the fleet's retries.
func (m *Machine) retryPart() float64 {
	switch {
	case !m.fleet.Large():
		return 1 / float64(m.fleet.Size(m.now))
	case m.fleet.Active():
		return (1 - standbyPart) / float64(m.fleet.ActiveHosts())
	}
	return standbyPart / float64(m.fleet.Size(m.now))
}

// budget is this host's part of the retries to a service. It follows the size of
// the fleet: a host that has just started knows few others, but has to leave them
// their part as soon as it learns of them.
func (m *Machine) budget(s table.ServiceID) *retry.Budget {
	slack := m.settings.RetrySlack * budgetPart * m.retryPart()
	part := retry.Settings{
		Share: m.settings.RetryShare * budgetPart,
		Floor: slack / 2 / m.settings.RetryWindow.Seconds(),
		Burst: max(slack/2, 1),
	}
	b := m.retries[s]
	if b == nil {
		b = retry.NewBudget(part)
		m.retries[s] = b
		return b
	}
	b.Adjust(part)
	return b
}

func (m *Machine) begun(e Begun) {
	r := m.requests.byID[e.ID]
	if r == nil || r.attempt != e.Attempt {
		return
	}
	r.begun = true
	if r.first == 0 {
		r.first = m.now
	}
	r.moving = false // it began before it could be cancelled
	r.passed = r.passed || e.Passed
}

// gone ends a request whose caller hung up.
func (m *Machine) gone(e Gone) {
	r := m.requests.byID[e.ID]
	if r == nil || r.over {
		return
	}
	m.emit(Note{Name: "cancel", Reason: "caller_gone", ID: e.ID, Upstream: r.upstream, Age: m.now.Sub(r.came)})
	r.over, r.outcome = true, "caller_gone"
	if r.stage != stageRunning {
		m.finish(r)
		return
	}
	m.emit(Cancel{ID: e.ID, Attempt: r.attempt})
}

// refuse gives a request its final answer now.
func (m *Machine) refuse(r *request, refusal *core.Refusal) {
	if r.over {
		return
	}
	refusal = truthful(r, refusal)
	r.over, r.outcome = true, string(refusal.Code)
	m.emit(Note{Name: "refusal", Reason: string(refusal.Code), ID: r.id(), Upstream: r.upstream, Age: m.now.Sub(r.came), Detail: refusal.Message})
	running := r.stage == stageRunning
	if r.passed {
		r.outcome = "cut"
		m.emit(Cut{ID: r.id(), Refusal: refusal})
	} else {
		m.emit(Refuse{ID: r.id(), Refusal: refusal})
	}
	if running {
		m.emit(Cancel{ID: r.id(), Attempt: r.attempt})
		return
	}
	m.finish(r)
}

// truthful corrects what a refusal says about running. Keeps: a refusal that
// says "not run" is true.
func truthful(r *request, refusal *core.Refusal) *core.Refusal {
	ran := r.mayHaveRun()
	if refusal.Ran != core.RanNo || ran == core.RanNo {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = ran
	if corrected.Code != core.CodeDeadline {
		corrected.Code = core.CodeUpstreamFailed
	}
	return &corrected
}

// finish forgets a request that nothing runs of any more.
func (m *Machine) finish(r *request) {
	m.requests.remove(r)
	first := r.first
	if first == 0 {
		first = m.now
	}
	m.emit(Served{Route: r.route.Name, Outcome: r.outcome, FirstByte: first.Sub(r.came), Total: m.now.Sub(r.came)})
	if r.mayHaveRun() == core.RanNo {
		m.refund(r)
	}
}

// ended takes the end of an attempt and decides how to go on.
func (m *Machine) ended(e Ended) {
	r := m.requests.byID[e.ID]
	if r == nil || r.stage != stageRunning || r.attempt != e.Attempt {
		return
	}
	m.release(r, e)
	m.emit(Note{Name: "attempt", Reason: endReasons[e.Kind], ID: e.ID, Upstream: r.upstream, Age: m.now.Sub(r.since), Quiet: e.Kind == EndOK})
	if e.LastEvent != "" {
		r.last = e.LastEvent
	}
	if e.Kind != EndNotReached && e.Kind != EndNotRun && e.Kind != EndMissing {
		r.ran++
	}
	r.stage, r.since = stageWaiting, m.now
	switch {
	case r.over:
		m.finish(r)
	case e.Kind == EndOK:
		r.over, r.outcome = true, "ok"
		m.finish(r)
	case m.again(r, e):
		r.tried = append(r.tried, r.upstream)
		r.begun = false
		m.place(r)
	case e.Kind == EndError:
		r.over, r.outcome = true, "error"
		m.emit(Deliver{ID: e.ID})
		m.finish(r)
	default:
		m.giveUp(r, e)
	}
}

var endReasons = map[EndKind]string{
	EndOK:         "ok",
	EndNotReached: "not_reached",
	EndNotRun:     "not_run",
	EndMissing:    "missing",
	EndError:      "error",
	EndBroken:     "broken",
	EndCancelled:  "cancelled",
}

// Weights of the ways in which an attempt can fail.
const (
	weightBroken = 1.0
	weightError  = 0.15 // a replica's own answer may be the request's fault
	weightNotRun = 0.5  // it is full
	weightSilent = 0.7
)

// release takes an attempt off its replica and judges the replica by it.
func (m *Machine) release(r *request, e Ended) {
	x := m.replicas.Get(r.upstream)
	if x == nil {
		return
	}
	x.Mine = max(x.Mine-1, 0)
	switch e.Kind {
	case EndOK:
		m.worked(x.ID)
	case EndError:
		m.failed(x.ID, weightError)
	case EndNotRun:
		m.failed(x.ID, weightNotRun)
	case EndMissing:
		m.replicas.Lacks(x.ID, r.arrive.Adapter)
	case EndBroken, EndNotReached:
		m.failed(x.ID, weightBroken)
	case EndCancelled:
		if r.moving {
			m.failed(x.ID, weightSilent)
		}
	}
	if e.Dropped {
		m.crashed(r.arrive.Fingerprint)
	}
}

// again decides whether a request is tried on another replica. Keeps: a request
// that must not be repeated is sent again only if it surely has not run.
func (m *Machine) again(r *request, e Ended) bool {
	surely := e.Kind == EndNotReached || e.Kind == EndNotRun || e.Kind == EndMissing
	switch {
	case m.now.Add(lateRetry) >= r.deadline:
		return false
	case r.attempt >= max(r.route.MaxAttempts, 1)+sendsBeyond:
		return false
	case !surely && (!r.route.Repeatable() || r.ran >= max(r.route.MaxAttempts, 1)):
		return false
	case r.passed && !r.route.Resumable:
		return false
	case m.suspected(r.arrive.Fingerprint):
		return false
	case e.Kind == EndNotReached:
		return true // nothing arrived
	}
	if m.budget(r.service.ID).Retry(m.now) {
		return true
	}
	m.emit(Note{Name: "retry", Reason: "budget_spent", ID: e.ID})
	return false
}

// giveUp ends a request that is not tried again.
func (m *Machine) giveUp(r *request, e Ended) {
	refusal := &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the replica did not complete its answer", Ran: r.mayHaveRun()}
	if r.ran == 0 {
		refusal = core.Refuse(core.CodeOverloaded, max(e.RetryAfter, retryNoRoom), "no replica took the request")
	}
	m.refuse(r, refusal)
}

// expire ends the requests whose deadline has passed or that have waited too
// long, and moves those whose replica is silent.
func (m *Machine) expire() {
	for _, r := range m.requests.due(m.now) {
		r.look = m.now.Add(lookEvery)
		switch {
		case r.over:
		case m.now >= r.deadline:
			m.refuse(r, &core.Refusal{Code: core.CodeDeadline, Message: "no whole answer before the request's deadline", Ran: r.mayHaveRun()})
		case r.stage == stageWaiting && m.now.Sub(r.since) >= r.longestWait():
			m.noReplica(r)
		case r.stage == stageWaiting:
			m.ask(r)
			if r.asked == 0 && m.now.Sub(r.since) >= unaskedFor {
				m.refuse(r, core.Refuse(core.CodeNoUpstream, retryUnowned, "nobody can have its adapter loaded now"))
			}
		case m.silent(r):
			m.move(r)
		}
	}
}

// longestWait is how long a request waits for its adapter.
func (r *request) longestWait() time.Duration {
	return max(waitObjectives*r.route.Objective, waitLeast)
}

// silent reports whether a request should be tried elsewhere because its
// replica has not answered at all.
func (m *Machine) silent(r *request) bool {
	if r.begun || r.moving || !r.route.Repeatable() || r.ran+1 >= r.route.MaxAttempts {
		return false
	}
	wait := max(time.Duration(resendAfter*float64(r.route.Objective)), resendLeast)
	if m.now.Sub(r.since) < wait || r.deadline.Sub(m.now) < wait {
		return false
	}
	usable, _ := m.candidates(r)
	return len(usable) > 1 && m.budget(r.service.ID).Retry(m.now)
}

// move cancels an attempt; its end brings the next one. One whose answer begins at
// this very moment stays where it is.
func (m *Machine) move(r *request) {
	r.moving = true
	m.emit(Note{Name: "retry", Reason: "silent", ID: r.id(), Upstream: r.upstream, Age: m.now.Sub(r.since)})
	m.emit(Cancel{ID: r.id(), Attempt: r.attempt, Unbegun: true})
}
