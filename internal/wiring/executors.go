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

// hostLister reads the platform's host list.
type hostLister struct{ client *platform.Client }

// List implements host.HostLister.
func (l hostLister) List(ctx context.Context) ([]node.ListedHost, error) {
	listed, err := l.client.ListHosts(ctx)
	if err != nil {
		return nil, err
	}
	hosts := make([]node.ListedHost, 0, len(listed))
	for _, h := range listed {
		hosts = append(hosts, node.ListedHost{Name: h.Name, Leaving: h.Leaving})
	}
	return hosts, nil
}

// peerLinks sends peer messages as CBOR over host links.
type peerLinks struct{ links *peer.Links }

// Send implements host.Links.
func (l peerLinks) Send(to core.HostID, address string, m node.PeerMessage) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		log.WithError(err).Error("peer message not encoded")
		return
	}
	l.links.Send(to, address, payload)
}

// decodePeerMessages returns a link handler that decodes messages for a host. A
// message that can't be decoded is logged and dropped.
func decodePeerMessages(h *host.Host) peer.Handler {
	return func(from core.HostID, payload []byte) {
		var m node.PeerMessage
		if err := cbor.Unmarshal(payload, &m); err != nil {
			log.WithField("peer", string(from)).WithError(err).Warn("peer message not decoded")
			return
		}
		h.ReceiveFromPeer(from, m)
	}
}

// newExecutors returns the executors of a host's effects.
func newExecutors(p *platform.Client, u *upstream.Client, l *lateBoundLinks, now func() core.Instant) host.Executors {
	return host.Executors{
		Orders:      upstream.OrderClient{Client: u, Now: now},
		Objects:     p,
		LoadReports: u,
		Hosts:       hostLister{client: p},
		Links:       l,
	}
}

// lateBoundLinks breaks the dependency cycle between a host, which sends over its
// links, and the links, which deliver to the host.
type lateBoundLinks struct{ peerLinks }
