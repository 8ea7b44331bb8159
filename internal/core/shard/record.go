package shard

import (
	"time"

	"gentiancroft/internal/core"
)

// Record is a lease as stored.
type Record struct {
	Owner    core.HostID `json:"holder"`
	Fence    core.Fence  `json:"fence"`    // increases with each owner and after each expiry
	Renewals uint64      `json:"renewals"` // since this owner took over
	Released bool        `json:"released"`
	Era      uint64      `json:"era,omitempty"` // of the store when it was written, as the owner knew it

	// Levels are the workspaces' bucket levels at the renewal, as fractions of the
	// bursts, for hosts that start.
	Levels map[core.WorkspaceID]float64 `json:"levels,omitempty"`

	// Software is which software versions the replicas had at the renewal or before, for
	// hosts that start.
	Software SoftwareAges `json:"software,omitempty"`
	// SoftwareKnownMS is for how long, in ms, the owner had then known all versions; missing: it
	// hadn't.
	SoftwareKnownMS int64 `json:"softwareKnown,omitempty"`

	// Parts are the prompt parts under which replicas had ended at the renewal, for hosts that
	// start.
	Parts PartStates `json:"parts,omitempty"`

	// Suspects are the requests that were kept from replicas at the renewal, as they crash them, for hosts
	// that start.
	Suspects SuspectAges `json:"suspects,omitempty"`
}

// SuspectAges is how long ago, in ms, a request last crashed a replica, by its fingerprint in hexadecimal.
type SuspectAges = map[string]int64

// SuspectAges returns the suspects stored with the known leases, one element a lease.
func (m *Machine) SuspectAges() []SuspectAges {
	var all []SuspectAges
	for i := range m.leases {
		all = append(all, m.leases[i].record.Suspects)
	}
	return all
}

// PartStates is what is known of prompt parts under which replicas ended, by their identifiers.
type PartStates map[string]PartState

// PartState is what is known of one prompt part. Times are in ms.
type PartState struct {
	Rounds     int   `json:"rounds"`             // replicas lost in a row
	AnsweredMS int64 `json:"answered,omitempty"` // since the last known answer on it; 0: none is known
	Blocked    bool  `json:"blocked,omitempty"`  // it is kept from replicas
	AgeMS      int64 `json:"age,omitempty"`      // since it was blocked
	Trials     int   `json:"trials,omitempty"`   // requests with it that were tried since
	Failed     int   `json:"failed,omitempty"`   // of these, those under which a replica was lost
	NextMS     int64 `json:"next,omitempty"`     // until the next trial
}

// SoftwareAges is how long ago, in ms, a version of replicas' software was last observed, by
// service and version.
type SoftwareAges = map[string]map[string]int64

// PartStates returns the states of prompt parts stored with the known leases, one element a lease.
func (m *Machine) PartStates() []PartStates {
	var all []PartStates
	for i := range m.leases {
		all = append(all, m.leases[i].record.Parts)
	}
	return all
}

// Software is what a lease holds of the replicas' software versions.
type Software struct {
	Ages  SoftwareAges
	Known time.Duration // for how long its owner has known all of them
}

// Software returns what the known leases hold of the replicas' software versions, one element a
// lease. A lease of an earlier era may be older than what ran last.
func (m *Machine) Software() []Software {
	var all []Software
	for i := range m.leases {
		l := &m.leases[i]
		s := Software{Ages: l.record.Software}
		if !l.outdated {
			s.Known = max(time.Duration(l.record.SoftwareKnownMS)*time.Millisecond, 0)
		}
		all = append(all, s)
	}
	return all
}
