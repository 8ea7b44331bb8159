package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/shard"
)

// HostsPrefix is the key prefix of the hosts' registrations in the store.
const HostsPrefix = "gentiancroft-hosts/"

// Settings of a host. Zero fields that have a default take it.
type Settings struct {
	Self                fleet.Registration
	Seed                uint64
	FirstStart          bool // the whole deployment starts, not only this host
	Shard               shard.Settings
	Residency           residency.Settings
	RetryShare          float64       // retries per first attempt, over the whole fleet
	RetrySlack          float64       // additional retries in RetryWindow, over the whole fleet
	RetryWindow         time.Duration // of RetrySlack
	VersionGrace        time.Duration // how long requests are sent to an older version after a newer one was announced
	VersionExpiry       time.Duration // how long after that announcement they may begin on the older one
	HeartbeatInterval   time.Duration // heartbeat interval of an active host, before the addition per receiver
	Evacuation          time.Duration // after an evacuation was written, no requests may reach its domain; 0: evacuations are ignored
	StreamRefusalDelay  time.Duration // from Leave to the refusal of new streams
	RequestRefusalDelay time.Duration // from Leave to the refusal of new requests
	LeaveTimeout        time.Duration // from Leave to the end, even with requests in flight
}

// Defaults of Settings.
const (
	DefaultRetryShare          = 0.2
	DefaultRetrySlack          = 50
	DefaultRetryWindow         = 10 * time.Second
	DefaultVersionGrace        = 3 * time.Second
	DefaultVersionExpiry       = 4500 * time.Millisecond
	DefaultHeartbeatInterval   = 100 * time.Millisecond
	DefaultStreamRefusalDelay  = 2800 * time.Millisecond
	DefaultRequestRefusalDelay = 5500 * time.Millisecond
	DefaultLeaveTimeout        = 7500 * time.Millisecond
)

// discoveryTime is how long the hosts of a new deployment take to find each other. No
// host sends heartbeats before that: the first few would count a small fleet, in which
// every host has a link to every other one.
const discoveryTime = 600 * time.Millisecond

func (s *Settings) setDefaults() {
	core.OrDefault(&s.RetryShare, DefaultRetryShare)
	core.OrDefault(&s.RetrySlack, DefaultRetrySlack)
	core.OrDefault(&s.RetryWindow, DefaultRetryWindow)
	core.OrDefault(&s.VersionGrace, DefaultVersionGrace)
	core.OrDefault(&s.VersionExpiry, DefaultVersionExpiry)
	s.VersionExpiry = max(s.VersionExpiry, s.VersionGrace)
	core.OrDefault(&s.HeartbeatInterval, DefaultHeartbeatInterval)
	core.OrDefault(&s.StreamRefusalDelay, DefaultStreamRefusalDelay)
	core.OrDefault(&s.RequestRefusalDelay, DefaultRequestRefusalDelay)
	core.OrDefault(&s.LeaveTimeout, DefaultLeaveTimeout)
	s.Shard.Self = core.HostID(s.Self.Name)
	s.Shard.Joining = !s.FirstStart
	s.Residency.Self = core.HostID(s.Self.Name)
	core.OrDefault(&s.Shard.StartDelay, 2*discoveryTime) // after the first heartbeats
}
