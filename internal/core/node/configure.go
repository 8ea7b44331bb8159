package node

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/placement"
)

// configure puts the feed's configuration in force once it is newer. Keeps: a
// configuration in force never reverts.
func (n *Node) configure() {
	if n.feed.ConfigVersion() <= n.version() {
		return
	}
	head, chunks, ok := n.feed.Config()
	if !ok || head.Version <= n.version() {
		return
	}
	document, err := n.decode(head, chunks)
	if err != nil {
		n.note("configuration", "undecodable", "")
		return
	}
	n.apply(config.NewSnapshot(head.Version, document))
	n.note("configuration", "in_force", "")
}

// decode reads a document; the decoder keeps what did not change.
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

// version is the configuration version in force, 0 where there is none.
func (n *Node) version() uint64 {
	if n.snapshot == nil {
		return 0
	}
	return n.snapshot.Version
}

func (n *Node) apply(s *config.Snapshot) {
	n.snapshot = s
	n.lease.SetShards(shards(s.Document))
	n.limit.Configure(n.now, s.Version, limits(s.Document))
	n.placementResult(n.placement.Configure(n.now, n.lease, s))
	n.withdrawKeys()
}

func shards(d *config.Document) []core.Shard {
	all := make([]core.Shard, 0, len(d.Upstreams)+len(d.Workspaces)+1)
	for _, u := range d.Upstreams {
		all = append(all, core.Shard{Kind: core.ShardUpstream, Name: string(u.ID)})
	}
	for _, w := range d.Workspaces {
		all = append(all, core.Shard{Kind: core.ShardWorkspace, Name: string(w.ID)})
	}
	return append(all, placement.LoaderShard)
}

func limits(d *config.Document) []limit.Limit {
	all := make([]limit.Limit, 0, len(d.Workspaces))
	for _, w := range d.Workspaces {
		all = append(all, limit.Limit{Workspace: w.ID, Rate: core.Tokens(w.Rate), Burst: core.Tokens(w.Burst)})
	}
	return all
}

// withdrawKeys ends the requests whose keys are no longer valid: queued ones
// are refused, running ones cut.
func (n *Node) withdrawKeys() {
	for _, r := range n.requests.all() {
		if r.key == nil || r.gone {
			continue
		}
		k := n.snapshot.Key(r.arrive.KeyHash)
		if k == nil || k.Withdrawn || k.Workspace != r.workspace.ID {
			n.refuse(r, core.Refuse(core.CodeKeyWithdrawn, 0, "the key has been withdrawn"))
		}
	}
}

// cutGrace is how long a host tries to learn whether its configuration is the
// newest before it cuts running requests: one that was paused finds out at once.
const cutGrace = time.Second

// failClosed ends the requests that came with a key once this host can't tell
// any more whether keys are valid.
func (n *Node) failClosed() {
	if n.snapshot == nil || !n.feed.CutOff(n.now) {
		n.cutSince = 0
		return
	}
	if n.cutSince == 0 {
		n.cutSince = n.now
	}
	if n.now.Sub(n.cutSince) < cutGrace {
		return
	}
	for _, r := range n.requests.all() {
		if r.key != nil && !r.gone {
			n.refuse(r, core.Refuse(core.CodeCutOff, retryCutOff, "this host can't tell whether keys are still valid"))
		}
	}
}
