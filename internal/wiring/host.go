package wiring

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
	"gentiancroft/internal/held"
	"gentiancroft/internal/host"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/platform"
	"gentiancroft/internal/supervise"
	"gentiancroft/internal/upstream"
)

// ServeHost is an assembled host.
type ServeHost struct {
	ID      core.HostID
	Address string // callers' ip:port
	Host    *host.Host
	Metrics metrics.Registry

	settings Settings
	tree     *supervise.Tree
	links    *peer.Links
	entry    *entry.Server
	listener net.Listener
	platform *platform.Client
	upstream *upstream.Client
}

// clockStart is the zero time of a host's monotonic clock.
type clockStart time.Time

func (s clockStart) now() core.Instant { return core.Instant(time.Since(time.Time(s))) }

// New assembles a host and binds its sockets. Run starts it.
func New(s Settings) (*ServeHost, error) {
	c := dig.New()
	constructors := []any{
		func() Settings { return s },
		newHostIdentity,
		func() clockStart { return clockStart(time.Now()) },
		metrics.NewRegistry,
		newTree,
		newPlatform,
		newUpstream,
		newListener,
		newNode,
		func() *lateBoundLinks { return &lateBoundLinks{} },
		newHost,
		newLinks,
		newEntry,
		newServeHost,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	var r *ServeHost
	if err := c.Invoke(func(built *ServeHost) { r = built }); err != nil {
		return nil, Error.Wrap(dig.RootCause(err))
	}
	return r, nil
}

// identity is a host id and random seed, new for each process of a host.
type identity struct {
	host core.HostID
	seed uint64
}

func newIdentity(name string) identity {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return identity{host: core.HostID(name + "/" + hex.EncodeToString(b[:4])), seed: binary.LittleEndian.Uint64(b[:])}
}

func newHostIdentity(s Settings) identity { return newIdentity(s.Name) }

func newTree(s Settings, r metrics.Registry) *supervise.Tree { return supervise.NewTree(s.Name, r) }

func newPlatform(s Settings) *platform.Client {
	return platform.New(platform.Options{Address: s.Platform})
}

func newUpstream(r metrics.Registry, t clockStart) *upstream.Client {
	return upstream.NewClient(r, t.now)
}

func newListener(s Settings) (net.Listener, error) { return net.Listen("tcp", s.Callers) }

// newLinks opens the links' socket and connects the links to the host.
func newLinks(s Settings, id identity, h *host.Host, late *lateBoundLinks, r metrics.Registry, m linkAddress) (*peer.Links, error) {
	l, err := peer.New(peer.Settings{Self: id.host, Listen: string(m), Material: s.Material, JitterSeed: id.seed, Registry: r}, decodePeerMessages(h))
	if err != nil {
		return nil, err
	}
	late.peerLinks = peerLinks{links: l}
	return l, nil
}

// linkAddress is the links' ip:port, which is fixed before the links are opened.
type linkAddress string

func newNode(s Settings, id identity, l net.Listener) (*node.Node, linkAddress, error) {
	link, err := fixedPort(s.Links)
	if err != nil {
		return nil, "", err
	}
	settings := s.Node
	settings.Seed = id.seed
	settings.Self = core.Member{Host: id.host, Address: l.Addr().String(), Link: link, Domain: s.Domain, Region: s.Region}
	return node.New(settings), linkAddress(link), nil
}

// fixedPort replaces port 0 by a free one, since a member's link address is
// part of its identity.
func fixedPort(address string) (string, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", err
	}
	if udp.Port != 0 {
		return address, nil
	}
	c, err := net.ListenUDP("udp", udp)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String(), nil
}

func newHost(n *node.Node, p *platform.Client, u *upstream.Client, l *lateBoundLinks, r metrics.Registry, t clockStart) *host.Host {
	return host.New(n, newExecutors(p, u, l, t.now), r, time.Time(t))
}

func newEntry(s Settings, id identity, h *host.Host, u *upstream.Client, r metrics.Registry) *entry.Server {
	options := []entry.Option{
		entry.WithStatus(status{host: h}),
		entry.WithRegistry(r),
		entry.WithHost(id.host),
		entry.WithClient(u),
	}
	limits := entry.DefaultLimits
	if s.Limits != (entry.Limits{}) {
		limits = s.Limits
		options = append(options, entry.WithLimits(s.Limits))
	}
	bounds := callerLimits(cmp.Or(s.Memory, defaultServeMemory), limits.MaxBodyBytes, descriptors(), limits.MaxConnections)
	options = append(options, entry.WithBudget(held.New("callers", bounds, r)))
	for _, add := range s.Routes {
		options = append(options, entry.WithRoutes(add))
	}
	return entry.New(h, s.KeySecret, options...)
}

func newServeHost(s Settings, id identity, h *host.Host, t *supervise.Tree, l *peer.Links, e *entry.Server, ln net.Listener, p *platform.Client, u *upstream.Client, r metrics.Registry) *ServeHost {
	return &ServeHost{
		ID: id.host, Address: ln.Addr().String(), Host: h, Metrics: r,
		settings: s, tree: t, links: l, entry: e, listener: ln, platform: p, upstream: u,
	}
}

// Run serves until ctx ends, which stops the host immediately, or until the graceful
// shutdown that Leave starts is complete. It returns a Fenced error if the host has
// lost its lease.
func (r *ServeHost) Run(ctx context.Context) error {
	all, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, stop := context.WithCancel(all)
	defer stop()
	r.Host.Register(r.tree)
	r.tree.Add("links", r.links.Serve)
	r.tree.Add("callers", func(context.Context) error { return r.entry.Serve(callers, r.listener) })
	done := make(chan error, 1)
	go func() { done <- r.tree.Serve(all) }()
	log.WithFields(log.Fields{"host": string(r.ID), "callers": r.Address}).Info("serving")
	var completed host.LeaveCompleted
	select {
	case <-ctx.Done():
	case completed = <-r.Host.Done():
	}
	cancel()
	<-done
	_ = r.listener.Close()
	r.platform.Close()
	r.upstream.Close()
	log.WithFields(log.Fields{"host": string(r.ID), "fenced": completed.Fenced}).Info("stopped")
	if completed.Fenced {
		return Fenced.New("host %s must rejoin under a new identity", r.ID)
	}
	return nil
}

// Leave starts a graceful shutdown; Run returns once it is complete.
func (r *ServeHost) Leave() { r.Host.Notify(node.Leave{}) }
