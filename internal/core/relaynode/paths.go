package relaynode

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/reach"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// A request goes to its replica directly, or, where this host's own path to the replica is blocked,
// over a connection that another host carries, its carrier. Everything else stays with the host
// that the caller has sent the request to: limits, permits, retries, the deadline and the answer. A
// carrier opens its connection itself: there is one hop at most.

const (
	// silenceTime is how long this host may hear nothing from any replica while requests are
	// unanswered, until it probes the paths to their replicas.
	silenceTime = 300 * time.Millisecond
	// maxSilenceProbes bounds these probes.
	maxSilenceProbes = 4
	// carriedWeight is added to the utilization of a replica that only other hosts reach.
	carriedWeight = 0.3
	// retryAfterUnreached is the Retry-After time of a request whose service no host reaches.
	retryAfterUnreached = time.Second
	// shardReleaseDelay is how long a host must be cut off until it releases its shards.
	shardReleaseDelay = 500 * time.Millisecond
	// shardReturnDelay is how long after the end of a cut it may own shards again.
	shardReturnDelay = 3 * time.Second
)

// pathState is what this host knows of its paths to replicas, and what it does about them.
type pathState struct {
	*reach.Paths
	carriedBy  map[core.HostID]int // requests that other hosts carry for this one
	carried    int                 // connections that this host carries for others
	cutOff     bool                // as last logged
	cutOffAt   core.Instant        // when this host was last cut off; 0: never
	releasedAt core.Instant        // since when it wants no shards; 0: it may own some
	probedAt   core.Instant        // when silence was last followed by probes
}

func newPathState(rng *core.Rand) pathState {
	return pathState{Paths: reach.New(rng), carriedBy: map[core.HostID]int{}}
}

// pathHeard applies that this host reaches a replica itself. opened is set for a new connection.
func (m *Machine) pathHeard(id core.UpstreamID, opened bool) {
	blocked := m.paths.Blocked(id)
	m.paths.Heard(m.now, id, opened)
	if !blocked || m.paths.Blocked(id) {
		return
	}
	m.emit(LogDecision{Name: "path", Reason: "open", Upstream: id})
	m.placementDue = true
	m.logCut(id)
}

// pathFailed applies that this host could not open a connection to a replica, since a time at which
// it had begun to.
func (m *Machine) pathFailed(begun core.Instant, id core.UpstreamID, how string) {
	blocked := m.paths.Blocked(id)
	m.paths.Failed(m.now, begun, id)
	if !blocked && m.paths.Blocked(id) {
		m.emit(LogDecision{Name: "path", Reason: "blocked", Upstream: id, Detail: how, Age: m.now.Sub(begun)})
	}
	m.logCut(id)
}

// logCut logs that this host begins or ceases to be cut off from all replicas, as shown by a replica.
func (m *Machine) logCut(shown core.UpstreamID) {
	age, cut := m.paths.CutOff(m.now)
	if cut {
		m.paths.cutOffAt = m.now
	}
	if cut == m.paths.cutOff {
		return
	}
	m.paths.cutOff = cut
	m.due.heartbeat = m.now // other hosts choose carriers by it
	if cut {
		silent := m.now.Sub(m.paths.HeardAt())
		m.emit(LogDecision{Name: "path", Reason: "cut_off", Upstream: shown, Detail: "last heard any replica " + strconv.FormatInt(silent.Milliseconds(), 10) + " ms ago", Age: age})
		return
	}
	m.emit(LogDecision{Name: "path", Reason: "reached", Upstream: shown})
}

// carriers returns the reachable hosts that may carry requests, by the number of those that they
// carry for this one.
func (m *Machine) carriers() []fleet.Registration {
	var all []fleet.Registration
	for _, name := range m.fleet.Members(m.now) {
		if p, ok := m.fleet.ByName(string(name)); ok {
			all = append(all, p)
		}
	}
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b fleet.Registration) int {
		return cmp.Compare(m.paths.carriedBy[a.Host], m.paths.carriedBy[b.Host])
	})
	return all
}

// carrierTo returns the first of several hosts that may reach a replica.
func (m *Machine) carrierTo(id core.UpstreamID, among []fleet.Registration) (core.Carrier, bool) {
	for _, p := range among {
		if m.paths.MayReach(m.now, p.Host, id) {
			return core.Carrier{Host: p.Host, Link: p.Link}, true
		}
	}
	return core.Carrier{}, false
}

// carrierFor returns the host that carries a request to a replica which is reached, the zero value
// for a direct path.
func (m *Machine) carrierFor(x *replicas.Replica) core.Carrier {
	if !m.paths.Blocked(x.ID) {
		return core.Carrier{}
	}
	carrier, _ := m.carrierTo(x.ID, m.carriers())
	return carrier
}

// reachable returns a function that reports whether this host or another one may reach a replica.
func (m *Machine) reachable() func(core.UpstreamID) bool {
	var carriers []fleet.Registration
	listed := false
	return func(id core.UpstreamID) bool {
		if !m.paths.Blocked(id) {
			return true
		}
		if !listed {
			carriers, listed = m.carriers(), true
		}
		_, ok := m.carrierTo(id, carriers)
		return ok
	}
}

// serviceUnreached reports whether a service has replicas, and no host reaches any of them.
func (m *Machine) serviceUnreached(service table.ServiceID) bool {
	reachable := m.reachable()
	known := false
	for _, x := range m.replicas.ByService(service) {
		if x.Unavailable() {
			continue
		}
		if reachable(x.ID) {
			return false
		}
		known = true
	}
	return known
}

// refuseUnreached refuses a request whose service no host reaches.
func (m *Machine) refuseUnreached(r *request) {
	m.refuse(r, core.Refuse(core.CodeNoUpstream, retryAfterUnreached, "no host reaches a replica of the service"))
}

// ownerReaches reports whether the owner of a replica's shard may reach it, so that adapters can be
// loaded there.
func (m *Machine) ownerReaches(id core.UpstreamID) bool {
	owner := m.shards.Owner(m.shards.Of(id))
	if owner == core.HostID(m.settings.Self.Name) {
		return !m.paths.Blocked(id)
	}
	p, ok := m.fleet.ByName(string(owner))
	return !ok || m.paths.MayReach(m.now, p.Host, id)
}

// observePath learns from the end of an attempt about the path that it took.
func (m *Machine) observePath(r *request, e *AttemptEnded) {
	if r.carrier != (core.Carrier{}) {
		m.observeCarrier(r, e)
		return
	}
	switch e.Kind {
	case EndOK, EndError, EndNotRun, EndAdapterMissing:
		if e.Answer.Status != 0 {
			m.pathHeard(r.upstream, !e.Answer.Kept)
		}
	case EndNotReached:
		m.pathFailed(r.stageSince, r.upstream, unreachedHow(e.Refused))
	}
}

func unreachedHow(refused bool) string {
	if refused {
		return "a connection was refused"
	}
	return "no connection could be opened"
}

// observeCarrier learns from the end of an attempt that another host carried.
func (m *Machine) observeCarrier(r *request, e *AttemptEnded) {
	host := r.carrier.Host
	m.paths.carriedBy[host]--
	if m.paths.carriedBy[host] <= 0 {
		delete(m.paths.carriedBy, host)
	}
	switch {
	case e.Kind == EndNotReached && e.CarrierLost:
		m.paths.CarrierFailed(m.now, host, "")
	case e.Kind == EndNotReached:
		m.paths.CarrierFailed(m.now, host, r.upstream)
	}
}

// handlePathProbed applies the result of a probe.
func (m *Machine) handlePathProbed(e PathProbed) {
	if e.OK {
		m.pathHeard(e.Replica, true)
		return
	}
	m.pathFailed(e.Begun, e.Replica, "a probe failed")
}

// probePaths probes blocked paths, and those of requests that are unanswered while nothing is heard.
func (m *Machine) probePaths() {
	m.probeSilent()
	if !m.paths.Troubled() {
		return
	}
	var all []core.UpstreamID
	for _, x := range m.replicas.All() {
		if !x.Unavailable() {
			all = append(all, x.ID)
		}
	}
	for _, id := range m.paths.Probes(m.now, all) {
		m.probe(id)
	}
}

func (m *Machine) probe(id core.UpstreamID) {
	if x := m.replicas.Get(id); x != nil {
		m.emit(ProbePath{Replica: id, Address: x.Address, Begun: m.now})
	}
}

// probeSilent probes the paths to several replicas that have not answered, if nothing has been heard
// from any replica for silenceTime.
func (m *Machine) probeSilent() {
	if m.now.Sub(m.paths.HeardAt()) < silenceTime || m.now.Sub(m.paths.probedAt) < silenceTime {
		return
	}
	silent := map[core.UpstreamID]bool{}
	for _, r := range m.requests.byID {
		direct := r.stage == stageRunning && r.carrier == (core.Carrier{})
		if direct && !r.answerStarted && m.now.Sub(r.stageSince) >= silenceTime && !m.paths.Blocked(r.upstream) {
			silent[r.upstream] = true
		}
	}
	if len(silent) < 2 {
		return
	}
	m.paths.probedAt = m.now
	ids := make([]core.UpstreamID, 0, len(silent))
	for id := range silent {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), maxSilenceProbes)] {
		if m.paths.BeginProbe(m.now, id) {
			m.probe(id)
		}
	}
}

// yieldShards releases this host's shards while it is cut off from all replicas and another host
// isn't, which can order them.
func (m *Machine) yieldShards() {
	if m.paths.cutOffAt != 0 {
		m.logCut("")
	}
	age, cut := m.paths.CutOff(m.now)
	switch {
	case cut && age >= shardReleaseDelay && m.paths.releasedAt == 0 && m.successorReaches():
		m.paths.releasedAt = m.now
		m.shards.SetCutOff(true)
		m.emit(LogDecision{Name: "shard", Reason: "yielded", Age: age})
	case !cut && m.paths.releasedAt != 0 && m.now.Sub(m.paths.cutOffAt) >= shardReturnDelay:
		m.paths.releasedAt = 0
		m.shards.SetCutOff(false)
	}
}

// successorReaches reports whether another host that may own shards doesn't say that it is cut off.
func (m *Machine) successorReaches() bool {
	return slices.ContainsFunc(m.carriers(), func(p fleet.Registration) bool { return !m.paths.IsCutOff(m.now, p.Host) })
}

// MayCarry reports whether this host opens a connection to a replica for another host.
func (m *Machine) MayCarry(id core.UpstreamID, address string) bool {
	x := m.replicas.Get(id)
	if x == nil || x.Address != address || m.leavingSince != 0 {
		return false
	}
	return !x.Unavailable() && x.Pause(m.now) == 0 && !m.paths.Blocked(id)
}

// handleCarryDialled applies how the dial for another host's connection has ended.
func (m *Machine) handleCarryDialled(e CarryDialled) {
	if e.OK {
		m.paths.carried++
		m.pathHeard(e.Replica, true)
		m.emit(LogDecision{Name: "carry", Reason: "begun", Upstream: e.Replica, Request: e.Request, Detail: "for " + string(e.For)})
		return
	}
	m.pathFailed(e.Begun, e.Replica, unreachedHow(e.Refused))
}

// RefusalCounts reports whether a refused connection to a replica shows that its process has ended:
// this host must have heard another replica lately, as it may be cut off itself.
func (m *Machine) RefusalCounts(id core.UpstreamID) bool {
	return m.paths.HeardOther(id, m.now.Add(-time.Second))
}
