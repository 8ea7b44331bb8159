package wiring

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"
	"golang.org/x/sys/unix"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/exposition"
	"gentiancroft/internal/gateway"
	"gentiancroft/internal/held"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/relay"
	"gentiancroft/internal/settings"
	"gentiancroft/internal/supervise"
	"gentiancroft/internal/upstream"
)

// PlatformAdapter holds the platform-specific parts of a relaying host.
type PlatformAdapter struct {
	Executors       func(store string, client *upstream.Client) gateway.Executors
	Dialect         relay.Dialect
	PathReady       string
	PathResolve     string
	EncodeAddresses func(addresses []string, keep time.Duration) ([]byte, error)
	DialReplica     upstream.DialFunc // nil: a plain TCP dial
}

// RelayHost is an assembled relaying host.
type RelayHost struct {
	settings atomic.Pointer[settings.Relay]
	adapter  PlatformAdapter
	registry metrics.Registry
	tree     *supervise.Tree
	gateway  *gateway.Gateway
	links    *peer.Links
	server   *relay.Server
	pages    pageBudgets

	answersEnd atomic.Pointer[time.Time] // of the wait for answers that are being written; nil: the host isn't leaving
}

// Times of a relaying host.
const (
	defaultShutdown    = 8 * time.Second // where the settings give none, like defaultKeep
	defaultKeep        = 2 * time.Second
	linkIdleTimeout    = 1500 * time.Millisecond // a link without traffic for so long counts as broken
	replicaDialTimeout = 300 * time.Millisecond  // to open a connection to a replica
	shutdownMargin     = 400 * time.Millisecond  // from the end of the shutdown to the kill of the process
	lastAnswerMargin   = 150 * time.Millisecond  // from the end of the wait for the last answers to the kill
	answersInterval    = 10 * time.Millisecond   // between two looks whether all answers are written
	requestRefusalLead = 2 * time.Second         // from the refusal of requests to the end of the shutdown
	streamRefusalLead  = 4800 * time.Millisecond // from the refusal of streams to the end of the shutdown
)

// Fractions of the configured grace period of an older adapter version. The times between
// them are for requests that wait at a replica, and for their withdrawal.
const (
	versionGraceFraction  = 0.4 // for which a host still sends requests to it
	versionExpiryFraction = 0.9 // after which none may begin on it
)

// minWithdrawalTime is the least time for the withdrawal of a request from its replica.
const minWithdrawalTime = 250 * time.Millisecond

// bootTime reads CLOCK_BOOTTIME, which also advances while the machine is suspended.
func bootTime() core.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return core.Instant(t.Nano())
}

// newBootClock returns a clock that starts at zero now.
func newBootClock() gateway.Clock {
	start := bootTime()
	return func() core.Instant { return bootTime() - start }
}

// NewRelay assembles a relaying host. Run opens its listeners and starts it.
func NewRelay(s *settings.Relay, a PlatformAdapter) (*RelayHost, error) {
	c := dig.New()
	constructors := []any{
		func() *settings.Relay { return s },
		func() PlatformAdapter { return a },
		func() identity { return newIdentity(s.Host.Name) },
		metrics.NewRegistry,
		func(r metrics.Registry) *supervise.Tree { return supervise.NewTree(s.Host.Name, r) },
		newReplicaClient,
		newLinkCertificate,
		newRelayMachine,
		func() *lateBoundSender { return &lateBoundSender{} },
		newGateway,
		newRelayLinks,
		newRelayServer,
		newRelayHost,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	var r *RelayHost
	if err := c.Invoke(func(built *RelayHost) { r = built }); err != nil {
		return nil, Error.Wrap(dig.RootCause(err))
	}
	return r, nil
}

func newReplicaClient(a PlatformAdapter, r metrics.Registry) *upstream.Client {
	client := upstream.NewClient(r, nil)
	client.DialTimeout = replicaDialTimeout
	if a.DialReplica != nil {
		client.Dial = a.DialReplica
	}
	return client
}

// linkCertificate is the certificate of a host's links. Its trust function is set
// once the gateway exists.
type linkCertificate struct {
	material    peer.Material
	fingerprint string
	trust       func(core.HostID, string) bool
}

func newLinkCertificate(id identity) (*linkCertificate, error) {
	k := &linkCertificate{}
	material, fingerprint, err := peer.NewPinnedMaterial(id.host, func(h core.HostID, f string) bool { return k.trust(h, f) })
	k.material, k.fingerprint = material, fingerprint
	return k, err
}

func newRelayMachine(s *settings.Relay, id identity, k *linkCertificate) *relaynode.Machine {
	shutdown := s.Shutdown.ValueOr(defaultShutdown) - shutdownMargin
	return relaynode.New(relaynode.Settings{
		Self: fleet.Registration{
			Name:   s.Host.Name,
			Host:   id.host,
			Link:   s.Listen.Links,
			Entry:  s.Listen.Callers,
			Domain: core.Domain(s.Host.Domain),
			Key:    k.fingerprint,

			Capacity: s.Capacity.Cores(),
		},
		Seed:                id.seed,
		FirstStart:          s.FirstStart,
		RetryShare:          s.Retry.Share,
		RetrySlack:          s.Retry.Slack,
		RetryWindow:         s.Retry.Window.Value(),
		VersionGrace:        versionGrace(s),
		VersionExpiry:       versionExpiry(s),
		Evacuation:          s.Evacuation.Value(),
		StreamRefusalDelay:  shutdown - streamRefusalLead,
		RequestRefusalDelay: shutdown - requestRefusalLead,
		LeaveTimeout:        shutdown,
	})
}

// lateBoundSender breaks the dependency cycle between a gateway, which sends over
// its links, and the links, which deliver to the gateway.
type lateBoundSender struct{ links *peer.Links }

// Send implements gateway.Links.
func (l *lateBoundSender) Send(to core.HostID, address string, payload []byte) bool {
	return l.links.Send(to, address, payload)
}

func newGateway(s *settings.Relay, a PlatformAdapter, m *relaynode.Machine, client *upstream.Client, late *lateBoundSender, k *linkCertificate, r metrics.Registry) *gateway.Gateway {
	executors := a.Executors(s.Store, client)
	executors.Links = late
	g := gateway.New(m, executors, newBootClock(), r)
	k.trust = g.Trusted
	return g
}

// carrierDialer returns the function with which the client of replicas opens connections that
// another host carries.
func carrierDialer(l *peer.Links) upstream.DialCarrierFunc {
	return func(ctx context.Context, call upstream.Call) (net.Conn, error) {
		target := peer.CarryTarget{Upstream: call.Upstream, Address: call.Address, Request: string(call.Request)}
		opened, err := l.DialCarried(ctx, call.Carrier, target)
		if peer.CarrierError.Has(err) {
			return nil, upstream.CarrierLost.Wrap(err)
		}
		return opened, err
	}
}

func newRelayLinks(s *settings.Relay, id identity, k *linkCertificate, g *gateway.Gateway, client *upstream.Client, late *lateBoundSender, r metrics.Registry) (*peer.Links, error) {
	carry := func(ctx context.Context, t peer.CarryTarget) (net.Conn, error) {
		return g.Carry(ctx, t.For, t.Upstream, t.Address, t.Request)
	}
	l, err := peer.New(peer.Settings{Self: id.host, Listen: s.Listen.Links, Material: k.material, JitterSeed: id.seed, Registry: r, IdleTimeout: linkIdleTimeout, Carry: carry}, g.ReceiveFromPeer)
	if err != nil {
		return nil, err
	}
	late.links = l
	client.DialCarrier = carrierDialer(l)
	return l, nil
}

func newRelayServer(s *settings.Relay, a PlatformAdapter, g *gateway.Gateway, client *upstream.Client, r metrics.Registry) *relay.Server {
	d := relay.DefaultLimits
	memory := s.Memory.BytesOr(defaultMemory)
	limits := relay.Limits{
		MaxFields:      cmp.Or(s.Limits.Fields, d.MaxFields),
		MaxBodyBytes:   s.Limits.Body.BytesOr(d.MaxBodyBytes),
		MaxHeaderBytes: s.Limits.Header.BytesOr(d.MaxHeaderBytes),
		ReadTimeout:    s.Limits.Read.ValueOr(d.ReadTimeout),
		IdleTimeout:    s.Limits.Idle.ValueOr(d.IdleTimeout),
		StallTimeout:   s.Limits.Stall.ValueOr(d.StallTimeout),
	}
	server := relay.New(g, client, a.Dialect, limits, r)
	bounds := callerLimits(memory, limits.MaxBodyBytes, descriptors(), cmp.Or(s.Limits.Connections, maxCallerConnections))
	if s.Limits.PeerConnections > 0 {
		bounds.PeerConnections = min(bounds.PeerConnections, s.Limits.PeerConnections)
	}
	server.SetBudget(held.New("callers", bounds, r))
	client.SetBufferBytes(int64(answerFraction * float64(memory)))
	return server
}

func newRelayHost(s *settings.Relay, a PlatformAdapter, r metrics.Registry, t *supervise.Tree, g *gateway.Gateway, l *peer.Links, server *relay.Server) *RelayHost {
	running := &RelayHost{adapter: a, registry: r, tree: t, gateway: g, links: l, server: server, pages: newPageBudgets(r)}
	running.settings.Store(s)
	return running
}

// Run serves until the shutdown that Leave starts is complete, then returns nil, or
// until the supervisor tree ends, as it does when ctx ends, then returns its error.
func (r *RelayHost) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners, err := r.listen()
	if err != nil {
		return Error.Wrap(err)
	}
	r.gateway.Register(r.tree)
	r.tree.Add("links", r.links.Serve)
	r.tree.Add("callers", func(context.Context) error { return r.server.Serve(listeners.callers) })
	r.tree.Add("ready", pageServer(listeners.ready, r.pages.ready, r.adapter.PathReady, r.ready))
	r.tree.Add("directory", pageServer(listeners.directory, r.pages.directory, r.adapter.PathResolve, r.resolve))
	if listeners.metrics != nil {
		r.tree.Add("metrics", pageServer(listeners.metrics, r.pages.metrics, "/metrics", r.metrics))
	}
	ended := r.tree.ServeBackground(ctx)
	select {
	case <-r.gateway.Done():
		r.awaitAnswers(ctx)
		return nil
	case err := <-ended:
		return Error.Wrap(err)
	}
}

// Leave starts a graceful shutdown.
func (r *RelayHost) Leave() {
	end := time.Now().Add(r.settings.Load().Shutdown.ValueOr(defaultShutdown) - lastAnswerMargin)
	r.answersEnd.CompareAndSwap(nil, &end)
	r.gateway.Leave()
}

// awaitAnswers waits until all answers are written, or until the end of the shutdown. The machine knows
// of a request's end, and not whether its caller has taken the answer.
func (r *RelayHost) awaitAnswers(ctx context.Context) {
	end := r.answersEnd.Load()
	if end == nil {
		return
	}
	for r.server.Serving() > 0 && time.Now().Before(*end) {
		if !supervise.Sleep(ctx, answersInterval) {
			return
		}
	}
}

type relayListeners struct{ callers, ready, directory, metrics net.Listener }

func (r *RelayHost) listen() (relayListeners, error) {
	var l relayListeners
	s := r.settings.Load().Listen
	for _, x := range []struct {
		address string
		into    *net.Listener
	}{{s.Callers, &l.callers}, {s.Ready, &l.ready}, {s.Directory, &l.directory}, {s.Metrics, &l.metrics}} {
		if x.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", x.address)
		if err != nil {
			l.close()
			return l, err
		}
		*x.into = opened
	}
	return l, nil
}

// close closes the listeners that are open.
func (l *relayListeners) close() {
	for _, x := range []net.Listener{l.callers, l.ready, l.directory, l.metrics} {
		if x != nil {
			_ = x.Close()
		}
	}
}

func (r *RelayHost) ready(ctx *fasthttp.RequestCtx) {
	if !r.gateway.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (r *RelayHost) resolve(ctx *fasthttp.RequestCtx) {
	addresses := r.gateway.Addresses()
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := r.adapter.EncodeAddresses(addresses, r.settings.Load().Keep.ValueOr(defaultKeep))
	if err != nil {
		log.WithError(err).Error("could not encode the directory answer; it is answered with status 500")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (r *RelayHost) metrics(ctx *fasthttp.RequestCtx) {
	r.gateway.UpdateMetrics()
	ctx.SetContentType(exposition.ContentType)
	ctx.SetBody(exposition.Text(r.registry))
}
