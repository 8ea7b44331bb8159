package relaynode

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// A closed connection doesn't show that its replica has ended: the connection may have been
// reset, or its link cut. So a replica that closed the connection of a request with prompt parts
// is checked on a new connection: it has ended if nothing listens at its address, or another
// incarnation or replica answers there. A replica that was leaving has not crashed.
//
// An answer that only the end of its connection marks may have been ended by a crash as well. It
// counts as whole once its replica has been seen alive after it.

const (
	// checkInterval is the minimum time between two checks of a replica.
	checkInterval = 500 * time.Millisecond
	// checkTime is how long after a closed connection a replica is checked again if a check
	// shows nothing.
	checkTime = 3 * time.Second
	// endRetention is how long the end of an incarnation is remembered.
	endRetention = 10 * time.Second
	// aliveCheckInterval is the minimum time between two checks for answers whose ends nothing marked.
	aliveCheckInterval = 50 * time.Millisecond
	// minRestartTime is the least time from a replica's crash to its next incarnation: what answers
	// sooner is the same one.
	minRestartTime = 400 * time.Millisecond
	// crashSpread is how far the ends of a replica's connections may lie apart.
	crashSpread = 300 * time.Millisecond
	// maxCrashDelay is how long an answer may have been under way when its replica ended, if it is
	// to count as the cause: a part crashes a replica when an answer on it begins.
	maxCrashDelay = 500 * time.Millisecond
	// maxUnmarkedEnds bounds the remembered unmarked ends of answers of one replica.
	maxUnmarkedEnds = 64
)

// incarnation identifies an incarnation of a replica.
type incarnation struct {
	replica core.UpstreamID
	started int64
}

func (i incarnation) id() promptpart.Incarnation {
	return promptpart.IncarnationOf(i.replica, i.started)
}

// unmarkedEnd is the end of an answer that only the end of its connection marked.
type unmarkedEnd struct {
	at, sent core.Instant
	parts    []promptpart.ID
	short    bool // it may have ended its replica
}

// replicaEnd is what this host has seen of the end of an incarnation, if it has ended.
type replicaEnd struct {
	closedAt  core.Instant                   // when it first closed the connection of a request; 0: it hasn't
	sent      map[promptpart.ID]core.Instant // when the latest of these requests was sent, by part
	unmarked  []unmarkedEnd
	ended     bool         // it has ended for certain
	checkedAt core.Instant // when the last check was sent; 0: none was
	checking  bool         // a check is open
	unknown   bool         // the last check has shown nothing
	changedAt core.Instant
}

// endOf returns what is known of the end of an incarnation.
func (m *Machine) endOf(i incarnation) *replicaEnd {
	end := m.parts.ends[i]
	if end == nil {
		end = &replicaEnd{sent: map[promptpart.ID]core.Instant{}}
		m.parts.ends[i] = end
	}
	end.changedAt = m.now
	return end
}

// observeEnd learns from the end of an attempt. It is called while the request still counts as
// running.
func (m *Machine) observeEnd(r *request, e *AttemptEnded) {
	i := incarnation{r.upstream, r.upstreamStarted}
	if e.ConnectionClosed {
		m.checkRestart(i)
	}
	switch {
	case e.Refused:
		m.observeRefusal(i, r.carrier)
	case len(r.arrival.Parts) == 0:
	case e.Kind == EndOK && !e.Answer.EndUnmarked:
		m.acquit(r.arrival.Parts, m.now)
	case e.Kind == EndOK:
		m.observeUnmarkedEnd(i, r)
	case e.ConnectionClosed:
		m.observeClosed(i, r)
	}
}

// observeRefusal learns from a refused connection. It shows that the replica's process has ended, or
// that the path is blocked: what another host sees decides, where there is one. carrier is the host
// that saw it, the zero value for this one.
func (m *Machine) observeRefusal(i incarnation, carrier core.Carrier) {
	if carrier == (core.Carrier{}) {
		if _, cut := m.paths.CutOff(m.now); cut {
			return
		}
		if over, ok := m.carrierTo(i.replica, m.carriers()); ok {
			if m.suspectRestart(i) {
				m.endOf(i) // so that it is checked
			}
			m.confirmRefusal(i, over)
			return
		}
	}
	m.replicas.MarkDown(m.now, i.replica, i.started, downTime)
	m.reportRestart(i)
	m.confirmEnd(i)
}

// confirmRefusal has an incarnation checked over another host, if it matters whether it has ended.
func (m *Machine) confirmRefusal(i incarnation, over core.Carrier) {
	end := m.parts.ends[i]
	x := m.replicas.Get(i.replica)
	if end == nil || end.ended || x == nil || x.Started != i.started || x.Pause(m.now) > 0 {
		return
	}
	m.sendCheck(i, x, end, over)
}

// sendCheck requests a check of an incarnation, over another host if a carrier is given.
func (m *Machine) sendCheck(i incarnation, x *replicas.Replica, end *replicaEnd, over core.Carrier) {
	end.checking, end.checkedAt = true, m.now
	m.emit(CheckReplica{Probe: residency.Probe{Replica: i.replica, Address: x.Address, NewConnection: true, Carrier: over}, Started: i.started})
}

// acquit acquits parts by an answer that came to a certain end.
func (m *Machine) acquit(parts []promptpart.ID, at core.Instant) {
	for _, p := range parts {
		m.parts.tracker.MarkSound(at, p)
		if !m.parts.tracker.Suspected(p) {
			continue
		}
		a := promptpart.Acquittal{Part: p, Age: m.now.Sub(at)}
		if m.applyAcquittal(a, learnedHere) {
			m.parts.report.Merge(promptpart.Report{Acquittals: []promptpart.Acquittal{a}})
		}
	}
}

// observeUnmarkedEnd remembers an answer whose end nothing marked. If one of its parts is
// suspected, the replica is checked.
func (m *Machine) observeUnmarkedEnd(i incarnation, r *request) {
	end := m.endOf(i)
	end.unmarked = append(end.unmarked, unmarkedEnd{at: m.now, sent: r.stageSince, parts: r.arrival.Parts, short: m.mayHaveCrashed(r)})
	end.unmarked = end.unmarked[max(0, len(end.unmarked)-maxUnmarkedEnds):]
	if end.ended {
		m.reportEnd(i, end)
		return
	}
	m.checkUnmarked(i, end)
}

// mayHaveCrashed reports whether the answer to a request may have ended its replica just now.
func (m *Machine) mayHaveCrashed(r *request) bool {
	return !r.answerStarted || m.now.Sub(r.answeringSince) <= maxCrashDelay
}

// checkUnmarked requests a check of a replica if one of its answers without a marked end is on a
// suspected part.
func (m *Machine) checkUnmarked(i incarnation, end *replicaEnd) {
	suspected := func(u unmarkedEnd) bool { return slices.ContainsFunc(u.parts, m.parts.tracker.Suspected) }
	interval := aliveCheckInterval
	if end.unknown {
		interval = checkInterval
	}
	if !end.ended && m.now.Sub(end.checkedAt) >= interval && slices.ContainsFunc(end.unmarked, suspected) {
		m.checkReplica(i, end)
	}
}

// observeClosed remembers that a replica closed the connection of a request in the middle.
func (m *Machine) observeClosed(i incarnation, r *request) {
	x := m.replicas.Get(i.replica)
	if x == nil || x.Unavailable() && x.Started == i.started {
		return // it was to end
	}
	end := m.endOf(i)
	if end.closedAt == 0 {
		end.closedAt = m.now
	}
	if r.stageSince > end.closedAt {
		return // it had ended before
	}
	if m.mayHaveCrashed(r) {
		for _, p := range r.arrival.Parts {
			end.sent[p] = max(end.sent[p], r.stageSince)
		}
	}
	switch {
	case end.ended || x.Started != i.started:
		end.ended = true
		m.reportEnd(i, end)
	default:
		m.checkReplica(i, end)
	}
}

// checkReplica requests a check of an incarnation, unless one is open or the replica wants nothing
// now.
func (m *Machine) checkReplica(i incarnation, end *replicaEnd) {
	x := m.replicas.Get(i.replica)
	if x == nil || end.checking || x.Pause(m.now) > 0 {
		return
	}
	m.sendCheck(i, x, end, core.Carrier{})
}

// handleReplicaChecked applies the result of a check.
func (m *Machine) handleReplicaChecked(e ReplicaChecked) {
	i := incarnation{e.Replica, e.Started}
	m.applyNotice(i.replica, i.started, e.Notice)
	answered := e.Result == CheckAlive || e.Result == CheckEnded && !e.Refused
	if answered && e.Carrier == (core.Carrier{}) {
		m.pathHeard(i.replica, true)
	}
	end := m.parts.ends[i]
	if end != nil {
		end.checking, end.unknown = false, e.Result == CheckUnknown
		m.observeRestartCheck(i, e.Result, end.checkedAt)
	}
	switch {
	case e.Result == CheckEnded && e.Refused:
		m.observeRefusal(i, e.Carrier)
	case e.Result == CheckEnded:
		m.replicas.MarkDown(m.now, i.replica, i.started, downTime)
		m.reportRestart(i)
		m.confirmEnd(i)
	case e.Result == CheckAlive && end != nil:
		m.observeAlive(i, end)
	}
}

// observeAlive applies that an incarnation lived when it was last checked: what it ended before
// was no crash.
func (m *Machine) observeAlive(i incarnation, end *replicaEnd) {
	if end.closedAt != 0 && end.closedAt <= end.checkedAt {
		m.emit(LogDecision{Name: "replica", Reason: "alive", Upstream: i.replica, Age: m.now.Sub(end.closedAt)})
		end.closedAt = 0
		clear(end.sent)
	}
	m.acquitUnmarked(end, end.checkedAt)
}

// acquitUnmarked acquits by the answers without a marked end that ended until a time at which
// their replica lived.
func (m *Machine) acquitUnmarked(end *replicaEnd, aliveAt core.Instant) {
	later := end.unmarked[:0]
	for _, u := range end.unmarked {
		if u.at <= aliveAt {
			m.acquit(u.parts, u.at)
			continue
		}
		later = append(later, u)
	}
	end.unmarked = later
}

// observeAnswer learns from the start of an answer that its replica lived when the request was
// sent, if it can't have restarted since the latest answer without a marked end.
func (m *Machine) observeAnswer(r *request) {
	end := m.parts.ends[incarnation{r.upstream, r.upstreamStarted}]
	if end != nil && m.now.Sub(lastEnd(end.unmarked)) < minRestartTime {
		m.acquitUnmarked(end, r.stageSince)
	}
}

// confirmEnd applies that an incarnation has ended.
func (m *Machine) confirmEnd(i incarnation) {
	end := m.parts.ends[i]
	if end == nil || end.ended {
		return
	}
	if x := m.replicas.Get(i.replica); x != nil && x.Started == i.started && x.Unavailable() {
		return // it was to end
	}
	if end.closedAt == 0 {
		end.closedAt = lastEnd(end.unmarked)
	}
	if end.closedAt == 0 || m.now.Sub(end.closedAt) > endRetention {
		return
	}
	end.ended = true
	m.emit(LogDecision{Name: "replica", Reason: "ended", Upstream: i.replica, Age: m.now.Sub(end.closedAt)})
	m.reportEnd(i, end)
}

// lastEnd returns the time of the last unmarked end, 0 where there is none.
func lastEnd(ends []unmarkedEnd) core.Instant {
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].at
}

// reportEnd reports the parts under which an incarnation has ended.
func (m *Machine) reportEnd(i incarnation, end *replicaEnd) {
	for _, u := range end.unmarked {
		if !u.short || u.at < end.closedAt.Add(-crashSpread) {
			continue
		}
		for _, p := range u.parts {
			end.sent[p] = max(end.sent[p], u.sent)
		}
	}
	end.unmarked = nil
	var sightings []promptpart.Sighting
	for p, sent := range end.sent {
		s := promptpart.Sighting{Part: p, Incarnation: i.id(), Age: m.now.Sub(end.closedAt), Held: max(end.closedAt.Sub(sent), 0)}
		sightings = append(sightings, s)
	}
	clear(end.sent)
	slices.SortFunc(sightings, func(a, b promptpart.Sighting) int { return cmp.Compare(a.Part, b.Part) })
	unknown := m.applySightings(sightings, learnedHere+" at "+string(i.replica))
	m.parts.report.Merge(promptpart.Report{Sightings: unknown})
}

// confirmReportedEnd applies that another host has seen an incarnation end.
func (m *Machine) confirmReportedEnd(id promptpart.Incarnation) {
	for i, end := range m.parts.ends {
		if !end.ended && i.id() == id {
			m.confirmEnd(i)
			return
		}
	}
}

// confirmReplacedEnds applies that a replica's entry was removed, or is that of another
// incarnation.
func (m *Machine) confirmReplacedEnds(id core.UpstreamID, wasLeaving bool) {
	x := m.replicas.Get(id)
	for i, end := range m.parts.ends {
		if i.replica != id || end.ended || x != nil && x.Started == i.started {
			continue
		}
		if wasLeaving {
			delete(m.parts.ends, i)
			continue
		}
		m.confirmEnd(i)
	}
}

// checkEnds checks the replicas again whose check has shown nothing, and forgets old ends.
func (m *Machine) checkEnds() {
	for i, end := range m.parts.ends {
		if m.now.Sub(end.changedAt) >= endRetention {
			delete(m.parts.ends, i)
			continue
		}
		undecided := end.closedAt != 0 && !end.ended && m.now.Sub(end.closedAt) < checkTime
		if undecided && m.now.Sub(end.checkedAt) >= checkInterval {
			m.checkReplica(i, end)
		}
		end.unmarked = slices.DeleteFunc(end.unmarked, func(u unmarkedEnd) bool { return m.now.Sub(u.at) >= checkTime })
		m.checkUnmarked(i, end)
	}
}
