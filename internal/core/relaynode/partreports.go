package relaynode

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/promptpart"
)

// Hosts tell each other what they learn of prompt parts: ends of replicas, answers and verdicts, as
// changes. A host whose heartbeat shows other blocked parts is sent all verdicts.

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
// sent the last answer on one that is suspected or disputed.
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

// reportLastAnswer reports the last answer on a part to the other hosts, if one is known.
func (m *Machine) reportLastAnswer(p promptpart.ID) {
	if age, ok := m.parts.tracker.LastAnswer(m.now, p); ok {
		m.parts.report.Merge(promptpart.Report{Acquittals: []promptpart.Acquittal{{Part: p, Age: age}}})
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
	if len(verdicts) == 0 || !m.parts.toldAt.mayTell(m.now, to, verdictInterval) {
		return
	}
	if p, ok := m.fleet.ByHostID(to); ok {
		m.parts.toldAt[to] = m.now
		m.send([]fleet.Registration{p}, Message{Parts: &promptpart.Report{Verdicts: verdicts}})
	}
}
