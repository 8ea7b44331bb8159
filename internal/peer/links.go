// Package peer carries messages between hosts over QUIC with mutual TLS 1.3.
//
// A message is an opaque payload. It may be lost (a full ring, a broken link,
// a peer that is gone) and messages may overtake each other; what must arrive
// is sent again by the decision that needs it. A host that has something to
// send uses a connection that the peer opened, or else dials; so a pair of
// hosts that talk both ways needs one connection, rarely two for a while.
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

// Classes of failure.
var (
	// MaterialError is bad or missing key material.
	MaterialError = errs.Class("link key material")
	// FrameError is a frame that breaks the protocol.
	FrameError = errs.Class("link frame")
	// LinkError is a link that broke.
	LinkError = errs.Class("link")
)

// Bounds of the links of one host.
const (
	ringFrames   = 1024             // payloads that wait for one peer
	ringBytes    = 4 << 20          // bytes that wait for one peer
	staleAfter   = 3 * time.Second  // a payload that waited longer is worthless
	idleAfter    = 20 * time.Second // an unused link is closed
	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
	maxInbound   = 2048 // connections accepted at once
	maxStreams   = 16   // streams a peer may have open on a connection
)

// Settings of a host's links.
type Settings struct {
	Self     core.HostID
	Listen   string // ip:port; port 0 takes a free one
	Material Material
	Seed     uint64           // of the backoff jitter
	Registry metrics.Registry // nil: a registry of its own
	Idle     time.Duration    // an unused or silent link is closed after it; 0: idleAfter

	// Admit decides whether the holder of a certificate with this common name
	// may speak as a host, and so be sent what is meant for it. Nil is NamedHost.
	Admit func(commonName string, host core.HostID) bool
}

// NamedHost admits a host whose identity is the certificate's common name, or
// that name followed by a slash and a number of this start.
func NamedHost(commonName string, host core.HostID) bool {
	return string(host) == commonName || strings.HasPrefix(string(host), commonName+"/")
}

// Handler takes a payload from a peer. It is called from several goroutines;
// while it runs, that peer's link is read no further.
type Handler func(from core.HostID, payload []byte)

// Links are a host's connections to its peers.
type Links struct {
	settings  Settings
	handler   Handler
	idle      time.Duration // an unused link ends after it
	counters  counters
	socket    *net.UDPConn
	transport *quic.Transport

	mu      sync.Mutex
	closed  bool
	inbound int
	peers   map[core.HostID]*outbound
	opened  map[core.HostID]*quic.Conn // by peers, to be used both ways
	tasks   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	rng     *core.Rand // held under mu
}

// New binds the socket. Nothing is sent or accepted before Serve.
func New(s Settings, handler Handler) (*Links, error) {
	if len(s.Material.Certificate.Certificate) == 0 || s.Material.Authority == nil && s.Material.Trust == nil {
		return nil, MaterialError.New("a certificate and an authority, or a way to trust without one, are needed")
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
		s.Admit = NamedHost
	}
	if s.Registry == nil {
		s.Registry = metrics.NewRegistry()
	}
	if s.Idle <= 0 {
		s.Idle = idleAfter
	}
	watchCertificate(s.Registry, s.Material.Certificate.Leaf)
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		settings:  s,
		handler:   handler,
		idle:      s.Idle,
		counters:  newCounters(s.Registry),
		socket:    socket,
		transport: &quic.Transport{Conn: socket},
		peers:     map[core.HostID]*outbound{},
		opened:    map[core.HostID]*quic.Conn{},
		ctx:       ctx,
		cancel:    cancel,
		rng:       core.NewRand(s.Seed),
	}, nil
}

// Address is the ip:port that peers dial.
func (l *Links) Address() string { return l.socket.LocalAddr().String() }

// Serve accepts peers until ctx ends, then closes every link and returns once
// all of them have stopped. It can be called once.
func (l *Links) Serve(ctx context.Context) error {
	defer l.close()
	listener, err := l.transport.Listen(l.settings.Material.server(), quicConfig(l.settings.Idle))
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
		if !l.admit() {
			_ = conn.CloseWithError(closeBusy, "too many links")
			continue
		}
		l.start(func() { l.inboundLink(conn) })
	}
}

// Send queues a payload for a peer at an ip:port. It never blocks. The payload
// must not be changed afterwards. False says that it was not queued: it is too
// large, or the links are closed. True promises no delivery.
func (l *Links) Send(to core.HostID, address string, payload []byte) bool {
	if len(payload) > MaxFrame {
		l.counters.oversized.Inc(1)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	p := l.peers[to]
	if p == nil {
		p = newOutbound(l, to, l.rng.Uint64())
		l.peers[to] = p
		l.tasks.Add(1)
		go func() {
			defer l.tasks.Done()
			p.run()
		}()
	}
	p.setAddress(address)
	dropped := p.ring.push(queued{payload: payload, at: time.Now()})
	l.counters.dropped.Inc(int64(dropped))
	return true
}

// retire forgets a peer whose ring is empty and reports whether it did. Send
// pushes under the same lock, so no payload is left in a forgotten ring.
func (l *Links) retire(p *outbound) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.ring.empty() {
		return false
	}
	delete(l.peers, p.to)
	return true
}

func (l *Links) start(task func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		task()
	}()
}

func (l *Links) admit() bool {
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
	l.tasks.Wait() // each task says good-bye on its connection; the transport would not
	_ = l.transport.Close()
	_ = l.socket.Close()
}

func quicConfig(idle time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idle,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          maxStreams,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         1 << 20,
		InitialConnectionReceiveWindow: 128 << 10,
		MaxConnectionReceiveWindow:     2 << 20,
	}
}
