package relaynode

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
	"gentiancroft/internal/core/warmup"
)

// A cold replica is a limited one (limits.go), until a time. Its entries say how long, or its answers.
// A replica of which that isn't known is cold for as long as its service says that a start takes. One
// that may have come back under its id as another incarnation is cold until an entry, or a check of
// the replica, shows which one runs. What this host alone has seen is told to the other hosts.

const (
	// coldAfterEvacuation is how much longer than a start takes the replicas of a failure domain are
	// cold once it is taken back.
	coldAfterEvacuation = time.Second
	// restartTimeout is how long a replica may be suspected to have restarted while the list of
	// replicas is current and shows no other incarnation.
	restartTimeout = 10 * time.Second
)

// coldState is what a host knows of starting replicas beside their limits.
type coldState struct {
	listRead bool // the first list of replicas has been applied
	starts   *warmup.Starts
	// unreported are the incarnations that this host has seen turn cold and has not told the other
	// hosts of.
	unreported map[intake.Key]bool
	reportDue  core.Instant // when they may next be told
}

func newColdState() coldState {
	return coldState{starts: warmup.NewStarts(), unreported: map[intake.Key]bool{}}
}

// coldRule returns what the replicas of a service are like when they are cold.
func (m *Machine) coldRule(id table.ServiceID) intake.ColdRule {
	if m.table == nil || m.table.Services[id] == nil {
		return intake.ColdRule{}
	}
	s := m.table.Services[id]
	return intake.ColdRule{PerSecond: s.ColdRate, Start: s.ColdStart}
}

// applyColdRules applies the rules of the configuration in force.
func (m *Machine) applyColdRules() {
	m.limits.known.SetColdRules(func(k intake.Key) intake.ColdRule {
		x := m.replicas.Get(k.Replica)
		if x == nil {
			return intake.ColdRule{}
		}
		return m.coldRule(x.Service)
	})
}

// incarnationOf returns the replica and rule of an incarnation, and false where another one is known
// or its service has no cold rate.
func (m *Machine) incarnationOf(id core.UpstreamID, started int64) (*replicas.Replica, intake.ColdRule, bool) {
	x := m.replicas.Get(id)
	if x == nil || x.Started != started {
		return nil, intake.ColdRule{}, false
	}
	rule := m.coldRule(x.Service)
	return x, rule, rule.PerSecond > 0
}

// entryChange is how an entry differs from those applied before.
type entryChange struct {
	incarnation bool // it is the first known entry of its incarnation
	later       bool // it was written after the entries applied before
}

// compareEntry returns how an entry that is about to be applied differs from those applied before.
// The entries of a running replica may have been missing from the list for a while.
func (m *Machine) compareEntry(e *replicas.Entry) entryChange {
	if x := m.replicas.Get(e.ID); x != nil && (x.Started == e.Started || e.Started == 0) {
		return entryChange{later: e.Sequence > x.Sequence}
	}
	removed, ok := m.replicas.LastRemoval(e.ID)
	return entryChange{incarnation: !ok || removed.Started != e.Started, later: true}
}

// observeStart applies what an entry shows of its replica's start, and reports whether the other hosts
// are to have the entry. When the whole deployment starts, the replicas in the first list are not
// new.
func (m *Machine) observeStart(e *replicas.Entry, change entryChange) (changed bool) {
	rule := m.coldRule(e.Service)
	if change.incarnation && m.cold.listRead && rule.Start > 0 {
		m.cold.starts.Begin(m.now, warmup.Key{Replica: e.ID, Started: e.Started})
	}
	if !change.later || m.table != nil && rule.PerSecond <= 0 {
		return false
	}
	seen := intake.ColdEntry{New: change.incarnation && (m.cold.listRead || !m.settings.FirstStart), Known: e.Cold.Known, Remaining: e.Cold.Remaining}
	return m.limits.known.ApplyEntry(m.now, intake.KeyOf(e.ID, e.Started), rule, seen)
}

// applyColdNotice applies how much longer an answer of an incarnation says that it is cold. One that
// says 0 changes nothing: it may be older than what has made the replica cold.
func (m *Machine) applyColdNotice(id core.UpstreamID, started int64, d time.Duration) {
	if d <= 0 {
		return
	}
	if x, rule, ok := m.incarnationOf(id, started); ok && m.limits.known.BeginCold(m.now, keyOf(x), rule, d) {
		m.cold.unreported[keyOf(x)] = true
	}
}

// markDomainCold makes the replicas of a failure domain cold whose evacuation has ended: they may have
// turned cold without traffic.
func (m *Machine) markDomainCold(domain core.Domain) {
	for _, x := range m.replicas.All() {
		if rule := m.coldRule(x.Service); x.Domain == domain && rule.PerSecond > 0 {
			m.limits.known.BeginCold(m.now, keyOf(x), rule, rule.Start+coldAfterEvacuation)
		}
	}
}

// suspectRestart records that an incarnation may have ended and come back as another one.
func (m *Machine) suspectRestart(i incarnation) (suspected bool) {
	x, rule, ok := m.incarnationOf(i.replica, i.started)
	if !ok || rule.Start <= 0 || x.Unavailable() {
		return false
	}
	m.limits.known.SuspectRestart(m.now, keyOf(x), rule)
	return true
}

// reportRestart is suspectRestart where there is more evidence than a closed connection, so that the
// other hosts are told as well.
func (m *Machine) reportRestart(i incarnation) {
	if m.suspectRestart(i) {
		m.cold.unreported[intake.KeyOf(i.replica, i.started)] = true
	}
}

// checkRestart treats a replica that has closed the connection of a request as possibly restarted,
// and has it checked.
func (m *Machine) checkRestart(i incarnation) {
	if m.suspectRestart(i) {
		m.checkReplica(i, m.endOf(i))
	}
}

// observeRestartCheck applies the result of a check to a replica that may have restarted.
func (m *Machine) observeRestartCheck(i incarnation, result CheckResult, checkedAt core.Instant) {
	k := intake.KeyOf(i.replica, i.started)
	since, suspected := m.limits.known.SuspectedSince(k)
	switch {
	case !suspected:
	case result != CheckAlive:
		m.reportRestart(i)
	case since <= checkedAt:
		m.limits.known.ConfirmRunning(k)
		m.placementDue = true
	default: // the check was sent before the suspicion and shows nothing
		m.checkReplica(i, m.endOf(i))
	}
}

// receiveCold applies another host's reports of cold replicas, and passes on what was unknown.
func (m *Machine) receiveCold(from core.HostID, reports []intake.Cold) {
	var unknown []intake.Cold
	for _, c := range reports {
		if _, rule, ok := m.incarnationOf(c.Key.Replica, c.Key.Started); ok && m.limits.known.ApplyCold(m.now, rule, c) {
			unknown = append(unknown, c)
		}
	}
	if len(unknown) > 0 {
		m.passOn(from, Message{Cold: unknown})
	}
}

// sendColdReports tells the other hosts of the replicas that this host has seen turn cold.
func (m *Machine) sendColdReports() {
	if len(m.cold.unreported) == 0 || m.now < m.cold.reportDue {
		return
	}
	m.cold.reportDue = m.now.Add(limitReportInterval)
	var reports []intake.Cold
	for _, k := range slices.SortedFunc(maps.Keys(m.cold.unreported), intake.Key.Compare) {
		if c, cold := m.limits.known.ColdReport(m.now, k); cold {
			reports = append(reports, c)
		}
	}
	clear(m.cold.unreported)
	if len(reports) > 0 {
		m.tellAll(Message{Cold: reports})
	}
}

// coldReportsOf returns the coldness of a replica for its granter, which may not know it.
func (m *Machine) coldReportsOf(k intake.Key) []intake.Cold {
	if c, cold := m.limits.known.ColdReport(m.now, k); cold {
		return []intake.Cold{c}
	}
	return nil
}

// updateCold applies the time to what is known of starting replicas, and logs what has changed.
func (m *Machine) updateCold() {
	m.cold.starts.Expire(m.now)
	m.limits.known.ConfirmRunningSince(func(since core.Instant) bool {
		return m.now.Sub(since) >= restartTimeout && m.listIsCurrent()
	})
	for _, c := range m.limits.known.ColdChanges(m.now) {
		if !c.Begun {
			m.placementDue = true
			m.emit(LogDecision{Name: "replica", Reason: "cold_ended", Upstream: c.Key.Replica})
			continue
		}
		m.emit(LogDecision{Name: "replica", Reason: "cold", Upstream: c.Key.Replica, Detail: coldDetail(c) + ", permits from " + string(m.granterOf(c.Key))})
	}
}

// coldDetail describes the beginning of coldness for the log.
func coldDetail(c intake.ColdChange) string {
	rate := strconv.FormatFloat(c.PerSecond, 'g', -1, 64) + " requests a second "
	if c.For == 0 {
		return rate + "until it is seen which incarnation runs"
	}
	return rate + "for " + c.For.Round(time.Millisecond).String()
}

// startShare returns the share of its usual load that a replica is to get, below 1 for some time after
// its start.
func (m *Machine) startShare(x *replicas.Replica) float64 {
	return m.cold.starts.Share(m.now, warmup.Key{Replica: x.ID, Started: x.Started})
}

// observeStartingAnswer counts the answer to an attempt for the slow start of its replica: of an engine
// a first event in time, of any other replica a complete answer.
func (m *Machine) observeStartingAnswer(r *request, complete bool) {
	inTime := r.route.LatencyTarget <= 0 || m.now.Sub(r.stageSince) <= r.route.LatencyTarget
	if isEngine := r.service.Engine != nil; complete != isEngine && (complete || inTime) {
		m.cold.starts.Answered(warmup.Key{Replica: r.upstream, Started: r.upstreamStarted})
	}
}
