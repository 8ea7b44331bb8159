package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gentiancroft/internal/core/relaynode"
)

const (
	uploadBytes = 8 << 20 // over what the kernel's buffers of a connection hold
	partOfBody  = "part of a body"
)

// earlyReplica answers a long upload before it has read it, by bytes that give no length.
type earlyReplica struct {
	head  string
	read  int64         // bytes of the upload that it reads before its answer
	pause time.Duration // before its answer
	whole bool          // it ends its side in order, and reads on; else it resets the connection
}

func (x earlyReplica) serve(c net.Conn) {
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r, x.read)
	time.Sleep(x.pause)
	_, _ = io.WriteString(c, x.head+fieldsOf+"\r\n"+partOfBody)
	tcp := c.(*net.TCPConn)
	if x.whole {
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	} else {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// upload sends an upload that the replica answers, and returns what the caller got.
func (x earlyReplica) upload(t *testing.T, next func(relaynode.RequestArrived) relaynode.Effect) (h *harness, status int, got string, err error) {
	h = newHarness(t, nil)
	h.server.limits.MaxBodyBytes = 2 * uploadBytes
	h.replica = h.listen(func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		x.serve(c)
	})
	h.script(h.dispatch(1, ""), next)
	r, _ := h.request(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes)))
	got, err = body(r)
	return h, r.StatusCode, got, err
}

// Guards against a part of an answer that passes for the whole one (issue 54): the replica reset the
// connection while the upload was written, so that the write got the error and the reader a regular end.
func TestAnswerThatIsResetDuringAnUploadIsBroken(t *testing.T) {
	for _, head := range []string{okLine, "HTTP/1.0 200 OK\r\n", okLine + "Content-Type: text/event-stream\r\n"} {
		for _, read := range []int64{0, 64 << 10} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				h, status, got, err := earlyReplica{head: head, read: read, pause: pause}.upload(t, refuseFailed)
				if status != http.StatusBadGateway && err == nil {
					t.Errorf("%q, %d bytes read, after %v: the caller got %d, %q", head, read, pause, status, got)
				}
				if e := h.ended(); e.Kind != relaynode.EndBroken {
					t.Errorf("%q, %d bytes read, after %v: the node was told %+v", head, read, pause, e)
				}
			}
		}
	}
}

// A replica may answer early and read on: its answer is whole.
func TestEarlyAnswerWithoutALengthIsWhole(t *testing.T) {
	h, status, got, err := earlyReplica{head: okLine, read: 64 << 10, whole: true}.upload(t, refuseFailed)
	h.is.NoErr(err)
	h.is.Equal(status, http.StatusOK)
	h.is.Equal(got, partOfBody)
	h.is.Equal(h.ended().Kind, relaynode.EndOK)
}
