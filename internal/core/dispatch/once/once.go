// Package once runs a non-idempotent request at most once in the whole fleet.
//
// A request is recorded in the object API under its workspace and idempotency
// key by a conditional create before it is dispatched, and only the Begin whose
// token stands in the record may dispatch. Whatever is in doubt counts against
// running: a lost answer is read back, a record of an unknown fate stands for
// "may have run" until it expires.
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
	MaxOutcomeBytes = 256 << 10 // of an answer that is kept for replay
	maxPendingBytes = 8 << 20   // of answers that wait to be recorded
	maxAttempts     = 3         // calls before a Begin is refused
	maxCleanups     = 4096      // records that a refused Begin may have left
)

// Times.
const (
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = 30 * time.Second
	callTerm      = 5 * time.Second  // a call without an end counts as unknown
	giveUpAfter   = 30 * time.Minute // an outcome that can't be recorded is dropped
	runningRetry  = 2 * time.Second  // when to ask again about a first try that is running
	storeDownHint = 5 * time.Second
)

// Request is a non-idempotent request at its entry host.
type Request struct {
	ID        core.RequestID
	Workspace core.WorkspaceID
	Key       string // the caller's idempotency key
	Body      uint64 // hash of the body
}

// Kind is what is decided for a request.
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

// Result is what one event gave.
type Result struct {
	Calls     []core.ObjectCall
	Decisions []Decision
}

// step is where an entry stands. Its names are those of spec/once.
type step uint8

const (
	stepCreate  step = iota + 1 // the conditional create is out
	stepRead                    // the record is being read back
	stepRun                     // dispatched, no call out
	stepRecord                  // the outcome is being recorded
	stepRelease                 // the record, which did not run, is being deleted
	stepCleanup                 // refused, but the create may have left a record
)

// entry is one request of this host.
type entry struct {
	req       Request
	key       string
	token     string
	step      step
	version   uint64 // of the record, once it is known to be ours
	attempts  int
	cancelled bool
	dropped   bool
	outcome   record
	tag       uint64       // of the call that is out; 0: none
	due       core.Instant // of the next try, or of the end of the wait for tag
	backoff   time.Duration
	giveUp    core.Instant
}

// Machine decides for the non-idempotent requests of one host.
type Machine struct {
	self    core.HostID
	rng     *core.Rand
	tags    uint64
	serial  uint64
	byTag   map[uint64]*entry
	byID    map[core.RequestID]*entry
	entries []*entry // in order of Begin; dropped ones until the next tick
	open    int      // entries that are not dropped
	cleanup int      // of these, those in stepCleanup
	pending int      // bytes of outcomes that wait
	sweeper sweeper
	out     Result
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

// Pending is how many requests of this host still need the object API. A
// leaving host waits for 0, within its drain time.
func (m *Machine) Pending() int { return m.open - m.cleanup }

// Begin records a request. Its decision comes with this result or a later one.
func (m *Machine) Begin(now core.Instant, r Request) Result {
	m.out = Result{}
	switch {
	case r.Key == "":
		m.refuse(r.ID, core.Refuse(core.CodeKeyNeeded, 0, "this route needs an Idempotency-Key header"))
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

// Finish tells how a request with a Run decision ended. With RanNo the record
// is released, so that a repeat may run.
func (m *Machine) Finish(now core.Instant, id core.RequestID, o core.Outcome, ran core.Ran) Result {
	m.out = Result{}
	e := m.byID[id]
	if e == nil || e.step != stepRun {
		return m.out
	}
	delete(m.byID, id)
	e.giveUp = now.Add(giveUpAfter)
	e.backoff = firstBackoff
	switch ran {
	case core.RanNo:
		e.step = stepRelease
	case core.RanYes:
		e.step = stepRecord
		e.outcome = record{Token: e.token, Body: e.req.Body, Phase: phaseDone, Outcome: m.kept(o)}
	default:
		e.step = stepRecord
		e.outcome = record{Token: e.token, Body: e.req.Body, Phase: phaseUnknown}
	}
	m.proceed(now, e)
	return m.out
}

// Forget says that the caller of a request is gone. Before the Run decision the
// request never runs and its record is released. After it, Finish is still due.
func (m *Machine) Forget(now core.Instant, id core.RequestID) Result {
	m.out = Result{}
	e := m.byID[id]
	if e == nil || e.step == stepRun {
		return m.out
	}
	delete(m.byID, id)
	e.cancelled = true
	return m.out
}

// Tick retries what is due. own says who sweeps expired records; nil: nobody here.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	m.out = Result{}
	m.entries = slices.DeleteFunc(m.entries, func(e *entry) bool { return e.dropped })
	for _, e := range m.entries {
		if e.dropped || e.step == stepRun || now.Before(e.due) {
			continue
		}
		if e.tag != 0 {
			// The carrier lost the call: its end counts as unknown.
			m.ended(now, e, core.ObjectResult{Tag: e.tag, Status: core.ObjectUnknown})
			continue
		}
		m.proceed(now, e)
	}
	m.sweep(now, own)
	return m.out
}

// Object takes the end of an object call.
func (m *Machine) Object(now core.Instant, r core.ObjectResult) Result {
	m.out = Result{}
	if e := m.byTag[r.Tag]; e != nil {
		m.ended(now, e, r)
	} else {
		m.swept(now, r)
	}
	return m.out
}

// kept is the answer as it is recorded: without a body that is over a bound.
func (m *Machine) kept(o core.Outcome) *core.Outcome {
	if len(o.Body) > MaxOutcomeBytes || m.pending+len(o.Body) > maxPendingBytes {
		return nil
	}
	m.pending += len(o.Body)
	return &o
}

func (m *Machine) refuse(id core.RequestID, r *core.Refusal) {
	m.out.Decisions = append(m.out.Decisions, Decision{ID: id, Kind: Refuse, Refusal: r})
}

// nextTag numbers calls; 0 is no tag.
func (m *Machine) nextTag() uint64 {
	m.tags++
	return m.tags
}

// call sends an entry's next call.
func (m *Machine) call(now core.Instant, e *entry, c core.ObjectCall) {
	c.Tag = m.nextTag()
	c.Key = e.key
	e.tag = c.Tag
	e.due = now.Add(callTerm)
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

// later puts an entry's next try off.
func (m *Machine) later(now core.Instant, e *entry) {
	e.due = now.Add(time.Duration(m.rng.Jitter(int64(e.backoff))))
	e.backoff = min(2*e.backoff, maxBackoff)
}
