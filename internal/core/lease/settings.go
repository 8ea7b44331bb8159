// Package lease decides which hosts are members, who owns each shard, and when
// a host may act on it.
//
// Two kinds of objects in the object API carry it. members/head is the ordered
// list of views: each change of membership makes the next version by one
// conditional update. members/beats/DOMAIN/N holds the heartbeats of one batch
// of hosts in one failure domain; a leader, one of these hosts, writes them all
// in one conditional update, so writes grow with batches, not with hosts.
//
// A host acts on a shard only while its lease runs on its own clock and while
// it has owned the shard in every view that some live host may still act under
// (or has been handed it by the one that did). docs/design/ownership.md has the
// argument, spec/ownership the model.
package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// Default durations. Term bounds how long a dead host's shards stay without an
// owner; it must outlast the takeover of a batch by another leader.
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

// Settings of one host's machine. Zero durations and counts mean the default.
type Settings struct {
	Self         core.Member
	Term         time.Duration // a lease, counted from before its heartbeat was sent
	Renew        time.Duration // between heartbeats, and between writes of a batch
	Poll         time.Duration // between readings of all heartbeats; a small fleet reads each Renew
	Margin       time.Duration // added to the term before another host is fenced
	SuspectAfter time.Duration // without a heartbeat, a host is suspected
	Stagger      time.Duration // between the turns of hosts that could do the same thing
	CallTimeout  time.Duration // an object call without an answer counts as unknown
	WatchTimeout time.Duration // the same of a waiting watch
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	DriftPPM     int  // most that a host's clock runs fast or slow, millionths
	Pollers      int  // hosts per failure domain that read the heartbeats
	BatchSize    int  // most hosts in one heartbeat object
	SmallFleet   int  // up to so many members every host reads for itself
	Log          int  // changes kept in the head
	PollsItself  bool // reads for itself in any fleet
}

// withDefaults fills what was left zero.
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

// fenceAfter is how long a heartbeat must have stood unchanged on this host's
// clock before its sender's lease has surely ended: the sender's clock may be
// slow and this one fast, each by the bound.
func (s Settings) fenceAfter() time.Duration {
	const million = 1_000_000
	drift := s.Term * time.Duration(3*s.DriftPPM) / million
	return s.Term + drift + s.Margin
}
