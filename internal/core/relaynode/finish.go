package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/retry"
	"gentiancroft/internal/core/table"
)

const (
	// resendObjectiveFraction is the fraction of the route's objective after which a
	// repeatable request without an answer is moved to another replica.
	resendObjectiveFraction = 0.7
	// minResendDelay is the lower bound of that time.
	minResendDelay = 50 * time.Millisecond
	// maxExtraSends is how many sends a request may have beyond its attempts, for
	// replicas that did not run it.
	maxExtraSends = 3
	// maxNotReached is how many attempts a request may have for which no connection could be opened.
	maxNotReached = 6
	// retryBudgetFraction is the fraction of the fleet's retries that the hosts use. The
	// rest is a reserve for hosts that count a smaller fleet than there is.
	retryBudgetFraction = 0.7
	// requestCheckInterval is how often a request's deadline and waiting times are
	// checked.
	requestCheckInterval = 20 * time.Millisecond
	// minTimeToRetry is the time before the deadline within which nothing is retried.
	minTimeToRetry = 30 * time.Millisecond
)

// standbyRetryFraction is the fraction of the fleet's retries for all standby hosts
// together.
const standbyRetryFraction = 0.15

// retryFraction returns this host's fraction of the fleet's retries.
func (m *Machine) retryFraction() float64 {
	switch {
	case !m.fleet.HasStandbys():
		return 1 / float64(m.fleet.Size(m.now))
	case m.fleet.Active():
		return (1 - standbyRetryFraction) / float64(m.fleet.ActiveHosts())
	}
	return standbyRetryFraction / float64(m.fleet.Size(m.now))
}

// retryBudget returns this host's retry budget for a service. It follows the size of
// the fleet: a host that has just started has found few others, and must reduce its
// fraction as it finds more.
func (m *Machine) retryBudget(s table.ServiceID) *retry.Budget {
	slack := m.settings.RetrySlack * retryBudgetFraction * m.retryFraction()
	limits := retry.Settings{
		Ratio:        m.settings.RetryShare * retryBudgetFraction,
		MinPerSecond: slack / 2 / m.settings.RetryWindow.Seconds(),
		Burst:        max(slack/2, 1),
	}
	b := m.retries[s]
	if b == nil {
		b = retry.NewBudget(m.now, limits)
		m.retries[s] = b
		return b
	}
	b.Adjust(limits)
	return b
}

func (m *Machine) handleAnswerStart(e AnswerStarted) {
	r := m.requests.byID[e.ID]
	if r == nil || r.attempt != e.Attempt {
		return
	}
	if !r.answerStarted {
		m.observeFirstEvent(r)
		m.observeStartingAnswer(r, false)
	}
	r.answerStarted, r.answeringSince = true, m.now
	if r.carrier == (core.Carrier{}) {
		m.pathHeard(r.upstream, false)
	}
	m.endPrompt(r)
	m.observeAnswer(r)
	if r.answerStartedAt == 0 {
		r.answerStartedAt = m.now
	}
	r.moving = false // it started before it could be cancelled
	r.partDelivered = r.partDelivered || e.PartDelivered
	if e.PartDelivered {
		m.recordOrigin(r)
	}
}

// handleCallerGone ends a request whose caller has hung up.
func (m *Machine) handleCallerGone(e CallerGone) {
	r := m.requests.byID[e.ID]
	if r == nil || r.closed {
		return
	}
	m.emit(LogDecision{Name: "cancel", Reason: "caller_gone", ID: e.ID, Upstream: r.upstream, Age: m.now.Sub(r.arrivedAt)})
	r.closed, r.outcome = true, "caller_gone"
	if r.stage != stageRunning {
		m.finish(r)
		return
	}
	m.emit(Cancel{ID: e.ID, Attempt: r.attempt})
}

// refuse sends a request's final answer and cancels its attempt, if one is running.
func (m *Machine) refuse(r *request, refusal *core.Refusal) {
	if r.closed {
		return
	}
	refusal = correctRan(r, refusal)
	r.closed, r.outcome = true, string(refusal.Code)
	m.emit(LogDecision{Name: "refusal", Reason: string(refusal.Code), ID: r.id(), Upstream: r.upstream, Age: m.now.Sub(r.arrivedAt), Detail: refusal.Message})
	running := r.stage == stageRunning
	if r.partDelivered {
		r.outcome = "cut"
		m.emit(AbortAnswer{ID: r.id(), Refusal: refusal})
	} else {
		m.emit(Refuse{ID: r.id(), Refusal: refusal})
	}
	if running {
		m.emit(Cancel{ID: r.id(), Attempt: r.attempt})
		return
	}
	m.finish(r)
}

// correctRan corrects the refusal's statement on whether the request ran. Invariant:
// a refusal that says "not run" is true.
func correctRan(r *request, refusal *core.Refusal) *core.Refusal {
	ran := r.ranState()
	if refusal.Ran != core.RanNo || ran == core.RanNo {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = ran
	if corrected.Code != core.CodeDeadlineExceeded {
		corrected.Code = core.CodeUpstreamFailed
	}
	return &corrected
}

// finish removes a request that has no running attempt. One that has not run is
// refunded.
func (m *Machine) finish(r *request) {
	m.requests.remove(r)
	m.rememberOwed(r)
	first := r.answerStartedAt
	if first == 0 {
		first = m.now
	}
	m.emit(RequestEnded{Route: r.route.Name, Outcome: r.outcome, FirstByte: first.Sub(r.arrivedAt), Total: m.now.Sub(r.arrivedAt)})
	if r.ranState() == core.RanNo {
		m.refund(r)
	}
}

// handleAttemptEnd decides at the end of an attempt whether the request is complete,
// retried or refused.
func (m *Machine) handleAttemptEnd(e AttemptEnded) {
	r := m.requests.byID[e.ID]
	if r == nil || r.stage != stageRunning || r.attempt != e.Attempt {
		return
	}
	m.releaseAttempt(r, e)
	reason := e.reason()
	m.emit(LogDecision{Name: "attempt", Reason: reason, ID: e.ID, Upstream: r.upstream, Age: m.now.Sub(r.stageSince), Detail: r.endDetail(&e), MetricsOnly: reason == reasonOK})
	if e.LastEvent != "" {
		r.lastEvent = e.LastEvent
	}
	r.owesEvent = e.OwesEvent
	if e.Kind != EndNotReached && e.Kind != EndNotRun && e.Kind != EndAdapterMissing {
		r.possibleRuns++
	}
	if e.Kind == EndNotReached {
		r.notReached++
	}
	r.stage, r.stageSince = stageWaiting, m.now
	switch {
	case r.closed:
		m.finish(r)
	case e.Kind == EndOK:
		r.closed, r.outcome = true, "ok"
		m.finish(r)
	case m.shouldRetry(r, e):
		r.tried = append(r.tried, r.upstream)
		r.answerStarted = false
		m.place(r)
	case e.Kind == EndError:
		r.closed, r.outcome = true, "error"
		m.emit(DeliverFailure{ID: e.ID})
		m.finish(r)
	default:
		m.refuseFailed(r, e)
	}
}

// Weights of failed attempts in a replica's failure score.
const (
	weightBroken       = 1.0
	weightNotRun       = 0.5 // the replica is saturated
	weightUnresponsive = 0.7
)

// releaseAttempt removes an attempt from its replica's load and updates the
// replica's failure score by its result.
func (m *Machine) releaseAttempt(r *request, e AttemptEnded) {
	m.endPrompt(r)
	m.endPromise(r)
	m.observePath(r, &e)
	m.observeEnd(r, &e)
	m.observeEvents(r, &e)
	x := m.replicas.Get(r.upstream)
	if x == nil {
		return
	}
	x.OwnRequests = max(x.OwnRequests-1, 0)
	m.placementDue = m.placementDue || m.brittle(x) || r.service.Engine != nil && m.requests.anyWaiting()
	m.observeErrors(r, x, &e)
	switch e.Kind {
	case EndOK:
		m.recordSuccess(x.ID)
		m.observeStartingAnswer(r, true)
	case EndNotRun:
		m.recordFailure(x.ID, weightNotRun)
		m.observeRejection(x)
		m.avoidRejecting(x)
	case EndAdapterMissing:
		m.replicas.MarkNotLoaded(x.ID, r.arrival.Adapter)
		m.limits.permits.Return(m.now, r.permit)
	case EndBroken:
		if e.ConnectionClosed || r.carrier == (core.Carrier{}) && !m.paths.Blocked(x.ID) {
			m.recordFailure(x.ID, weightBroken)
		}
	case EndCancelled:
		if r.moving && !r.withdrawn && !m.paths.Blocked(x.ID) {
			m.recordFailure(x.ID, weightUnresponsive)
		}
	}
	if e.ConnectionClosed {
		m.recordCrash(r.arrival.Fingerprint)
	}
}

// shouldRetry decides whether a request is tried on another replica. Invariant: a
// request that must not be repeated is sent again only if it has certainly not run.
func (m *Machine) shouldRetry(r *request, e AttemptEnded) bool {
	notRun := e.Kind == EndNotReached || e.Kind == EndNotRun || e.Kind == EndAdapterMissing
	switch {
	case m.now.Add(minTimeToRetry) >= r.deadline:
		return false
	case r.attempt-r.notReached >= max(r.route.MaxAttempts, 1)+maxExtraSends || r.notReached > maxNotReached:
		return false
	case !notRun && (!r.route.Repeatable() || r.possibleRuns >= max(r.route.MaxAttempts, 1)):
		return false
	case r.partDelivered && !r.route.Resumable:
		return false
	case m.isSuspect(r.arrival.Fingerprint):
		return false
	case !notRun && m.mayCrash(r):
		return false
	case e.Kind == EndNotReached:
		return true // nothing was sent: takes no retry from the budget
	}
	if r.retryTaken || m.retryBudget(r.service.ID).Withdraw(m.now) {
		r.retryTaken = false
		return true
	}
	m.emit(LogDecision{Name: "retry", Reason: "budget_spent", ID: e.ID, Upstream: r.upstream, Age: m.now.Sub(r.stageSince)})
	return false
}

// refuseFailed refuses a request that is not tried again.
func (m *Machine) refuseFailed(r *request, e AttemptEnded) {
	if m.refuseBlocked(r) {
		return
	}
	refusal := &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the replica did not complete its answer", Ran: r.ranState()}
	if r.possibleRuns == 0 {
		refusal = core.Refuse(core.CodeOverloaded, max(e.RetryAfter, retryAfterSaturated), "no replica took the request")
	}
	m.refuse(r, refusal)
}

// checkRequests refuses the requests whose deadline has passed or that have waited
// too long for their adapters, and moves those whose replica is unresponsive.
func (m *Machine) checkRequests() {
	for _, r := range m.requests.due(m.now) {
		r.nextCheck = m.now.Add(requestCheckInterval)
		m.observeUnanswered(r)
		switch {
		case r.closed:
		case m.now >= r.deadline:
			m.refuse(r, &core.Refusal{Code: core.CodeDeadlineExceeded, Message: "no whole answer before the request's deadline", Ran: r.ranState()})
		case r.stage == stageWaiting && m.now.Sub(r.stageSince) >= r.maxAdapterWait():
			m.refuseNoReplica(r)
		case r.stage == stageWaiting && r.awaitsRoom:
			m.place(r)
		case r.stage == stageWaiting && r.awaitsCopy:
			if m.copyOverdue(r) {
				m.place(r)
			}
		case r.stage == stageWaiting && r.awaitsPermit:
			m.place(r)
		case r.stage == stageWaiting:
			if pause, all := m.servicePause(r.service.ID); all {
				m.refusePaused(r, pause)
				continue
			}
			if m.serviceUnreached(r.service.ID) {
				m.refuseUnreached(r)
				continue
			}
			if m.refuseEvacuated(r) {
				continue
			}
			m.demandAdapter(r)
			if r.lastDemand == 0 && m.now.Sub(r.stageSince) >= noOwnerTimeout {
				m.refuse(r, core.Refuse(core.CodeNoUpstream, retryAfterUnowned, "nobody can have its adapter loaded now"))
			}
		case m.versionExpired(r):
			m.moveAttempt(r, "version_expired", "")
		case m.shouldMove(r):
			m.moveAttempt(r, "silent", "")
		}
	}
}

// maxAdapterWait returns how long a request may wait for its adapter.
func (r *request) maxAdapterWait() time.Duration {
	return max(maxWaitObjectives*r.route.LatencyTarget, minAdapterWait)
}

// shouldMove reports whether a request is to be moved because its replica has not
// started to answer. It then has taken a retry from the budget.
func (m *Machine) shouldMove(r *request) bool {
	if r.answerStarted || r.moving || !r.route.Repeatable() || r.possibleRuns+1 >= r.route.MaxAttempts {
		return false
	}
	wait := max(time.Duration(resendObjectiveFraction*float64(r.route.LatencyTarget)), minResendDelay)
	if r.carrier == (core.Carrier{}) && m.paths.Blocked(r.upstream) {
		wait = 0 // it was sent before its path was blocked
	}
	if m.now.Sub(r.stageSince) < wait || r.deadline.Sub(m.now) < wait {
		return false
	}
	r.retryTaken = len(m.candidates(r).usable) > 1 && m.retryBudget(r.service.ID).Withdraw(m.now)
	return r.retryTaken
}

// moveAttempt cancels an attempt; the request is retried when the attempt has ended.
// An attempt whose answer starts before the cancellation is not moved.
func (m *Machine) moveAttempt(r *request, reason, detail string) {
	r.moving = true
	m.emit(LogDecision{Name: "retry", Reason: reason, ID: r.id(), Upstream: r.upstream, Age: m.now.Sub(r.stageSince), Detail: detail})
	m.emit(Cancel{ID: r.id(), Attempt: r.attempt, OnlyIfUnanswered: true})
}
