// Package once runs a non-idempotent request at most once in the whole fleet.
//
// Before a request is dispatched, it is recorded in the object API under its
// workspace and idempotency key by a conditional create. Only the request whose
// token is in the record may be dispatched. Unknown results count as "may have
// run": a create without an answer is read back, and a record without an outcome
// blocks its key until the record expires.
//
// Inputs are requests, their outcomes, results of object calls, the membership
// and ticks. Making the calls, dispatching and answering the caller are left to
// the caller of this package.
package once

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// Bounds of one host's machine.
const (
	MaxKeyBytes     = 256       // of an idempotency key
	MaxOutcomeBytes = 256 << 10 // of a response that is kept for replay
	maxPendingBytes = 8 << 20   // of responses that wait to be recorded
	maxAttempts     = 3         // creates and as many reads before a request is refused
	maxCleanups     = 4096      // records that refused requests may have left
)

// Durations.
const (
	firstBackoff          = 50 * time.Millisecond
	maxBackoff            = 30 * time.Second
	callTimeout           = 5 * time.Second  // a call without a result by then has an unknown one
	outcomeTimeout        = 30 * time.Minute // an outcome that can't be recorded by then is dropped
	runningRetryAfter     = 2 * time.Second  // when to retry while the first attempt is running
	unavailableRetryAfter = 5 * time.Second
)

// Request is a non-idempotent request at its entry host.
type Request struct {
	ID        core.RequestID
	Workspace core.WorkspaceID
	Key       string // the caller's idempotency key
	BodyHash  uint64 // hash of the body
}

// Kind is the kind of a decision.
type Kind uint8

// Kinds of decision.
const (
	Run    Kind = iota + 1 // recorded: dispatch it, then call Finish exactly once
	Replay                 // answer with Outcome
	Refuse                 // answer with Refusal
)

// Decision ends the wait of one Begin.
type Decision struct {
	ID      core.RequestID
	Kind    Kind
	Outcome core.Outcome
	Refusal *core.Refusal
}

// Result is the output of one event.
type Result struct {
	Calls     []core.ObjectCall
	Decisions []Decision
}

// step is the state of an entry. Its names are those of spec/once.
type step uint8

const (
	stepCreate  step = iota + 1 // the conditional create is in flight
	stepRead                    // the record is being read back
	stepRun                     // dispatched, no call in flight
	stepRecord                  // the outcome is being recorded
	stepRelease                 // the record of a request that did not run is being deleted
	stepCleanup                 // refused, but the create may have left a record
)

// entry is one request of this host.
type entry struct {
	req       Request
	key       string
	token     string
	step      step
	version   uint64 // of the record, once a result has shown that it is this entry's
	attempts  int
	cancelled bool
	dropped   bool
	outcome   record
	tag       uint64       // of the call in flight; 0: none
	due       core.Instant // next attempt, or timeout of the call in flight
	backoff   time.Duration
	deadline  core.Instant // when recording or cleanup is abandoned; 0: none
}

// Machine decides for the non-idempotent requests of one host.
type Machine struct {
	self      core.HostID
	rng       *core.Rand
	tags      uint64
	serial    uint64
	byTag     map[uint64]*entry
	byID      map[core.RequestID]*entry
	entries   []*entry // in order of Begin; dropped ones stay until the next tick
	open      int      // entries that are not dropped
	cleanup   int      // open entries in stepCleanup
	pending   int      // bytes of outcomes that wait to be recorded
	collector collectorState
	out       Result
}

// New returns a machine without requests.
func New(self core.HostID, rng *core.Rand) *Machine {
	return &Machine{
		self:  self,
		rng:   rng,
		byTag: map[uint64]*entry{},
		byID:  map[core.RequestID]*entry{},
	}
}

// Pending returns the number of this host's requests that still need the object
// API. A leaving host waits until it is 0, within its drain time.
func (m *Machine) Pending() int { return m.open - m.cleanup }

// Begin records a request. Its decision is in this result or a later one.
func (m *Machine) Begin(now core.Instant, r Request) Result {
	m.out = Result{}
	switch {
	case r.Key == "":
		m.refuse(r.ID, core.Refuse(core.CodeIdempotencyKeyRequired, 0, "this route needs an Idempotency-Key header"))
		return m.out
	case len(r.Key) > MaxKeyBytes:
		m.refuse(r.ID, core.Refuse(core.CodeBadRequest, 0, "Idempotency-Key is longer than "+strconv.Itoa(MaxKeyBytes)+" bytes"))
		return m.out
	}
	m.serial++
	e := &entry{
		req:     r,
		key:     recordKey(r.Workspace, r.Key),
		token:   string(m.self) + "/" + strconv.FormatUint(m.serial, 16) + "/" + strconv.FormatUint(m.rng.Uint64(), 16),
		backoff: firstBackoff,
	}
	m.byID[r.ID] = e
	m.entries = append(m.entries, e)
	m.open++
	m.create(now, e)
	return m.out
}

// Finish records how a dispatched request ended. If it did not run, the record is
// deleted, so that a retry may run.
func (m *Machine) Finish(now core.Instant, id core.RequestID, o core.Outcome, ran core.Ran) Result {
	m.out = Result{}
	e := m.byID[id]
	if e == nil || e.step != stepRun {
		return m.out
	}
	delete(m.byID, id)
	e.deadline = now.Add(outcomeTimeout)
	e.backoff = firstBackoff
	switch ran {
	case core.RanNo:
		e.step = stepRelease
	case core.RanYes:
		e.step = stepRecord
		e.outcome = record{Token: e.token, Body: e.req.BodyHash, Phase: phaseDone, Outcome: m.replayable(o)}
	default:
		e.step = stepRecord
		e.outcome = record{Token: e.token, Body: e.req.BodyHash, Phase: phaseUnknown}
	}
	m.proceed(now, e)
	return m.out
}

// Cancel cancels a request whose caller is gone. Before the Run decision the
// request never runs and its record is deleted. After it, Finish is still
// required.
func (m *Machine) Cancel(now core.Instant, id core.RequestID) Result {
	m.out = Result{}
	e := m.byID[id]
	if e == nil || e.step == stepRun {
		return m.out
	}
	delete(m.byID, id)
	e.cancelled = true
	return m.out
}

// Tick retries what is due. own decides which host deletes expired records; with
// nil, this one does not.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	m.out = Result{}
	m.entries = slices.DeleteFunc(m.entries, func(e *entry) bool { return e.dropped })
	for _, e := range m.entries {
		if e.dropped || e.step == stepRun || now.Before(e.due) {
			continue
		}
		if e.tag != 0 {
			// No result came within the timeout: it counts as unknown.
			m.handleResult(now, e, core.ObjectResult{Tag: e.tag, Status: core.ObjectUnknown})
			continue
		}
		m.proceed(now, e)
	}
	m.collect(now, own)
	return m.out
}

// HandleObject applies the result of an object call.
func (m *Machine) HandleObject(now core.Instant, r core.ObjectResult) Result {
	m.out = Result{}
	if e := m.byTag[r.Tag]; e != nil {
		m.handleResult(now, e, r)
	} else {
		m.handleCollectorResult(now, r)
	}
	return m.out
}

// replayable returns the response to record, or nil if its body exceeds a bound.
func (m *Machine) replayable(o core.Outcome) *core.Outcome {
	if len(o.Body) > MaxOutcomeBytes || m.pending+len(o.Body) > maxPendingBytes {
		return nil
	}
	m.pending += len(o.Body)
	return &o
}

func (m *Machine) refuse(id core.RequestID, r *core.Refusal) {
	m.out.Decisions = append(m.out.Decisions, Decision{ID: id, Kind: Refuse, Refusal: r})
}

// nextTag returns the tag of the next call; 0 is no tag.
func (m *Machine) nextTag() uint64 {
	m.tags++
	return m.tags
}

// call sends an entry's next call.
func (m *Machine) call(now core.Instant, e *entry, c core.ObjectCall) {
	c.Tag = m.nextTag()
	c.Key = e.key
	e.tag = c.Tag
	e.due = now.Add(callTimeout)
	m.byTag[c.Tag] = e
	m.out.Calls = append(m.out.Calls, c)
}

func (m *Machine) drop(e *entry) {
	e.dropped = true
	m.open--
	if e.step == stepCleanup {
		m.cleanup--
	}
	if e.outcome.Outcome != nil {
		m.pending -= len(e.outcome.Outcome.Body)
	}
	if m.byID[e.req.ID] == e {
		delete(m.byID, e.req.ID)
	}
}

// scheduleRetry sets an entry's next attempt after a jittered exponential backoff.
func (m *Machine) scheduleRetry(now core.Instant, e *entry) {
	e.due = now.Add(time.Duration(m.rng.Jitter(int64(e.backoff))))
	e.backoff = min(2*e.backoff, maxBackoff)
}
