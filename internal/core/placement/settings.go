// Package placement decides which adapter is loaded on which upstream, which
// requests may use it, and when it is evicted.
//
// Inputs are the configuration, ticket requests, upstream reports, residency
// published by other hosts, messages of their placement and the ownership of
// shards. The callers carry out its effects: they send messages and adapter
// orders, poll upstreams and dispatch requests.
//
// One Machine runs on each host and has three roles. As entry host it chooses
// an upstream for each of its callers' requests and requests a ticket from that
// upstream's owner. As owner of upstream shards it issues tickets, keeps a pin
// for each until its release, and orders loads and evictions. As owner of the
// loader shard it spends the fleet's budget of adapter loads.
package placement

import (
	"time"

	"gentiancroft/internal/core"
)

// LoaderShard is the shard whose owner spends the load budget.
var LoaderShard = core.Shard{Kind: core.ShardLoader, Name: "default"}

// Settings of one host's placement. Zero and negative values are replaced by
// defaults.
type Settings struct {
	Self              core.HostID
	Domain            core.Domain
	MaxLoadsPerSecond float64 // adapter loads per second that the weight store allows
	MaxInFlightLoads  int     // maximum number of loads under way

	TicketTTL           time.Duration // of a ticket, from the send time of its request
	MaxOrderDelay       time.Duration // longest time until an order or a dispatch arrives
	MaxReportLag        time.Duration // longest time that a report is older than its poll
	RetryInterval       time.Duration // retry interval of unanswered messages
	OutstandingInterval time.Duration // interval of lists of outstanding requests to an owner
	EntryTimeout        time.Duration // timeout after which the entry host of a pin counts as lost
	LoadTimeout         time.Duration // of one load order
	PopularityHalfLife  time.Duration // half-life of the popularity
	MaxQueued           int           // maximum number of requests waiting at one upstream
}

// Defaults of the settings.
const (
	defaultStoreRate           = 3.0
	defaultMaxInFlightLoads    = 8
	defaultTicketTTL           = 4 * time.Second
	defaultMaxOrderDelay       = time.Second
	defaultMaxReportLag        = 2 * time.Second
	defaultRetryInterval       = time.Second
	defaultOutstandingInterval = 3 * time.Second
	defaultEntryTimeout        = 15 * time.Second
	defaultLoadTimeout         = 5 * time.Second
	defaultHalfLife            = 10 * time.Minute
	defaultQueueLimit          = 256
)

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

func (s Settings) withDefaults() Settings {
	s.MaxLoadsPerSecond = orDefault(s.MaxLoadsPerSecond, defaultStoreRate)
	s.MaxInFlightLoads = orDefault(s.MaxInFlightLoads, defaultMaxInFlightLoads)
	s.TicketTTL = orDefault(s.TicketTTL, defaultTicketTTL)
	s.MaxOrderDelay = orDefault(s.MaxOrderDelay, defaultMaxOrderDelay)
	s.MaxReportLag = orDefault(s.MaxReportLag, defaultMaxReportLag)
	s.RetryInterval = orDefault(s.RetryInterval, defaultRetryInterval)
	s.OutstandingInterval = orDefault(s.OutstandingInterval, defaultOutstandingInterval)
	s.EntryTimeout = orDefault(s.EntryTimeout, defaultEntryTimeout)
	s.LoadTimeout = orDefault(s.LoadTimeout, defaultLoadTimeout)
	s.PopularityHalfLife = orDefault(s.PopularityHalfLife, defaultHalfLife)
	s.MaxQueued = orDefault(s.MaxQueued, defaultQueueLimit)
	return s
}

// evictionGuard is how long a new owner of an upstream evicts nothing: by then
// every ticket of a former owner has expired or its request has reached the
// upstream.
func (s Settings) evictionGuard() time.Duration { return s.TicketTTL + s.MaxOrderDelay }

// StuckBound returns the longest time that a pin outlives both the last message
// of its entry host and the end of its request at the upstream, given a report
// every pollInterval.
func (s Settings) StuckBound(pollInterval time.Duration) time.Duration {
	s = s.withDefaults()
	return s.EntryTimeout + s.evictionGuard() + s.MaxReportLag + pollInterval
}
