package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"gentiancroft/internal/core"
)

// outbound is the link that this host sends to one peer on. One goroutine runs
// it from the first payload until it has been idle.
type outbound struct {
	links *Links
	to    core.HostID
	ring  *ring
	rng   *core.Rand

	mu      sync.Mutex
	address string

	conn   *quic.Conn
	stream *quic.SendStream
	dialed string // the address, "" where the peer opened the connection
}

func newOutbound(l *Links, to core.HostID, seed uint64) *outbound {
	return &outbound{links: l, to: to, ring: newRing(ringFrames, ringBytes), rng: core.NewRand(seed)}
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

// run sends what the ring holds until the links close or the link is idle.
func (p *outbound) run() {
	defer p.release()
	idle := time.NewTimer(p.links.idle)
	defer idle.Stop()
	for {
		select {
		case <-p.links.ctx.Done():
			return
		case <-idle.C:
			if p.links.retire(p) {
				return
			}
		case <-p.ring.wake:
			p.drain()
		}
		idle.Reset(p.links.idle)
	}
}

// drain sends every waiting payload.
func (p *outbound) drain() {
	backoff := backoffFirst
	for p.links.ctx.Err() == nil {
		if !p.connected() {
			if err := p.dial(); err != nil {
				p.links.counters.failed.Inc(1)
				if !p.pause(backoff) {
					return
				}
				backoff = min(2*backoff, backoffMost)
				p.dropStale()
				if p.ring.empty() {
					return
				}
				continue
			}
			backoff = backoffFirst
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
	if time.Since(q.at) > staleAfter {
		c.stale.Inc(1)
		return
	}
	if err := p.write(q.payload); err != nil {
		c.lost.Inc(1)
		p.hangUp()
		return
	}
	c.sent.Inc(1)
	c.sentBytes.Inc(int64(len(q.payload)))
}

// write sends a payload on the link's stream, or on a stream of its own where
// it is so long that it would hold the others up.
func (p *outbound) write(payload []byte) error {
	stream := p.stream
	bulk := len(payload) > bulkFrame
	if bulk {
		s, err := p.open()
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

// connected reports whether the link stands and still leads to the peer's
// present address.
func (p *outbound) connected() bool {
	if p.conn == nil {
		return false
	}
	moved := p.dialed != "" && p.dialed != p.currentAddress()
	if moved || p.conn.Context().Err() != nil {
		p.hangUp()
		return false
	}
	if p.surplus() {
		p.links.counters.merged.Inc(1)
		p.release()
		return false
	}
	return true
}

// surplus reports that both hosts of a pair dialled at once. Both then settle
// on the connection that the host with the lower identity opened; the other
// one ends once it has been idle.
func (p *outbound) surplus() bool {
	return p.dialed != "" && p.to < p.links.settings.Self && p.links.way(p.to) != nil
}

// dial takes a connection that the peer opened, or opens one, and starts this
// host's stream on it.
func (p *outbound) dial() error {
	if conn := p.links.way(p.to); conn != nil {
		return p.use(conn, "")
	}
	address := p.currentAddress()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return LinkError.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(p.links.ctx, dialTimeout)
	defer cancel()
	conn, err := p.links.transport.Dial(ctx, udp, p.links.settings.Material.client(), quicConfig(p.links.settings.Idle))
	if err != nil {
		return LinkError.Wrap(err)
	}
	p.links.counters.connected.Inc(1)
	p.links.start(func() { p.links.receive(conn) }) // the peer may answer on it
	return p.use(conn, address)
}

func (p *outbound) use(conn *quic.Conn, address string) error {
	p.conn, p.dialed = conn, address
	p.links.counters.outboundNow.Inc(1)
	stream, err := p.open()
	if err != nil {
		p.hangUp()
		return err
	}
	p.stream = stream
	return nil
}

// open starts a stream with this host's hello.
func (p *outbound) open() (*quic.SendStream, error) {
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

// hangUp closes the connection, which no longer serves.
func (p *outbound) hangUp() {
	if p.conn == nil {
		return
	}
	_ = p.conn.CloseWithError(closeDone, "")
	p.conn, p.stream = nil, nil
	p.links.counters.outboundNow.Dec(1)
}

// release ends this host's stream. The connection stays as long as the peer
// uses it, and ends by itself once both sides have been silent.
func (p *outbound) release() {
	if p.conn == nil {
		return
	}
	_ = p.stream.Close()
	p.conn, p.stream = nil, nil
	p.links.counters.outboundNow.Dec(1)
}

// pause waits about d and reports whether the links are still open.
func (p *outbound) pause(d time.Duration) bool {
	t := time.NewTimer(time.Duration(p.rng.Jitter(int64(d))))
	defer t.Stop()
	select {
	case <-p.links.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// dropStale empties the ring of payloads that are too old to matter, so that a
// peer that is gone for good keeps no memory.
func (p *outbound) dropStale() {
	p.links.counters.stale.Inc(int64(p.ring.dropBefore(time.Now().Add(-staleAfter))))
}
