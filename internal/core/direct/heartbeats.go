package direct

import (
	"maps"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicas"
)

// How heartbeats spread. The active hosts tell each other everything. Hosts that
// stand by tell two of them that they are there, and are told by these what the
// active ones have told.
const (
	heartbeatPerHost = 10 * time.Millisecond  // added to the time between two heartbeats for each host told
	standbyEvery     = time.Second            // between two heartbeats of a host that stands by
	workingEvery     = 250 * time.Millisecond // the same while it has requests
	relayEvery       = 500 * time.Millisecond // between two messages to the hosts that stand by
	censusEvery      = 4                      // of these messages, those that name all hosts that stand by
	selectEvery      = 100 * time.Millisecond // between two choices of the active hosts
	newsMost         = 16                     // heartbeats of hosts that stand by in one message
)

// residencyEvery is how often the whole residency of the replicas that this host orders
// is told again, for what was lost on the way.
const residencyEvery = time.Second

// gossip is what a host remembers of the heartbeats that it has heard.
type gossip struct {
	number uint64 // of this host's last heartbeat
	relays uint64 // messages to hosts that stand by
	known  map[core.HostID]Heartbeat
	news   []core.HostID // that stand by and have work, to be told to the active hosts, the latest last
}

// heartbeat tells other hosts what this one has spent and has running.
func (m *Machine) heartbeat() {
	if m.now >= m.due.selection {
		m.due.selection = m.now.Add(selectEvery)
		m.selectActive()
	}
	if m.now < m.due.heartbeat {
		return
	}
	m.forgetLoads()
	m.tellChanges()
	m.gossip.number++
	own := m.ownHeartbeat()
	if m.fleet.Active() {
		m.tellActive(own)
	} else {
		m.tellContacts(own)
	}
	m.tellUses()
}

// tellActive tells the other active hosts, and those that stand by now and then.
func (m *Machine) tellActive(own Heartbeat) {
	peers := m.fleet.ActivePeers()
	m.due.heartbeat = m.now.Add(m.settings.Heartbeat + time.Duration(len(peers))*heartbeatPerHost)
	m.send(peers, Message{Heartbeats: append([]Heartbeat{own}, m.news()...)})
	if !m.fleet.Large() || m.now < m.due.relay {
		return
	}
	m.due.relay = m.now.Add(relayEvery)
	m.gossip.relays++
	own = own.brief()
	if m.gossip.relays%censusEvery == 0 {
		own.Hears = m.fleet.Census(m.now)
	}
	all := []Heartbeat{own}
	for _, p := range peers {
		if known, ok := m.gossip.known[p.Host]; ok {
			all = append(all, known.brief())
		}
	}
	m.send(m.fleet.Standbys(m.now), Message{Heartbeats: all})
}

// brief is what hosts that stand by need of a heartbeat.
func (b Heartbeat) brief() Heartbeat {
	b.Loads, b.Crashes, b.Hears = nil, nil, nil
	return b
}

// tellContacts is the heartbeat of a host that stands by.
func (m *Machine) tellContacts(own Heartbeat) {
	m.due.heartbeat = m.now.Add(standbyEvery)
	if len(m.requests.byID) > 0 {
		m.due.heartbeat = m.now.Add(workingEvery)
	}
	m.send(m.fleet.Contacts(), Message{Heartbeats: []Heartbeat{own}})
}

func (m *Machine) send(to []fleet.Registration, message Message) {
	if len(to) > 0 {
		m.emit(ToPeers{To: to, Message: message})
	}
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
		List:     m.listDigest(),
		Hears:    m.fleet.Hears(m.now),
		Rate:     m.arrivalRate(),
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

// news are the heartbeats of hosts that stand by and have had work since the last
// call.
func (m *Machine) news() []Heartbeat {
	news := m.gossip.news
	m.gossip.news = nil
	if len(news) > newsMost {
		news = news[len(news)-newsMost:]
	}
	heartbeats := make([]Heartbeat, 0, len(news))
	for _, h := range news {
		heartbeats = append(heartbeats, m.gossip.known[h])
	}
	return heartbeats
}

// hadWork reports whether a host has had work between two of its heartbeats.
func hadWork(before, after *Heartbeat) bool {
	return len(before.Loads)+len(after.Loads)+len(after.Crashes) > 0 || !maps.Equal(before.Spent, after.Spent)
}

// heard takes a heartbeat, told by its host or by another one.
func (m *Machine) heard(from core.HostID, b *Heartbeat) {
	if b.Host == m.settings.Self.Host {
		return
	}
	known, ok := m.gossip.known[b.Host]
	if ok && b.Number <= known.Number {
		return
	}
	if !m.fleet.Heard(m.now, b.Host, b.Host == from, b.Ready, b.Leaving) {
		return // not registered, as far as this host knows
	}
	m.gossip.known[b.Host] = *b
	m.fleet.HeardOf(m.now, b.Hears)
	if m.fleet.Active() && !m.fleet.IsActive(b.Host) && hadWork(&known, b) {
		m.gossip.news = append(m.gossip.news, b.Host)
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

// unsentEvery is the least time between two messages about residency to all active
// hosts.
const unsentEvery = 40 * time.Millisecond

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
	m.due.unsent = m.now.Add(unsentEvery)
	var changed []replicas.Residency
	for _, x := range m.replicas.All() {
		if k, ok := m.unsent[x.ID]; ok {
			changed = append(changed, k)
		}
	}
	clear(m.unsent)
	m.send(m.fleet.ActivePeers(), Message{Residencies: changed})
}
