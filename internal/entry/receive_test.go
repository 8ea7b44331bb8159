package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/heldbytes"
	"gentiancroft/internal/held"
)

// boundedServer returns the address of a server whose callers may hold little.
func boundedServer(t *testing.T) string {
	l := heldbytes.Limits{
		Total: 1 << 20, Reserve: 1 << 18, Small: 1 << 16, Connection: 1 << 20, Peer: 1 << 20,
		Connections: 20, PeerConnections: 20,
		StallAge: 10 * time.Millisecond, IdleAge: time.Second, MaxWait: 50 * time.Millisecond, MinRate: 1,
	}
	limits := DefaultLimits
	limits.MaxBodyBytes = 1 << 20
	b := newFixture(t, nil, WithLimits(limits), WithBudget(held.New("callers", l, metrics.NewRegistry())))
	return b.address
}

// exchange sends bytes and returns the status of the first answer, and whether the connection then ends
// without another.
func exchange(is *is.I, address, text string) (status int, closed bool) {
	is.Helper()
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	done := make(chan struct{})
	go func() { _, _ = io.WriteString(c, text); close(done) }()
	r := bufio.NewReader(c)
	answer, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, answer.Body)
	is.NoErr(err)
	if !answer.Close {
		return answer.StatusCode, false
	}
	_, err = r.ReadByte()
	_ = c.Close()
	<-done
	return answer.StatusCode, err != nil
}

// Guards against a part of a body that is taken for a request, and against bodies without a bound.
func TestBodiesThatAreNotReadEndTheConnection(t *testing.T) {
	const next = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
	large := strings.Repeat(next, 1<<20/len(next))
	for name, c := range map[string]struct {
		fields string
		status int
	}{
		"too large":       {"Content-Length: 2000000\r\n", 413},
		"no room":         {fmt.Sprintf("Content-Length: %d\r\n", len(large)), 503},
		"broken chunks":   {"Transfer-Encoding: chunked\r\n", 400},
		"too many fields": {strings.Repeat("a: b\r\n", 300), 431},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, closed := exchange(is, boundedServer(t), "POST /x HTTP/1.1\r\nHost: h\r\n"+c.fields+"\r\n"+large)
			is.Equal(status, c.status)
			is.True(closed)
		})
	}
}

func TestAPageIsServedAfterABody(t *testing.T) {
	is := is.New(t)
	status, closed := exchange(is, boundedServer(t), "GET /healthz HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	is.Equal(status, http.StatusOK)
	is.True(!closed)
}
