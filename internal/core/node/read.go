package node

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/directory"
	"gentiancroft/internal/core/feed"
)

// Ready reports whether this host serves callers, and if not why.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.begun:
		return false, "leaving"
	case n.snapshot == nil:
		return false, "no configuration"
	case !n.lease.Joined():
		return false, "not a member yet"
	case n.members.joined == 0 || n.members.settled < n.members.joined:
		return false, "ownership not settled yet"
	case n.feed.CutOff(n.now):
		return false, "cut off"
	}
	return true, "ready"
}

// Snapshot is the configuration in force, or nil.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot }

// Members is the membership in force.
func (n *Node) Members() []core.Member { return n.lease.Members() }

// Owns reports whether this host may act for a shard now.
func (n *Node) Owns(s core.Shard) bool {
	_, ok := n.lease.Acting(n.now, s)
	return ok
}

// InFlight is how many requests this host answers for.
func (n *Node) InFlight() int { return n.requests.order.Len() }

// Entries tells the holder of a key which hosts to use. Without a valid key it
// names hosts all the same, but no workspace's homes.
func (n *Node) Entries(keyHash string, domain core.Domain) directory.Answer {
	in := directory.Input{
		Members:   n.lease.Members(),
		Suspected: n.suspected(),
		Leaving:   n.listed.leaving,
		Load:      n.loads(),
		Domain:    domain,
		Seed:      n.rng.Uint64(),
	}
	if n.snapshot != nil {
		if k := n.snapshot.Key(keyHash); k != nil {
			in.Workspace = k.Workspace
			in.Share = n.share(k.Workspace)
		}
	}
	return directory.Entries(in)
}

// share is a workspace's part of all rates.
func (n *Node) share(ws core.WorkspaceID) float64 {
	var own, all int64
	for _, w := range n.snapshot.Document.Workspaces {
		all += w.Rate
		if w.ID == ws {
			own = w.Rate
		}
	}
	if all == 0 {
		return 0
	}
	return float64(own) / float64(all)
}

// suspected joins what this host and the watchers that are members suspect.
func (n *Node) suspected() []core.HostID {
	all := slices.Clone(n.lease.Suspected(n.now))
	for _, e := range n.feed.Topic(feed.TopicSuspects) {
		if !slices.Contains(n.members.hosts, core.HostID(e.Key.Name)) {
			continue
		}
		var hosts []core.HostID
		if cbor.Unmarshal(e.Value, &hosts) == nil {
			all = append(all, hosts...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (n *Node) loads() map[core.HostID]float64 {
	const full = 1000
	out := map[core.HostID]float64{}
	for _, e := range n.feed.Topic(feed.TopicLoad) {
		var load int
		if cbor.Unmarshal(e.Value, &load) == nil {
			out[core.HostID(e.Key.Name)] = float64(load) / full
		}
	}
	return out
}
