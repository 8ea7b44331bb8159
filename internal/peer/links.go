// Package peer sends messages between hosts over QUIC with mutual TLS 1.3.
//
// A message is an opaque payload. It may be lost (full ring, broken link, failed peer),
// and messages may arrive out of order; retries are left to the sender. To send, a host
// uses a connection that the peer opened, or else dials. Two hosts that send to each
// other therefore need one connection, or for a short time two if both dialled at the
// same time.
package peer

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
)

// Classes of errors.
var (
	// MaterialError is the class of errors for invalid or missing keys and certificates.
	MaterialError = errs.Class("link key material")
	// FrameError is the class of errors for frames that violate the protocol.
	FrameError = errs.Class("link frame")
	// LinkError is the class of errors of a failed link.
	LinkError = errs.Class("link")
)

// Limits of the links of one host.
const (
	maxQueuedFrames    = 1024             // queued payloads per peer
	maxQueuedBytes     = 4 << 20          // queued bytes per peer
	maxQueueAge        = 3 * time.Second  // an older payload is dropped: newer ones supersede it
	defaultIdleTimeout = 20 * time.Second // after it, an unused link is closed
	dialTimeout        = 2 * time.Second
	writeTimeout       = 2 * time.Second
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	maxInbound         = 2048 // open connections that were accepted
	maxHandshakes      = 256  // incoming connections whose peer has not proved that it has a key
	// From so many handshakes on, a peer must first show that it receives at its address, so that
	// forged addresses cost no memory.
	maxUnverifiedHandshakes = 64
	maxStreams              = 16 // streams that a peer may have open on a connection
)

// Settings of a host's links.
type Settings struct {
	Self        core.HostID
	Listen      string // ip:port; port 0 picks a free one
	Material    Material
	JitterSeed  uint64           // of the backoff's jitter
	Registry    metrics.Registry // nil: a new one
	IdleTimeout time.Duration    // after it, an unused link or one whose peer doesn't answer is closed; 0: defaultIdleTimeout

	// Admit reports whether a peer with a certificate of this common name may send as a
	// host and receive what is sent to that host. Nil means MatchesCommonName.
	Admit func(commonName string, host core.HostID) bool

	// Carry opens connections to upstreams for hosts that don't reach them. Nil: this host carries
	// none.
	Carry Carry
}

// MatchesCommonName reports whether a host's identity is the certificate's common name,
// or that name followed by a slash and the number of this run of the process.
func MatchesCommonName(commonName string, host core.HostID) bool {
	return string(host) == commonName || strings.HasPrefix(string(host), commonName+"/")
}

// Handler is called with each payload received. It is called from several goroutines;
// while it runs, nothing more is read from the payload's stream.
type Handler func(from core.HostID, payload []byte)

// Links are a host's connections to its peers.
type Links struct {
	settings    Settings
	handler     Handler
	idleTimeout time.Duration // after it, an unused link is closed
	counters    counters
	socket      *net.UDPConn
	transport   *quic.Transport
	handshakes  *handshakes

	mu            sync.Mutex
	closed        bool
	inbound       int
	carriedOpen   int // connections that this host carries
	outboundLinks map[core.HostID]*outbound
	verified      map[core.HostID]*quic.Conn // connections on which a peer proved its identity, used in both directions
	workers       sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
	rng           *core.Rand // guarded by mu

	carriers carriers // connections to the hosts that carry for this one
}

// New returns links that are bound to a UDP socket. Connections are accepted once Serve
// runs.
func New(s Settings, handler Handler) (*Links, error) {
	if len(s.Material.Certificate.Certificate) == 0 || s.Material.Authority == nil && s.Material.Trust == nil {
		return nil, MaterialError.New("a certificate is required, and an authority or a Trust function")
	}
	address, err := net.ResolveUDPAddr("udp", s.Listen)
	if err != nil {
		return nil, LinkError.Wrap(err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, LinkError.Wrap(err)
	}
	if s.Admit == nil {
		s.Admit = MatchesCommonName
	}
	if s.Registry == nil {
		s.Registry = metrics.NewRegistry()
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	watchCertificate(s.Registry, s.Material.Certificate.Leaf)
	ctx, cancel := context.WithCancel(context.Background())
	pending := &handshakes{refused: metrics.GetOrRegisterCounter("link.handshakes_refused", s.Registry)}
	return &Links{
		settings:      s,
		handler:       handler,
		idleTimeout:   s.IdleTimeout,
		counters:      newCounters(s.Registry),
		socket:        socket,
		transport:     &quic.Transport{Conn: socket, VerifySourceAddress: pending.verifySource, ConnContext: pending.admit},
		handshakes:    pending,
		outboundLinks: map[core.HostID]*outbound{},
		verified:      map[core.HostID]*quic.Conn{},
		ctx:           ctx,
		cancel:        cancel,
		rng:           core.NewRand(s.JitterSeed),
		carriers:      carriers{open: map[core.HostID]carrier{}},
	}, nil
}

// Address returns the ip:port that peers dial.
func (l *Links) Address() string { return l.socket.LocalAddr().String() }

// Serve accepts connections until ctx ends, then closes every link and returns once all
// of their goroutines have ended. It can be called once.
func (l *Links) Serve(ctx context.Context) error {
	defer l.close()
	listener, err := l.transport.Listen(l.settings.Material.serverTLS(), quicConfig(l.settings.IdleTimeout))
	if err != nil {
		return LinkError.Wrap(err)
	}
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return LinkError.Wrap(err)
		}
		l.handshakes.completed(conn.Context())
		if !l.reserveInbound() {
			_ = conn.CloseWithError(closeBusy, "too many links")
			continue
		}
		l.startWorker(func() { l.serveInbound(conn) })
	}
}

// Send queues a payload for a peer at an ip:port, without blocking. The payload must not
// be changed afterwards. Send returns false if the payload was not queued because it is
// too large or the links are closed. A queued payload may still be lost.
func (l *Links) Send(to core.HostID, address string, payload []byte) bool {
	if len(payload) > MaxFrameBytes {
		l.counters.refusedOversized.Inc(1)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	p := l.outboundLinks[to]
	if p == nil {
		p = newOutbound(l, to, l.rng.Uint64())
		l.outboundLinks[to] = p
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			p.run()
		}()
	}
	p.setAddress(address)
	dropped := p.ring.push(queued{payload: payload, queuedAt: time.Now()})
	l.counters.droppedRingFull.Inc(int64(dropped))
	return true
}

// removeIfEmpty removes a peer's link if its ring is empty, and reports whether it did.
// Send pushes under the same lock, so no payload is left in a removed ring.
func (l *Links) removeIfEmpty(p *outbound) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.ring.empty() {
		return false
	}
	delete(l.outboundLinks, p.to)
	return true
}

// startWorker runs a function in a goroutine that close waits for. It does nothing once
// the links are closed.
func (l *Links) startWorker(work func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		work()
	}()
}

// reserveInbound counts an accepted connection, or returns false if there are too many.
func (l *Links) reserveInbound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inbound >= maxInbound {
		return false
	}
	l.inbound++
	return true
}

func (l *Links) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.closeCarriers()
	l.workers.Wait() // each worker closes its connection with a reason, which the transport wouldn't send
	_ = l.transport.Close()
	_ = l.socket.Close()
}

func quicConfig(idle time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idle,
		MaxIncomingStreams:             maxCarriedPerPeer,
		MaxIncomingUniStreams:          maxStreams,
		InitialStreamReceiveWindow:     carryWindowBytes,
		MaxStreamReceiveWindow:         1 << 20,
		InitialConnectionReceiveWindow: 128 << 10,
		MaxConnectionReceiveWindow:     maxCarriedPerPeer * carryWindowBytes,
	}
}
