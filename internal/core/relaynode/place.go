package relaynode

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

const (
	// maxWaitObjectives is how long a request may wait for its adapter, in objectives of
	// its route.
	maxWaitObjectives = 3
	// minAdapterWait is the lower bound of that time.
	minAdapterWait = 1500 * time.Millisecond
	// minAdapterTime is the least time from the demand for an adapter that no replica has to the first event of
	// a request that waits for it: a fetch from the weight store and the reading of the prompt. A request
	// with less time left is refused at once.
	minAdapterTime = residency.FetchLoadTime + dispatchToFirstEvent
	// noOwnerTimeout is how long a request waits while no replica that could load its
	// adapter has a reachable owner.
	noOwnerTimeout = 300 * time.Millisecond
	// downTime is how long a replica at whose address nothing listens gets nothing.
	downTime = time.Second
	// saturationThreshold is the utilization from which a replica is sent no more
	// requests.
	saturationThreshold = 1.6
)

// place sends a request to a replica, lets it wait for its adapter or refuses it.
func (m *Machine) place(r *request) {
	if m.refuseBlocked(r) {
		return
	}
	r.awaitsCopy = false
	c := m.candidates(r)
	if len(c.usable) > 0 {
		m.placeAtBest(r, c)
		return
	}
	m.waitOrRefuse(r, c)
}

// placeAtBest sends a request to the best of its usable replicas, unless it should wait for a copy of
// its adapter or can't meet its deadline.
func (m *Machine) placeAtBest(r *request, c candidates) {
	best := m.choose(r, c.usable)
	if m.awaitBetterCopy(r, best) || m.refuseBeyondDeadline(r, c) {
		return
	}
	m.demandNewerVersion(r, best)
	m.demandCopy(r, best)
	m.beginTrial(r)
	m.dispatch(r, best)
	m.askForLater(c.limited)
}

// waitOrRefuse handles a request that no replica can run now: it waits for a permit, for room, for a
// copy or for its adapter, or is refused with the most specific cause.
func (m *Machine) waitOrRefuse(r *request, c candidates) {
	if len(c.limited) > 0 && m.awaitPermit(r, c.limited) {
		return
	}
	if pause, all := m.servicePause(r.service.ID); all {
		m.refusePaused(r, pause)
		return
	}
	if m.refuseEvacuated(r) {
		return
	}
	if c.roomless && !m.canLoadElsewhere(r) {
		if !m.awaitRoom(r) {
			m.refuseRoomless(r)
		}
		return
	}
	if c.saturated && m.awaitCopy(r) {
		return
	}
	if c.saturated {
		m.refuse(r, core.Refuse(core.CodeOverloaded, retryAfterSaturated, "every replica that could run it is full"))
		return
	}
	if m.serviceUnreached(r.service.ID) {
		m.refuseUnreached(r)
		return
	}
	if len(c.limited) > 0 && !m.canLoadElsewhere(r) {
		m.refuseLimited(r, c.limited)
		return
	}
	if !r.usesAdapter() {
		m.refuseNoReplica(r)
		return
	}
	if r.software != 0 && len(m.preferredReplicas(r)) == 0 {
		m.refuse(r, core.Refuse(core.CodeNoUpstream, retryAfterSaturated, "no replica has the software version at which the stream began"))
		return
	}
	if r.attempt == 0 && r.deadline.Sub(m.now) < minAdapterTime {
		m.refuse(r, core.Refuse(core.CodeNoUpstream, retryAfterSaturated, "its adapter can't be loaded before its deadline"))
		return
	}
	m.beginAdapterWait(r)
	m.demandAdapter(r)
}

// beginAdapterWait lets a request wait for its adapter.
func (m *Machine) beginAdapterWait(r *request) {
	if r.stage != stageWaiting {
		r.stage, r.stageSince = stageWaiting, m.now
		m.emit(LogDecision{Name: "wait", Reason: "adapter", ID: r.id(), Detail: string(r.arrival.Adapter)})
	}
}

// refuseNoReplica refuses a request that no replica can run now.
func (m *Machine) refuseNoReplica(r *request) {
	m.refuse(r, core.Refuse(core.CodeNoUpstream, retryAfterSaturated, "no replica can run it now"))
}

// candidates are the replicas that could run a request.
type candidates struct {
	usable    []*replicas.Replica // it can be sent to them now
	limited   []*replicas.Replica // it could, with a permit
	roomless  bool                // others were left out because they are brittle and have no room
	saturated bool                // others were left out because they are saturated
}

// candidates returns the replicas that could run a request: those that the platform's list
// confirms or, if there are none, the others. None of them is down or evacuated.
func (m *Machine) candidates(r *request) candidates {
	var c candidates
	var unconfirmed []*replicas.Replica
	reachable := m.reachable()
	for _, x := range m.replicas.ByService(r.service.ID) {
		switch {
		case x.Unavailable() || x.Down(m.now) || x.Pause(m.now) > 0 || m.evacuated(x) || !m.canRun(r, x) || !reachable(x.ID):
		case m.saturated(r, x):
			c.saturated = true
		case !m.hasRoom(x):
			c.roomless = true
		case m.needsPermit(x):
			c.limited = append(c.limited, x)
		case x.Unconfirmed():
			unconfirmed = append(unconfirmed, x)
		default:
			c.usable = append(c.usable, x)
		}
	}
	if len(c.usable) == 0 {
		c.usable = unconfirmed
	}
	return c
}

// saturated reports whether a replica has so many requests that it is sent no more.
func (m *Machine) saturated(r *request, x *replicas.Replica) bool {
	full := x.Occupancy() >= saturationThreshold || x.Rejects(m.now)
	return r.service.Engine != nil && full && r.software == 0
}

// canLoadElsewhere reports whether a request's adapter can be loaded on a replica that isn't
// limited.
func (m *Machine) canLoadElsewhere(r *request) bool {
	if r.arrival.Adapter == "" || r.service.Engine == nil {
		return false
	}
	return slices.ContainsFunc(m.preferredReplicas(r), func(x *replicas.Replica) bool { return !m.limited(x) && !m.brittle(x) })
}

// canRun reports whether a replica has loaded what a request needs, at a version
// that may still be used, and has the software that a stream must go on at.
func (m *Machine) canRun(r *request, x *replicas.Replica) bool {
	if !r.mayGoOnAt(x) || !m.mayBeginAt(r, x) {
		return false
	}
	if r.service.Engine == nil || r.arrival.Model == "" {
		return true
	}
	if !x.HasModel(r.arrival.Model) {
		return false
	}
	if r.arrival.Adapter == "" {
		return true
	}
	version, ok := x.AdapterVersion(r.arrival.Adapter)
	return ok && version >= m.minVersion(r.arrival.Adapter) && m.beginsInTime(r, x, version)
}

// choose returns the replica with the lowest cost for a request (score.go).
func (m *Machine) choose(r *request, from []*replicas.Replica) *replicas.Replica {
	if x := m.errorProbe(r, from); x != nil {
		return x
	}
	s := m.newScorer(r)
	first := m.rng.IntN(len(from)) // ties are broken evenly
	best, lowest := from[first], s.score(from[first])
	for i := 1; i < len(from); i++ {
		x := from[(first+i)%len(from)]
		if cost := s.score(x); cost < lowest {
			best, lowest = x, cost
		}
	}
	return best
}

// placeWaiting places the waiting requests that can run now, the most urgent first, if a
// replica may have become usable. Invariant: it isn't called while a request is being placed;
// placing one makes demands, which can change replicas again. Each repetition follows a
// request that was sent, so that they end.
func (m *Machine) placeWaiting() {
	for m.placementDue {
		m.placementDue = false
		for _, r := range m.requests.waiting() {
			if len(m.candidates(r).usable) > 0 {
				m.place(r)
			}
		}
	}
}

// dispatch sends an attempt of a request to a replica.
func (m *Machine) dispatch(r *request, x *replicas.Replica) {
	r.attempt++
	r.carrier = m.carrierFor(x)
	if r.carrier != (core.Carrier{}) {
		m.paths.carriedBy[r.carrier.Host]++
	}
	r.upstream, r.upstreamStarted = x.ID, x.Started
	r.version, _ = x.AdapterVersion(r.arrival.Adapter)
	r.sentSoftware = softwareOf(x)
	r.stage, r.stageSince = stageRunning, m.now
	r.answerStarted, r.moving = false, false
	r.awaitsPermit, r.awaitsRoom = false, false
	x.OwnRequests++
	x.Recent.Add(m.now, 1, recentHalfLife)
	m.usePermit(r, x)
	m.recordEvacuatedSend(x)
	m.countPrompt(r, x)
	m.countUse(r, x)
	if r.attempt == 1 {
		m.retryBudget(r.service.ID).RecordAttempt(m.now)
	}
	m.emit(LogDecision{Name: "dispatch", Reason: "least_occupied", ID: r.id(), Upstream: x.ID, Age: m.now.Sub(r.arrivedAt), Detail: m.dispatchDetail(r, x)})
	m.emit(Dispatch{
		ID:              r.id(),
		Attempt:         r.attempt,
		Upstream:        x.ID,
		Address:         x.Address,
		Carrier:         r.carrier,
		Workspace:       r.workspaceID(),
		TimeLeft:        r.deadline.Sub(m.now),
		ExpectedVersion: m.expectedVersion(r, x),
		LastEvent:       r.lastEvent,
		OwesEvent:       r.owesEvent,
		NonRepeatable:   !r.route.Repeatable(),
		Confirmable:     r.service.Engine != nil,
		Incarnation:     m.requiredIncarnation(r, x),
		Limited:         m.limited(x) || m.brittle(x),
		Priority:        r.priorityAtReplica(),
	})
}

// dispatchDetail describes a dispatch for the log.
func (m *Machine) dispatchDetail(r *request, x *replicas.Replica) string {
	text := "load " + utoa(uint64(x.Load()))
	if p := r.predicted; p.FirstEvent > 0 {
		text += ", first event in " + utoa(uint64(p.FirstEvent.Milliseconds())) + " ms, pause " + utoa(uint64(p.Pause.Milliseconds())) + " ms"
	}
	switch {
	case r.partDelivered:
		text += ", goes on at " + string(x.Software)
	case r.lastEvent != "":
		text += ", goes on from " + r.arrival.Resumes + " at " + string(x.Software)
	}
	if r.carrier != (core.Carrier{}) {
		text += ", over " + string(r.carrier.Host)
	}
	newest := m.versions[r.arrival.Adapter].newest()
	if newest == 0 {
		return text
	}
	version, _ := x.AdapterVersion(r.arrival.Adapter)
	return text + ", version " + strconv.Itoa(version) + " of " + strconv.Itoa(newest) + ", expected " + strconv.Itoa(m.expectedVersion(r, x))
}

// expectedVersion returns the adapter version that the replica must confirm; 0: any. One
// that is thought to have the newest must confirm it, as requests are not withdrawn from it.
func (m *Machine) expectedVersion(r *request, x *replicas.Replica) int {
	version, _ := x.AdapterVersion(r.arrival.Adapter)
	newest := m.versions[r.arrival.Adapter].newest()
	if newest > 0 && (version == newest || m.minVersion(r.arrival.Adapter) > 0) {
		return version
	}
	return 0
}

func (r *request) workspaceID() core.WorkspaceID {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.ID
}
