package relaynode

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/promptpart"
)

// A part of a prompt that crashes each replica that begins to answer on it is kept from replicas
// by all hosts, whatever else a request holds. This file enforces that: requests with a blocked
// part are refused, those under way are withdrawn, and now and then one is tried. What is
// learned, and from what, is in replicaends.go; what hosts tell each other, in partreports.go; what
// outlives them, in partstates.go. Package promptpart decides.

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
	toldAt    toldHosts // the verdicts
	enforce   bool      // a part was blocked since the open requests were last checked

	reportVerdicts bool // this host has blocked a part by its own count: it is to be sent to the others
}

func newPromptParts() promptParts {
	return promptParts{tracker: promptpart.NewTracker(), ends: map[incarnation]*replicaEnd{}, toldAt: toldHosts{}}
}

// blockedPart returns a blocked part of a request's prompt if the request may not be tried by
// this host now, and the time until it may.
func (m *Machine) blockedPart(r *request) (p promptpart.ID, wait time.Duration, blocked bool) {
	if r.trial {
		return 0, 0, false
	}
	p, wait, blocked = m.parts.tracker.NextTrial(m.now, r.arrival.Parts)
	return p, wait, blocked && (wait > 0 || !m.tries(p) || m.trialRuns(p))
}

// tries reports whether this host is the one that tries a blocked part.
func (m *Machine) tries(p promptpart.ID) bool {
	host, ok := core.Rendezvous(m.fleet.Members(m.now), trialKind, p.String())
	return ok && host == core.HostID(m.settings.Self.Name)
}

// trialRuns reports whether a request that is tried with a blocked part is at a replica.
func (m *Machine) trialRuns(p promptpart.ID) bool {
	for _, r := range m.requests.byID {
		if r.trial && r.stage == stageRunning && slices.Contains(r.arrival.Parts, p) {
			return true
		}
	}
	return false
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

// expireParts forgets what is known of parts and ends of replicas that has become old.
func (m *Machine) expireParts() {
	if m.now < m.parts.expiryDue {
		return
	}
	m.parts.expiryDue = m.now.Add(partExpiryInterval)
	for _, p := range m.parts.tracker.Expire(m.now) {
		m.emit(LogDecision{Name: "prompt_part", Reason: "forgotten", Detail: p.String()})
	}
	m.crashes.toldAt.expire(m.now, crashReportInterval)
	m.parts.toldAt.expire(m.now, verdictInterval)
}
