package relaynode

import (
	"cmp"
	"maps"
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// sendToAll sends a message to all hosts that may be reachable.
func (m *Machine) sendToAll(message Message) {
	m.send(m.fleet.Peers(m.now), message)
}

// tellAll sends a message to the hosts that don't hear of it from others: an active host to the
// other active ones and to the standby hosts that report to it, a standby host to its contacts.
func (m *Machine) tellAll(message Message) {
	if !m.fleet.Active() {
		m.send(m.fleet.StandbyContacts(), message)
		return
	}
	m.send(m.fleet.ActivePeers(), message)
	m.send(m.fleet.Standbys(m.now), message)
}

// passOn sends another host's message to the hosts that it doesn't reach.
func (m *Machine) passOn(from core.HostID, message Message) {
	switch {
	case !m.fleet.Active():
	case m.fleet.IsActive(from):
		m.send(m.fleet.Standbys(m.now), message)
	default:
		m.tellAll(message)
	}
}

// sendToOwner sends a message to the owner of a replica's shard. It returns false if
// there is none, if it is this host, or if it is not reachable.
func (m *Machine) sendToOwner(replica core.UpstreamID, message Message) bool {
	owner := m.shards.Owner(m.shards.Of(replica))
	if owner == "" || owner == core.HostID(m.settings.Self.Name) {
		return false
	}
	p, ok := m.fleet.ByName(string(owner))
	if !ok || !m.fleet.Reachable(m.now, p.Host) {
		return false
	}
	m.emit(SendToPeers{To: []fleet.Registration{p}, Message: message})
	return true
}

// reportUses reports the adapters in use on each replica to the owner of its shard.
func (m *Machine) reportUses() {
	byShard := map[int][]residency.Use{}
	for _, u := range m.uses() {
		if _, ok := m.orderFence(u.Replica); ok {
			m.residency.ApplyUse(m.now, core.HostID(m.settings.Self.Name), u)
			continue
		}
		shard := m.shards.Of(u.Replica)
		byShard[shard] = append(byShard[shard], u)
	}
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		uses := byShard[shard]
		m.sendToOwner(uses[0].Replica, Message{Uses: uses})
	}
}

// adapterUse is an adapter on a replica.
type adapterUse struct {
	replica core.UpstreamID
	adapter core.AdapterID
}

// countUse counts a sent request for the popularity of its adapter.
func (m *Machine) countUse(r *request, x *replicas.Replica) {
	if r.arrival.Adapter != "" {
		m.startedUses[adapterUse{x.ID, r.arrival.Adapter}]++
	}
}

// uses returns the requests of this host by replica and adapter: those that run now,
// those sent since the last call, and none where the last ones have ended since.
func (m *Machine) uses() []residency.Use {
	running := map[adapterUse]int{}
	for _, r := range m.requests.byID {
		if r.stage == stageRunning && r.arrival.Adapter != "" {
			running[adapterUse{r.upstream, r.arrival.Adapter}]++
		}
	}
	for u := range m.startedUses {
		running[u] += 0 // one that has already ended is reported as well
	}
	for u := range m.reportedUses {
		running[u] += 0 // the adapter is in use until its owner learns the contrary
	}
	clear(m.reportedUses)
	uses := make([]residency.Use, 0, len(running))
	for u, n := range running {
		uses = append(uses, residency.Use{Replica: u.replica, Adapter: u.adapter, Running: n, Begun: m.startedUses[u]})
		if n > 0 {
			m.reportedUses[u] = true
		}
	}
	clear(m.startedUses)
	slices.SortFunc(uses, func(a, b residency.Use) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Adapter, b.Adapter))
	})
	return uses
}

// answerDemand sends the replica's residency to a host whose demand it already
// meets: standby hosts receive residency only on demand.
func (m *Machine) answerDemand(d residency.Demand, to core.HostID) {
	p, known := m.fleet.ByHostID(to)
	loaded, ok := m.residency.ResidencyFor(d)
	if known && ok {
		m.send([]fleet.Registration{p}, Message{Residencies: []replicas.Residency{loaded}})
	}
}

// handlePeerMessage applies another host's message.
func (m *Machine) handlePeerMessage(e MessageReceived) {
	for i := range e.Message.Heartbeats {
		m.receiveHeartbeat(e.From, &e.Message.Heartbeats[i])
	}
	m.receiveRecords(e.From, e.Message.Origins)
	m.receiveOwed(e.From, e.Message.OwedEvents)
	m.receivePartReport(e.From, e.Message.Parts)
	m.receiveCrashCounts(e.Message.Crashes)
	m.receiveLimits(e.From, e.Message.Limits)
	m.receiveCold(e.From, e.Message.Cold)
	m.answerAsks(e.From, e.Message.PermitAsks)
	for _, g := range e.Message.PermitGrants {
		m.applyGrant(g)
	}
	for _, p := range e.Message.Pauses {
		m.applyNotice(p.Replica, p.Started, replicas.Notice{Pause: p.For})
	}
	m.applyListChanges(e.Message)
	m.applyDocuments(e)
	m.receiveEvacuations(e.Message.Evacuations, false)
	for _, d := range e.Message.Demands {
		m.residency.AddDemand(m.now, d)
		m.waiters.add(d.Replica, e.From)
		m.answerDemand(d, e.From)
	}
	for _, u := range e.Message.Uses {
		m.residency.ApplyUse(m.now, e.From, u)
	}
	for _, s := range e.Message.Residencies {
		if _, ok := m.orderFence(s.Replica); ok {
			continue // this host is the owner, and its own state is newer
		}
		m.replicas.ApplyResidency(m.now, s)
		m.residency.ReleaseReplica(s.Replica)
	}
	if len(e.Message.Demands) > 0 {
		m.sendOrders()
	}
	if len(e.Message.Residencies) > 0 {
		m.placementDue = true
	}
}
