package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// callKind is what an object call is for. At most one of each is in flight.
type callKind uint8

const (
	callHead      callKind = iota // reads the head
	callHeadWrite                 // changes the head
	callWatch                     // waits for a newer head
	callBeat                      // reads the own batch
	callBeatWrite                 // writes the own batch
	callBeats                     // reads all batches
	callFence                     // fences members of a batch
	callKinds
)

// flight is the state of one kind of call.
type flight struct {
	busy     bool
	tag      uint64
	sent     core.Instant
	after    core.Instant // no earlier, after a failure
	failures int
}

// calls keeps the calls in flight and spaces retries.
type calls struct {
	last    uint64
	flights [callKinds]flight
	failing bool // the latest answer was a failure
}

// ready reports whether a call of a kind may be made.
func (c *calls) ready(now core.Instant, k callKind) bool {
	f := &c.flights[k]
	return !f.busy && now >= f.after
}

// start records a call and sets its tag.
func (c *calls) start(now core.Instant, k callKind, call core.ObjectCall) core.ObjectCall {
	c.last++
	call.Tag = c.last*uint64(callKinds) + uint64(k)
	c.flights[k] = flight{busy: true, tag: call.Tag, sent: now, after: c.flights[k].after, failures: c.flights[k].failures}
	return call
}

// end matches a result with its call. False: an answer nobody waits for.
func (c *calls) end(now core.Instant, r core.ObjectResult, s *Settings, rng *core.Rand) (callKind, bool) {
	k := callKind(r.Tag % uint64(callKinds))
	f := &c.flights[k]
	if !f.busy || f.tag != r.Tag {
		return k, false
	}
	f.busy = false
	c.failing = r.Status == core.ObjectUnavailable || r.Status == core.ObjectUnknown
	if !c.failing {
		f.failures, f.after = 0, now
		return k, true
	}
	wait := s.BackoffMin << min(f.failures, 6)
	wait = min(wait, s.BackoffMax)
	f.failures++
	f.after = now.Add(time.Duration(rng.Jitter(int64(wait))))
	return k, true
}

// overdue returns the tag of a call that has waited too long, which then counts
// as unknown.
func (c *calls) overdue(now core.Instant, s *Settings) (uint64, bool) {
	for k := range c.flights {
		f := &c.flights[k]
		most := s.CallTimeout
		if callKind(k) == callWatch {
			most = s.WatchTimeout
		}
		if f.busy && now.Sub(f.sent) > most {
			return f.tag, true
		}
	}
	return 0, false
}
