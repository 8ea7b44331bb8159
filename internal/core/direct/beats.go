package direct

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicas"
)

// How beats spread. In a small fleet each host tells all others. In a larger one
// it tells a few, together with the beats of others that it has just learned, so
// that what a host sends does not grow with the fleet.
const (
	meshMost    = 12                     // hosts up to which each tells all others
	beatPerHost = 10 * time.Millisecond  // added to the time between two beats for each host told
	spreadEvery = 250 * time.Millisecond // between two beats in a larger fleet
	spreadNear  = 2                      // hosts of the own failure domain that are told
	spreadFar   = 1                      // hosts of other failure domains
	spreadBeats = 16                     // beats of others in one message
)

// stockEvery is how often the whole stock of the replicas that this host orders
// is told again, for what was lost on the way.
const stockEvery = time.Second

// gossip is what a host remembers of the beats that it has heard.
type gossip struct {
	number uint64 // of this host's last beat
	known  map[core.HostID]Beat
	fresh  []core.HostID // whose beats are to be told on, the latest last
}

// beat tells other hosts what this one has spent and has running.
func (m *Machine) beat() {
	if m.now < m.due.beat {
		return
	}
	peers := m.fleet.Peers(m.now)
	m.forgetLoads()
	m.gossip.number++
	message := Message{Beats: append([]Beat{m.ownBeat()}, m.freshBeats()...)}
	if len(peers) <= meshMost {
		m.due.beat = m.now.Add(m.settings.Beat + time.Duration(len(peers))*beatPerHost)
	} else {
		m.due.beat = m.now.Add(spreadEvery)
		peers = m.some(peers)
	}
	if len(peers) > 0 {
		m.emit(ToPeers{To: peers, Message: message})
	}
	m.tellUses()
}

func (m *Machine) ownBeat() Beat {
	return Beat{
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

// freshBeats are the beats of others that have been learned since the last call.
func (m *Machine) freshBeats() []Beat {
	fresh := m.gossip.fresh
	m.gossip.fresh = nil
	if len(fresh) > spreadBeats {
		fresh = fresh[len(fresh)-spreadBeats:]
	}
	beats := make([]Beat, 0, len(fresh))
	for _, h := range fresh {
		beats = append(beats, m.gossip.known[h])
	}
	return beats
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

// heard takes a beat, told by its host or by another one.
func (m *Machine) heard(b *Beat) {
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

// wanters are the hosts that wait for news of a replica's stock.
type wanters map[core.UpstreamID]map[core.HostID]bool

func (w wanters) add(replica core.UpstreamID, host core.HostID) {
	if w[replica] == nil {
		w[replica] = map[core.HostID]bool{}
	}
	w[replica][host] = true
}

// tellStocks tells what has changed at the replicas that this host orders: at
// once those that wait for it, and all others a little later, together.
func (m *Machine) tellStocks() {
	changed := m.stock.Changed(m.acting, false)
	for _, k := range changed {
		m.replicas.TakeStock(m.now, k)
		m.untold[k.Replica] = k
		var to []fleet.Registration
		for h := range m.wanters[k.Replica] {
			if p, ok := m.fleet.Of(h); ok {
				to = append(to, p)
			}
		}
		delete(m.wanters, k.Replica)
		if len(to) > 0 {
			fleet.Sort(to)
			m.emit(ToPeers{To: to, Message: Message{Stocks: []replicas.Stock{k}}})
		}
	}
	if len(changed) > 0 {
		m.placeWaiting()
	}
	m.tellUntold()
}

// Least times between two messages about stocks to all hosts.
const (
	stocksSmall = 40 * time.Millisecond
	stocksLarge = 250 * time.Millisecond
)

func (m *Machine) tellUntold() {
	if m.now >= m.due.stock {
		m.due.stock = m.now.Add(stockEvery)
		for _, k := range m.stock.Changed(m.acting, true) {
			m.replicas.TakeStock(m.now, k)
			m.untold[k.Replica] = k
		}
	}
	if len(m.untold) == 0 || m.now < m.due.untold {
		return
	}
	m.due.untold = m.now.Add(stocksSmall)
	if m.fleet.Size(m.now) > meshMost {
		m.due.untold = m.now.Add(stocksLarge)
	}
	var stocks []replicas.Stock
	for _, x := range m.replicas.All() {
		if k, ok := m.untold[x.ID]; ok {
			stocks = append(stocks, k)
		}
	}
	clear(m.untold)
	m.tellAll(Message{Stocks: stocks})
}
