// Package lease decides which hosts are members, which host owns each shard,
// and when a host may act on it. Its inputs are time, the results of object
// calls, messages of other hosts, and heads that the feed delivers. Its caller
// carries out the calls, sends the messages and moves the shards' state.
//
// It keeps two kinds of objects in the object API. members/head is the
// membership with its version, the view: each change makes the next version by
// one conditional update. members/beats/DOMAIN/N holds the heartbeats of one
// batch of hosts in one failure domain. A leader, one of these hosts, writes
// them all in one conditional update, so the number of writes grows with the
// batches, not with the hosts.
//
// A host acts on a shard only while its lease is valid by its own clock, and
// only if it has owned the shard in every view that some live host may still
// act under, or its previous owner has handed it over or was removed.
// docs/design/ownership.md has the argument, spec/ownership the model.
package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// Defaults. DefaultTerm bounds how long the shards of a crashed host stay without
// an owner; it must be longer than the takeover of a batch by another leader.
const (
	DefaultTerm             = 6 * time.Second
	DefaultRenewInterval    = time.Second
	DefaultPollInterval     = 2 * time.Second
	DefaultFenceMargin      = 250 * time.Millisecond
	DefaultSuspectAfter     = 3500 * time.Millisecond
	DefaultStagger          = 300 * time.Millisecond
	DefaultCallTimeout      = 2 * time.Second
	DefaultWatchTimeout     = 45 * time.Second
	DefaultMinBackoff       = 200 * time.Millisecond
	DefaultMaxBackoff       = 3 * time.Second
	DefaultMaxDriftPPM      = 500
	DefaultPollersPerDomain = 2
	DefaultMaxBatchSize     = 32
	DefaultMaxSmallFleet    = 8
	DefaultMaxLogChanges    = 256
)

// Settings configure the machine of one host. Zero durations and counts mean
// the default.
type Settings struct {
	Self             core.Member
	Term             time.Duration // of a lease, counted from before its heartbeat was sent
	RenewInterval    time.Duration // between heartbeats, and between writes of a batch
	PollInterval     time.Duration // between reads of all heartbeats; a small fleet reads them every RenewInterval
	FenceMargin      time.Duration // added to the term before another host is fenced
	SuspectAfter     time.Duration // a host without a heartbeat for so long is suspected
	Stagger          time.Duration // between the attempts of hosts that could take the same action
	CallTimeout      time.Duration // after which a call's result counts as unknown
	WatchTimeout     time.Duration // the same for a watch
	MinBackoff       time.Duration
	MaxBackoff       time.Duration
	MaxDriftPPM      int  // maximum deviation of a host's clock, in millionths
	PollersPerDomain int  // hosts per failure domain that read all heartbeats
	MaxBatchSize     int  // maximum number of hosts in one heartbeat object
	MaxSmallFleet    int  // with up to this many members every host reads all heartbeats
	MaxLogChanges    int  // maximum number of changes kept in the head
	AlwaysPolls      bool // this host reads all heartbeats in a fleet of any size
}

// withDefaults returns the settings with zero values replaced by defaults.
func (s Settings) withDefaults() Settings {
	duration := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	count := func(n *int, def int) {
		if *n == 0 {
			*n = def
		}
	}
	duration(&s.Term, DefaultTerm)
	duration(&s.RenewInterval, DefaultRenewInterval)
	duration(&s.PollInterval, DefaultPollInterval)
	duration(&s.FenceMargin, DefaultFenceMargin)
	duration(&s.SuspectAfter, DefaultSuspectAfter)
	duration(&s.Stagger, DefaultStagger)
	duration(&s.CallTimeout, DefaultCallTimeout)
	duration(&s.WatchTimeout, DefaultWatchTimeout)
	duration(&s.MinBackoff, DefaultMinBackoff)
	duration(&s.MaxBackoff, DefaultMaxBackoff)
	count(&s.MaxDriftPPM, DefaultMaxDriftPPM)
	count(&s.PollersPerDomain, DefaultPollersPerDomain)
	count(&s.MaxBatchSize, DefaultMaxBatchSize)
	count(&s.MaxSmallFleet, DefaultMaxSmallFleet)
	count(&s.MaxLogChanges, DefaultMaxLogChanges)
	return s
}

// fenceAfter returns how long a heartbeat must stay unchanged by this host's
// clock until its sender's lease has certainly expired: the sender's clock may
// be slow and this one fast, each by the maximum drift.
func (s Settings) fenceAfter() time.Duration {
	const million = 1_000_000
	drift := s.Term * time.Duration(3*s.MaxDriftPPM) / million
	return s.Term + drift + s.FenceMargin
}
