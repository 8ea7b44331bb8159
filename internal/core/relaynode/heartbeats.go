package relaynode

import (
	"maps"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicas"
)

// Heartbeats spread as follows. A standby host sends its own to two active hosts,
// its contacts. The active hosts send theirs to each other, with those of standby
// hosts that have work; to the standby hosts that report to them they relay a
// summary of all active hosts' heartbeats.
const (
	heartbeatIntervalPerHost     = 10 * time.Millisecond  // added to the heartbeat interval for each receiver
	standbyHeartbeatInterval     = time.Second            // heartbeat interval of a standby host
	busyStandbyHeartbeatInterval = 250 * time.Millisecond // the same while it has requests
	relayInterval                = 500 * time.Millisecond // between two relays of heartbeats to standby hosts
	relaysPerCensus              = 4                      // one relay in so many lists all standby hosts
	selectInterval               = 100 * time.Millisecond // between two selections of the active hosts
	maxRelayedHeartbeats         = 16                     // heartbeats of standby hosts in one message
)

// residencyInterval is how often the complete residency of the replicas that this
// host owns is sent again, to replace lost messages.
const residencyInterval = time.Second

// gossip is the state of the heartbeats that were sent and received.
type gossip struct {
	heartbeatNumber uint64 // of this host's last heartbeat
	relayCount      uint64 // relays to standby hosts
	latest          map[core.HostID]Heartbeat
	busyStandbys    []core.HostID // standby hosts that have work, to be reported to the active hosts; the latest last
}

// sendHeartbeat selects the active hosts and sends this host's heartbeat, changes
// and uses when they are due.
func (m *Machine) sendHeartbeat() {
	if m.now >= m.due.selection {
		m.due.selection = m.now.Add(selectInterval)
		m.selectActive()
		m.trackSoftware()
	}
	if m.now < m.due.heartbeat {
		return
	}
	m.expireLoads()
	m.sendChanges()
	m.gossip.heartbeatNumber++
	own := m.ownHeartbeat()
	if m.fleet.Active() {
		m.sendAsActive(own)
	} else {
		m.sendAsStandby(own)
	}
	m.reportUses()
}

// sendAsActive sends the heartbeat to the other active hosts and, every
// relayInterval, a relay to the standby hosts that report to this host.
func (m *Machine) sendAsActive(own Heartbeat) {
	peers := m.fleet.ActivePeers()
	m.due.heartbeat = m.now.Add(m.settings.HeartbeatInterval + time.Duration(len(peers))*heartbeatIntervalPerHost)
	m.send(peers, Message{Heartbeats: append([]Heartbeat{own}, m.takeStandbyHeartbeats()...), Origins: m.takeUnsentRecords()})
	if !m.fleet.HasStandbys() || m.now < m.due.relay {
		return
	}
	m.due.relay = m.now.Add(relayInterval)
	m.gossip.relayCount++
	own = own.summary()
	if m.gossip.relayCount%relaysPerCensus == 0 {
		own.ReachableStandbys = m.fleet.ReadyStandbys(m.now)
	}
	all := []Heartbeat{own}
	for _, p := range peers {
		if known, ok := m.gossip.latest[p.Host]; ok {
			known.Paths = m.paths.ReportOf(m.now, p.Host)
			all = append(all, known.summary())
		}
	}
	m.send(m.fleet.Standbys(m.now), Message{Heartbeats: all, Origins: m.takeUnrelayedRecords()})
}

// summary returns the fields of a heartbeat that standby hosts need.
func (b Heartbeat) summary() Heartbeat {
	b.Loads, b.Prompts, b.Promised, b.Crashes, b.ReachableStandbys = nil, nil, nil, nil, nil
	return b
}

// sendAsStandby sends the heartbeat of a standby host to its contacts.
func (m *Machine) sendAsStandby(own Heartbeat) {
	m.due.heartbeat = m.now.Add(standbyHeartbeatInterval)
	if len(m.requests.byID) > 0 {
		m.due.heartbeat = m.now.Add(busyStandbyHeartbeatInterval)
	}
	m.send(m.fleet.StandbyContacts(), Message{Heartbeats: []Heartbeat{own}, Origins: m.takeUnsentRecords()})
}

func (m *Machine) send(to []fleet.Registration, message Message) {
	if len(to) > 0 {
		m.emit(SendToPeers{To: to, Message: message})
	}
}

func (m *Machine) ownHeartbeat() Heartbeat {
	load := m.ownLoads()
	return Heartbeat{
		Host:              m.settings.Self.Host,
		Number:            m.gossip.heartbeatNumber,
		Ready:             m.Ready(),
		Leaving:           m.leavingSince != 0,
		Uptime:            time.Duration(m.now),
		Spent:             byShortHash(m.quota.Admitted()),
		Asked:             byShortHash(m.quota.Asked()),
		Loads:             load.requests,
		Prompts:           load.prompts,
		Promised:          load.promised,
		Crashes:           m.crashes.counts.Own(m.now, crashReportTTL),
		Suspects:          m.suspectDigest(),
		ConfigVersion:     m.configVersion(),
		VersionSum:        m.versionSum,
		IsWatcher:         m.isWatcher() && m.storeAnswers(),
		ListDigest:        m.listDigest(),
		ReplicaDigest:     m.replicas.Digest(),
		ReachableStandbys: m.fleet.DirectStandbys(m.now),
		RequestRate:       m.arrivalRate(),
		ConfigRestored:    m.configuration.restored,
		BlockedParts:      m.parts.tracker.Digest(),
		Paths:             m.paths.Report(m.now),
		Software:          m.softwareDigest(),
		Evacuations:       m.evacuationsForHeartbeat(),
	}
}

// byShortHash returns totals by core.ShortHash of the workspace.
func byShortHash(totals quota.Totals) map[uint32]int64 {
	short := make(map[uint32]int64, len(totals))
	for id, tokens := range totals {
		short[core.ShortHash(string(id))] = tokens
	}
	return short
}

// totalsByWorkspace returns another host's totals for the workspaces of the configuration in
// force.
func (m *Machine) totalsByWorkspace(byShort map[uint32]int64) quota.Totals {
	totals := quota.Totals{}
	for short, tokens := range byShort {
		if id, ok := m.workspaces[short]; ok {
			totals[id] = tokens
		}
	}
	return totals
}

// applyTotals applies what another host has admitted and was asked for.
func (m *Machine) applyTotals(b *Heartbeat) {
	spent := m.totalsByWorkspace(b.Spent)
	if !m.quota.HasTotals(b.Host) && b.Uptime > time.Duration(m.now)+time.Second {
		m.quota.SetTotals(b.Host, spent) // spent before this host started
	}
	m.quota.ApplyTotals(m.now, b.Host, spent)
	asked := spent // a host of the previous build reports no demand
	if b.Asked != nil {
		asked = m.totalsByWorkspace(b.Asked)
	}
	m.quota.ApplyAsked(m.now, b.Host, b.Uptime, asked)
}

// servingHosts returns the number of hosts that serve callers, this one included.
func (m *Machine) servingHosts() int {
	if m.fleet.HasStandbys() {
		return m.fleet.ActiveHosts()
	}
	return m.fleet.Size(m.now)
}

// takeStandbyHeartbeats returns and clears the heartbeats of the standby hosts that
// have had work since the last call.
func (m *Machine) takeStandbyHeartbeats() []Heartbeat {
	hosts := m.gossip.busyStandbys
	m.gossip.busyStandbys = nil
	if len(hosts) > maxRelayedHeartbeats {
		hosts = hosts[len(hosts)-maxRelayedHeartbeats:]
	}
	heartbeats := make([]Heartbeat, 0, len(hosts))
	for _, h := range hosts {
		heartbeats = append(heartbeats, m.gossip.latest[h])
	}
	return heartbeats
}

// hadWork reports whether a host has had work between two of its heartbeats.
func hadWork(before, after *Heartbeat) bool {
	return len(before.Loads)+len(after.Loads)+len(after.Crashes) > 0 || !maps.Equal(before.Spent, after.Spent) || !maps.Equal(before.Asked, after.Asked)
}

// receiveHeartbeat applies a heartbeat, received from its host or relayed by another
// one.
func (m *Machine) receiveHeartbeat(from core.HostID, b *Heartbeat) {
	if b.Host == m.settings.Self.Host {
		return
	}
	known, ok := m.gossip.latest[b.Host]
	if ok && b.Number <= known.Number {
		return
	}
	if !m.fleet.ReceiveHeartbeat(m.now, b.Host, b.Host == from, b.Ready, b.Leaving) {
		return // not registered, as far as this host has read
	}
	m.gossip.latest[b.Host] = *b
	if b.Paths != nil {
		m.paths.Receive(m.now, b.Host, *b.Paths)
		m.placementDue = m.placementDue || m.paths.Troubled()
	}
	m.fleet.ReceiveStandbyReport(m.now, b.ReachableStandbys)
	if m.fleet.Active() && !m.fleet.IsActive(b.Host) && hadWork(&known, b) {
		m.gossip.busyStandbys = append(m.gossip.busyStandbys, b.Host)
	}
	m.applyTotals(b)
	m.applyLoads(b.Host, hostLoad{requests: b.Loads, prompts: b.Prompts, promised: b.Promised})
	m.applyPeerCrashes(b.Host, b.Crashes)
	m.compareState(b)
	m.compareSoftware(b.Software)
	m.receiveEvacuations(b.Evacuations, b.IsWatcher)
	if b.Host == from {
		m.compareVerdicts(from, b.BlockedParts)
		m.compareCrashes(from, b)
	}
}

// residencyWaiters are the hosts that have sent a demand for a replica and wait for
// its residency.
type residencyWaiters map[core.UpstreamID]map[core.HostID]bool

func (w residencyWaiters) add(replica core.UpstreamID, host core.HostID) {
	if w[replica] == nil {
		w[replica] = map[core.HostID]bool{}
	}
	w[replica][host] = true
}

// sendResidency sends the residency that has changed on the replicas that this host
// owns: at once to the hosts that wait for it, and batched to all active hosts.
func (m *Machine) sendResidency() {
	changed := m.residency.ChangedResidencies(m.orderFence, false)
	for _, k := range changed {
		m.replicas.ApplyResidency(m.now, k)
		m.unsent[k.Replica] = k
		var to []fleet.Registration
		for h := range m.waiters[k.Replica] {
			if p, ok := m.fleet.ByHostID(h); ok {
				to = append(to, p)
			}
		}
		delete(m.waiters, k.Replica)
		if len(to) > 0 {
			fleet.Sort(to)
			m.emit(SendToPeers{To: to, Message: Message{Residencies: []replicas.Residency{k}}})
		}
	}
	if len(changed) > 0 {
		m.placementDue = true
	}
	m.sendUnsent()
}

// residencyBatchInterval is the minimum time between two residency messages to all
// active hosts.
const residencyBatchInterval = 40 * time.Millisecond

func (m *Machine) sendUnsent() {
	if m.now >= m.due.residency {
		m.due.residency = m.now.Add(residencyInterval)
		for _, k := range m.residency.ChangedResidencies(m.orderFence, true) {
			m.replicas.ApplyResidency(m.now, k)
			m.unsent[k.Replica] = k
		}
	}
	if len(m.unsent) == 0 || m.now < m.due.unsent {
		return
	}
	m.due.unsent = m.now.Add(residencyBatchInterval)
	var changed []replicas.Residency
	for _, x := range m.replicas.All() {
		if k, ok := m.unsent[x.ID]; ok {
			changed = append(changed, k)
		}
	}
	clear(m.unsent)
	m.send(m.fleet.ActivePeers(), Message{Residencies: changed})
}
