// Package placement decides which upstream holds which adapter, who may use it
// and when it may be taken away.
//
// One Machine runs on each host and plays three parts. As entry it finds an
// upstream for each of its callers' requests and asks that upstream's owner
// for a ticket. As owner of upstream shards it hands out tickets, keeps a pin
// for each until it is released, and orders loads and evictions. As owner of
// the loader shard it spends the fleet's one budget of adapter loads.
package placement

import (
	"time"

	"gentiancroft/internal/core"
)

// LoaderShard is the shard whose owner spends the load budget.
var LoaderShard = core.Shard{Kind: core.ShardLoader, Name: "default"}

// Settings of one host's placement. Zero fields take their defaults.
type Settings struct {
	Self      core.HostID
	Domain    core.Domain
	StoreRate float64 // adapter loads per second that the weight store allows
	InTransit int     // most loads under way at once

	Validity    time.Duration // of a ticket, counted from the asker's send
	OrderLinger time.Duration // most that an order or a dispatch takes to arrive
	ReportLag   time.Duration // most that an upstream's report is older than its poll
	Repeat      time.Duration // after which an unanswered message is sent again
	HoldEvery   time.Duration // between two accounts of an entry's tickets to an owner
	Silence     time.Duration // after which a silent holder is treated as gone
	LoadTimeout time.Duration // of one load order
	HalfLife    time.Duration // of the popularity estimate
	QueueLimit  int           // requests waiting at one upstream
}

// Defaults of the settings.
const (
	defaultStoreRate   = 3.0
	defaultInTransit   = 8
	defaultValidity    = 4 * time.Second
	defaultOrderLinger = time.Second
	defaultReportLag   = 2 * time.Second
	defaultRepeat      = time.Second
	defaultHoldEvery   = 3 * time.Second
	defaultSilence     = 15 * time.Second
	defaultLoadTimeout = 5 * time.Second
	defaultHalfLife    = 10 * time.Minute
	defaultQueueLimit  = 256
)

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

func (s Settings) withDefaults() Settings {
	s.StoreRate = orDefault(s.StoreRate, defaultStoreRate)
	s.InTransit = orDefault(s.InTransit, defaultInTransit)
	s.Validity = orDefault(s.Validity, defaultValidity)
	s.OrderLinger = orDefault(s.OrderLinger, defaultOrderLinger)
	s.ReportLag = orDefault(s.ReportLag, defaultReportLag)
	s.Repeat = orDefault(s.Repeat, defaultRepeat)
	s.HoldEvery = orDefault(s.HoldEvery, defaultHoldEvery)
	s.Silence = orDefault(s.Silence, defaultSilence)
	s.LoadTimeout = orDefault(s.LoadTimeout, defaultLoadTimeout)
	s.HalfLife = orDefault(s.HalfLife, defaultHalfLife)
	s.QueueLimit = orDefault(s.QueueLimit, defaultQueueLimit)
	return s
}

// evictionGuard is how long after taking an upstream over its owner evicts
// nothing: by then every ticket of a former owner has ended or its request
// has reached the upstream.
func (s Settings) evictionGuard() time.Duration { return s.Validity + s.OrderLinger }

// StuckBound is the longest that a pin outlives both its holder's last word
// and its request's end at the upstream, given a report every pollEvery.
func (s Settings) StuckBound(pollEvery time.Duration) time.Duration {
	s = s.withDefaults()
	return s.Silence + s.evictionGuard() + s.ReportLag + pollEvery
}
