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
// act under, or the host that owned it before has handed it over or is dead.
// docs/design/ownership.md has the argument, spec/ownership the model.
package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// Defaults. DefaultTerm bounds how long the shards of a dead host stay without
// an owner; it must be longer than the takeover of a batch by another leader.
const (
	DefaultTerm         = 6 * time.Second
	DefaultRenew        = time.Second
	DefaultPoll         = 2 * time.Second
	DefaultMargin       = 250 * time.Millisecond
	DefaultSuspectAfter = 3500 * time.Millisecond
	DefaultStagger      = 300 * time.Millisecond
	DefaultCallTimeout  = 2 * time.Second
	DefaultWatchTimeout = 45 * time.Second
	DefaultBackoffMin   = 200 * time.Millisecond
	DefaultBackoffMax   = 3 * time.Second
	DefaultDriftPPM     = 500
	DefaultPollers      = 2
	DefaultBatchSize    = 32
	DefaultSmallFleet   = 8
	DefaultLog          = 256
)

// Settings configure the machine of one host. Zero durations and counts mean
// the default.
type Settings struct {
	Self         core.Member
	Term         time.Duration // of a lease, counted from before its heartbeat was sent
	Renew        time.Duration // between heartbeats, and between writes of a batch
	Poll         time.Duration // between reads of all heartbeats; a small fleet reads them every Renew
	Margin       time.Duration // added to the term before another host is fenced
	SuspectAfter time.Duration // a host without a heartbeat for so long is suspected
	Stagger      time.Duration // between the attempts of hosts that could take the same action
	CallTimeout  time.Duration // after which a call's result counts as unknown
	WatchTimeout time.Duration // the same for a watch
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	DriftPPM     int  // maximum deviation of a host's clock, in millionths
	Pollers      int  // hosts per failure domain that read all heartbeats
	BatchSize    int  // maximum number of hosts in one heartbeat object
	SmallFleet   int  // with up to this many members every host reads all heartbeats
	Log          int  // maximum number of changes kept in the head
	PollsItself  bool // this host reads all heartbeats in a fleet of any size
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
	duration(&s.Renew, DefaultRenew)
	duration(&s.Poll, DefaultPoll)
	duration(&s.Margin, DefaultMargin)
	duration(&s.SuspectAfter, DefaultSuspectAfter)
	duration(&s.Stagger, DefaultStagger)
	duration(&s.CallTimeout, DefaultCallTimeout)
	duration(&s.WatchTimeout, DefaultWatchTimeout)
	duration(&s.BackoffMin, DefaultBackoffMin)
	duration(&s.BackoffMax, DefaultBackoffMax)
	count(&s.DriftPPM, DefaultDriftPPM)
	count(&s.Pollers, DefaultPollers)
	count(&s.BatchSize, DefaultBatchSize)
	count(&s.SmallFleet, DefaultSmallFleet)
	count(&s.Log, DefaultLog)
	return s
}

// fenceAfter returns how long a heartbeat must stay unchanged by this host's
// clock until its sender's lease has certainly expired: the sender's clock may
// be slow and this one fast, each by the maximum drift.
func (s Settings) fenceAfter() time.Duration {
	const million = 1_000_000
	drift := s.Term * time.Duration(3*s.DriftPPM) / million
	return s.Term + drift + s.Margin
}
