package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"gentiancroft/internal/core"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// rawServer returns the address of a server that answers the first request on each
// connection with fixed bytes and closes the connection.
func rawServer(t *testing.T, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = c.Write([]byte(answer))
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

func TestConnectionsAreKeptOnlyAfterAWholeAnswer(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("whole"))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	client := NewClient(nil, nil)
	defer client.Close()
	call := func(once, read bool) {
		a, err := client.Do(context.Background(), Call{Address: address(s), Method: "GET", Path: "/", NewConnection: once})
		is.NoErr(err)
		if read {
			b, err := ReadBody(a, MaxAnswerBytes)
			is.NoErr(err)
			is.Equal(string(b), "whole")
		}
		a.Close()
	}
	call(false, true)
	call(false, true)
	is.Equal(connections.Load(), int32(1)) // kept and used again
	call(false, false)
	call(false, true)
	is.Equal(connections.Load(), int32(2)) // the connection of an unread answer is closed
	call(true, true)
	is.Equal(connections.Load(), int32(3)) // a call with NewConnection set uses a new connection
}

func TestTruncatedAnswersAreBroken(t *testing.T) {
	is := is.New(t)
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsh",
	} {
		a, err := Do(context.Background(), Call{Address: rawServer(t, answer), Method: "GET", Path: "/"})
		is.NoErr(err)
		_, err = ReadBody(a, MaxAnswerBytes)
		is.True(Broken.Has(err))
		a.Close()
	}
	_, err := Do(context.Background(), Call{Address: rawServer(t, ""), Method: "GET", Path: "/"})
	is.True(Broken.Has(err) && !NotReached.Has(err)) // sent, then the connection broke: it may have run
}

func TestCancelBeforeTheHeaderReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	arrived, gone := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(gone)
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	_, err := Do(ctx, Call{Address: address(s), Method: "GET", Path: "/"})
	is.True(Broken.Has(err))
	<-gone
}

func TestOrdersAreNotSentAfterTheirGrantExpired(t *testing.T) {
	is := is.New(t)
	var orders atomic.Int32
	var fence atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		orders.Add(1)
		fence.Store(r.Header.Get("X-Fence"))
	}))
	defer s.Close()
	now := core.Instant(10)
	o := OrderClient{Client: NewClient(nil, nil), Now: func() core.Instant { return now }}
	order := core.AdapterOrder{ID: 7, Address: address(s), Load: true, Adapter: core.AdapterRef{ID: "a", Version: 1}, Grant: core.Grant{Fence: 9, Until: 11}, Timeout: time.Second}
	is.Equal(o.Do(context.Background(), order), core.OrderDone{ID: 7, OK: true, NoEffect: true})
	is.Equal(fence.Load(), "9")
	now = 11
	is.Equal(o.Do(context.Background(), order), core.OrderDone{ID: 7, NoEffect: true})
	is.Equal(orders.Load(), int32(1)) // nothing is sent at or after Grant.Until
	reads := 0
	o.Now = func() core.Instant { reads++; return core.Instant(10 + reads/2) }
	is.Equal(o.Do(context.Background(), order), core.OrderDone{ID: 7, NoEffect: true})
	is.Equal(orders.Load(), int32(1)) // the grant expired while the connection was being opened
}

func TestCallsAreNotSentAfterTheirTicketExpired(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer s.Close()
	client := NewClient(nil, func() core.Instant { return 10 })
	defer client.Close()
	a, err := client.Do(context.Background(), Call{Address: address(s), Method: "GET", Path: "/", SendBefore: 11})
	is.NoErr(err)
	a.Close()
	_, err = client.Do(context.Background(), Call{Address: address(s), Method: "GET", Path: "/", SendBefore: 10})
	is.True(NotReached.Has(err))
	is.Equal(calls.Load(), int32(1))
}

func TestPollReadsALoadReport(t *testing.T) {
	is := is.New(t)
	body := `{"incarnation":"i1","running":3,"adapters":[{"name":"quotes@2","running":3}],"loading":["q@1"],"leaving":true}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer s.Close()
	client := NewClient(nil, func() core.Instant { return 5 })
	defer client.Close()
	is.Equal(client.Poll(context.Background(), "u", address(s)), core.UpstreamReport{
		Upstream: "u", OK: true, Incarnation: "i1", Running: 3, Sent: 5, Leaving: true,
		Adapters: []core.AdapterLoad{{Adapter: core.AdapterRef{ID: "quotes", Version: 2}, Running: 3}},
		Loading:  []core.AdapterRef{{ID: "q", Version: 1}},
	})
	body = `{"adapters":[{"name":"quotes"}]}`
	is.True(!client.Poll(context.Background(), "u", address(s)).OK) // a name without a version is not an adapter
}
