package direct

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

const (
	// homeKind separates the scores of adapters' homes from those of other things.
	homeKind = 23
	// askAgain is how long after asking for an adapter it is asked for again.
	askAgain = 400 * time.Millisecond
	// beginTime is what a request needs from its dispatch to its first event.
	beginTime = 60 * time.Millisecond
	// waitObjectives is how long a request waits for its adapter at most, in
	// objectives of its route.
	waitObjectives = 3
	// waitLeast is the least of such a wait.
	waitLeast = 1500 * time.Millisecond
	// unaskedFor is how long a request waits while nobody orders any replica that
	// could load its adapter.
	unaskedFor = 300 * time.Millisecond
	// crowded is the occupancy of the least busy holder from which a further
	// replica is asked to hold an adapter.
	crowded = 0.6
	// copyEvery is how often a further copy of an adapter is asked for.
	copyEvery = time.Second
	// fullAt is the occupancy from which a replica is sent nothing more.
	fullAt = 1.6
)

// Weights of the choice between replicas.
const (
	failureWeight = 3.0  // of the failures at a replica, against its occupancy
	abroadWeight  = 0.08 // added occupancy of a replica in another failure domain
	triedWeight   = 10.0 // added where the request has already failed
	olderWeight   = 1.0  // added where the adapter is of an older version
)

// place sends a request to a replica, or lets it wait for its adapter.
func (m *Machine) place(r *request) {
	holders, full := m.candidates(r)
	if len(holders) > 0 {
		best := m.choose(r, holders)
		m.askNewer(r, best)
		m.spread(r, best)
		m.dispatch(r, best)
		return
	}
	if full {
		m.refuse(r, core.Refuse(core.CodeOverloaded, retryNoRoom, "every replica that could run it is full"))
		return
	}
	if r.arrive.Adapter == "" || r.service.Engine == nil {
		m.noReplica(r)
		return
	}
	if r.stage != stageWaiting {
		r.stage, r.since = stageWaiting, m.now
		m.emit(Note{Name: "wait", Reason: "adapter", ID: r.id(), Detail: string(r.arrive.Adapter)})
	}
	m.ask(r)
}

// noReplica ends a request that no replica can run now.
func (m *Machine) noReplica(r *request) {
	m.refuse(r, core.Refuse(core.CodeNoUpstream, retryNoRoom, "no replica can run it now"))
}

// candidates are the replicas that could run a request now; full tells that
// there are some, but without room.
func (m *Machine) candidates(r *request) (usable []*replicas.Replica, full bool) {
	for _, x := range m.replicas.Of(r.service.ID) {
		if x.Leaving || !m.holds(r, x) {
			continue
		}
		if r.service.Engine != nil && x.Occupancy() >= fullAt {
			full = true
			continue
		}
		usable = append(usable, x)
	}
	return usable, full
}

// holds reports whether a replica has what a request needs, at a version that
// may still be used.
func (m *Machine) holds(r *request, x *replicas.Replica) bool {
	if r.service.Engine == nil || r.arrive.Model == "" {
		return true
	}
	if !x.HoldsModel(r.arrive.Model) {
		return false
	}
	if r.arrive.Adapter == "" {
		return true
	}
	version, ok := x.Holds(r.arrive.Adapter)
	return ok && version >= m.leastVersion(r.arrive.Adapter)
}

// leastVersion is the oldest version of an adapter that a request may run on.
func (m *Machine) leastVersion(a core.AdapterID) int {
	v, ok := m.versions[a]
	if !ok || m.now.Sub(v.at) < m.settings.VersionGrace {
		return 0
	}
	return v.version
}

// choose picks the replica with the most room, those that fail or lie in
// another failure domain coming later.
func (m *Machine) choose(r *request, from []*replicas.Replica) *replicas.Replica {
	score := func(x *replicas.Replica) float64 {
		s := (float64(x.Load()) + 1) / float64(max(x.Batch, 1))
		s *= 1 + failureWeight*m.failureOf(x.ID)
		if x.Domain != m.settings.Self.Domain {
			s += abroadWeight
		}
		if slices.Contains(r.tried, x.ID) {
			s += triedWeight
		}
		if version, ok := x.Holds(r.arrive.Adapter); ok && version < m.versions[r.arrive.Adapter].version {
			s += olderWeight
		}
		return s
	}
	first := m.rng.IntN(len(from)) // ties are broken evenly
	best, least := from[first], score(from[first])
	for i := 1; i < len(from); i++ {
		x := from[(first+i)%len(from)]
		if s := score(x); s < least {
			best, least = x, s
		}
	}
	return best
}

// homes are the replicas that should hold an adapter, the first one first. The
// order stays the same as long as the replicas do.
func (m *Machine) homes(r *request) []*replicas.Replica {
	type scored struct {
		*replicas.Replica
		score uint64
	}
	name := string(r.arrive.Adapter)
	var all []scored
	for _, x := range m.replicas.Of(r.service.ID) {
		if !x.Leaving && x.HoldsModel(r.arrive.Model) {
			all = append(all, scored{x, core.Score(core.HostID(x.ID), homeKind, name)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	homes := make([]*replicas.Replica, len(all))
	for i, x := range all {
		homes[i] = x.Replica
	}
	return homes
}

// ask asks the owner of the home of the request's adapter to load it: of the
// first that somebody orders now.
func (m *Machine) ask(r *request) {
	if r.asked != 0 && m.now.Sub(r.asked) < askAgain {
		return
	}
	if m.askHomes(r) {
		r.asked = m.now
	}
}

// askHomes asks at the first home that somebody orders now; false where nobody
// orders any. One that holds an
// older version takes the new one only once the old one is not in use: the next
// home is asked as well.
func (m *Machine) askHomes(r *request) (asked bool) {
	for _, x := range m.homes(r) {
		_, older := x.Holds(r.arrive.Adapter)
		if !m.want(r, x) {
			continue
		}
		asked = true
		if !older {
			return true
		}
	}
	return asked
}

// askNewer asks for an adapter's newest version while an older one still serves.
func (m *Machine) askNewer(r *request, x *replicas.Replica) {
	a := r.arrive.Adapter
	version, ok := x.Holds(a)
	if !ok || version >= m.versions[a].version || m.copies[a] != 0 && m.now.Sub(m.copies[a]) < askAgain {
		return
	}
	m.copies[a] = m.now
	m.askHomes(r)
}

// want tells the host that orders a replica that an adapter is wanted there. It
// returns false where nobody orders the replica now.
func (m *Machine) want(r *request, x *replicas.Replica) bool {
	w := residency.Demand{
		Replica: x.ID,
		Model:   r.arrive.Model,
		Adapter: core.AdapterRef{ID: r.arrive.Adapter, Version: m.versions[r.arrive.Adapter].version},
		Weight:  m.waitingFor(r.arrive.Adapter),
		Left:    r.came.Add(r.route.Objective).Sub(m.now) - beginTime,
	}
	if _, ok := m.acting(x.ID); ok {
		m.residency.Demanded(m.now, w)
		m.order()
		return true
	}
	return m.tellOwner(x.ID, Message{Demands: []residency.Demand{w}})
}

// waitingFor is how many requests of this host wait for an adapter.
func (m *Machine) waitingFor(a core.AdapterID) int {
	n := 0
	for _, r := range m.requests.byID {
		if r.stage == stageWaiting && r.arrive.Adapter == a {
			n++
		}
	}
	return max(n, 1)
}

// spread asks for a further copy of an adapter whose holders are busy.
func (m *Machine) spread(r *request, best *replicas.Replica) {
	a := r.arrive.Adapter
	if a == "" || r.service.Engine == nil || best.Occupancy() < crowded || m.now.Sub(m.copies[a]) < copyEvery && m.copies[a] != 0 {
		return
	}
	m.copies[a] = m.now
	for _, x := range m.homes(r) {
		if _, ok := x.Holds(a); ok || x.Occupancy() > best.Occupancy()/2 {
			continue
		}
		m.want(r, x)
		return
	}
}

// placeWaiting tries the waiting requests again, the most urgent first.
func (m *Machine) placeWaiting() {
	for _, r := range m.requests.waiting() {
		if holders, _ := m.candidates(r); len(holders) > 0 {
			m.place(r)
		}
	}
}

// dispatch sends an attempt.
func (m *Machine) dispatch(r *request, x *replicas.Replica) {
	r.attempt++
	r.upstream = x.ID
	r.stage, r.since = stageRunning, m.now
	r.begun, r.moving = false, false
	x.Mine++
	m.sent(r, x)
	if r.attempt == 1 {
		m.budget(r.service.ID).First(m.now)
	}
	m.emit(Note{Name: "dispatch", Reason: "least_occupied", ID: r.id(), Upstream: x.ID, Age: m.now.Sub(r.came), Detail: "load " + utoa(uint64(x.Load()))})
	m.emit(Dispatch{
		ID:        r.id(),
		Attempt:   r.attempt,
		Upstream:  x.ID,
		Address:   x.Address,
		Workspace: r.workspaceID(),
		Left:      r.deadline.Sub(m.now),
		Version:   m.expected(r),
		LastEvent: r.last,
		Once:      !r.route.Repeatable(),
		Priority:  r.route.Priority,
	})
}

// expected is the adapter version that the replica must confirm, 0 for any.
func (m *Machine) expected(r *request) int {
	if r.arrive.Adapter == "" {
		return 0
	}
	return m.leastVersion(r.arrive.Adapter)
}

func (r *request) workspaceID() core.WorkspaceID {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.ID
}
