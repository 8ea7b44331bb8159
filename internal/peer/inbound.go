package peer

import (
	"errors"
	"io"

	"github.com/quic-go/quic-go"

	"gentiancroft/internal/core"
)

// Reasons for closing a connection, as peers see them.
const (
	closeDone    quic.ApplicationErrorCode = 0
	closeBusy    quic.ApplicationErrorCode = 1
	closeRefused quic.ApplicationErrorCode = 2
)

// inboundLink serves a connection that a peer opened, to its end. The TLS
// handshake is over: the peer holds a certificate of the authority.
func (l *Links) inboundLink(conn *quic.Conn) {
	l.counters.inboundUp.Inc(1)
	l.receive(conn)
	l.counters.inboundUp.Dec(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbound--
}

// receive reads what a peer sends on a connection that either side opened.
func (l *Links) receive(conn *quic.Conn) {
	defer l.forget(conn)
	for {
		stream, err := conn.AcceptUniStream(l.ctx)
		if err != nil {
			_ = conn.CloseWithError(closeDone, "")
			return
		}
		l.start(func() { l.readStream(conn, stream) })
	}
}

// readStream hands on the payloads of one stream. A peer that breaks the
// protocol loses its connection.
func (l *Links) readStream(conn *quic.Conn, stream *quic.ReceiveStream) {
	from, err := l.hello(conn, stream)
	if err != nil {
		l.counters.refused.Inc(1)
		_ = conn.CloseWithError(closeRefused, "bad hello")
		return
	}
	l.learn(from, conn)
	for {
		payload, err := readFrame(stream, MaxFrame)
		if errors.Is(err, io.EOF) && !FrameError.Has(err) {
			return
		}
		if err != nil {
			l.counters.broken.Inc(1)
			_ = conn.CloseWithError(closeRefused, "bad frame")
			return
		}
		l.counters.received.Inc(1)
		l.counters.gotBytes.Inc(int64(len(payload)))
		l.handler(from, payload)
	}
}

// hello reads who the peer says it is and checks it against its certificate.
func (l *Links) hello(conn *quic.Conn, r io.Reader) (core.HostID, error) {
	b, err := readFrame(r, maxHello)
	if err != nil {
		return "", LinkError.Wrap(err)
	}
	from := core.HostID(b)
	if from == "" {
		return "", FrameError.New("the hello names no host")
	}
	chain := conn.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return "", FrameError.New("the peer showed no certificate")
	}
	if !l.settings.Admit(chain[0].Subject.CommonName, from) {
		return "", FrameError.New("the certificate does not allow this host name")
	}
	return from, nil
}

// learn keeps a connection as the way to a peer that has proved its name.
func (l *Links) learn(from core.HostID, conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.Context().Err() == nil {
		l.opened[from] = conn
	}
}

func (l *Links) forget(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, c := range l.opened {
		if c == conn {
			delete(l.opened, from)
		}
	}
}

// way is a standing connection to a peer, nil where there is none.
func (l *Links) way(to core.HostID) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.opened[to]
	if conn == nil || conn.Context().Err() != nil {
		return nil
	}
	return conn
}
