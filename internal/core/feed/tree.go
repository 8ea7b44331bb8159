package feed

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Timeouts and intervals of the tree.
const (
	maxLostPings           = 3                      // unanswered pings until another parent is tried
	maxPongDelay           = 500 * time.Millisecond // a later answer counts as none
	childTimeout           = 4 * time.Second        // a child without a ping for so long is dropped
	preferredRetryInterval = 60 * time.Second       // until the preferred parent is tried again
)

// kindFeed separates these rendezvous scores from those of other uses.
const kindFeed = 0xfe

// tree is this host's place in the tree: its parents, and whether it watches
// the store.
type tree struct {
	version      uint64
	members      []core.Member
	domains      int
	mesh         bool
	watcher      bool
	watchers     map[core.HostID]bool // of all failure domains
	fixedParents []core.HostID        // parents that are always pinged: the root hosts of other regions
	candidates   []core.HostID        // parents in order of preference; one of them is pinged
	current      int
	currentSince core.Instant // when the current candidate was selected
}

// SetMembers applies a new membership. A version that is not newer changes
// nothing.
func (m *Machine) SetMembers(now core.Instant, version uint64, members []core.Member) {
	if version <= m.tree.version {
		return
	}
	t := &m.tree
	t.version, t.members = version, slices.Clone(members)
	t.mesh = len(members) <= m.settings.MaxMesh
	m.computePlace(now)
	m.pruneLinks(now)
	m.pruneOrphans()
}

// domain is a failure domain's hosts in an order that is the same on all hosts;
// leaving hosts come last.
type domain struct {
	name   core.Domain
	region core.Region
	hosts  []core.HostID
}

// layout groups the members by failure domain, sorted by its name.
func layout(members []core.Member) []domain {
	index := map[core.Domain]int{}
	var domains []domain
	var staying, leaving [][]core.HostID
	for _, m := range members {
		i, ok := index[m.Domain]
		if !ok {
			i = len(domains)
			index[m.Domain] = i
			domains = append(domains, domain{name: m.Domain, region: m.Region})
			staying, leaving = append(staying, nil), append(leaving, nil)
		}
		if m.Leaving {
			leaving[i] = append(leaving[i], m.Host)
		} else {
			staying[i] = append(staying[i], m.Host)
		}
	}
	for i := range domains {
		domains[i].hosts = append(core.RendezvousN(staying[i], kindFeed, "domain", len(staying[i])), leaving[i]...)
	}
	slices.SortFunc(domains, func(a, b domain) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return domains
}

// computePlace derives this host's parents, and who watches the store, from the
// membership.
func (m *Machine) computePlace(now core.Instant) {
	t := &m.tree
	domains := layout(t.members)
	t.domains = len(domains)
	t.fixedParents, t.candidates = nil, nil
	t.current, t.currentSince = 0, now
	var regional []core.HostID // first hosts of this region's failure domains
	firstHosts := map[core.Region][]core.HostID{}
	var regions []core.Region
	var own *domain
	t.watchers = map[core.HostID]bool{}
	for i := range domains {
		d := &domains[i]
		for _, h := range d.hosts[:min(m.settings.WatchersPerDomain, len(d.hosts))] {
			t.watchers[h] = true
		}
		if firstHosts[d.region] == nil {
			regions = append(regions, d.region)
		}
		firstHosts[d.region] = append(firstHosts[d.region], d.hosts[0])
		if d.name == m.settings.Self.Domain {
			own = d
		}
	}
	if own == nil {
		t.watcher = false
		return
	}
	regional = firstHosts[own.region]
	var others []core.HostID // root hosts of the other regions
	root := core.HostID("")
	for _, r := range regions {
		first := core.RendezvousN(firstHosts[r], kindFeed, "region", 1)[0]
		if r == own.region {
			root = first
		} else {
			others = append(others, first)
		}
	}
	position := slices.Index(own.hosts, m.settings.Self.Host)
	t.watcher = position >= 0 && position < m.settings.WatchersPerDomain
	for p := position; p > 0; {
		p = (p - 1) / m.settings.FanOut
		t.candidates = append(t.candidates, own.hosts[p])
	}
	if position == 0 && root != m.settings.Self.Host {
		t.candidates = append(t.candidates, root)
	}
	if root == m.settings.Self.Host {
		t.fixedParents = others
	}
	t.candidates = append(t.candidates, regional...)
	t.candidates = append(t.candidates, own.hosts[:min(3, len(own.hosts))]...)
	t.candidates = append(t.candidates, others...)
	t.candidates = distinct(t.candidates, m.settings.Self.Host)
}

// distinct removes self and repeated hosts; the first of each stays.
func distinct(hosts []core.HostID, self core.HostID) []core.HostID {
	var list []core.HostID
	for _, h := range hosts {
		if h != self && !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// parents returns the hosts that this one pings now.
func (t *tree) parents() []core.HostID {
	list := slices.Clone(t.fixedParents)
	if len(t.candidates) > 0 {
		if h := t.candidates[t.current%len(t.candidates)]; !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// IsWatcher reports whether this host watches the object API.
func (m *Machine) IsWatcher() bool { return m.tree.watcher }

// maintainTree pings the parents, fails over from an unresponsive one, and
// drops children that have stopped pinging.
func (m *Machine) maintainTree(now core.Instant) {
	t := &m.tree
	m.failOver(now)
	parents := t.parents()
	for _, h := range parents {
		l := m.ensureLink(now, h)
		if !l.parent {
			l.parent, l.lastPong, l.compared = true, now, false
		}
		if now >= l.nextPing {
			l.nextPing = now.Add(m.settings.PingInterval)
			m.out.Send(h, Message{Ping: &Ping{Echo: int64(now), Sum: m.valuesSum, ConfigVersion: m.conf.target.Version}})
		}
	}
	keep := m.links[:0]
	for _, l := range m.links {
		l.parent = l.parent && slices.Contains(parents, l.host)
		if l.child && now.Sub(l.lastPing) > childTimeout {
			l.child = false
		}
		if l.parent || l.child || l.mesh {
			keep = append(keep, l)
		}
	}
	clear(m.links[len(keep):])
	m.links = keep
}

// failOver selects the next candidate if the current one is unresponsive, and
// returns to the preferred one after preferredRetryInterval.
func (m *Machine) failOver(now core.Instant) {
	t := &m.tree
	if len(t.candidates) < 2 {
		return
	}
	l := m.findLink(t.candidates[t.current%len(t.candidates)])
	unresponsive := l != nil && l.parent && now.Sub(max(l.lastPong, t.currentSince)) > maxLostPings*m.settings.PingInterval
	switch {
	case unresponsive:
		t.current, t.currentSince = t.current+1, now
		m.ensureLink(now, t.candidates[t.current%len(t.candidates)]).nextPing = now
	case t.current%len(t.candidates) != 0 && now.Sub(t.currentSince) > preferredRetryInterval:
		t.current, t.currentSince = 0, now
	}
}
