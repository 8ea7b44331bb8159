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

// Settings of one node. The Self of each part is filled in.
type Settings struct {
	Self      core.Member
	Seed      uint64
	Lease     lease.Settings
	Feed      feed.Settings
	Limit     limit.Settings
	Placement placement.Settings
	Retry     retry.Settings

	PollEvery time.Duration // of an upstream by its owner
	ListEvery time.Duration // of the platform's host list
	KeepTime  time.Duration // how long a leaving host still takes requests
	Drain     time.Duration // most that a leaving host waits for what is in flight
	Capacity  int           // requests in flight at which this host counts as full
}

// Defaults of Settings.
const (
	DefaultPollEvery = 250 * time.Millisecond
	DefaultListEvery = time.Second
	DefaultKeepTime  = 10 * time.Second
	DefaultDrain     = time.Hour
	DefaultCapacity  = 512
)

func (s *Settings) fill() {
	core.OrDefault(&s.PollEvery, DefaultPollEvery)
	core.OrDefault(&s.ListEvery, DefaultListEvery)
	core.OrDefault(&s.KeepTime, DefaultKeepTime)
	core.OrDefault(&s.Drain, DefaultDrain)
	core.OrDefault(&s.Capacity, DefaultCapacity)
	s.Lease.Self = s.Self
	s.Feed.Self = s.Self
	s.Limit.Self = s.Self.Host
	s.Placement.Self = s.Self.Host
	s.Placement.Domain = s.Self.Domain
}

// Node is one host's decisions.
type Node struct {
	settings  Settings
	rng       *core.Rand
	now       core.Instant
	out       []Effect
	loop      []PeerMessage // from this host to itself
	lease     *lease.Machine
	feed      *feed.Machine
	limit     *limit.Machine
	placement *placement.Machine
	once      *once.Machine
	suspect   *suspect.Machine
	retries   *retry.Budget
	decoder   config.Decoder
	snapshot  *config.Snapshot
	requests  *table
	calls     calls
	members   members
	listed    listed
	due       due
	leaving   leaving
	cutSince  core.Instant // when this host found itself cut off, 0: it is not
}

// due is when periodic work is next done.
type due struct {
	poll core.Instant
	list core.Instant
	load core.Instant
}

// New returns the node of a host that is not a member yet and has no
// configuration.
func New(s Settings) *Node {
	s.fill()
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
		retries:   retry.NewBudget(s.Retry),
		requests:  newTable(),
		calls:     calls{open: map[uint64]call{}},
	}
}

// Step handles one event and returns what to do.
func (n *Node) Step(now core.Instant, event Event) []Effect {
	n.now = max(n.now, now)
	n.out = nil
	switch e := event.(type) {
	case Arrive:
		n.arrive(e)
	case Gone:
		n.gone(e)
	case FirstByte:
		n.firstByte(e)
	case Ended:
		n.ended(e)
	case Report:
		n.placementResult(n.placement.Report(n.now, n.lease, e.UpstreamReport))
	case OrderDone:
		n.placementResult(n.placement.OrderDone(n.now, n.lease, e.OrderDone))
	case ObjectDone:
		n.objectDone(e.Result)
	case FromPeer:
		n.fromPeer(e)
	case HostsListed:
		n.hostsListed(e)
	case Tick:
		n.tick()
	case Leave:
		n.leave()
	case Query:
		e.Do(n, n.now)
	}
	n.loopBack()
	n.spread()
	n.loopBack()
	return n.out
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) note(name, reason string, id core.RequestID) {
	n.emit(Note{Name: name, Reason: reason, ID: id})
}

// tick lets time pass in every machine.
func (n *Node) tick() {
	n.leaseOutput(n.lease.Tick(n.now))
	n.feedOutput(n.feed.Tick(n.now))
	n.limitResult(n.limit.Tick(n.now, n.lease))
	n.placementResult(n.placement.Tick(n.now, n.lease))
	n.onceResult(n.once.Tick(n.now, n.lease))
	n.suspectResult(n.suspect.Tick(n.now, n.lease))
	n.expire()
	n.failClosed()
	n.poll()
	n.publishLoad()
	n.leaveOn()
}

// poll asks the upstreams that this host owns for their reports, and the
// platform for its list.
func (n *Node) poll() {
	if n.now >= n.due.poll {
		n.due.poll = n.now.Add(n.settings.PollEvery)
		for _, id := range n.placement.Polls() {
			if u := n.upstream(id); u != nil {
				n.emit(Poll{Upstream: id, Address: u.Address})
			}
		}
	}
	if n.now >= n.due.list {
		n.due.list = n.now.Add(n.settings.ListEvery)
		n.emit(ListHosts{})
	}
}

func (n *Node) upstream(id core.UpstreamID) *config.Upstream {
	if n.snapshot == nil {
		return nil
	}
	return n.snapshot.Upstream(id)
}

// listed is the platform's lagging list, as far as it says who is leaving.
type listed struct {
	leaving   []string // sorted
	upstreams []core.UpstreamID
}

func (n *Node) hostsListed(e HostsListed) {
	n.listed = listed{}
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
	n.placementResult(n.placement.Leaving(n.now, n.lease, n.listed.upstreams))
}
