package relaynode

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// The cost of a replica for a request. Its unit is the route's objective: a first event that takes
// the whole objective costs 1, and so does a full batch. The lowest cost wins.

// Weights of the costs.
const (
	failureWeight      = 3.0  // factor of the failure score
	remoteDomainWeight = 0.08 // added for a replica in a remote failure domain
	// memoryWeight is added where the replica's promised memory would be exceeded: it would preempt
	// requests, which then start again. More than a late first event, less than a failed attempt.
	memoryWeight       = 5.0
	triedWeight        = 10.0 // added where the request has already failed
	olderVersionWeight = 1.0  // added where the adapter is of an older version
	// recentHalfLife is that of the requests sent to a replica by which those of the other hosts are
	// estimated: about the time from a dispatch until the other hosts have heard of it.
	recentHalfLife = 100 * time.Millisecond
	// unseenFraction is the part of its own recent requests to a replica that a host expects of each
	// other host.
	unseenFraction = 0.3
	// latenessWeight is added for each objective by which the first event is late: a late one
	// loses a part of its benefit, an earlier one gains none.
	latenessWeight = 2.0
	// pauseWeight is added where all places of a replica are streams that miss their gap. They
	// lose as much as requests whose first events are late.
	pauseWeight = 2.0
)

// scorer computes the costs of replicas for one request.
type scorer struct {
	m              *Machine
	r              *request
	model          *replicamodel.Service // nil: a plain service
	gap            time.Duration         // that the streams of the service may have; 0: any
	peers          float64               // active hosts besides this one
	capacity, peak core.Tokens           // of an engine's memory, and that the request will hold; 0: not known
	newest         int                   // version of the adapter
}

func (m *Machine) newScorer(r *request) scorer {
	s := scorer{m: m, r: r, newest: m.versions[r.arrival.Adapter].newest()}
	if r.service.Engine != nil {
		s.peers = float64(max(m.fleet.ActiveHosts()-1, 0))
		s.capacity, s.peak = r.service.Engine.KVCapacity, m.estimate(r).Peak
		s.model, s.gap = m.model(r.service.ID), m.gapOf(r.service.ID)
	}
	return s
}

// gapOf returns the least gap between events that routes to a service allow; 0: any.
func (m *Machine) gapOf(id table.ServiceID) (gap time.Duration) {
	for i := range m.table.Routes {
		route := &m.table.Routes[i]
		leads := slices.ContainsFunc(route.Targets, func(t table.Target) bool { return t.Service == id })
		if leads && route.MaxEventGap > 0 && (gap == 0 || route.MaxEventGap < gap) {
			gap = route.MaxEventGap
		}
	}
	return gap
}

// score returns the cost of a replica.
func (s *scorer) score(x *replicas.Replica) float64 {
	p := replicamodel.Prediction{Factor: 1}
	if s.model != nil {
		p = s.model.Predict(s.m.now, &x.Slowness, loadWith(x, s.r.arrival.Prompt))
	}
	cost := occupancyCost(x, p) + s.unseenCost(x) + firstEventCost(p, s.r.route.LatencyTarget) + pauseCost(x, p, s.gap)
	cost *= 1 + failureWeight*s.m.failureScore(x.ID)
	cost /= s.m.startShare(x)
	return cost + s.m.errorCost(s.r, x) + s.memoryCost(x) + s.domainCost(x) + s.pathCost(x) + s.triedCost(x) + s.versionCost(x)
}

// occupancyCost is the part of the replica's places that are taken with the request. Those of a
// slower replica count for more.
func occupancyCost(x *replicas.Replica, p replicamodel.Prediction) float64 {
	return float64(x.Load()+1) / float64(max(x.Batch, 1)) * p.Factor
}

// unseenCost is the part of a replica's places that the other hosts are taken to have used since
// their last reports. They know the same and choose alike: without it, all hosts send their requests
// to the replica that was the emptiest at the last heartbeats.
func (s *scorer) unseenCost(x *replicas.Replica) float64 {
	if s.peers == 0 || x.Recent.Value == 0 {
		return 0
	}
	unseen := x.Recent.Now(s.m.now, recentHalfLife) * s.peers * unseenFraction
	return unseen / float64(max(x.Batch, 1))
}

// firstEventCost is the predicted time of the first event against the route's objective.
func firstEventCost(p replicamodel.Prediction, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	objectives := p.FirstEvent.Seconds() / objective.Seconds()
	return objectives + latenessWeight*max(objectives-1, 0)
}

// pauseCost is by how much the replica's streams miss their gap while it reads the queued prompts,
// weighted by how many there are.
func pauseCost(x *replicas.Replica, p replicamodel.Prediction, gap time.Duration) float64 {
	if gap <= 0 || p.Pause <= gap {
		return 0
	}
	missed := min(p.Pause.Seconds()/gap.Seconds()-1, 1)
	return pauseWeight * missed * float64(x.Load()+1) / float64(max(x.Batch, 1))
}

// missesTarget reports whether a request is predicted to be late at a replica, or to make the
// streams there miss their gap.
func (s *scorer) missesTarget(x *replicas.Replica) bool {
	p := s.model.Predict(s.m.now, &x.Slowness, loadWith(x, s.r.arrival.Prompt))
	return s.late(x) || s.gap > 0 && p.Pause > s.gap
}

// late reports whether a request's first event is predicted to be late at a replica.
func (s *scorer) late(x *replicas.Replica) bool {
	objective := s.r.route.LatencyTarget
	return objective > 0 && s.m.promptDelay(x, s.r.arrival.Prompt) > objective
}

// memoryCost is that of a request which doesn't fit into what the replica's memory has left.
func (s *scorer) memoryCost(x *replicas.Replica) float64 {
	if s.capacity > 0 && x.Promised()+s.peak > s.capacity {
		return memoryWeight
	}
	return 0
}

func (s *scorer) domainCost(x *replicas.Replica) float64 {
	if x.Domain != s.m.settings.Self.Domain {
		return remoteDomainWeight
	}
	return 0
}

func (s *scorer) pathCost(x *replicas.Replica) float64 {
	if s.m.paths.Blocked(x.ID) {
		return carriedWeight
	}
	return 0
}

func (s *scorer) triedCost(x *replicas.Replica) float64 {
	if slices.Contains(s.r.tried, x.ID) {
		return triedWeight
	}
	return 0
}

func (s *scorer) versionCost(x *replicas.Replica) float64 {
	if version, ok := x.AdapterVersion(s.r.arrival.Adapter); ok && version < s.newest {
		return olderVersionWeight
	}
	return 0
}

// promptPressure is how long the first event of a request with more prompt tokens takes at a
// replica, as a fraction of the route's objective.
func (m *Machine) promptPressure(r *request, x *replicas.Replica, more core.Tokens) float64 {
	if r.service.Engine == nil || r.route.LatencyTarget <= 0 {
		return 0
	}
	return m.promptDelay(x, more).Seconds() / r.route.LatencyTarget.Seconds()
}

// utilization is the higher one of a replica's occupancy and the pressure of the prompts
// queued at it.
func (m *Machine) utilization(r *request, x *replicas.Replica) float64 {
	return max(x.Occupancy(), m.promptPressure(r, x, 0))
}
