package node

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/placement"
)

// PeerMessage is a message between hosts; exactly one field is set.
type PeerMessage struct {
	Lease     *lease.Message     `cbor:"1,keyasint,omitempty"`
	Feed      *feed.Message      `cbor:"2,keyasint,omitempty"`
	Limit     *limit.Message     `cbor:"3,keyasint,omitempty"`
	Placement *placement.Message `cbor:"4,keyasint,omitempty"`
	Suspect   *suspect.Message   `cbor:"5,keyasint,omitempty"`
}

// handlePeerMessage passes a message to the machine that it is for.
func (n *Node) handlePeerMessage(e MessageReceived) {
	m := e.Message
	switch {
	case m.Lease != nil:
		n.applyLeaseOutput(n.lease.HandleMessage(n.now, e.From, *m.Lease))
	case m.Feed != nil:
		n.applyFeedOutput(n.feed.HandleMessage(n.now, e.From, *m.Feed))
	case m.Limit != nil:
		n.applyLimitResult(n.limit.HandleMessage(n.now, n.lease, e.From, *m.Limit))
	case m.Placement != nil:
		n.applyPlacementResult(n.placement.HandleMessage(n.now, n.lease, e.From, *m.Placement))
	case m.Suspect != nil:
		n.applySuspectResult(n.suspect.HandleMessage(n.now, n.lease, e.From, *m.Suspect))
	}
}

// send emits a message to a member of the membership in force. A message to any
// other host is dropped; the machines cope with lost messages.
func (n *Node) send(to core.HostID, m PeerMessage) {
	if to == n.settings.Self.Host {
		n.selfMessages = append(n.selfMessages, m)
		return
	}
	for _, member := range n.lease.Members() {
		if member.Host == to {
			n.emit(SendToPeer{To: to, Address: member.Link, Message: m})
			return
		}
	}
	n.logDecision("peer_message", "receiver_unknown", "")
}

// deliverToSelf handles the messages that this host sent to itself.
func (n *Node) deliverToSelf() {
	for len(n.selfMessages) > 0 {
		m := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.handlePeerMessage(MessageReceived{From: n.settings.Self.Host, Message: m})
	}
}
