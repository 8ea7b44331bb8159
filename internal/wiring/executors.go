package wiring

import (
	"context"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/host"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/platform"
	"gentiancroft/internal/upstream"
)

// listing reads the platform's list.
type listing struct{ client *platform.Client }

// List implements host.Listing.
func (l listing) List(ctx context.Context) ([]node.ListedHost, error) {
	listed, err := l.client.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	hosts := make([]node.ListedHost, 0, len(listed))
	for _, h := range listed {
		hosts = append(hosts, node.ListedHost{Name: h.Name, Leaving: h.Leaving})
	}
	return hosts, nil
}

// links carries peer messages as CBOR over host links.
type links struct{ links *peer.Links }

// Send implements host.Links.
func (l links) Send(to core.HostID, address string, m node.PeerMessage) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		log.WithError(err).Error("peer message not encoded")
		return
	}
	l.links.Send(to, address, payload)
}

// receive decodes what comes over a link. What can't be decoded is dropped.
func receive(h *host.Host) peer.Handler {
	return func(from core.HostID, payload []byte) {
		var m node.PeerMessage
		if err := cbor.Unmarshal(payload, &m); err != nil {
			log.WithField("peer", string(from)).WithError(err).Warn("peer message not decoded")
			return
		}
		h.FromPeer(from, m)
	}
}

// carriers are a host's ways out.
func carriers(p *platform.Client, u *upstream.Client, l *lateLinks, now func() core.Instant) host.Carriers {
	return host.Carriers{
		Orders:  upstream.Orders{Client: u, Now: now},
		Objects: p,
		Polls:   u,
		Listing: listing{client: p},
		Links:   l,
	}
}

// lateLinks breaks the circle between a host, which sends over its links, and
// the links, which hand to the host.
type lateLinks struct{ links }
