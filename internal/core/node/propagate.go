package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/core/placement"
)

// topicCrashCounts holds the crash counts of fingerprints that ran on upstreams
// when these crashed.
const topicCrashCounts feed.Topic = 32

// Keys of feed.TopicMembers.
const (
	keyHead    = "head"
	keySettled = "settled"
)

// loadInterval is the minimum time between two published values of this host's load.
const loadInterval = 2 * time.Second

// minLoadChangePerMille is the minimum change of load that is published.
const minLoadChangePerMille = 100

// propagated is the state of the membership, the suspected hosts and the load that
// the node last passed to its machines and published.
type propagated struct {
	view          uint64
	joinedView    uint64 // the first view that this host was a member of
	lowestApplied uint64
	hosts         []core.HostID
	suspected     []core.HostID
	sequence      uint64 // of the values that this host publishes under its name
	loadPerMille  int    // last published
}

// propagate passes feed entries, membership, shard changes and configuration from
// the machine that received them to the others. It runs after every event.
func (n *Node) propagate() {
	for _, e := range n.feed.TakeChanged() {
		n.applyFeedEntry(e)
	}
	n.propagateMembership()
	n.propagateShardChanges()
	n.updateConfiguration()
}

// applyFeedEntry passes a changed feed entry to the machine that it is for. A value
// that can't be decoded is ignored.
func (n *Node) applyFeedEntry(e feed.Entry) {
	switch e.Key.Topic {
	case feed.TopicUpstream:
		var r placement.Residency
		if cbor.Unmarshal(e.Value, &r) == nil {
			n.applyPlacementResult(n.placement.ReceiveResidency(n.now, n.lease, r))
		}
	case topicCrashCounts:
		var s suspect.CrashCount
		if cbor.Unmarshal(e.Value, &s) == nil {
			n.applySuspectResult(n.suspect.ApplyPublished(n.now, []suspect.CrashCount{s}))
		}
	case feed.TopicMembers:
		n.applyMembership(e)
	}
}

func (n *Node) applyMembership(e feed.Entry) {
	switch e.Key.Name {
	case keyHead:
		n.applyLeaseOutput(n.lease.ApplyHead(n.now, e.Value, 0))
	case keySettled:
		n.applyLeaseOutput(n.lease.ApplyHead(n.now, nil, uint64(e.Stamp.Fence)))
	}
}

// publish sets a feed entry, which reaches all hosts.
func (n *Node) publish(k feed.Key, s feed.Stamp, value any) {
	b, err := cbor.Marshal(value)
	if err != nil {
		n.logDecision("feed", "unencodable", "")
		return
	}
	n.publishRaw(k, s, b)
}

func (n *Node) publishRaw(k feed.Key, s feed.Stamp, value []byte) {
	out, err := n.feed.Set(n.now, k, s, value)
	if err != nil {
		n.logDecision("feed", "too_large", "")
		return
	}
	n.applyFeedOutput(out)
}

func (n *Node) publishResidency(r placement.Residency) {
	k := feed.Key{Topic: feed.TopicUpstream, Name: string(r.Upstream)}
	n.publish(k, feed.Stamp{Fence: r.Fence, Seq: r.Seq}, r)
}

func (n *Node) publishCrashCount(s suspect.CrashCount) {
	const base = 36
	k := feed.Key{Topic: topicCrashCounts, Name: strconv.FormatUint(s.Fingerprint, base)}
	if _, known := n.feed.Get(k); s.Count == 0 && !known {
		return // cleared before it was published
	}
	n.publish(k, feed.Stamp{Seq: s.Serial}, s)
}

// propagateMembership passes a new view to the other machines, and publishes the
// view and the lowest applied view that the lease machine has.
func (n *Node) propagateMembership() {
	if v := n.lease.View(); v != n.propagated.view {
		n.propagated.view = v
		if n.propagated.joinedView == 0 && n.lease.Joined() {
			n.propagated.joinedView = v
		}
		n.feed.SetMembers(n.now, v, n.lease.Members())
		n.handleLostHosts()
		n.publishRaw(feed.Key{Topic: feed.TopicMembers, Name: keyHead}, feed.Stamp{Fence: core.Fence(v)}, n.lease.Head())
	}
	if s := n.lease.LowestAppliedView(); s > n.propagated.lowestApplied {
		n.propagated.lowestApplied = s
		n.publishRaw(feed.Key{Topic: feed.TopicMembers, Name: keySettled}, feed.Stamp{Fence: core.Fence(s)}, nil)
	}
}

// handleLostHosts reports the hosts that are no longer members to the machines that
// track state per host.
func (n *Node) handleLostHosts() {
	var present []core.HostID
	for _, m := range n.lease.Members() {
		present = append(present, m.Host)
	}
	for _, h := range n.propagated.hosts {
		if slices.Contains(present, h) {
			continue
		}
		n.limit.HostLost(n.now, h)
		n.applyPlacementResult(n.placement.HostLost(n.now, n.lease, h))
	}
	n.propagated.hosts = present
}

// propagateShardChanges moves the state of shards between owners. If a lease is lost
// and no successor is known (a store outage), the state stays with the machines:
// they check the lease before each use.
func (n *Node) propagateShardChanges() {
	for _, c := range n.lease.Changes() {
		n.logDecision("shard", changeReasons[c.Kind], "")
		switch c.Kind {
		case lease.HandoffNeeded:
			n.applyLeaseOutput(n.lease.HandOff(n.now, c.Shard, n.releaseShard(c.Shard)))
		case lease.StateReceived:
			n.adoptShard(c)
		}
	}
}

var changeReasons = map[lease.RightChangeKind]string{
	lease.RightGained:   "gained",
	lease.RightLost:     "lost",
	lease.HandoffNeeded: "departing",
	lease.StateReceived: "adopted",
}

// releaseShard stops acting for a shard and returns its state for the next owner.
func (n *Node) releaseShard(s core.Shard) []byte {
	if s.Kind == core.ShardWorkspace {
		return n.limit.HandOff(n.now, core.WorkspaceID(s.Name))
	}
	return n.placement.HandOff(n.now, s)
}

func (n *Node) adoptShard(c lease.RightChange) {
	if c.Shard.Kind == core.ShardWorkspace {
		n.limit.Adopt(n.now, core.WorkspaceID(c.Shard.Name), c.State, c.Host)
		return
	}
	n.applyPlacementResult(n.placement.Adopt(n.now, n.lease, c.Shard, c.State))
}

// publishLoad publishes this host's load and suspected hosts if they have changed.
func (n *Node) publishLoad() {
	if n.now < n.due.load {
		return
	}
	n.due.load = n.now.Add(loadInterval)
	const perMille = 1000
	load := min(perMille, n.requests.byArrival.Len()*perMille/n.settings.Capacity)
	if d := load - n.propagated.loadPerMille; d >= minLoadChangePerMille || d <= -minLoadChangePerMille {
		n.propagated.loadPerMille = load
		n.publishOwn(feed.TopicLoad, load)
	}
	suspected := n.lease.Suspected(n.now)
	if !slices.Equal(suspected, n.propagated.suspected) {
		n.propagated.suspected = suspected
		n.publishOwn(feed.TopicSuspects, suspected)
	}
}

// publishOwn publishes a value under this host's name.
func (n *Node) publishOwn(t feed.Topic, value any) {
	n.propagated.sequence++
	n.publish(feed.Key{Topic: t, Name: string(n.settings.Self.Host)}, feed.Stamp{Seq: n.propagated.sequence}, value)
}
