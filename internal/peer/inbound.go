package peer

import (
	"errors"
	"io"

	"github.com/quic-go/quic-go"

	"gentiancroft/internal/core"
)

// Reasons for closing a connection, sent to the peer.
const (
	closeDone    quic.ApplicationErrorCode = 0
	closeBusy    quic.ApplicationErrorCode = 1
	closeRefused quic.ApplicationErrorCode = 2
)

// serveInbound reads a connection that a peer opened until it ends. The TLS handshake
// is complete, so the peer's certificate has been verified.
func (l *Links) serveInbound(conn *quic.Conn) {
	l.counters.inboundOpen.Inc(1)
	l.startWorker(func() { l.acceptCarried(conn) })
	l.receive(conn)
	l.counters.inboundOpen.Dec(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbound--
}

// receive reads the streams that a peer opens on a connection, whichever side dialled it.
func (l *Links) receive(conn *quic.Conn) {
	defer l.removeVerified(conn)
	for {
		stream, err := conn.AcceptUniStream(l.ctx)
		if err != nil {
			_ = conn.CloseWithError(closeDone, "")
			return
		}
		l.startWorker(func() { l.readStream(conn, stream) })
	}
}

// readStream passes the payloads of one stream to the handler. On a protocol error it
// closes the peer's connection.
func (l *Links) readStream(conn *quic.Conn, stream *quic.ReceiveStream) {
	from, err := l.readHello(conn, stream)
	if err != nil {
		l.counters.inboundRefused.Inc(1)
		_ = conn.CloseWithError(closeRefused, "bad hello")
		return
	}
	l.addVerified(from, conn)
	for {
		payload, err := readFrame(stream, MaxFrameBytes)
		if errors.Is(err, io.EOF) && !FrameError.Has(err) {
			return
		}
		if err != nil {
			l.counters.inboundBroken.Inc(1)
			_ = conn.CloseWithError(closeRefused, "bad frame")
			return
		}
		l.counters.received.Inc(1)
		l.counters.receivedBytes.Inc(int64(len(payload)))
		l.handler(from, payload)
	}
}

// readHello reads the host identity that a stream starts with and checks it against the
// peer's certificate.
func (l *Links) readHello(conn *quic.Conn, r io.Reader) (core.HostID, error) {
	b, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return "", LinkError.Wrap(err)
	}
	from := core.HostID(b)
	if from == "" {
		return "", FrameError.New("the hello contains no host name")
	}
	chain := conn.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return "", FrameError.New("the peer presented no certificate")
	}
	if !l.settings.Admit(chain[0].Subject.CommonName, from) {
		return "", FrameError.New("the certificate does not allow this host name")
	}
	return from, nil
}

// addVerified records a connection on which a peer has proved its identity, so that this
// host sends on it too.
func (l *Links) addVerified(from core.HostID, conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.Context().Err() == nil {
		l.verified[from] = conn
	}
}

func (l *Links) removeVerified(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, c := range l.verified {
		if c == conn {
			delete(l.verified, from)
		}
	}
}

// verifiedConn returns an open connection on which the peer has proved its identity, or
// nil.
func (l *Links) verifiedConn(to core.HostID) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.verified[to]
	if conn == nil || conn.Context().Err() != nil {
		return nil
	}
	return conn
}
