package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"gentiancroft/internal/socket/sockettest"
)

// heldBytes is the length of a request that fits in the sender's kernel, but not in the receiver's.
const heldBytes = 256 << 10

// dialBuffered opens a connection whose kernel takes a whole request at once.
func dialBuffered(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(4 * heldBytes)
	}
	return c, err
}

// Guards against a call that its upstream gets after it was given up: the connection was closed in order,
// and the kernel went on sending the request.
func TestCallThatIsGivenUpNeverArrives(t *testing.T) {
	is := is.New(t)
	server := sockettest.Listen(t)
	client := NewClient(nil, nil)
	client.Dial = dialBuffered
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, Call{Address: server.Address(), Method: "POST", Path: "/", Body: make([]byte, heldBytes)})
	is.True(Broken.Has(err))
	got, reset := server.ReadAll()
	is.True(reset)
	is.True(len(got) < heldBytes)
}

// Guards against the same where the process is killed before it can close the connection.
func TestConnectionsAreResetWhereTheProcessIsKilled(t *testing.T) {
	is := is.New(t)
	server := sockettest.Listen(t)
	dialled, err := NewClient(nil, nil).dial(context.Background(), Call{Address: server.Address()})
	is.NoErr(err)
	raw, err := dialled.Conn.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		resets, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		is.NoErr(err)
		is.Equal(resets, 1)
	}))
	is.NoErr(dialled.Close())
}

// An upstream that runs a request must learn that it was given up, also after a cut, in which a reset would
// be lost: where everything has arrived, the connection is closed in order.
func TestConnectionIsClosedInOrderWhereTheRequestHasArrived(t *testing.T) {
	is := is.New(t)
	server := sockettest.Listen(t)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := NewClient(nil, nil).Do(ctx, Call{Address: server.Address(), Method: "POST", Path: "/", Body: []byte("whole")})
	is.True(Broken.Has(err))
	got, reset := server.ReadAll()
	is.True(!reset)
	is.Equal(string(got[len(got)-len("whole"):]), "whole")
}

// invited sends a call whose body the upstream must ask for, and returns the answer's status.
func invited(client *Client, address string, newConnection bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	call := Call{Address: address, Method: "POST", Path: "/", Body: []byte("whole"), Invited: true, Unnamed: true, NewConnection: newConnection}
	answer, err := client.Do(ctx, call)
	if err != nil {
		return 0, err
	}
	defer answer.Close()
	_, err = ReadBody(answer, MaxAnswerBytes)
	return answer.Status, err
}

// Guards against an order that a proxy has taken in full and passes on after a cut: nothing on the sender's
// side can take it back.
func TestBodyIsSentOnlyOnInvitation(t *testing.T) {
	is := is.New(t)
	server := sockettest.Listen(t)
	_, err := invited(NewClient(nil, nil), server.Address(), false)
	is.True(NotInvited.Has(err) && Broken.Has(err))
	got, _ := server.ReadAll()
	is.Equal(string(got[len(got)-len("\r\n\r\n"):]), "\r\n\r\n") // the head alone
}

func TestInvitedBodiesUseKeptConnections(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	bodies, remotes := []string{}, map[string]bool{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body := make([]byte, 16)
		n, _ := q.Body.Read(body)
		mu.Lock()
		defer mu.Unlock()
		bodies = append(bodies, string(body[:n]))
		remotes[q.RemoteAddr] = true
		w.WriteHeader(http.StatusAccepted)
	}))
	defer s.Close()
	client := NewClient(nil, nil)
	defer client.Close()
	for range 3 {
		status, err := invited(client, address(s), false)
		is.NoErr(err)
		is.Equal(status, http.StatusAccepted)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(bodies, []string{"whole", "whole", "whole"})
	is.Equal(len(remotes), 1)
}

// Guards against an order that fails on a kept connection whose last write had its deadline long ago.
func TestInvitedBodyHasItsOwnWriteDeadline(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) }))
	defer s.Close()
	client := NewClient(nil, nil)
	defer client.Close()
	for range 2 {
		status, err := invited(client, address(s), false)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		kept := client.pool.idle[address(s)]
		is.Equal(len(kept), 1)
		is.NoErr(kept[0].SetWriteDeadline(time.Unix(1, 0)))
	}
}

// An upstream may answer by the head alone, as with an error. It is not sent the body then.
func TestAnswerWithoutInvitation(t *testing.T) {
	is := is.New(t)
	for answer, want := range map[string]int{
		"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n":                                            409,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n": 412,
	} {
		status, err := invited(NewClient(nil, nil), rawServer(t, answer), true)
		is.NoErr(err)
		is.Equal(status, want)
	}
}

// Guards against the copy of an earlier answer that passes for the answer to a request which the upstream
// has not got yet.
func TestSuccessBeforeTheInvitationBelongsToAnEarlierCall(t *testing.T) {
	is := is.New(t)
	const accepted, invitation, conflict = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		scratch := make([]byte, 4<<10)
		for _, answer := range []string{invitation, accepted, accepted + invitation, conflict} {
			if _, err := c.Read(scratch); err != nil {
				return
			}
			_, _ = c.Write([]byte(answer))
		}
		_, _ = c.Read(scratch)
	}()
	client := NewClient(nil, nil)
	status, err := invited(client, l.Addr().String(), false)
	is.NoErr(err)
	is.Equal(status, http.StatusAccepted)
	status, err = invited(client, l.Addr().String(), false)
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	client.Close()
	<-done
}
