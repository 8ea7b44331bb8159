// Package fleet is what one host knows of the others: who is registered in the
// store, who has been heard lately, and which addresses callers are told.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Registration is a host as it writes itself into the store.
type Registration struct {
	Name    string      `json:"name"` // the same over restarts
	Host    core.HostID `json:"host"` // of this process
	Link    string      `json:"link"` // ip:port for other hosts
	Entry   string      `json:"entry"`
	Domain  core.Domain `json:"domain"`
	Key     string      `json:"key"` // fingerprint of the certificate of its links
	Leaving bool        `json:"leaving"`

	Capacity float64 `json:"capacity,omitempty"` // cores that it may use; 0: one
}

// Times of the fleet.
const (
	// HeardFor is how long a host counts as heard after its last heartbeat.
	HeardFor = 1200 * time.Millisecond
	// relayedFor is the same between an active host and one that stands by: it is
	// heard through others.
	relayedFor = 1800 * time.Millisecond
	// standbyFor is the same for a host that stands by.
	standbyFor = 3500 * time.Millisecond
	// forgetAfter is how long a registered host that is never heard still counts
	// as a part of the fleet.
	forgetAfter = 20 * time.Second
	// namesMost bounds the addresses that callers are told.
	namesMost = 64
)

type peer struct {
	Registration
	listed  core.Instant // since when the store lists it
	heard   core.Instant // itself or through others; 0: never
	direct  core.Instant // itself; 0: never
	ready   bool
	leaving bool
	active  bool
	served  bool // it has been active since it was listed

	substitute bool // active in the place of a lost host
}

// Fleet is one host's view of all hosts.
type Fleet struct {
	self   Registration
	peers  map[string]*peer      // by name, without this host
	hosts  map[core.HostID]*peer // the same by process
	shorts map[uint32]*peer      // the same by core.Short of the name
	digest uint64                // of the registrations; 0: to be made

	large      bool // not all hosts are active
	selfActive bool

	selfSubstitute bool
}

// New returns the view of a host that knows nobody yet.
func New(self Registration) *Fleet {
	return &Fleet{
		self:       self,
		peers:      map[string]*peer{},
		hosts:      map[core.HostID]*peer{},
		shorts:     map[uint32]*peer{},
		selfActive: true,
	}
}

// Listed takes a registration. It reports whether that is another host's and new.
func (f *Fleet) Listed(now core.Instant, r Registration) bool {
	if r.Name == f.self.Name {
		return false
	}
	p := f.peers[r.Name]
	if p == nil || p.Host != r.Host {
		f.Unlisted(r.Name)
		p = &peer{Registration: r, listed: now, leaving: r.Leaving, active: !f.large}
		f.peers[r.Name], f.hosts[r.Host], f.shorts[core.Short(r.Name)] = p, p, p
		f.digest = 0
		return true
	}
	changed := p.Registration != r
	p.Registration = r
	p.leaving = p.leaving || r.Leaving
	return changed
}

// Digest is of the processes that are registered, this one included.
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

// Unlisted takes the news that a host's registration is gone.
func (f *Fleet) Unlisted(name string) {
	if p := f.peers[name]; p != nil {
		delete(f.hosts, p.Host)
		delete(f.peers, name)
		delete(f.shorts, core.Short(name))
		f.digest = 0
	}
}

// Heard notes a heartbeat of a host, direct where the host told it itself. It
// reports whether the host is known.
func (f *Fleet) Heard(now core.Instant, from core.HostID, direct, ready, leaving bool) bool {
	p := f.hosts[from]
	if p == nil {
		return false
	}
	p.heard, p.ready = now, ready
	if direct {
		p.direct = now
	}
	p.leaving = p.leaving || leaving
	return true
}

func (f *Fleet) alive(now core.Instant, p *peer) bool {
	return p.heard != 0 && now.Sub(p.heard) < f.patience(p)
}

// patience is how long a host may be silent.
func (f *Fleet) patience(p *peer) time.Duration {
	switch {
	case !p.active:
		return standbyFor
	case !f.selfActive:
		return relayedFor
	}
	return HeardFor
}

// gone reports that a host has been silent so long that it can't count on its
// part any more.
func (p *peer) gone(now core.Instant) bool {
	return now.Sub(max(p.heard, p.listed)) > forgetAfter
}

// Named returns the registration of another host by its name.
func (f *Fleet) Named(name string) (Registration, bool) {
	if p := f.peers[name]; p != nil {
		return p.Registration, true
	}
	return Registration{}, false
}

// Of returns the registration of another host by its process.
func (f *Fleet) Of(h core.HostID) (Registration, bool) {
	if p := f.hosts[h]; p != nil {
		return p.Registration, true
	}
	return Registration{}, false
}

// Alive reports whether a host has been heard lately.
func (f *Fleet) Alive(now core.Instant, h core.HostID) bool {
	p := f.hosts[h]
	return p != nil && f.alive(now, p)
}

// Age is how long ago another host was last heard; 0: never.
func (f *Fleet) Age(now core.Instant, h core.HostID) time.Duration {
	p := f.hosts[h]
	if p == nil || p.heard == 0 {
		return 0
	}
	return now.Sub(p.heard)
}

// Part is the share of the fleet that this host hears, itself included. In a large
// fleet it is a share of the capacity that serves, or did until lately: hosts that
// stand by count for nothing.
func (f *Fleet) Part(now core.Instant) float64 {
	if f.large {
		return f.activePart(now)
	}
	all, heard := 1, 1
	for _, p := range f.peers {
		if p.gone(now) {
			continue
		}
		all++
		if f.alive(now, p) {
			heard++
		}
	}
	return float64(heard) / float64(all)
}

// Size is how many hosts the fleet has, this one included.
func (f *Fleet) Size(now core.Instant) int {
	all := 1
	for _, p := range f.peers {
		if !p.gone(now) {
			all++
		}
	}
	return all
}

// Peers returns the registrations of the other hosts that may be there, sorted.
func (f *Fleet) Peers(now core.Instant) []Registration {
	return f.registrations(func(p *peer) bool { return !p.gone(now) })
}

// registrations are those of the peers that keep chooses, sorted.
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

// Members returns the names of the active hosts that were heard lately and are not
// leaving, sorted; of this host too where it is one of them.
func (f *Fleet) Members(now core.Instant) []core.HostID {
	var names []core.HostID
	if f.selfActive && !f.self.Leaving {
		names = append(names, core.HostID(f.self.Name))
	}
	for _, p := range f.peers {
		if p.active && f.alive(now, p) && !p.leaving {
			names = append(names, core.HostID(p.Name))
		}
	}
	slices.Sort(names)
	return names
}

// Leave marks this host as leaving.
func (f *Fleet) Leave() { f.self.Leaving = true }

// Trusted reports whether a certificate with this fingerprint is a host's own.
func (f *Fleet) Trusted(h core.HostID, key string) bool {
	p := f.hosts[h]
	return p != nil && p.Key == key
}

// Addresses are those that callers are told: the active hosts that were heard
// lately and take requests; where there is none, all hosts that do; where none was
// heard, all that are registered.
func (f *Fleet) Addresses(now core.Instant, selfReady bool) []string {
	var active, heard, listed []string
	add := func(entry string, isActive bool) {
		heard = append(heard, entry)
		if isActive {
			active = append(active, entry)
		}
	}
	for _, p := range f.peers {
		if p.leaving || p.gone(now) {
			continue
		}
		if f.alive(now, p) && p.ready {
			add(p.Entry, p.active)
		}
		listed = append(listed, p.Entry)
	}
	if selfReady && !f.self.Leaving {
		add(f.self.Entry, f.selfActive)
	}
	names := listed
	switch {
	case len(active) > 0:
		names = active
	case len(heard) > 0:
		names = heard
	}
	slices.Sort(names)
	return names[:min(len(names), namesMost)]
}

// Sort sorts registrations by name.
func Sort(all []Registration) {
	slices.SortFunc(all, func(a, b Registration) int { return cmp.Compare(a.Name, b.Name) })
}
