package direct

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/shard"
)

// HostsPrefix begins the keys of the hosts' registrations.
const HostsPrefix = "gentiancroft-hosts/"

// Settings of a host.
type Settings struct {
	Self         fleet.Registration
	Seed         uint64
	FirstStart   bool // the whole deployment starts, not this host alone
	Shard        shard.Settings
	Residency    residency.Settings
	RetryShare   float64       // retries a first attempt, over the fleet
	RetrySlack   float64       // further retries in RetryWindow, over the fleet
	RetryWindow  time.Duration // of RetrySlack
	VersionGrace time.Duration // how long a version may still be used after a newer one is named
	Heartbeat    time.Duration // between two messages to the other hosts
	LeaveStreams time.Duration // from Leave to the refusal of new streams
	LeaveAfter   time.Duration // from Leave to the refusal of new requests
	LeaveBy      time.Duration // from Leave to the end, with or without requests in flight
}

// Defaults of Settings.
const (
	DefaultRetryShare   = 0.2
	DefaultRetrySlack   = 50
	DefaultRetryWindow  = 10 * time.Second
	DefaultVersionGrace = 3 * time.Second
	DefaultHeartbeat    = 100 * time.Millisecond
	DefaultLeaveStreams = 2800 * time.Millisecond
	DefaultLeaveAfter   = 5500 * time.Millisecond
	DefaultLeaveBy      = 7500 * time.Millisecond
)

// meetTime is how long the hosts of a new deployment take to find each other. None
// speaks to others before: a few of them would look like a small fleet, in which
// everyone has a link to everyone.
const meetTime = 600 * time.Millisecond

func (s *Settings) fill() {
	core.OrDefault(&s.RetryShare, DefaultRetryShare)
	core.OrDefault(&s.RetrySlack, DefaultRetrySlack)
	core.OrDefault(&s.RetryWindow, DefaultRetryWindow)
	core.OrDefault(&s.VersionGrace, DefaultVersionGrace)
	core.OrDefault(&s.Heartbeat, DefaultHeartbeat)
	core.OrDefault(&s.LeaveStreams, DefaultLeaveStreams)
	core.OrDefault(&s.LeaveAfter, DefaultLeaveAfter)
	core.OrDefault(&s.LeaveBy, DefaultLeaveBy)
	s.Shard.Self = core.HostID(s.Self.Name)
	s.Residency.Self = core.HostID(s.Self.Name)
	core.OrDefault(&s.Shard.Meet, 2*meetTime) // once the hosts have heard each other
}
