package node

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/once"
	"gentiancroft/internal/core/dispatch/retry"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/placement"
)

// Settings of one node. New sets the Self of each machine's settings. Zero values
// of the other fields stand for the defaults.
type Settings struct {
	Self      core.Member
	Seed      uint64
	Lease     lease.Settings
	Feed      feed.Settings
	Limit     limit.Settings
	Placement placement.Settings
	Retry     retry.Settings

	PollInterval        time.Duration // interval of an owner's polls of an upstream
	ListInterval        time.Duration // interval of reads of the platform's host list
	RequestRefusalDelay time.Duration // how long a leaving host still accepts requests
	DrainTimeout        time.Duration // maximum time that a leaving host waits for requests in flight
	Capacity            int           // requests in flight at which this host is fully utilized
}

// Defaults of Settings.
const (
	DefaultPollInterval        = 250 * time.Millisecond
	DefaultListInterval        = time.Second
	DefaultRequestRefusalDelay = 10 * time.Second
	DefaultDrainTimeout        = time.Hour
	DefaultCapacity            = 512
)

func (s *Settings) setDefaults() {
	core.OrDefault(&s.PollInterval, DefaultPollInterval)
	core.OrDefault(&s.ListInterval, DefaultListInterval)
	core.OrDefault(&s.RequestRefusalDelay, DefaultRequestRefusalDelay)
	core.OrDefault(&s.DrainTimeout, DefaultDrainTimeout)
	core.OrDefault(&s.Capacity, DefaultCapacity)
	s.Lease.Self = s.Self
	s.Feed.Self = s.Self
	s.Limit.Self = s.Self.Host
	s.Placement.Self = s.Self.Host
	s.Placement.Domain = s.Self.Domain
}

// Node makes all decisions of one host. It is not safe for concurrent use.
type Node struct {
	settings     Settings
	rng          *core.Rand
	now          core.Instant
	effects      []Effect
	selfMessages []PeerMessage // sent by this host to itself, not handled yet
	lease        *lease.Machine
	feed         *feed.Machine
	limit        *limit.Machine
	placement    *placement.Machine
	once         *once.Machine
	suspect      *suspect.Machine
	retries      *retry.Budget
	decoder      config.Decoder
	snapshot     *config.Snapshot
	requests     *requestTable
	calls        pendingCalls
	propagated   propagated
	listed       hostList
	due          due
	leaving      leaveState
	cutOffSince  core.Instant // since when the configuration may be outdated; 0: it is not
}

// due holds the times at which periodic work is next done.
type due struct {
	poll core.Instant
	list core.Instant
	load core.Instant
}

// New returns the node of a host that is not a member yet and has no
// configuration.
func New(s Settings) *Node {
	s.setDefaults()
	rng := core.NewRand(s.Seed)
	return &Node{
		settings:  s,
		rng:       rng,
		lease:     lease.New(s.Lease, core.NewRand(rng.Uint64())),
		feed:      feed.New(s.Feed, core.NewRand(rng.Uint64())),
		limit:     limit.New(s.Limit, core.NewRand(rng.Uint64())),
		placement: placement.New(s.Placement, core.NewRand(rng.Uint64())),
		once:      once.New(s.Self.Host, core.NewRand(rng.Uint64())),
		suspect:   suspect.New(s.Self.Host, core.NewRand(rng.Uint64())),
		retries:   retry.NewBudget(0, s.Retry),
		requests:  newRequestTable(),
		calls:     pendingCalls{open: map[uint64]pendingCall{}},
	}
}

// Step handles one event and returns the effects to carry out, in order. Time
// never goes back: an earlier now counts as the latest one.
func (n *Node) Step(now core.Instant, event Event) []Effect {
	n.now = max(n.now, now)
	n.effects = nil
	switch e := event.(type) {
	case RequestArrived:
		n.handleArrival(e)
	case CallerGone:
		n.handleCallerGone(e)
	case FirstByteSent:
		n.handleFirstByte(e)
	case AttemptEnded:
		n.handleAttemptEnd(e)
	case ReportReceived:
		n.applyPlacementResult(n.placement.Report(n.now, n.lease, e.UpstreamReport))
	case OrderDone:
		n.applyPlacementResult(n.placement.OrderDone(n.now, n.lease, e.OrderDone))
	case ObjectDone:
		n.routeObjectResult(e.Result)
	case MessageReceived:
		n.handlePeerMessage(e)
	case HostListRead:
		n.updateHostList(e)
	case Tick:
		n.tick()
	case Leave:
		n.startLeave()
	case Query:
		e.Do(n, n.now)
	}
	n.deliverToSelf()
	n.propagate()
	n.deliverToSelf()
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) logDecision(name, reason string, id core.RequestID) {
	n.emit(LogDecision{Name: name, Reason: reason, ID: id})
}

// tick runs the timers of every machine and of the node.
func (n *Node) tick() {
	n.applyLeaseOutput(n.lease.Tick(n.now))
	n.applyFeedOutput(n.feed.Tick(n.now))
	n.applyLimitResult(n.limit.Tick(n.now, n.lease))
	n.applyPlacementResult(n.placement.Tick(n.now, n.lease))
	n.applyOnceResult(n.once.Tick(n.now, n.lease))
	n.applySuspectResult(n.suspect.Tick(n.now, n.lease))
	n.refuseExpired()
	n.failClosed()
	n.poll()
	n.publishLoad()
	n.advanceLeave()
}

// poll requests the reports of the upstreams that this host owns, and the
// platform's host list, when they are due.
func (n *Node) poll() {
	if n.now >= n.due.poll {
		n.due.poll = n.now.Add(n.settings.PollInterval)
		for _, id := range n.placement.OwnedUpstreams() {
			if u := n.upstream(id); u != nil {
				n.emit(PollUpstream{Upstream: id, Address: u.Address})
			}
		}
	}
	if n.now >= n.due.list {
		n.due.list = n.now.Add(n.settings.ListInterval)
		n.emit(ListHosts{})
	}
}

func (n *Node) upstream(id core.UpstreamID) *config.Upstream {
	if n.snapshot == nil {
		return nil
	}
	return n.snapshot.Upstream(id)
}

// hostList holds the leaving hosts and upstreams of the platform's list, which
// lags behind.
type hostList struct {
	leaving   []string          // sorted
	upstreams []core.UpstreamID // the leaving ones among them that are upstreams, sorted
}

func (n *Node) updateHostList(e HostListRead) {
	n.listed = hostList{}
	for _, h := range e.Hosts {
		if !h.Leaving {
			continue
		}
		n.listed.leaving = append(n.listed.leaving, h.Name)
		if n.upstream(core.UpstreamID(h.Name)) != nil {
			n.listed.upstreams = append(n.listed.upstreams, core.UpstreamID(h.Name))
		}
	}
	slices.Sort(n.listed.leaving)
	slices.Sort(n.listed.upstreams)
	n.applyPlacementResult(n.placement.SetLeavingUpstreams(n.now, n.lease, n.listed.upstreams))
}
