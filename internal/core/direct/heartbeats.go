package direct

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicas"
)

// How heartbeats spread. In a small fleet each host tells all others. In a larger one
// it tells a few, together with the heartbeats of others that it has just learned, so
// that what a host sends does not grow with the fleet.
const (
	meshMost         = 12                     // hosts up to which each tells all others
	heartbeatPerHost = 10 * time.Millisecond  // added to the time between two heartbeats for each host told
	spreadEvery      = 250 * time.Millisecond // between two heartbeats in a larger fleet
	spreadNear       = 2                      // hosts of the own failure domain that are told
	spreadFar        = 1                      // hosts of other failure domains
	spreadHeartbeats = 16                     // heartbeats of others in one message
)

// residencyEvery is how often the whole residency of the replicas that this host orders
// is told again, for what was lost on the way.
const residencyEvery = time.Second

// gossip is what a host remembers of the heartbeats that it has heard.
type gossip struct {
	number uint64 // of this host's last heartbeat
	known  map[core.HostID]Heartbeat
	fresh  []core.HostID // whose heartbeats are to be told on, the latest last
}

// heartbeat tells other hosts what this one has spent and has running.
func (m *Machine) heartbeat() {
	if m.now < m.due.heartbeat {
		return
	}
	peers := m.fleet.Peers(m.now)
	m.forgetLoads()
	m.gossip.number++
	message := Message{Heartbeats: append([]Heartbeat{m.ownHeartbeat()}, m.freshHeartbeats()...)}
	if len(peers) <= meshMost {
		m.due.heartbeat = m.now.Add(m.settings.Heartbeat + time.Duration(len(peers))*heartbeatPerHost)
	} else {
		m.due.heartbeat = m.now.Add(spreadEvery)
		peers = m.some(peers)
	}
	if len(peers) > 0 {
		m.emit(ToPeers{To: peers, Message: message})
	}
	m.tellUses()
}

func (m *Machine) ownHeartbeat() Heartbeat {
	return Heartbeat{
		Host:     m.settings.Self.Host,
		Number:   m.gossip.number,
		Ready:    m.Ready(),
		Leaving:  m.leaving != 0,
		Uptime:   time.Duration(m.now),
		Spent:    m.spent(),
		Loads:    m.ownLoads(),
		Crashes:  m.ownCrashes(),
		Config:   m.configVersion(),
		Versions: m.versionSum,
		Watches:  m.watching() && m.storeAnswers(),
		List:     m.replicas.Digest(),
	}
}

// spent is what this host has admitted, by workspace.
func (m *Machine) spent() map[uint32]int64 {
	spent := make(map[uint32]int64, len(m.quota.Mine()))
	for id, tokens := range m.quota.Mine() {
		spent[core.Short(string(id))] = tokens
	}
	return spent
}

// totals are what another host has admitted, of the workspaces that this one
// knows.
func (m *Machine) totals(spent map[uint32]int64) quota.Totals {
	totals := quota.Totals{}
	for short, tokens := range spent {
		if id, ok := m.workspaces[short]; ok {
			totals[id] = tokens
		}
	}
	return totals
}

// freshHeartbeats are the heartbeats of others that have been learned since the last call.
func (m *Machine) freshHeartbeats() []Heartbeat {
	fresh := m.gossip.fresh
	m.gossip.fresh = nil
	if len(fresh) > spreadHeartbeats {
		fresh = fresh[len(fresh)-spreadHeartbeats:]
	}
	heartbeats := make([]Heartbeat, 0, len(fresh))
	for _, h := range fresh {
		heartbeats = append(heartbeats, m.gossip.known[h])
	}
	return heartbeats
}

// some picks the hosts that are told next, most of them near.
func (m *Machine) some(peers []fleet.Registration) []fleet.Registration {
	var picked []fleet.Registration
	near, far := spreadNear, spreadFar
	for _, i := range m.rng.Perm(len(peers)) {
		left := &far
		if peers[i].Domain == m.settings.Self.Domain {
			left = &near
		}
		if *left > 0 {
			*left--
			picked = append(picked, peers[i])
		}
	}
	return picked
}

// heard takes a heartbeat, told by its host or by another one.
func (m *Machine) heard(b *Heartbeat) {
	if b.Host == m.settings.Self.Host {
		return
	}
	if known, ok := m.gossip.known[b.Host]; ok && b.Number <= known.Number {
		return
	}
	if !m.fleet.Heard(m.now, b.Host, b.Ready, b.Leaving) {
		return // not registered, as far as this host knows
	}
	m.gossip.known[b.Host] = *b
	if m.fleet.Size(m.now) > meshMost {
		m.gossip.fresh = append(m.gossip.fresh, b.Host)
	}
	if !m.quota.Knows(b.Host) && b.Uptime > time.Duration(m.now)+time.Second {
		m.quota.Join(b.Host, m.totals(b.Spent)) // spent before this host was there
	}
	m.quota.Heard(m.now, b.Host, m.totals(b.Spent))
	m.takeLoads(b.Host, b.Loads)
	m.heardCrashes(b.Host, b.Crashes)
	m.compare(b)
}

// awaiting are the hosts that wait for news of a replica's residency.
type awaiting map[core.UpstreamID]map[core.HostID]bool

func (w awaiting) add(replica core.UpstreamID, host core.HostID) {
	if w[replica] == nil {
		w[replica] = map[core.HostID]bool{}
	}
	w[replica][host] = true
}

// tellResidency tells what has changed at the replicas that this host orders: at
// once those that wait for it, and all others a little later, together.
func (m *Machine) tellResidency() {
	changed := m.residency.Changed(m.acting, false)
	for _, k := range changed {
		m.replicas.TakeResidency(m.now, k)
		m.unsent[k.Replica] = k
		var to []fleet.Registration
		for h := range m.awaiting[k.Replica] {
			if p, ok := m.fleet.Of(h); ok {
				to = append(to, p)
			}
		}
		delete(m.awaiting, k.Replica)
		if len(to) > 0 {
			fleet.Sort(to)
			m.emit(ToPeers{To: to, Message: Message{Residencies: []replicas.Residency{k}}})
		}
	}
	if len(changed) > 0 {
		m.placeWaiting()
	}
	m.tellUnsent()
}

// Least times between two messages about residency to all hosts.
const (
	residencySmall = 40 * time.Millisecond
	residencyLarge = 250 * time.Millisecond
)

func (m *Machine) tellUnsent() {
	if m.now >= m.due.residency {
		m.due.residency = m.now.Add(residencyEvery)
		for _, k := range m.residency.Changed(m.acting, true) {
			m.replicas.TakeResidency(m.now, k)
			m.unsent[k.Replica] = k
		}
	}
	if len(m.unsent) == 0 || m.now < m.due.unsent {
		return
	}
	m.due.unsent = m.now.Add(residencySmall)
	if m.fleet.Size(m.now) > meshMost {
		m.due.unsent = m.now.Add(residencyLarge)
	}
	var changed []replicas.Residency
	for _, x := range m.replicas.All() {
		if k, ok := m.unsent[x.ID]; ok {
			changed = append(changed, k)
		}
	}
	clear(m.unsent)
	m.tellAll(Message{Residencies: changed})
}
