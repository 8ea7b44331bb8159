package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"gentiancroft/internal/core"
)

// outbound is the link for sending to one peer. One goroutine runs it from the first
// payload until the link has been idle for its timeout.
type outbound struct {
	links *Links
	to    core.HostID
	ring  *ring
	rng   *core.Rand

	mu      sync.Mutex
	address string

	conn          *quic.Conn
	stream        *quic.SendStream
	dialedAddress string // address of the connection if this host dialled it, else ""
}

func newOutbound(l *Links, to core.HostID, seed uint64) *outbound {
	return &outbound{links: l, to: to, ring: newRing(maxQueuedFrames, maxQueuedBytes), rng: core.NewRand(seed)}
}

func (p *outbound) setAddress(a string) {
	p.mu.Lock()
	p.address = a
	p.mu.Unlock()
}

func (p *outbound) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// run sends queued payloads until the links close or the link has been idle.
func (p *outbound) run() {
	defer p.closeStream()
	idle := time.NewTimer(p.links.idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.links.ctx.Done():
			return
		case <-idle.C:
			if p.links.removeIfEmpty(p) {
				return
			}
		case <-p.ring.wake:
			p.drain()
		}
		idle.Reset(p.links.idleTimeout)
	}
}

// drain sends all queued payloads. It retries a failed connection with backoff until only
// stale payloads are left, which it drops.
func (p *outbound) drain() {
	backoff := minBackoff
	for p.links.ctx.Err() == nil {
		if !p.connected() {
			if err := p.connect(); err != nil {
				p.links.counters.dialsFailed.Inc(1)
				if !p.waitBackoff(backoff) {
					return
				}
				backoff = min(2*backoff, maxBackoff)
				p.dropStale()
				if p.ring.empty() {
					return
				}
				continue
			}
			backoff = minBackoff
		}
		q, ok := p.ring.pop()
		if !ok {
			return
		}
		p.send(q)
	}
}

func (p *outbound) send(q queued) {
	c := &p.links.counters
	if time.Since(q.queuedAt) > maxQueueAge {
		c.droppedStale.Inc(1)
		return
	}
	if err := p.write(q.payload); err != nil {
		c.droppedLinkBroke.Inc(1)
		p.closeConn()
		return
	}
	c.sent.Inc(1)
	c.sentBytes.Inc(int64(len(q.payload)))
}

// write sends a payload on the link's stream. A payload over bulkFrameBytes is sent on a
// stream of its own so that it doesn't delay the others.
func (p *outbound) write(payload []byte) error {
	stream := p.stream
	bulk := len(payload) > bulkFrameBytes
	if bulk {
		s, err := p.openStream()
		if err != nil {
			return err
		}
		stream = s
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(stream, payload); err != nil {
		return err
	}
	if bulk {
		return LinkError.Wrap(stream.Close())
	}
	return nil
}

// connected reports whether the link has an open connection to the peer's current
// address. It drops a connection that doesn't qualify.
func (p *outbound) connected() bool {
	if p.conn == nil {
		return false
	}
	moved := p.dialedAddress != "" && p.dialedAddress != p.currentAddress()
	if moved || p.conn.Context().Err() != nil {
		p.closeConn()
		return false
	}
	if p.isSurplus() {
		p.links.counters.dialsMerged.Inc(1)
		p.closeStream()
		return false
	}
	return true
}

// isSurplus reports whether this host should give up the connection that it dialled. If
// both hosts of a pair dialled at the same time, both keep the connection that the host
// with the lower identity opened; the other connection ends by its idle timeout.
func (p *outbound) isSurplus() bool {
	if p.dialedAddress == "" || p.to >= p.links.settings.Self {
		return false
	}
	other := p.links.verifiedConn(p.to)
	return other != nil && other != p.conn
}

// connect uses the connection on which the peer proved its identity, or dials one, and
// opens this host's stream on it.
func (p *outbound) connect() error {
	if conn := p.links.verifiedConn(p.to); conn != nil {
		return p.attach(conn, "")
	}
	address := p.currentAddress()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return LinkError.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(p.links.ctx, dialTimeout)
	defer cancel()
	conn, err := p.links.transport.Dial(ctx, udp, p.links.settings.Material.clientTLS(), quicConfig(p.links.settings.IdleTimeout))
	if err != nil {
		return LinkError.Wrap(err)
	}
	p.links.counters.dialsConnected.Inc(1)
	p.links.startWorker(func() { p.links.receive(conn) }) // the peer may send on it
	return p.attach(conn, address)
}

func (p *outbound) attach(conn *quic.Conn, address string) error {
	p.conn, p.dialedAddress = conn, address
	p.links.counters.outboundOpen.Inc(1)
	stream, err := p.openStream()
	if err != nil {
		p.closeConn()
		return err
	}
	p.stream = stream
	return nil
}

// openStream opens a stream and sends this host's hello, its identity.
func (p *outbound) openStream() (*quic.SendStream, error) {
	ctx, cancel := context.WithTimeout(p.links.ctx, dialTimeout)
	defer cancel()
	stream, err := p.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return nil, LinkError.Wrap(err)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(stream, []byte(p.links.settings.Self)); err != nil {
		return nil, err
	}
	return stream, nil
}

// closeConn closes a broken or outdated connection.
func (p *outbound) closeConn() {
	if p.conn == nil {
		return
	}
	_ = p.conn.CloseWithError(closeDone, "")
	p.conn, p.stream = nil, nil
	p.links.counters.outboundOpen.Dec(1)
}

// closeStream ends this host's stream. The connection stays open as long as the peer
// uses it, and ends by its idle timeout.
func (p *outbound) closeStream() {
	if p.conn == nil {
		return
	}
	_ = p.stream.Close()
	p.conn, p.stream = nil, nil
	p.links.counters.outboundOpen.Dec(1)
}

// waitBackoff waits for d with jitter and reports whether the links are still open.
func (p *outbound) waitBackoff(d time.Duration) bool {
	t := time.NewTimer(time.Duration(p.rng.Jitter(int64(d))))
	defer t.Stop()
	select {
	case <-p.links.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// dropStale drops the payloads that are older than maxQueueAge, so that the ring of a
// failed peer is freed.
func (p *outbound) dropStale() {
	p.links.counters.droppedStale.Inc(int64(p.ring.dropBefore(time.Now().Add(-maxQueueAge))))
}
