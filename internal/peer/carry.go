package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/socket"
)

// A host that can't reach an upstream has another one carry a connection to it: the bytes of the
// connection pass over one stream between the two hosts in both directions, unread. A stream begins
// with the identity of the host that dials, as all streams do, and a carryRequest; the answer is one
// byte, a carryResult. The streams have QUIC connections of their own: what a caller reads slowly
// holds up neither messages nor other carried connections.

// Limits of the carried connections.
const (
	maxCarriedPerPeer    = 256 // open at once, for one peer
	maxCarried           = 512 // open at once, for all peers
	carryWindowBytes     = 64 << 10
	carryBufferBytes     = 4 << 10 // for one direction
	maxCarryRequestBytes = 1 << 10
	carryIdleTimeout     = 1500 * time.Millisecond // a peer that is silent for so long is lost
	carryKeepAlive       = 400 * time.Millisecond
)

// Codes with which the carrying host ends a stream other than by its end.
const (
	carryReset quic.StreamErrorCode = 1 // the upstream has reset the connection
	carryEnded quic.StreamErrorCode = 2 // this host ends it
)

// carryResult is the answer to a carryRequest.
type carryResult byte

const (
	carryOpen    carryResult = iota + 1 // the connection is open
	carryRefused                        // nothing listens at the address
	carryFailed                         // it could not be opened
	carryBusy                           // the host carries no more
)

// carryRequest is what a carried connection leads to.
type carryRequest struct {
	_        struct{} `cbor:",toarray"`
	Upstream core.UpstreamID
	Address  string // ip:port
	Request  string // the caller's id of the request, for the log
}

// CarryTarget is what a carried connection leads to, and for which host.
type CarryTarget struct {
	For      core.HostID
	Upstream core.UpstreamID
	Address  string // ip:port
	Request  string // the caller's id of the request, for the log
}

// CarryError is the class of errors of connections that another host was to open.
var CarryError = errs.Class("carried connection")

// CarrierError is the class of errors where the host that was to carry a connection can't be
// reached or carries no more.
var CarrierError = errs.Class("carrier")

// Carry opens a connection to an upstream for another host.
type Carry func(ctx context.Context, t CarryTarget) (net.Conn, error)

// carrier is a QUIC connection to a host that carries connections.
type carrier struct {
	address string
	conn    *quic.Conn
}

// carriers are the connections to the hosts that carry for this one.
type carriers struct {
	mu   sync.Mutex
	open map[core.HostID]carrier
}

// DialCarried opens a connection to an upstream over another host. The error wraps ECONNREFUSED if
// nothing listens at the address as seen from that host, and is of class CarrierError if that host
// can't be reached or carries no more.
func (l *Links) DialCarried(ctx context.Context, over core.Carrier, t CarryTarget) (net.Conn, error) {
	conn, err := l.carrierConn(ctx, over)
	if err != nil {
		return nil, CarrierError.Wrap(err)
	}
	stream, err := conn.OpenStream() // without waiting: another host may be less busy
	if err != nil {
		return nil, CarrierError.Wrap(err)
	}
	c := &carriedConn{Stream: stream, local: conn.LocalAddr(), remote: conn.RemoteAddr()}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = c.request(l.settings.Self, t)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// carrierConn returns the QUIC connection to a host that carries, and opens it if there is none.
func (l *Links) carrierConn(ctx context.Context, over core.Carrier) (*quic.Conn, error) {
	l.carriers.mu.Lock()
	known, ok := l.carriers.open[over.Host]
	l.carriers.mu.Unlock()
	if ok && known.address == over.Link && known.conn.Context().Err() == nil {
		return known.conn, nil
	}
	udp, err := net.ResolveUDPAddr("udp", over.Link)
	if err != nil {
		return nil, err
	}
	conn, err := l.transport.Dial(ctx, udp, l.settings.Material.clientTLS(), carryConfig())
	if err != nil {
		return nil, err
	}
	return l.keepCarrier(over, conn), nil
}

// keepCarrier remembers a new QUIC connection, unless another one to the host was opened meanwhile,
// and returns the one to use.
func (l *Links) keepCarrier(over core.Carrier, conn *quic.Conn) *quic.Conn {
	l.carriers.mu.Lock()
	defer l.carriers.mu.Unlock()
	known, ok := l.carriers.open[over.Host]
	if ok && known.address == over.Link && known.conn.Context().Err() == nil {
		_ = conn.CloseWithError(closeDone, "")
		return known.conn
	}
	l.carriers.open[over.Host] = carrier{address: over.Link, conn: conn}
	context.AfterFunc(conn.Context(), func() { l.forgetCarrier(over.Host, conn) })
	return conn
}

func (l *Links) forgetCarrier(host core.HostID, conn *quic.Conn) {
	l.carriers.mu.Lock()
	defer l.carriers.mu.Unlock()
	if l.carriers.open[host].conn == conn {
		delete(l.carriers.open, host)
	}
}

// closeCarriers closes the connections to the hosts that carry.
func (l *Links) closeCarriers() {
	l.carriers.mu.Lock()
	defer l.carriers.mu.Unlock()
	for _, c := range l.carriers.open {
		_ = c.conn.CloseWithError(closeDone, "")
	}
}

func carryConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 carryIdleTimeout,
		KeepAlivePeriod:                carryKeepAlive,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     carryWindowBytes,
		MaxStreamReceiveWindow:         carryWindowBytes,
		InitialConnectionReceiveWindow: maxCarriedPerPeer * carryWindowBytes,
		MaxConnectionReceiveWindow:     maxCarriedPerPeer * carryWindowBytes,
	}
}

// carriedConn is a connection that another host carries. It implements net.Conn.
type carriedConn struct {
	*quic.Stream
	local, remote net.Addr
}

// request asks for the connection and waits for the result.
func (c *carriedConn) request(self core.HostID, t CarryTarget) error {
	encoded, err := cbor.Marshal(carryRequest{Upstream: t.Upstream, Address: t.Address, Request: t.Request})
	if err != nil {
		return CarryError.Wrap(err)
	}
	if err := writeFrame(c.Stream, []byte(self)); err != nil {
		return CarrierError.Wrap(err)
	}
	if err := writeFrame(c.Stream, encoded); err != nil {
		return CarrierError.Wrap(err)
	}
	var result [1]byte
	if _, err := io.ReadFull(c.Stream, result[:]); err != nil {
		return CarrierError.Wrap(err)
	}
	switch carryResult(result[0]) {
	case carryOpen:
		return nil
	case carryRefused:
		return CarryError.Wrap(syscall.ECONNREFUSED)
	case carryBusy:
		return CarrierError.New("the host carries no more")
	}
	return CarryError.New("the host can't open it either")
}

// Read implements io.Reader. A reset by the upstream is ECONNRESET; the loss of the carrying host is
// another error.
func (c *carriedConn) Read(b []byte) (int, error) {
	n, err := c.Stream.Read(b)
	var ended *quic.StreamError
	if errors.As(err, &ended) && ended.Remote && ended.ErrorCode == carryReset {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Close implements io.Closer. It ends both directions.
func (c *carriedConn) Close() error {
	c.CancelRead(carryEnded)
	c.CancelWrite(carryEnded)
	return nil
}

// LocalAddr implements net.Conn.
func (c *carriedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn. It is the address of the carrying host.
func (c *carriedConn) RemoteAddr() net.Addr { return c.remote }

// acceptCarried serves the connections that a peer has this host carry.
func (l *Links) acceptCarried(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(l.ctx)
		if err != nil {
			return // the connection has ended
		}
		l.startWorker(func() { l.carry(conn, stream) })
	}
}

// carry carries one connection until either side ends it.
func (l *Links) carry(conn *quic.Conn, stream *quic.Stream) {
	defer stream.CancelRead(carryEnded)
	t, err := l.readCarryRequest(conn, stream)
	if err != nil {
		l.counters.inboundRefused.Inc(1)
		stream.CancelWrite(carryEnded)
		return
	}
	if l.settings.Carry == nil || !l.reserveCarried() {
		l.counters.carriedRefused.Inc(1)
		answerCarry(stream, carryBusy)
		return
	}
	defer l.releaseCarried()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	upstream, err := l.settings.Carry(ctx, t)
	if err != nil {
		l.counters.carriedRefused.Inc(1)
		answerCarry(stream, resultOf(err))
		return
	}
	defer func() { _ = upstream.Close() }()
	_ = socket.ResetOnClose(upstream, true) // what the other host gives up is discarded
	l.counters.carried.Inc(1)
	if !openCarried(stream) {
		return
	}
	l.splice(stream, upstream)
}

// readCarryRequest reads and checks the beginning of a carried connection.
func (l *Links) readCarryRequest(conn *quic.Conn, stream *quic.Stream) (CarryTarget, error) {
	_ = stream.SetReadDeadline(time.Now().Add(dialTimeout))
	from, err := l.readHello(conn, stream)
	if err != nil {
		return CarryTarget{}, err
	}
	encoded, err := readFrame(stream, maxCarryRequestBytes)
	if err != nil {
		return CarryTarget{}, err
	}
	var r carryRequest
	if err := cbor.Unmarshal(encoded, &r); err != nil {
		return CarryTarget{}, FrameError.Wrap(err)
	}
	_ = stream.SetReadDeadline(time.Time{})
	return CarryTarget{For: from, Upstream: r.Upstream, Address: r.Address, Request: r.Request}, nil
}

// resultOf returns the result by which a peer learns why a connection could not be opened.
func resultOf(err error) carryResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return carryRefused
	}
	return carryFailed
}

// answerCarry answers a request for a connection that isn't opened.
func answerCarry(stream *quic.Stream, r carryResult) {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = stream.Write([]byte{byte(r)}) // a peer that doesn't get it gives up by its own timeout
	_ = stream.Close()
}

// openCarried answers that the connection is open.
func openCarried(stream *quic.Stream) bool {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := stream.Write([]byte{byte(carryOpen)})
	_ = stream.SetWriteDeadline(time.Time{})
	return err == nil
}

// splice passes bytes on in both directions until one of them ends. It has no timeouts: how long a
// slow caller or upstream may take is decided by the host that the connection is carried for.
func (l *Links) splice(stream *quic.Stream, upstream net.Conn) {
	// The other host may end the connection while the upstream reads nothing.
	stop := context.AfterFunc(stream.Context(), func() { _ = upstream.Close() })
	defer stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		to := &failingWriter{Writer: upstream}
		_ = l.pass(to, stream)
		if !to.failed {
			_ = upstream.Close() // the other host has ended it
		}
	}()
	err := l.pass(stream, upstream)
	if reset, _ := socket.WasReset(upstream); err == nil && reset {
		err = syscall.ECONNRESET // which the writer may have got
	}
	switch {
	case err == nil:
		_ = stream.Close()
	case errors.Is(err, syscall.ECONNRESET):
		stream.CancelWrite(carryReset)
	default:
		stream.CancelWrite(carryEnded)
	}
	if err != nil {
		stream.CancelRead(carryEnded)
	}
	<-sent // the other host ends the connection once it has read everything
}

// pass passes bytes on until the end of from, nil, or an error.
func (l *Links) pass(to io.Writer, from io.Reader) error {
	n, err := io.CopyBuffer(to, onlyReader{from}, make([]byte, carryBufferBytes))
	l.counters.carriedBytes.Inc(n)
	return err
}

// onlyReader hides other methods of a reader, so that io.CopyBuffer uses its buffer.
type onlyReader struct{ io.Reader }

// failingWriter remembers whether a write has failed.
type failingWriter struct {
	io.Writer
	failed bool
}

// Write implements io.Writer.
func (w *failingWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.failed = w.failed || err != nil
	return n, err
}

// reserveCarried counts a carried connection, or returns false if there are too many.
func (l *Links) reserveCarried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.carriedOpen >= maxCarried {
		return false
	}
	l.carriedOpen++
	return true
}

func (l *Links) releaseCarried() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carriedOpen--
}

// Carried returns how many connections this host carries for others.
func (l *Links) Carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carriedOpen
}

var _ net.Conn = (*carriedConn)(nil)
