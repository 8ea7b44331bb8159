package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// State is a host's state, for the metrics.
type State struct {
	Configuration      uint64        // version in force
	ConfigurationAge   time.Duration // since it came into force
	StoreAge           time.Duration // since the store last answered; 0: it never did
	Active             bool          // this host is advertised to callers
	ActiveHosts        int           // reachable ones, this host included if it is active
	ReachableFraction  float64       // fraction of the fleet that is reachable
	OldestHeartbeatAge time.Duration // age of the oldest heartbeat among the active hosts
	Shards             int           // shards that this host owns
	Waiting            int           // requests that wait for their adapters
	Cold               int           // cold replicas
	Replicas           []ReplicaState
	Workspaces         []WorkspaceState
	Retries            map[table.ServiceID]float64 // available retries, by service
	Evacuation         *EvacuationState            // nil: evacuations are ignored
	Routes             map[string]bool             // names of the configured routes
}

// ReplicaState is the state of one replica on this host.
type ReplicaState struct {
	ID           core.UpstreamID
	Own          int           // requests of this host there
	Others       int           // requests of other hosts there
	ReportAge    time.Duration // since its owner last reported its residency; 0: never
	FailureScore float64       // decaying failure score
	ErrorShare   float64       // expected share of failures in its next answers
}

// WorkspaceState is the state of one workspace's bucket on this host.
type WorkspaceState struct {
	ID      core.WorkspaceID
	Level   int64   // tokens left; below zero: in debt
	Granted int64   // tokens that this host has admitted since its start
	Pace    int64   // tokens per second that this host admits while hosts pace themselves; 0: they don't
	Share   float64 // this host's share of the recent demand
}

// State returns the machine's state.
func (m *Machine) State() State {
	s := State{
		Configuration:     m.configVersion(),
		Active:            m.fleet.Active(),
		ActiveHosts:       len(m.fleet.Members(m.now)),
		ReachableFraction: m.fleet.ReachableFraction(m.now),
		Cold:              m.limits.known.ColdCount(m.now),
		Retries:           map[table.ServiceID]float64{},
		Routes:            map[string]bool{},
		Evacuation:        m.evacuationState(),
	}
	if m.table != nil {
		s.ConfigurationAge = m.now.Sub(m.configuration.since)
		for _, r := range m.table.Routes {
			s.Routes[r.Name] = true
		}
	}
	if m.watch.lastAnswer != 0 {
		s.StoreAge = m.now.Sub(m.watch.lastAnswer)
	}
	for _, p := range m.fleet.ActivePeers() {
		s.OldestHeartbeatAge = max(s.OldestHeartbeatAge, m.fleet.HeartbeatAge(m.now, p.Host))
	}
	for i := range m.shards.Count() {
		if _, ok := m.shards.OrderFence(m.now, i); ok {
			s.Shards++
		}
	}
	for _, r := range m.requests.byID {
		if r.stage == stageWaiting && !r.closed {
			s.Waiting++
		}
	}
	for _, x := range m.replicas.All() {
		s.Replicas = append(s.Replicas, ReplicaState{ID: x.ID, Own: x.OwnRequests, Others: x.OtherRequests, ReportAge: x.ReportAge(m.now), FailureScore: m.failureScore(x.ID), ErrorShare: m.errors.Assess(m.now, errorKey(x)).Share})
	}
	for id, granted := range m.quota.Admitted() {
		level, _ := m.quota.Level(m.now, id)
		pace, share, paced := m.quota.Pace(m.now, id)
		if !paced {
			pace = 0
		}
		s.Workspaces = append(s.Workspaces, WorkspaceState{ID: id, Level: level, Granted: granted, Pace: int64(pace), Share: share})
	}
	for id, b := range m.retries {
		s.Retries[id] = b.Available(m.now)
	}
	return s
}
