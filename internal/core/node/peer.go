package node

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/placement"
)

// PeerMessage is everything one host tells another; exactly one field is set.
type PeerMessage struct {
	Lease     *lease.Message     `cbor:"1,keyasint,omitempty"`
	Feed      *feed.Message      `cbor:"2,keyasint,omitempty"`
	Limit     *limit.Message     `cbor:"3,keyasint,omitempty"`
	Placement *placement.Message `cbor:"4,keyasint,omitempty"`
	Suspect   *suspect.Message   `cbor:"5,keyasint,omitempty"`
}

// fromPeer hands a message to the machine that it is for.
func (n *Node) fromPeer(e FromPeer) {
	m := e.Message
	switch {
	case m.Lease != nil:
		n.leaseOutput(n.lease.Peer(n.now, e.From, *m.Lease))
	case m.Feed != nil:
		n.feedOutput(n.feed.Peer(n.now, e.From, *m.Feed))
	case m.Limit != nil:
		n.limitResult(n.limit.Peer(n.now, n.lease, e.From, *m.Limit))
	case m.Placement != nil:
		n.placementResult(n.placement.Peer(n.now, n.lease, e.From, *m.Placement))
	case m.Suspect != nil:
		n.suspectResult(n.suspect.Peer(n.now, n.lease, e.From, *m.Suspect))
	}
}

// send emits a message to a host of the membership in force. One to a host
// that is not a member is dropped, as the network may drop it.
func (n *Node) send(to core.HostID, m PeerMessage) {
	if to == n.settings.Self.Host {
		n.loop = append(n.loop, m)
		return
	}
	for _, member := range n.lease.Members() {
		if member.Host == to {
			n.emit(ToPeer{To: to, Address: member.Link, Message: m})
			return
		}
	}
	n.note("peer_message", "receiver_unknown", "")
}

// loopBack hands this host its messages to itself.
func (n *Node) loopBack() {
	for len(n.loop) > 0 {
		m := n.loop[0]
		n.loop = n.loop[1:]
		n.fromPeer(FromPeer{From: n.settings.Self.Host, Message: m})
	}
}
