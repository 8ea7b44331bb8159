package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
)

const (
	// spreadKind separates the scores that spread callers from other scores.
	spreadKind = 59
	// minRetryAfterLate and maxRetryAfterLate bound the Retry-After time of a request that can't begin
	// before its deadline. Longer predictions are too uncertain.
	minRetryAfterLate = 50 * time.Millisecond
	maxRetryAfterLate = 10 * time.Second
)

// refuseBeyondDeadline sheds a request whose first event is predicted to come after its deadline at
// every replica that could run it: it would only delay others. One that has been sent before, or
// goes on with a stream, is not refused for a prediction.
func (m *Machine) refuseBeyondDeadline(r *request, c candidates) bool {
	if r.service.Engine == nil || r.attempt > 0 || r.software != 0 || len(c.limited) > 0 {
		return false
	}
	left := r.deadline.Sub(m.now)
	earliest := m.earliestFirstEvent(r, c.usable, left)
	if earliest <= left {
		return false
	}
	m.refuse(r, core.Refuse(core.CodeOverloaded, retryAfterLate(r, earliest-left), "no replica is expected to begin it before its deadline"))
	return true
}

// earliestFirstEvent returns the least predicted time of a request's first event. It stops at the
// first that is not above enough.
func (m *Machine) earliestFirstEvent(r *request, from []*replicas.Replica, enough time.Duration) time.Duration {
	earliest := m.promptDelay(from[0], r.arrival.Prompt)
	for _, x := range from[1:] {
		if earliest <= enough {
			break
		}
		earliest = min(earliest, m.promptDelay(x, r.arrival.Prompt))
	}
	return earliest
}

// retryAfterLate returns the Retry-After time of a request that would have been late by some time: the
// shortest queue has then become so much shorter. It is spread over as long again by the request's
// id, so that refused callers don't return together.
func retryAfterLate(r *request, late time.Duration) time.Duration {
	late = min(max(late, minRetryAfterLate), maxRetryAfterLate/2)
	const steps = 1 << 10
	step := core.Score("", spreadKind, r.arrival.CallerID+string(r.id())) % steps
	return late + late*time.Duration(step)/steps
}
