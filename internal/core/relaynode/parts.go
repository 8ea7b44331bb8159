package relaynode

import (
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/shard"
)

// A part of a prompt that crashes each replica that begins to answer on it is kept from replicas
// by all hosts, whatever else a request holds. This file enforces that: requests with a blocked
// part are refused, those under way are withdrawn, and now and then one is tried. What is
// learned, and from what, is in replicaends.go; package promptpart decides.

const (
	// partReportInterval is the minimum time between two reports to the other hosts.
	partReportInterval = 40 * time.Millisecond
	// partExpiryInterval is the time between two searches for what is to be forgotten.
	partExpiryInterval = time.Second
	// verdictInterval is the minimum time between two lists of verdicts to the same host.
	verdictInterval = time.Second
	// minRetryAfterBlocked is the least Retry-After time of a request with a blocked part.
	minRetryAfterBlocked = 2 * time.Second
	// retryRounds is after how many crashes in a row under one of its parts a request isn't retried.
	retryRounds = 2
	// maxStoredSuspicions bounds the suspected parts that are kept with a lease.
	maxStoredSuspicions = 32
	// trialKind separates the scores of the hosts that try blocked parts from other scores.
	trialKind = 37
)

// promptParts is what a host knows of prompt parts that crash replicas.
type promptParts struct {
	tracker   *promptpart.Tracker
	ends      map[incarnation]*replicaEnd
	report    promptpart.Report // for the other hosts
	relayed   promptpart.Report // of other hosts, for the standby hosts that report to this host
	reportDue core.Instant
	expiryDue core.Instant
	toldAt    map[core.HostID]core.Instant // when the verdicts were last sent to a host
	inherited bool                         // what earlier processes have blocked has been read
	enforce   bool                         // a part was blocked since the open requests were last checked

	reportVerdicts bool // this host has blocked a part by its own count: the others are to be told
}

func newPromptParts() promptParts {
	return promptParts{tracker: promptpart.NewTracker(), ends: map[incarnation]*replicaEnd{}, toldAt: map[core.HostID]core.Instant{}}
}

// applySightings applies ends of replicas under parts, and returns those that were unknown.
func (m *Machine) applySightings(sightings []promptpart.Sighting, source string) []promptpart.Sighting {
	known := map[promptpart.ID]bool{}
	for _, s := range sightings {
		known[s.Part] = true
	}
	for _, c := range m.parts.tracker.ApplySightings(m.now, sightings) {
		m.notePartChange(c.Part, c.Change, source, 0)
		delete(known, c.Part)
		m.parts.reportVerdicts = m.parts.reportVerdicts || c.Change == promptpart.Blocked || c.Change == promptpart.TrialFailed
	}
	return slices.DeleteFunc(slices.Clone(sightings), func(s promptpart.Sighting) bool { return known[s.Part] })
}

// applyAcquittal applies an answer on a part that came to a certain end, and reports whether it
// changed anything.
func (m *Machine) applyAcquittal(a promptpart.Acquittal, source string) bool {
	change := m.parts.tracker.ApplyAcquittal(m.now, a)
	m.notePartChange(a.Part, change, source, a.Age)
	return change != promptpart.Unchanged
}

// applyVerdict applies a verdict of another host, and reports whether the part was not blocked.
func (m *Machine) applyVerdict(v promptpart.Verdict, source string) bool {
	change := m.parts.tracker.ApplyVerdict(m.now, v)
	m.notePartChange(v.Part, change, source, v.Age)
	return change != promptpart.Unchanged
}

// Sources of what is learned of a part, for the log.
const (
	learnedHere     = "seen by this host"
	learnedFromPeer = "reported by another host"
	learnedAtStart  = "read from the leases"
)

// partReasons are the reasons that changes are logged with.
var partReasons = map[promptpart.Change]string{
	promptpart.Suspected: "suspected",
	promptpart.Acquitted: "acquitted",
	promptpart.Blocked:   "blocked",
	promptpart.LetIn:     "let_in",
	promptpart.Disputed:  "disputed",

	promptpart.TrialFailed: "trial_failed",
}

// notePartChange logs a change. A part that has just been blocked is enforced, and other hosts are
// told of the last answer on one that is suspected or disputed.
func (m *Machine) notePartChange(p promptpart.ID, change promptpart.Change, source string, age time.Duration) {
	if change == promptpart.Unchanged {
		return
	}
	rounds := m.parts.tracker.Rounds(p)
	firstHand := source != learnedFromPeer
	if firstHand || rounds > 1 || !isRoutine(change) {
		detail := p.String() + ", " + source + ", replicas lost in a row " + utoa(uint64(rounds))
		m.emit(LogDecision{Name: "prompt_part", Reason: partReasons[change], Detail: detail, Age: age})
	}
	m.parts.enforce = m.parts.enforce || change == promptpart.Blocked
	if change == promptpart.Disputed || change == promptpart.Suspected && (firstHand || m.isWatcher()) {
		m.reportLastAnswer(p)
	}
}

// isRoutine reports whether a change follows from any crash of a replica: the host that has seen it
// logs it, the others don't.
func isRoutine(c promptpart.Change) bool {
	return c == promptpart.Suspected || c == promptpart.Acquitted
}

// reportLastAnswer tells the other hosts of the last answer on a part, if one is known.
func (m *Machine) reportLastAnswer(p promptpart.ID) {
	if age, ok := m.parts.tracker.LastAnswer(m.now, p); ok {
		m.parts.report.Merge(promptpart.Report{Acquittals: []promptpart.Acquittal{{Part: p, Age: age}}})
	}
}

// blockedPart returns a blocked part of a request's prompt if the request may not be tried by
// this host now, and the time until it may.
func (m *Machine) blockedPart(r *request) (p promptpart.ID, wait time.Duration, blocked bool) {
	if r.trial {
		return 0, 0, false
	}
	p, wait, blocked = m.parts.tracker.NextTrial(m.now, r.arrival.Parts)
	return p, wait, blocked && (wait > 0 || !m.tries(p))
}

// tries reports whether this host is the one that tries a blocked part.
func (m *Machine) tries(p promptpart.ID) bool {
	host, ok := core.Rendezvous(m.fleet.Members(m.now), trialKind, p.String())
	return ok && host == core.HostID(m.settings.Self.Name)
}

// refuseBlocked refuses a request that has a blocked part, and reports whether it did.
func (m *Machine) refuseBlocked(r *request) bool {
	p, wait, blocked := m.blockedPart(r)
	if blocked {
		m.refuse(r, core.Refuse(core.CodeOverloaded, max(wait, minRetryAfterBlocked), "replicas were lost one after the other under part "+p.String()+" of its prompt"))
	}
	return blocked
}

// beginTrial records that a request is tried that has blocked parts, if it has any.
func (m *Machine) beginTrial(r *request) {
	if r.trial {
		return
	}
	for _, p := range r.arrival.Parts {
		if !m.parts.tracker.Blocked(p) {
			continue
		}
		r.trial = true
		verdict := m.parts.tracker.BeginTrial(m.now, p)
		m.parts.report.Merge(promptpart.Report{Verdicts: []promptpart.Verdict{verdict}})
		m.emit(LogDecision{Name: "prompt_part", Reason: "tried", ID: r.id(), Detail: p.String() + ", trial " + utoa(uint64(verdict.Trials)), Age: verdict.Age})
	}
}

// mayCrash reports whether a request that is tried again may end another replica: one of its parts
// is blocked, or replicas were lost under it in a row.
func (m *Machine) mayCrash(r *request) bool {
	for _, p := range r.arrival.Parts {
		if m.parts.tracker.Blocked(p) || m.parts.tracker.Rounds(p) >= retryRounds {
			return true
		}
	}
	return false
}

// enforceBlocked refuses the waiting requests with a part that has just been blocked, and
// withdraws those whose answer has not started from their replicas.
func (m *Machine) enforceBlocked() {
	if !m.parts.enforce {
		return
	}
	m.parts.enforce = false
	for _, r := range m.requests.all() {
		p, _, blocked := m.blockedPart(r)
		switch {
		case r.closed || !blocked:
		case r.stage == stageWaiting:
			m.refuseBlocked(r)
		case !r.answerStarted && !r.moving:
			r.withdrawn = true
			m.moveAttempt(r, "part_blocked", p.String())
		}
	}
}

// sendPartReports sends what this host has learned of parts since the last call.
func (m *Machine) sendPartReports() {
	if m.parts.reportVerdicts {
		m.parts.reportVerdicts = false
		m.parts.report.Merge(promptpart.Report{Verdicts: m.parts.tracker.Verdicts(m.now)})
	}
	report, relayed := m.parts.report, m.parts.relayed
	if report.Empty() && relayed.Empty() || m.now < m.parts.reportDue {
		return
	}
	m.parts.report, m.parts.relayed = promptpart.Report{}, promptpart.Report{}
	m.parts.reportDue = m.now.Add(partReportInterval)
	if !report.Empty() {
		m.tellAll(Message{Parts: &report})
	}
	if !relayed.Empty() && m.fleet.Active() {
		m.send(m.fleet.Standbys(m.now), Message{Parts: &relayed})
	}
}

// receivePartReport applies another host's report. Standby hosts send theirs to their contacts
// only, and hear of the others' from these: what was unknown is passed on.
func (m *Machine) receivePartReport(from core.HostID, report *promptpart.Report) {
	if report == nil {
		return
	}
	var unknown promptpart.Report
	for _, s := range report.Sightings {
		m.confirmReportedEnd(s.Incarnation)
	}
	unknown.Sightings = m.applySightings(report.Sightings, learnedFromPeer)
	for _, a := range report.Acquittals {
		if m.applyAcquittal(a, learnedFromPeer) {
			unknown.Acquittals = append(unknown.Acquittals, a)
		}
	}
	for _, v := range report.Verdicts {
		if m.applyVerdict(v, learnedFromPeer) {
			unknown.Verdicts = append(unknown.Verdicts, v)
		}
	}
	switch {
	case !m.fleet.Active():
	case m.fleet.IsActive(from):
		m.parts.relayed.Merge(unknown)
	default:
		m.parts.report.Merge(unknown)
	}
}

// compareVerdicts sends this host's verdicts to a host whose heartbeat shows others.
func (m *Machine) compareVerdicts(from core.HostID, digest uint64) {
	if own := m.parts.tracker.Digest(); own != 0 && own != digest && (m.isWatcher() || !m.fleet.IsActive(from)) {
		m.sendVerdicts(from)
	}
}

// sendVerdicts sends all verdicts to a host, unless that was done within verdictInterval.
func (m *Machine) sendVerdicts(to core.HostID) {
	verdicts := m.parts.tracker.Verdicts(m.now)
	last, told := m.parts.toldAt[to]
	if len(verdicts) == 0 || told && m.now.Sub(last) < verdictInterval {
		return
	}
	if p, ok := m.fleet.ByHostID(to); ok {
		m.parts.toldAt[to] = m.now
		m.send([]fleet.Registration{p}, Message{Parts: &promptpart.Report{Verdicts: verdicts}})
	}
}

// partStates returns what is kept of parts with each lease.
func (m *Machine) partStates() shard.PartStates {
	states := shard.PartStates{}
	for _, s := range m.parts.tracker.Suspicions(m.now, maxStoredSuspicions) {
		states[s.Part.String()] = shard.PartState{Rounds: s.Rounds, AnsweredMS: s.Answered.Milliseconds()}
	}
	for _, v := range m.parts.tracker.Verdicts(m.now) {
		states[v.Part.String()] = shard.PartState{
			Blocked: true, Rounds: v.Rounds, AgeMS: v.Age.Milliseconds(),
			Trials: v.Trials, Failed: v.Failed, NextMS: v.NextIn.Milliseconds(),
		}
	}
	return states
}

// inheritParts reads from the shards' leases, once, what was known of parts before this process
// started.
func (m *Machine) inheritParts() {
	if m.parts.inherited {
		return
	}
	m.parts.inherited = true
	for _, states := range m.shards.PartStates() {
		for _, name := range slices.Sorted(maps.Keys(states)) {
			m.inheritPart(name, states[name])
		}
	}
}

func (m *Machine) inheritPart(name string, s shard.PartState) {
	p, ok := promptpart.ParseID(name)
	switch {
	case !ok:
		m.emit(LogDecision{Name: "prompt_part", Reason: "malformed", Detail: name})
	case s.Blocked:
		m.applyVerdict(promptpart.Verdict{
			Part: p, Rounds: s.Rounds, Age: milliseconds(s.AgeMS),
			Trials: s.Trials, Failed: s.Failed, NextIn: milliseconds(s.NextMS),
		}, learnedAtStart)
	default:
		m.parts.tracker.Inherit(m.now, promptpart.Suspicion{Part: p, Rounds: s.Rounds, Answered: milliseconds(s.AnsweredMS)})
		m.notePartChange(p, promptpart.Suspected, learnedAtStart, 0)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// expireParts forgets what is known of parts and ends of replicas that has become old.
func (m *Machine) expireParts() {
	if m.now < m.parts.expiryDue {
		return
	}
	m.parts.expiryDue = m.now.Add(partExpiryInterval)
	for _, p := range m.parts.tracker.Expire(m.now) {
		m.emit(LogDecision{Name: "prompt_part", Reason: "forgotten", Detail: p.String()})
	}
	for h, at := range m.parts.toldAt {
		if m.now.Sub(at) >= verdictInterval {
			delete(m.parts.toldAt, h)
		}
	}
}
