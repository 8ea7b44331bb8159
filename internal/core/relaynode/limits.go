package relaynode

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/replicas"
)

// A replica that names a limit, or is cold, gets requests only under permits. One host hands them
// out, its granter: every host chooses the same one, by the replica's id. A request that only limited
// replicas can run waits for a permit for as long as an answer of the granter takes, and is refused
// with the wait that the rate gives. So that requests for which there are other replicas use permits too,
// a host asks for some now and then.

const (
	// granterKind separates the scores of granters from other scores.
	granterKind = 41
	// askInterval is the minimum time between two asks for permits that no request waits for.
	askInterval = 250 * time.Millisecond
	// askIntervalPerHost is added to it for each active host.
	askIntervalPerHost = 5 * time.Millisecond
	// limitReportInterval is the minimum time between two messages on limits to all hosts.
	limitReportInterval = 40 * time.Millisecond
	// minGrantedFraction is the fraction of a limit that a granter hands out at least which reaches
	// few of the hosts. Those that it doesn't reach may have a granter of their own.
	minGrantedFraction = 0.6
	// minRetryAfterLimited is the least Retry-After time of a request for which there is no permit.
	minRetryAfterLimited = 100 * time.Millisecond
)

// limits is what a host knows of the limits that replicas name, and its permits.
type limits struct {
	known      *intake.Limits
	permits    *intake.Permits
	granter    *intake.Granter
	unreported map[intake.Key]intake.Evidence // of which the other hosts are to be told
	reportDue  core.Instant                   // when they may next be told
	refused    bool                           // a granter has had no permit: the requests that wait are to be placed again
}

func newLimits() limits {
	l := limits{known: intake.NewLimits(), permits: intake.NewPermits(), granter: intake.NewGranter(), unreported: map[intake.Key]intake.Evidence{}}
	l.permits.SetLimits(l.known)
	return l
}

func keyOf(x *replicas.Replica) intake.Key { return intake.KeyOf(x.ID, x.Started) }

// applyLimitNotice applies that an incarnation has named a limit. held is the time since its request
// was sent.
func (m *Machine) applyLimitNotice(id core.UpstreamID, started int64, limit replicas.NamedLimit, held time.Duration) {
	if limit.Malformed {
		m.emit(LogDecision{Name: "replica", Reason: "limit_malformed", Upstream: id})
	}
	if limit.Named {
		m.observeLimit(intake.Evidence{Key: intake.KeyOf(id, started), Named: true, PerSecond: limit.PerSecond, Held: held})
	}
}

// applyNoLimit applies that the answer to an attempt names no limit.
func (m *Machine) applyNoLimit(r *request) {
	m.observeLimit(intake.Evidence{Key: intake.KeyOf(r.upstream, r.upstreamStarted), Held: m.now.Sub(r.stageSince)})
}

// observeLimit applies evidence of this host's own, and reports to the other hosts what it has changed.
func (m *Machine) observeLimit(e intake.Evidence) {
	if m.applyLimit(e, "named in an answer") {
		m.limits.unreported[e.Key] = e
	}
}

// limitReasons are the reasons that changes of limits are logged with.
var limitReasons = map[intake.Change]string{
	intake.Begun:   "limit_begun",
	intake.Altered: "limit_altered",
	intake.Ended:   "limit_ended",
}

// applyLimit applies evidence, and reports whether it has changed anything.
func (m *Machine) applyLimit(e intake.Evidence, source string) bool {
	change := m.limits.known.Apply(m.now, e)
	if change == intake.Unchanged {
		return false
	}
	detail := strconv.FormatFloat(e.PerSecond, 'g', -1, 64) + " a second, " + source + ", permits from " + string(m.granterOf(e.Key))
	m.emit(LogDecision{Name: "replica", Reason: limitReasons[change], Upstream: e.Key.Replica, Detail: detail, Age: e.Age})
	if change == intake.Ended {
		m.placementDue = true
	}
	return true
}

// granterOf returns the name of the host that hands out the permits for an incarnation.
func (m *Machine) granterOf(k intake.Key) core.HostID {
	if host, ok := core.Rendezvous(m.fleet.Members(m.now), granterKind, string(k.Replica)); ok {
		return host
	}
	return core.HostID(m.settings.Self.Name)
}

// limited reports whether a replica has named a limit, or is cold.
func (m *Machine) limited(x *replicas.Replica) bool {
	_, limited := m.limits.known.RateAt(m.now, keyOf(x))
	return limited
}

// needsPermit reports whether a replica is limited, and this host has no permit for it.
func (m *Machine) needsPermit(x *replicas.Replica) bool {
	return m.limited(x) && m.limits.permits.Count(m.now, keyOf(x)) == 0
}

// usePermit uses a permit for a request that is sent to a replica, if it is limited.
func (m *Machine) usePermit(r *request, x *replicas.Replica) {
	r.permit = intake.Permit{}
	if m.limited(x) {
		r.permit = m.limits.permits.Use(m.now, keyOf(x))
	}
}

// askPermits asks the granter of a replica for permits for the requests that wait for them.
func (m *Machine) askPermits(x *replicas.Replica, waiting int) {
	k := keyOf(x)
	evidence, ok := m.limits.known.AskEvidence(m.now, k)
	if !ok || m.limits.permits.Asking(m.now, k) || m.limits.permits.Wait(m.now, k) > 0 {
		return
	}
	number, count := m.limits.permits.Ask(m.now, k, waiting)
	ask := intake.Ask{Number: number, Limit: evidence, Count: count}
	granter := m.granterOf(k)
	if granter == core.HostID(m.settings.Self.Name) {
		m.applyGrant(m.grant(ask))
		return
	}
	if p, known := m.fleet.ByName(string(granter)); known {
		m.send([]fleet.Registration{p}, Message{PermitAsks: []intake.Ask{ask}, Cold: m.coldReportsOf(k)})
	}
}

// askForLater asks for permits for the limited replicas that could have run a request which was
// sent to another one.
func (m *Machine) askForLater(needPermits []*replicas.Replica) {
	interval := askInterval + time.Duration(m.fleet.ActiveHosts())*askIntervalPerHost
	for _, x := range needPermits {
		if last, asked := m.limits.permits.LastAsk(keyOf(x)); !asked || m.now.Sub(last) >= interval {
			m.askPermits(x, 0)
		}
	}
}

// grant hands out permits for an ask, as their granter.
func (m *Machine) grant(ask intake.Ask) intake.Grant {
	k := ask.Limit.Key
	cold := m.limits.known.Cold(m.now, k)
	rate, limited := m.limits.known.RateAt(m.now, k)
	// An ask for a cold replica carries the cold rate as a named limit (AskEvidence). Applied as
	// such, it would outlast the coldness.
	if !cold || ask.Limit.PerSecond < rate {
		m.applyLimit(ask.Limit, "known to a host that asks for permits")
		rate, limited = m.limits.known.RateAt(m.now, k)
	}
	if !limited {
		return intake.Grant{Number: ask.Number, Key: k, Count: ask.Count} // the asking host will see that the limit has ended
	}
	fraction := max(m.fleet.ReachableFraction(m.now), minGrantedFraction)
	grant := m.limits.granter.Grant
	if cold {
		grant = m.limits.granter.GrantCold
	}
	g := grant(m.now, k, rate*fraction, ask.Count, len(m.fleet.Members(m.now)))
	g.Number = ask.Number
	return g
}

// answerAsks answers another host's asks.
func (m *Machine) answerAsks(from core.HostID, asks []intake.Ask) {
	var grants []intake.Grant
	for _, ask := range asks {
		if m.granterOf(ask.Limit.Key) == core.HostID(m.settings.Self.Name) {
			grants = append(grants, m.grant(ask))
		}
	}
	if p, ok := m.fleet.ByHostID(from); ok && len(grants) > 0 {
		m.send([]fleet.Registration{p}, Message{PermitGrants: grants})
	}
}

// applyGrant applies a granter's answer. Requests that wait are placed, or refused where there was no
// permit.
func (m *Machine) applyGrant(g intake.Grant) {
	if !m.limits.permits.Apply(m.now, g) {
		return
	}
	if g.Count > 0 {
		m.placementDue = true
		return
	}
	m.limits.refused = true
}

// awaitPermit lets a request wait for a permit for one of the limited replicas that could run it. It
// returns false where none is to be had now.
func (m *Machine) awaitPermit(r *request, limited []*replicas.Replica) bool {
	waiting := m.permitWaiters() + 1
	asking := false
	for _, x := range limited {
		m.askPermits(x, waiting)
		asking = asking || m.limits.permits.Asking(m.now, keyOf(x)) || !m.needsPermit(x)
	}
	if asking && r.stage != stageWaiting {
		r.stage, r.stageSince = stageWaiting, m.now
		m.emit(LogDecision{Name: "wait", Reason: "permit", ID: r.id(), Upstream: limited[0].ID})
	}
	r.awaitsPermit = asking
	return asking
}

// permitWaiters returns the number of requests that wait for a permit.
func (m *Machine) permitWaiters() int {
	n := 0
	for _, r := range m.requests.byID {
		if r.stage == stageWaiting && r.awaitsPermit && !r.closed {
			n++
		}
	}
	return n
}

// refuseLimited refuses a request for which there is no permit.
func (m *Machine) refuseLimited(r *request, limited []*replicas.Replica) {
	wait := m.limits.permits.CallerWait(m.now, keyOf(limited[0]))
	for _, x := range limited[1:] {
		wait = min(wait, m.limits.permits.CallerWait(m.now, keyOf(x)))
	}
	m.refuse(r, core.Refuse(core.CodeOverloaded, max(wait, minRetryAfterLimited), "the replicas that could run it take no more requests a second"))
}

// placePermitWaiters places the requests again that wait for a permit after the granter had none, the
// most urgent first.
func (m *Machine) placePermitWaiters() {
	for m.limits.refused {
		m.limits.refused = false
		for _, r := range m.requests.waiting() {
			if r.awaitsPermit {
				m.place(r)
			}
		}
	}
}

// sendLimitReports sends the limits that have changed to the other hosts.
func (m *Machine) sendLimitReports() {
	if len(m.limits.unreported) == 0 || m.now < m.limits.reportDue {
		return
	}
	m.limits.reportDue = m.now.Add(limitReportInterval)
	reports := slices.Collect(maps.Values(m.limits.unreported))
	slices.SortFunc(reports, func(a, b intake.Evidence) int { return cmp.Compare(a.Key.Replica, b.Key.Replica) })
	clear(m.limits.unreported)
	m.tellAll(Message{Limits: reports})
}

// sendAllLimits sends what is known of all limited and cold replicas to a host.
func (m *Machine) sendAllLimits(to fleet.Registration) {
	named, cold := m.limits.known.All(m.now)
	if len(named)+len(cold) > 0 {
		m.send([]fleet.Registration{to}, Message{Limits: named, Cold: cold})
	}
}

// receiveLimits applies another host's evidence, and passes on what was unknown.
func (m *Machine) receiveLimits(from core.HostID, reports []intake.Evidence) {
	var unknown []intake.Evidence
	for _, e := range reports {
		if m.applyLimit(e, "reported by another host") {
			unknown = append(unknown, e)
		}
	}
	if len(unknown) > 0 {
		m.passOn(from, Message{Limits: unknown})
	}
}

// expireLimits forgets the limits and permits of incarnations that are gone.
func (m *Machine) expireLimits() {
	listed := func(k intake.Key) bool {
		x := m.replicas.Get(k.Replica)
		return x != nil && x.Started == k.Started
	}
	m.windows.Keep(listed)
	if !m.limits.known.Any() || !m.replicasRead {
		return
	}
	m.limits.known.Keep(listed)
	m.limits.permits.Keep(listed)
	m.limits.granter.Keep(listed)
	m.limits.granter.KeepCold(func(id core.UpstreamID) bool { return m.replicas.Get(id) != nil })
}
