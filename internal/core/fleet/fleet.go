// Package fleet keeps one host's state of the other hosts. From the registrations in
// the store and the heartbeats received it decides which hosts are reachable, which
// are active, and which addresses callers get. Sending heartbeats and writing
// registrations is left to the caller.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Registration is the entry that a host writes into the store about itself.
type Registration struct {
	Name    string      `json:"name"`  // the same over restarts
	Host    core.HostID `json:"host"`  // changes with each restart
	Link    string      `json:"link"`  // ip:port for links of other hosts
	Entry   string      `json:"entry"` // address for callers
	Domain  core.Domain `json:"domain"`
	Key     string      `json:"key"` // fingerprint of the certificate of its links
	Leaving bool        `json:"leaving"`

	Capacity float64 `json:"capacity,omitempty"` // cores that it may use; 0 counts as 1
	Era      uint64  `json:"era,omitempty"`      // of the store when it was written
}

// Timeouts and bounds.
const (
	// HeartbeatTimeout is how long after its last heartbeat a host counts as reachable.
	HeartbeatTimeout = 1200 * time.Millisecond
	// relayedTimeout is the same for an active host as seen by a standby host, which
	// gets some heartbeats through others.
	relayedTimeout = 1800 * time.Millisecond
	// standbyTimeout is the same for a standby host.
	standbyTimeout = 3500 * time.Millisecond
	// peerTTL is how long a registered host without heartbeats still counts as part of
	// the fleet.
	peerTTL = 20 * time.Second
	// maxAddresses bounds the addresses that callers get.
	maxAddresses = 64
)

// peer is another registered host.
type peer struct {
	Registration
	listedAt      core.Instant // since when this process is registered
	lastHeartbeat core.Instant // received from the host or relayed; 0: never
	lastDirect    core.Instant // received from the host; 0: never
	ready         bool
	leaving       bool
	active        bool
	wasActive     bool // it has been active and reachable since it was registered
	sendsRarely   bool // its heartbeats come as rarely as those of a standby host

	promoted bool // active in place of an unreachable host
}

// Fleet is one host's view of all hosts.
type Fleet struct {
	self   Registration
	peers  map[string]*peer      // by name, without this host
	hosts  map[core.HostID]*peer // the same by process id
	shorts map[uint32]*peer      // the same by core.ShortHash of the name
	digest uint64                // of the registrations; 0: not computed yet

	large      bool // not all hosts are active
	selfActive bool

	selfPromoted bool // this host is active in place of an unreachable one
}

// New returns a fleet that contains only this host, which is active.
func New(self Registration) *Fleet {
	return &Fleet{
		self:       self,
		peers:      map[string]*peer{},
		hosts:      map[core.HostID]*peer{},
		shorts:     map[uint32]*peer{},
		selfActive: true,
	}
}

// UpdateRegistration adds or updates a registration, in this era of the store. It reports
// whether this changed anything; this host's own registration is ignored. One of an
// earlier era may be that of a process that has ended, so that it doesn't replace the
// one of another process.
func (f *Fleet) UpdateRegistration(now core.Instant, r Registration, era uint64) bool {
	if r.Name == f.self.Name {
		return false
	}
	p := f.peers[r.Name]
	if p != nil && p.Host != r.Host && r.Era < era {
		return false
	}
	if p == nil || p.Host != r.Host {
		f.RemoveRegistration(r.Name)
		p = &peer{Registration: r, listedAt: now, leaving: r.Leaving, active: !f.large}
		f.peers[r.Name], f.hosts[r.Host], f.shorts[core.ShortHash(r.Name)] = p, p, p
		f.digest = 0
		return true
	}
	changed := p.Registration != r
	p.Registration = r
	p.leaving = p.leaving || r.Leaving
	return changed
}

// Digest returns a hash of the registered processes, including this one.
func (f *Fleet) Digest() uint64 {
	if f.digest != 0 {
		return f.digest
	}
	sum := core.Fingerprint(0, f.self.Name, string(f.self.Host))
	for _, p := range f.peers {
		sum += core.Fingerprint(0, p.Name, string(p.Host))
	}
	f.digest = sum
	return sum
}

// RemoveRegistration removes a registration.
func (f *Fleet) RemoveRegistration(name string) {
	if p := f.peers[name]; p != nil {
		delete(f.hosts, p.Host)
		delete(f.peers, name)
		delete(f.shorts, core.ShortHash(name))
		f.digest = 0
	}
}

// ReceiveHeartbeat records a heartbeat of a host; direct means that it came from the
// host itself. It returns false for a host that isn't registered.
func (f *Fleet) ReceiveHeartbeat(now core.Instant, from core.HostID, direct, ready, leaving bool) bool {
	p := f.hosts[from]
	if p == nil {
		return false
	}
	p.lastHeartbeat, p.ready, p.sendsRarely = now, ready, !p.active
	if direct {
		p.lastDirect = now
	}
	p.leaving = p.leaving || leaving
	return true
}

// reachable reports whether a heartbeat of the peer came within its timeout.
func (f *Fleet) reachable(now core.Instant, p *peer) bool {
	return p.lastHeartbeat != 0 && now.Sub(p.lastHeartbeat) < f.heartbeatTimeout(p)
}

// heartbeatTimeout is how long after its last heartbeat a peer counts as reachable. It follows
// from the role in which the peer sent that heartbeat: an active host that has become unreachable
// doesn't become reachable again as a standby host.
func (f *Fleet) heartbeatTimeout(p *peer) time.Duration {
	switch {
	case p.sendsRarely:
		return standbyTimeout
	case !f.selfActive:
		return relayedTimeout
	}
	return HeartbeatTimeout
}

// expired reports whether a peer has been unreachable so long that it no longer counts
// as part of the fleet.
func (p *peer) expired(now core.Instant) bool {
	return now.Sub(max(p.lastHeartbeat, p.listedAt)) > peerTTL
}

// ByName returns another host's registration by the host's name.
func (f *Fleet) ByName(name string) (Registration, bool) {
	if p := f.peers[name]; p != nil {
		return p.Registration, true
	}
	return Registration{}, false
}

// ByHostID returns another host's registration by its process id.
func (f *Fleet) ByHostID(h core.HostID) (Registration, bool) {
	if p := f.hosts[h]; p != nil {
		return p.Registration, true
	}
	return Registration{}, false
}

// Reachable reports whether another host is reachable.
func (f *Fleet) Reachable(now core.Instant, h core.HostID) bool {
	p := f.hosts[h]
	return p != nil && f.reachable(now, p)
}

// HeartbeatAge is the time since the last heartbeat of another host; 0: none was received.
func (f *Fleet) HeartbeatAge(now core.Instant, h core.HostID) time.Duration {
	p := f.hosts[h]
	if p == nil || p.lastHeartbeat == 0 {
		return 0
	}
	return now.Sub(p.lastHeartbeat)
}

// ReachableFraction is the fraction of the fleet that this host reaches, itself
// included, in (0, 1]. In a large fleet it is a fraction of the capacity of the hosts
// that are active or were until they became unreachable; standby hosts don't count.
func (f *Fleet) ReachableFraction(now core.Instant) float64 {
	if f.large {
		return f.reachableActiveFraction(now)
	}
	total, reached := 1, 1
	for _, p := range f.peers {
		if p.expired(now) {
			continue
		}
		total++
		if f.reachable(now, p) {
			reached++
		}
	}
	return float64(reached) / float64(total)
}

// Size is the number of hosts in the fleet, this one included.
func (f *Fleet) Size(now core.Instant) int {
	all := 1
	for _, p := range f.peers {
		if !p.expired(now) {
			all++
		}
	}
	return all
}

// Peers returns the registrations of the other hosts of the fleet, sorted by name.
func (f *Fleet) Peers(now core.Instant) []Registration {
	return f.registrations(func(p *peer) bool { return !p.expired(now) })
}

// registrations returns those of the peers that keep selects, sorted by name.
func (f *Fleet) registrations(keep func(*peer) bool) []Registration {
	var all []Registration
	for _, p := range f.peers {
		if keep(p) {
			all = append(all, p.Registration)
		}
	}
	Sort(all)
	return all
}

// Members returns the names of the reachable active hosts that are not leaving,
// sorted. This host is included if it is active and not leaving.
func (f *Fleet) Members(now core.Instant) []core.HostID {
	var names []core.HostID
	if f.selfActive && !f.self.Leaving {
		names = append(names, core.HostID(f.self.Name))
	}
	for _, p := range f.peers {
		if p.active && f.reachable(now, p) && !p.leaving {
			names = append(names, core.HostID(p.Name))
		}
	}
	slices.Sort(names)
	return names
}

// Leave marks this host as leaving.
func (f *Fleet) Leave() { f.self.Leaving = true }

// Trusted reports whether a host is registered with this certificate fingerprint.
func (f *Fleet) Trusted(h core.HostID, key string) bool {
	p := f.hosts[h]
	return p != nil && p.Key == key
}

// Addresses returns the addresses for callers, sorted: those of the reachable active
// hosts that are ready; if there are none, of all reachable hosts that are ready; if
// there are none, of all registered hosts. Leaving hosts are left out.
func (f *Fleet) Addresses(now core.Instant, selfReady bool) []string {
	var active, readyHosts, registered []string
	add := func(entry string, isActive bool) {
		readyHosts = append(readyHosts, entry)
		if isActive {
			active = append(active, entry)
		}
	}
	for _, p := range f.peers {
		if p.leaving || p.expired(now) {
			continue
		}
		if f.reachable(now, p) && p.ready {
			add(p.Entry, p.active)
		}
		registered = append(registered, p.Entry)
	}
	if selfReady && !f.self.Leaving {
		add(f.self.Entry, f.selfActive)
	}
	addresses := registered
	switch {
	case len(active) > 0:
		addresses = active
	case len(readyHosts) > 0:
		addresses = readyHosts
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), maxAddresses)]
}

// Sort sorts registrations by name.
func Sort(all []Registration) {
	slices.SortFunc(all, func(a, b Registration) int { return cmp.Compare(a.Name, b.Name) })
}
