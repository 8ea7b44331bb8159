package feed

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Times of the tree.
const (
	pingsLost   = 3                      // unanswered pings until another parent is tried
	slowAnswer  = 500 * time.Millisecond // a later answer counts as none
	childGone   = 4 * time.Second        // without a ping a child is dropped
	preferAgain = 60 * time.Second       // until the first choice is tried once more
)

// kindFeed separates these rendezvous scores from others.
const kindFeed = 0xfe

// tree is this host's place: whom it asks, and whether it watches the store.
type tree struct {
	version    uint64
	members    []core.Member
	domains    int
	mesh       bool
	watcher    bool
	watchers   map[core.HostID]bool // of all failure domains
	fixed      []core.HostID        // parents that are always asked: other regions' roots
	candidates []core.HostID        // parents in order of preference; one is asked
	current    int
	since      core.Instant // of asking the current one
}

// SetMembers takes the membership in force. The same version changes nothing.
func (m *Machine) SetMembers(now core.Instant, version uint64, members []core.Member) {
	if version <= m.tree.version {
		return
	}
	t := &m.tree
	t.version, t.members = version, slices.Clone(members)
	t.mesh = len(members) <= m.set.Mesh
	m.place(now)
	m.pruneLinks(now)
	m.pruneStrays()
}

// domain is a failure domain's hosts in the order that all hosts compute; those
// that leave come last.
type domain struct {
	name   core.Domain
	region core.Region
	hosts  []core.HostID
}

// layout orders the membership by region and failure domain.
func layout(members []core.Member) []domain {
	index := map[core.Domain]int{}
	var domains []domain
	var stay, leave [][]core.HostID
	for _, m := range members {
		i, ok := index[m.Domain]
		if !ok {
			i = len(domains)
			index[m.Domain] = i
			domains = append(domains, domain{name: m.Domain, region: m.Region})
			stay, leave = append(stay, nil), append(leave, nil)
		}
		if m.Leaving {
			leave[i] = append(leave[i], m.Host)
		} else {
			stay[i] = append(stay[i], m.Host)
		}
	}
	for i := range domains {
		domains[i].hosts = append(core.RendezvousN(stay[i], kindFeed, "domain", len(stay[i])), leave[i]...)
	}
	slices.SortFunc(domains, func(a, b domain) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return domains
}

// place works out this host's parents and duties.
func (m *Machine) place(now core.Instant) {
	t := &m.tree
	domains := layout(t.members)
	t.domains = len(domains)
	t.fixed, t.candidates = nil, nil
	t.current, t.since = 0, now
	var regional []core.HostID // first hosts of this region's failure domains
	heads := map[core.Region][]core.HostID{}
	var regions []core.Region
	var own *domain
	t.watchers = map[core.HostID]bool{}
	for i := range domains {
		d := &domains[i]
		for _, h := range d.hosts[:min(m.set.Watchers, len(d.hosts))] {
			t.watchers[h] = true
		}
		if heads[d.region] == nil {
			regions = append(regions, d.region)
		}
		heads[d.region] = append(heads[d.region], d.hosts[0])
		if d.name == m.set.Self.Domain {
			own = d
		}
	}
	if own == nil {
		t.watcher = false
		return
	}
	regional = heads[own.region]
	var others []core.HostID // roots of the other regions
	root := core.HostID("")
	for _, r := range regions {
		first := core.RendezvousN(heads[r], kindFeed, "region", 1)[0]
		if r == own.region {
			root = first
		} else {
			others = append(others, first)
		}
	}
	position := slices.Index(own.hosts, m.set.Self.Host)
	t.watcher = position >= 0 && position < m.set.Watchers
	for p := position; p > 0; {
		p = (p - 1) / m.set.FanOut
		t.candidates = append(t.candidates, own.hosts[p])
	}
	if position == 0 && root != m.set.Self.Host {
		t.candidates = append(t.candidates, root)
	}
	if root == m.set.Self.Host {
		t.fixed = others
	}
	t.candidates = append(t.candidates, regional...)
	t.candidates = append(t.candidates, own.hosts[:min(3, len(own.hosts))]...)
	t.candidates = append(t.candidates, others...)
	t.candidates = distinct(t.candidates, m.set.Self.Host)
}

// distinct keeps the first of each host, without self.
func distinct(hosts []core.HostID, self core.HostID) []core.HostID {
	var list []core.HostID
	for _, h := range hosts {
		if h != self && !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// parents are the hosts that this one asks now.
func (t *tree) parents() []core.HostID {
	list := slices.Clone(t.fixed)
	if len(t.candidates) > 0 {
		if h := t.candidates[t.current%len(t.candidates)]; !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// Watches reports whether this host watches the object API for others.
func (m *Machine) Watches() bool { return m.tree.watcher }

// workTree pings parents, tries another one where answers stop, and drops
// children that ping no more.
func (m *Machine) workTree(now core.Instant) {
	t := &m.tree
	m.failOver(now)
	parents := t.parents()
	for _, h := range parents {
		l := m.link(now, h)
		if !l.parent {
			l.parent, l.heard, l.attached = true, now, false
		}
		if now >= l.pingAt {
			l.pingAt = now.Add(m.set.Ping)
			m.out.Send(h, Message{Ping: &Ping{Echo: int64(now), Sum: m.sum, Version: m.conf.target.Version}})
		}
	}
	keep := m.links[:0]
	for _, l := range m.links {
		l.parent = l.parent && slices.Contains(parents, l.host)
		if l.child && now.Sub(l.pinged) > childGone {
			l.child = false
		}
		if l.parent || l.child || l.mesh {
			keep = append(keep, l)
		}
	}
	clear(m.links[len(keep):])
	m.links = keep
}

// failOver moves to the next candidate where the current one is silent.
func (m *Machine) failOver(now core.Instant) {
	t := &m.tree
	if len(t.candidates) < 2 {
		return
	}
	l := m.find(t.candidates[t.current%len(t.candidates)])
	silent := l != nil && l.parent && now.Sub(max(l.heard, t.since)) > pingsLost*m.set.Ping
	switch {
	case silent:
		t.current, t.since = t.current+1, now
		m.link(now, t.candidates[t.current%len(t.candidates)]).pingAt = now
	case t.current%len(t.candidates) != 0 && now.Sub(t.since) > preferAgain:
		t.current, t.since = 0, now
	}
}
