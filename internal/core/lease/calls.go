package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// callKind is the purpose of an object call. At most one call of each kind is
// in flight.
type callKind uint8

const (
	callHead       callKind = iota // reads the head
	callHeadWrite                  // changes the head
	callWatch                      // waits for a newer head
	callBatch                      // reads the object of this host's batch
	callBatchWrite                 // writes the object of this host's batch
	callBatchList                  // lists the objects of all batches
	callFence                      // fences members of one batch
	callKindCount
)

// callState is the state of one kind of call.
type callState struct {
	busy     bool
	tag      uint64
	sent     core.Instant
	retryAt  core.Instant // earliest time of the next call, after a failure
	failures int
}

// calls tracks the calls in flight and delays retries after failures.
type calls struct {
	lastTag uint64
	byKind  [callKindCount]callState
	failing bool // the latest answer was a failure
}

// ready reports whether a call of kind k may be made now.
func (c *calls) ready(now core.Instant, k callKind) bool {
	f := &c.byKind[k]
	return !f.busy && now >= f.retryAt
}

// start records a call as in flight and sets its tag.
func (c *calls) start(now core.Instant, k callKind, call core.ObjectCall) core.ObjectCall {
	c.lastTag++
	call.Tag = c.lastTag*uint64(callKindCount) + uint64(k)
	c.byKind[k] = callState{busy: true, tag: call.Tag, sent: now, retryAt: c.byKind[k].retryAt, failures: c.byKind[k].failures}
	return call
}

// end matches a result with its call and returns the call's kind. It returns
// false for a result whose call is no longer in flight. A failure delays the
// next call of this kind by an exponential backoff with jitter.
func (c *calls) end(now core.Instant, r core.ObjectResult, s *Settings, rng *core.Rand) (callKind, bool) {
	k := callKind(r.Tag % uint64(callKindCount))
	f := &c.byKind[k]
	if !f.busy || f.tag != r.Tag {
		return k, false
	}
	f.busy = false
	c.failing = r.Status == core.ObjectUnavailable || r.Status == core.ObjectUnknown
	if !c.failing {
		f.failures, f.retryAt = 0, now
		return k, true
	}
	wait := s.MinBackoff << min(f.failures, 6)
	wait = min(wait, s.MaxBackoff)
	f.failures++
	f.retryAt = now.Add(time.Duration(rng.Jitter(int64(wait))))
	return k, true
}

// overdue returns the tag of a call that has exceeded its timeout; its result
// is then taken as unknown.
func (c *calls) overdue(now core.Instant, s *Settings) (uint64, bool) {
	for k := range c.byKind {
		f := &c.byKind[k]
		timeout := s.CallTimeout
		if callKind(k) == callWatch {
			timeout = s.WatchTimeout
		}
		if f.busy && now.Sub(f.sent) > timeout {
			return f.tag, true
		}
	}
	return 0, false
}
