package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseKeepAlive(t *testing.T) {
	is := is.New(t)
	for field, want := range map[string]time.Duration{"": 0, "timeout=5": 5 * time.Second, "max=9, Timeout=2": 2 * time.Second, "timeout=x": 0} {
		is.Equal(parseKeepAlive([]byte(field)), want)
	}
}

func TestIdleConnectionIsReusedOnlyWithinTheUpstreamsTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal((&conn{}).maxIdle(0), defaultIdleTimeout)
	is.Equal((&conn{}).maxIdle(time.Second), time.Second)
	is.Equal((&conn{serverIdleTimeout: 9 * time.Second}).maxIdle(0), 6*time.Second)
	is.Equal((&conn{serverIdleTimeout: time.Hour}).maxIdle(0), maxIdleTimeout)
	is.Equal((&conn{serverIdleTimeout: time.Second}).maxIdle(2*time.Second), time.Second*2/3)
}

// waitTimeout bounds every wait of the tests; only a failing test reaches it.
const waitTimeout = 3 * time.Second

// idleConn returns an idle kept connection and the upstream's end of it.
func idleConn(t *testing.T) (p *pool, theirs net.Conn, address string) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := NewClient(nil, nil).dial(context.Background(), Call{Address: l.Addr().String()})
	is.NoErr(err)
	theirs, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = c.Close(), theirs.Close() })
	p = newPool()
	p.put(c)
	return p, theirs, l.Addr().String()
}

// dropped reports whether the pool stops handing out its connection.
func dropped(p *pool, address string) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		c := p.get(Call{Address: address}, 0)
		if c == nil {
			return true
		}
		p.put(c)
	}
	return false
}

// Guards against answers that shift along a connection: bytes that an upstream had sent on an
// idle connection were not noticed.
func TestIdleConnectionWithUnexpectedBytesIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	p, theirs, address := idleConn(t)
	open := p.get(Call{Address: address}, 0)
	is.True(open != nil) // an idle connection without bytes is used again
	p.put(open)
	_, err := io.WriteString(theirs, "HTTP/1.1 200 OK\r\n")
	is.NoErr(err)
	is.True(dropped(p, address))
}

// Guards against requests that end as broken: a connection that the upstream had closed while it
// was idle was not noticed.
func TestIdleConnectionThatTheUpstreamClosedIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	p, theirs, address := idleConn(t)
	is.NoErr(theirs.Close())
	is.True(dropped(p, address))
}

func TestStrictCallIsNotMadeAfterAnUnnamedOneOnAConnection(t *testing.T) {
	is := is.New(t)
	p, _, address := idleConn(t)
	c := p.get(Call{Address: address, Strict: true}, 0)
	is.True(c != nil)
	c.unnamed = true
	p.put(c)
	is.True(p.get(Call{Address: address, Strict: true}, 0) == nil)
	is.True(p.get(Call{Address: address}, 0) == c)
}
