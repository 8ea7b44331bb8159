package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// confirmable is a server that records the paths of its requests and counts connections.
type confirmable struct {
	*httptest.Server
	mu          sync.Mutex
	paths       []string
	connections int
	breaks      bool // close the connection instead of answering a confirmation
}

func newConfirmable(t *testing.T) *confirmable {
	s := &confirmable{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.mu.Lock()
		s.paths = append(s.paths, q.URL.Path)
		breaks := s.breaks && q.URL.Path == "/confirm"
		s.mu.Unlock()
		if breaks {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("whole"))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.connections++
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// call sends a request on a connection that must be confirmed if it was idle for any time.
func (s *confirmable) call(c *Client, accept bool) error {
	confirm := &fasthttp.Request{}
	confirm.Header.SetRequestURI("/confirm")
	confirm.Header.SetHost(address(s.Server))
	a, err := c.Do(context.Background(), Call{
		Address: address(s.Server), Method: "GET", Path: "/", MaxIdle: time.Nanosecond,
		Confirm: &Confirmation{Request: confirm, Accept: func(*fasthttp.ResponseHeader, []byte) bool { return accept }},
	})
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = ReadBody(a, MaxAnswerBytes)
	return err
}

// A request that must not run twice is rare between each pair of host and replica: without a
// confirmation nearly every one opens a connection.
func TestIdleConnectionIsUsedAgainAfterAConfirmation(t *testing.T) {
	is := is.New(t)
	s, client := newConfirmable(t), NewClient(nil, nil)
	defer client.Close()
	for range 3 {
		is.NoErr(s.call(client, true))
	}
	is.Equal(s.connections, 1)
	is.Equal(s.paths, []string{"/", "/confirm", "/", "/confirm", "/"})
}

// The replica has dropped the idle connection without notice.
func TestCallIsSentOnANewConnectionIfTheConfirmationFails(t *testing.T) {
	is := is.New(t)
	s, client := newConfirmable(t), NewClient(nil, nil)
	defer client.Close()
	is.NoErr(s.call(client, true))
	s.breaks = true
	is.NoErr(s.call(client, true))
	is.Equal(s.connections, 2)
	is.Equal(s.paths, []string{"/", "/confirm", "/"})
}

// The answer to the confirmation asks for a pause.
func TestCallIsNotSentIfTheConfirmationIsNotAccepted(t *testing.T) {
	is := is.New(t)
	s, client := newConfirmable(t), NewClient(nil, nil)
	defer client.Close()
	is.NoErr(s.call(client, true))
	is.True(Refused.Has(s.call(client, false)))
	is.Equal(s.paths, []string{"/", "/confirm"})
}
