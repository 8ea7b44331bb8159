package node

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/directory"
	"gentiancroft/internal/core/feed"
)

// Ready reports whether this host serves callers, and the reason.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.started:
		return false, "leaving"
	case n.snapshot == nil:
		return false, "no configuration"
	case !n.lease.Joined():
		return false, "not a member yet"
	case n.propagated.joinedView == 0 || n.propagated.lowestApplied < n.propagated.joinedView:
		return false, "ownership not settled yet"
	case n.feed.CutOff(n.now):
		return false, "cut off"
	}
	return true, "ready"
}

// Snapshot returns the configuration in force, or nil.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot }

// Members returns the members in force.
func (n *Node) Members() []core.Member { return n.lease.Members() }

// Owns reports whether this host may act for a shard now.
func (n *Node) Owns(s core.Shard) bool {
	_, ok := n.lease.Acting(n.now, s)
	return ok
}

// InFlight returns the number of requests that this host has not completed.
func (n *Node) InFlight() int { return n.requests.byArrival.Len() }

// Entries returns the entry hosts for a caller. If keyHash is that of no configured
// key, the answer depends on no workspace: all usable hosts count as homes.
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
			in.RateShare = n.rateShare(k.Workspace)
		}
	}
	return directory.Entries(in)
}

// rateShare returns a workspace's fraction of the sum of all rates.
func (n *Node) rateShare(ws core.WorkspaceID) float64 {
	var rate, sum int64
	for _, w := range n.snapshot.Document.Workspaces {
		sum += w.Rate
		if w.ID == ws {
			rate = w.Rate
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(rate) / float64(sum)
}

// suspected returns the hosts that this host or another member has published as
// suspected, sorted.
func (n *Node) suspected() []core.HostID {
	all := slices.Clone(n.lease.Suspected(n.now))
	for _, e := range n.feed.TopicEntries(feed.TopicSuspects) {
		if !slices.Contains(n.propagated.hosts, core.HostID(e.Key.Name)) {
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

// loads returns the published utilization of hosts; 1 is fully utilized.
func (n *Node) loads() map[core.HostID]float64 {
	const perMille = 1000
	out := map[core.HostID]float64{}
	for _, e := range n.feed.TopicEntries(feed.TopicLoad) {
		var load int
		if cbor.Unmarshal(e.Value, &load) == nil {
			out[core.HostID(e.Key.Name)] = float64(load) / perMille
		}
	}
	return out
}
