package node

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/placement"
)

// updateConfiguration puts the feed's configuration in force if it is newer.
// Invariant: the version in force never decreases.
func (n *Node) updateConfiguration() {
	if n.feed.ConfigVersion() <= n.configVersion() {
		return
	}
	head, chunks, ok := n.feed.Config()
	if !ok || head.Version <= n.configVersion() {
		return
	}
	document, err := n.decode(head, chunks)
	if err != nil {
		n.logDecision("configuration", "undecodable", "")
		return
	}
	n.applySnapshot(config.NewSnapshot(head.Version, document))
	n.logDecision("configuration", "in_force", "")
}

// decode decodes a configuration document. The decoder reuses unchanged chunks.
func (n *Node) decode(head config.Head, chunks [][]byte) (*config.Document, error) {
	byHash := make(map[string][]byte, len(chunks))
	for i, c := range chunks {
		byHash[head.Chunks[i]] = c
	}
	return n.decoder.Decode(head, func(hash string) ([]byte, bool) {
		c, ok := byHash[hash]
		return c, ok
	})
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (n *Node) configVersion() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Version
}

func (n *Node) applySnapshot(s *config.Snapshot) {
	n.snapshot = s
	n.lease.SetShards(shardsOf(s.Document))
	n.limit.Configure(n.now, s.Version, limitsOf(s.Document))
	n.applyPlacementResult(n.placement.Configure(n.now, n.lease, s))
	n.refuseInvalidKeys()
}

func shardsOf(d *config.Document) []core.Shard {
	all := make([]core.Shard, 0, len(d.Upstreams)+len(d.Workspaces)+1)
	for _, u := range d.Upstreams {
		all = append(all, core.Shard{Kind: core.ShardUpstream, Name: string(u.ID)})
	}
	for _, w := range d.Workspaces {
		all = append(all, core.Shard{Kind: core.ShardWorkspace, Name: string(w.ID)})
	}
	return append(all, placement.LoaderShard)
}

func limitsOf(d *config.Document) []limit.Limit {
	all := make([]limit.Limit, 0, len(d.Workspaces))
	for _, w := range d.Workspaces {
		all = append(all, limit.Limit{Workspace: w.ID, Rate: core.Tokens(w.Rate), Burst: core.Tokens(w.Burst)})
	}
	return all
}

// refuseInvalidKeys ends the requests whose keys are no longer valid for their
// workspace; it also aborts answers that have started.
func (n *Node) refuseInvalidKeys() {
	for _, r := range n.requests.all() {
		if r.key == nil || r.callerDone {
			continue
		}
		k := n.snapshot.Key(r.arrival.KeyHash)
		if k == nil || k.Withdrawn || k.Workspace != r.workspace.ID {
			n.refuse(r, core.Refuse(core.CodeKeyWithdrawn, 0, "the key has been withdrawn"))
		}
	}
}

// cutOffGrace is how long a host tries to confirm that its configuration is the
// newest before it ends requests with keys: a host that was paused confirms it
// soon after it resumes.
const cutOffGrace = time.Second

// failClosed ends the requests with a key once this host has not been able to
// confirm for cutOffGrace that keys are valid.
func (n *Node) failClosed() {
	if n.snapshot == nil || !n.feed.CutOff(n.now) {
		n.cutOffSince = 0
		return
	}
	if n.cutOffSince == 0 {
		n.cutOffSince = n.now
	}
	if n.now.Sub(n.cutOffSince) < cutOffGrace {
		return
	}
	for _, r := range n.requests.all() {
		if r.key != nil && !r.callerDone {
			n.refuse(r, core.Refuse(core.CodeHostCutOff, retryAfterCutOff, "this host can't tell whether keys are still valid"))
		}
	}
}
