package relaynode

import (
	"fmt"
	"maps"
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/errorshare"
	"gentiancroft/internal/core/replicas"
)

// Weights of error shares in the score by which a replica is chosen.
const (
	// avoidedErrorWeight is the utilization added to a replica whose error share is far above
	// its siblings', times the difference: one that fails 45 % more gets nothing until its
	// siblings hold 1.35 times their batch more.
	avoidedErrorWeight = 3.0
	// excessErrorWeight is the same for one that is above its siblings by less than is
	// certain: it decides between replicas of equal load. A host with few answers of its own
	// knows no more.
	excessErrorWeight = 0.2
	// retryErrorWeight is the utilization added for a retry, times the error share. A request
	// has few attempts, so that an error counts more than a queue.
	retryErrorWeight = 10.0
)

// minErrorStatus is the lowest status of an answer that counts as a failure of its replica. A
// lower one is the request's fault.
const minErrorStatus = 500

func errorKey(x *replicas.Replica) errorshare.Incarnation {
	return errorshare.Incarnation{Service: x.Service, ID: x.ID, Started: x.Started}
}

// observeErrors counts the end of an attempt in its replica's error share.
func (m *Machine) observeErrors(r *request, x *replicas.Replica, e *AttemptEnded) {
	if x.Started != r.upstreamStarted {
		return
	}
	failed, counts := m.attemptFailed(r, e)
	if !counts {
		return
	}
	m.errors.Observe(m.now, errorKey(x), failed)
	m.logAvoided(x)
}

// logAvoided logs that a replica begins or ceases to be avoided.
func (m *Machine) logAvoided(x *replicas.Replica) {
	a := m.errors.Assess(m.now, errorKey(x))
	if a.Avoid == m.avoided[x.ID] {
		return
	}
	reason := "avoided_ended"
	delete(m.avoided, x.ID)
	if a.Avoid {
		reason = "avoided"
		m.avoided[x.ID] = true
	}
	detail := fmt.Sprintf("%.0f %% of its answers fail, %.0f %% of the others'", 100*a.Share, 100*a.Siblings)
	m.emit(LogDecision{Name: "error_share", Reason: reason, Upstream: x.ID, Detail: detail})
}

// endAvoided logs the end of avoidances that expired without an answer.
func (m *Machine) endAvoided() {
	for _, id := range slices.Sorted(maps.Keys(m.avoided)) {
		if x := m.replicas.Get(id); x != nil {
			m.logAvoided(x)
		} else {
			delete(m.avoided, id)
		}
	}
}

// attemptFailed reports whether an attempt failed at its replica, and whether its end says
// anything about that. An attempt that did not run says nothing.
func (m *Machine) attemptFailed(r *request, e *AttemptEnded) (failed, counts bool) {
	direct := r.carrier == (core.Carrier{}) && !m.paths.Blocked(r.upstream)
	switch e.Kind {
	case EndOK:
		return false, true
	case EndError:
		return e.Answer.Status == 0 || e.Answer.Status >= minErrorStatus, true
	case EndBroken:
		return true, e.ConnectionClosed || direct
	case EndCancelled:
		unresponsive := r.moving && !r.withdrawn || r.outcome == string(core.CodeDeadlineExceeded)
		return true, unresponsive && !r.answerStarted && direct
	}
	return false, false
}

// errorCost returns the utilization that is added to a replica for its error share. First
// attempts avoid only a replica that is far above its siblings; retries take the lowest.
func (m *Machine) errorCost(r *request, x *replicas.Replica) float64 {
	a := m.errors.Assess(m.now, errorKey(x))
	switch {
	case len(r.tried) > 0:
		return retryErrorWeight * a.Share
	case a.Avoid:
		return avoidedErrorWeight * a.Excess()
	}
	return excessErrorWeight * a.Excess()
}

// errorProbe returns the avoided replica that a first attempt is sent to, so that its
// recovery is seen; nil: none.
func (m *Machine) errorProbe(r *request, from []*replicas.Replica) *replicas.Replica {
	if len(r.tried) > 0 {
		return nil
	}
	for _, x := range from {
		if x.Load() >= max(x.Batch, 1) || !m.errors.Assess(m.now, errorKey(x)).Avoid {
			continue
		}
		if m.errors.ProbeDue(r.service.ID, r.route.Repeatable()) {
			m.emit(LogDecision{Name: "error_share", Reason: "probe", ID: r.id(), Upstream: x.ID, MetricsOnly: true})
			return x
		}
		return nil
	}
	return nil
}
