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
}

// Times of the fleet.
const (
	// HeardFor is how long a host counts as heard after its last beat.
	HeardFor = 1200 * time.Millisecond
	// heardPerHost is added for each host beyond meshMost: beats pass through
	// others there.
	heardPerHost = 15 * time.Millisecond
	meshMost     = 12
	// forgetAfter is how long a registered host that is never heard still counts
	// as a part of the fleet.
	forgetAfter = 20 * time.Second
	// namesMost bounds the addresses that callers are told.
	namesMost = 64
)

type peer struct {
	Registration
	listed  core.Instant // since when the store lists it
	heard   core.Instant // 0: never
	ready   bool
	leaving bool
}

// Fleet is one host's view of all hosts.
type Fleet struct {
	self  Registration
	peers map[string]*peer      // by name, without this host
	hosts map[core.HostID]*peer // the same by process
}

// New returns the view of a host that knows nobody yet.
func New(self Registration) *Fleet {
	return &Fleet{self: self, peers: map[string]*peer{}, hosts: map[core.HostID]*peer{}}
}

// Listed takes a registration from the store.
func (f *Fleet) Listed(now core.Instant, r Registration) {
	if r.Name == f.self.Name {
		return
	}
	p := f.peers[r.Name]
	if p == nil || p.Host != r.Host {
		f.Unlisted(r.Name)
		p = &peer{Registration: r, listed: now, leaving: r.Leaving}
		f.peers[r.Name], f.hosts[r.Host] = p, p
		return
	}
	p.Registration = r
	p.leaving = p.leaving || r.Leaving
}

// Unlisted takes the news that a host's registration is gone.
func (f *Fleet) Unlisted(name string) {
	if p := f.peers[name]; p != nil {
		delete(f.hosts, p.Host)
		delete(f.peers, name)
	}
}

// Heard notes a message from a host. It reports whether the host is known.
func (f *Fleet) Heard(now core.Instant, from core.HostID, ready, leaving bool) bool {
	p := f.hosts[from]
	if p == nil {
		return false
	}
	p.heard, p.ready = now, ready
	p.leaving = p.leaving || leaving
	return true
}

func (f *Fleet) alive(now core.Instant, p *peer) bool {
	patience := HeardFor + time.Duration(max(len(f.peers)-meshMost, 0))*heardPerHost
	return p.heard != 0 && now.Sub(p.heard) < patience
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

// Part is the share of the fleet that this host hears, itself included.
func (f *Fleet) Part(now core.Instant) float64 {
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
	var all []Registration
	for _, p := range f.peers {
		if !p.gone(now) {
			all = append(all, p.Registration)
		}
	}
	Sort(all)
	return all
}

// Members returns the names of this host and of those heard lately that are not
// leaving, sorted. Without this host where it leaves itself.
func (f *Fleet) Members(now core.Instant) []core.HostID {
	var names []core.HostID
	if !f.self.Leaving {
		names = append(names, core.HostID(f.self.Name))
	}
	for _, p := range f.peers {
		if f.alive(now, p) && !p.leaving {
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

// Addresses are those that callers are told: the hosts that were heard lately
// and take requests; where none was heard, all that are registered.
func (f *Fleet) Addresses(now core.Instant, selfReady bool) []string {
	var heard, listed []string
	for _, p := range f.peers {
		if p.leaving || p.gone(now) {
			continue
		}
		if f.alive(now, p) && p.ready {
			heard = append(heard, p.Entry)
		}
		listed = append(listed, p.Entry)
	}
	names := heard
	if len(heard) == 0 && !selfReady {
		names = listed
	}
	if selfReady && !f.self.Leaving {
		names = append(names, f.self.Entry)
	}
	slices.Sort(names)
	return names[:min(len(names), namesMost)]
}

// Sort sorts registrations by name.
func Sort(all []Registration) {
	slices.SortFunc(all, func(a, b Registration) int { return cmp.Compare(a.Name, b.Name) })
}
