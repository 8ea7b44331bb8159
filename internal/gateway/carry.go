package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/socket"
)

// NotCarried is the class of errors of connections that this host opens for no other one.
var NotCarried = errs.Class("not carried")

// probePath probes this host's path to a replica.
func (g *Gateway) probePath(ctx context.Context, p relaynode.ProbePath) {
	err := g.executors.Paths.Probe(ctx, p.Replica, p.Address)
	if err != nil {
		log.WithField("upstream", string(p.Replica)).WithError(err).Debug("probe failed")
	}
	g.Notify(relaynode.PathProbed{Replica: p.Replica, Begun: p.Begun, OK: err == nil})
}

// Carry opens a connection to a replica for another host. The error wraps ECONNREFUSED only if
// nothing listens at the address for certain: not if this host may be cut off from replicas itself.
func (g *Gateway) Carry(ctx context.Context, from core.HostID, id core.UpstreamID, address, request string) (net.Conn, error) {
	may := g.ask(func(m *relaynode.Machine) bool { return m.MayCarry(id, address) })
	begun := g.clock()
	if !may {
		return nil, NotCarried.New("this host doesn't reach replica %q at %s, or leaves", id, address)
	}
	opened, err := g.executors.Paths.OpenFor(ctx, id, address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if ctx.Err() == nil || err == nil {
		g.Notify(relaynode.CarryDialled{For: from, Replica: id, Request: request, Begun: begun, OK: err == nil, Refused: refused})
	}
	switch {
	case err == nil:
		return &carriedConn{Conn: opened, gateway: g}, nil
	case refused && !g.ask(func(m *relaynode.Machine) bool { return m.RefusalCounts(id) }):
		return nil, NotCarried.New("refused, and this host may be cut off itself: %v", err)
	}
	return nil, NotCarried.Wrap(err)
}

// carriedConn is a connection that this host carries. Its end is reported once.
type carriedConn struct {
	net.Conn
	gateway *Gateway
	once    sync.Once
}

// SyscallConn implements syscall.Conn where the connection to the replica does.
func (c *carriedConn) SyscallConn() (syscall.RawConn, error) { return socket.Raw(c.Conn) }

// Close implements net.Conn.
func (c *carriedConn) Close() error {
	c.once.Do(func() { c.gateway.Notify(relaynode.CarryEnded{}) })
	return c.Conn.Close()
}
