package direct

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// State is what a host knows and has under way, for the metrics.
type State struct {
	Configuration    uint64        // version in force
	ConfigurationAge time.Duration // since it is in force
	StoreAge         time.Duration // since the store last answered; 0: it never did
	Active           bool          // callers are told of this host
	ActiveHosts      int           // that are heard, this one included where it is active
	Part             float64       // of the fleet that is heard
	PeerAge          time.Duration // of the oldest heartbeat of an active host
	Shards           int           // that this host orders the replicas of
	Waiting          int           // requests that wait for their adapters
	Replicas         []ReplicaState
	Workspaces       []WorkspaceState
	Retries          map[table.ServiceID]float64 // that may be made now, by service
	Routes           map[string]bool             // of the configuration
}

// ReplicaState is one replica as this host sees it.
type ReplicaState struct {
	ID       core.UpstreamID
	Mine     int           // requests of this host there
	Others   int           // of the other hosts
	ToldAge  time.Duration // since its owner last told what it holds; 0: never
	Failures float64       // lately, fading
}

// WorkspaceState is one workspace's rate as this host sees it.
type WorkspaceState struct {
	ID      core.WorkspaceID
	Level   int64 // tokens that are left, below zero: in debt
	Granted int64 // tokens that this host has admitted since its start
}

// State reads the machine.
func (m *Machine) State() State {
	s := State{
		Configuration: m.configVersion(),
		Active:        m.fleet.Active(),
		ActiveHosts:   len(m.fleet.Members(m.now)),
		Part:          m.fleet.Part(m.now),
		Retries:       map[table.ServiceID]float64{},
		Routes:        map[string]bool{},
	}
	if m.table != nil {
		s.ConfigurationAge = m.now.Sub(m.configuredAt)
		for _, r := range m.table.Routes {
			s.Routes[r.Name] = true
		}
	}
	if m.watch.answered != 0 {
		s.StoreAge = m.now.Sub(m.watch.answered)
	}
	for _, p := range m.fleet.ActivePeers() {
		s.PeerAge = max(s.PeerAge, m.fleet.Age(m.now, p.Host))
	}
	for i := range m.shards.Count() {
		if _, ok := m.shards.Acting(m.now, i); ok {
			s.Shards++
		}
	}
	for _, r := range m.requests.byID {
		if r.stage == stageWaiting && !r.over {
			s.Waiting++
		}
	}
	for _, x := range m.replicas.All() {
		s.Replicas = append(s.Replicas, ReplicaState{ID: x.ID, Mine: x.Mine, Others: x.Others, ToldAge: x.ToldAge(m.now), Failures: m.failureOf(x.ID)})
	}
	for id, granted := range m.quota.Mine() {
		level, _ := m.quota.Level(m.now, id)
		s.Workspaces = append(s.Workspaces, WorkspaceState{ID: id, Level: level, Granted: granted})
	}
	for id, b := range m.retries {
		s.Retries[id] = b.Left(m.now)
	}
	return s
}
