package direct

import (
	"cmp"
	"maps"
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// tellAll sends a message to all hosts that may be there.
func (m *Machine) tellAll(message Message) {
	m.send(m.fleet.Peers(m.now), message)
}

// tellOwner sends a message to the host that orders a replica. It returns false
// where there is none that was heard lately.
func (m *Machine) tellOwner(replica core.UpstreamID, message Message) bool {
	holder := m.shards.Holder(m.shards.Of(replica))
	if holder == "" || holder == core.HostID(m.settings.Self.Name) {
		return false
	}
	p, ok := m.fleet.Named(string(holder))
	if !ok || !m.fleet.Alive(m.now, p.Host) {
		return false
	}
	m.emit(ToPeers{To: []fleet.Registration{p}, Message: message})
	return true
}

func (m *Machine) ownLoads() []Load {
	var loads []Load
	for _, x := range m.replicas.All() {
		if x.Mine > 0 {
			loads = append(loads, Load{Replica: core.Short(string(x.ID)), Running: x.Mine})
		}
	}
	return loads
}

// forgetLoads drops what hosts told that are silent now.
func (m *Machine) forgetLoads() {
	for h := range m.loads {
		if !m.fleet.Alive(m.now, h) {
			m.takeLoads(h, nil)
		}
	}
}

// takeLoads puts what a host has at the replicas in the place of what it had.
func (m *Machine) takeLoads(from core.HostID, loads []Load) {
	for _, l := range m.loads[from] {
		if x := m.replicas.Short(l.Replica); x != nil {
			x.Others = max(x.Others-l.Running, 0)
		}
	}
	for _, l := range loads {
		if x := m.replicas.Short(l.Replica); x != nil {
			x.Others += l.Running
		}
	}
	if loads == nil {
		delete(m.loads, from)
		return
	}
	m.loads[from] = loads
}

// tellUses tells the hosts that order replicas which adapters are in use there.
func (m *Machine) tellUses() {
	byShard := map[int][]residency.Use{}
	for _, u := range m.uses() {
		if _, ok := m.acting(u.Replica); ok {
			m.residency.Used(m.now, core.HostID(m.settings.Self.Name), u)
			continue
		}
		shard := m.shards.Of(u.Replica)
		byShard[shard] = append(byShard[shard], u)
	}
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		uses := byShard[shard]
		m.tellOwner(uses[0].Replica, Message{Uses: uses})
	}
}

// use is an adapter at a replica.
type use struct {
	replica core.UpstreamID
	adapter core.AdapterID
}

// sent counts a request for its adapter's popularity.
func (m *Machine) sent(r *request, x *replicas.Replica) {
	if r.arrive.Adapter != "" {
		m.begunUses[use{x.ID, r.arrive.Adapter}]++
	}
}

// uses counts the requests of this host at replicas by adapter, and those sent
// since the last call.
func (m *Machine) uses() []residency.Use {
	running := map[use]int{}
	for _, r := range m.requests.byID {
		if r.stage == stageRunning && r.arrive.Adapter != "" {
			running[use{r.upstream, r.arrive.Adapter}]++
		}
	}
	for u := range m.begunUses {
		running[u] += 0 // one that has ended already is told as well
	}
	uses := make([]residency.Use, 0, len(running))
	for u, n := range running {
		uses = append(uses, residency.Use{Replica: u.replica, Adapter: u.adapter, Running: n, Begun: m.begunUses[u]})
	}
	clear(m.begunUses)
	slices.SortFunc(uses, func(a, b residency.Use) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Adapter, b.Adapter))
	})
	return uses
}

// tellHeld answers a demand for what the replica holds already: a host that stands
// by is told of residency only where it asks.
func (m *Machine) tellHeld(w residency.Demand, to core.HostID) {
	p, known := m.fleet.Of(to)
	held, ok := m.residency.Meets(w)
	if known && ok {
		m.send([]fleet.Registration{p}, Message{Residencies: []replicas.Residency{held}})
	}
}

// fromPeer takes another host's message.
func (m *Machine) fromPeer(e FromPeer) {
	for i := range e.Message.Heartbeats {
		m.heard(e.From, &e.Message.Heartbeats[i])
	}
	m.takeList(e.Message)
	m.takeDocuments(e)
	for _, w := range e.Message.Demands {
		m.residency.Demanded(m.now, w)
		m.awaiting.add(w.Replica, e.From)
		m.tellHeld(w, e.From)
	}
	for _, u := range e.Message.Uses {
		m.residency.Used(m.now, e.From, u)
	}
	for _, s := range e.Message.Residencies {
		if _, ok := m.acting(s.Replica); ok {
			continue // this host knows better
		}
		m.replicas.TakeResidency(m.now, s)
		m.residency.Yield(s.Replica)
	}
	if len(e.Message.Demands) > 0 {
		m.order()
	}
	if len(e.Message.Residencies) > 0 {
		m.placeWaiting()
	}
}
