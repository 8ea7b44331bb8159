package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// endless writes a head and then the same bytes again and again, until the client closes the
// connection. It returns the number of bytes written after the head.
func endless(c net.Conn, head, repeated string) (written int) {
	if _, err := io.WriteString(c, head); err != nil {
		return 0
	}
	block := bytes.Repeat([]byte(repeated), 1+4096/len(repeated))
	for {
		n, err := c.Write(block)
		written += n
		if err != nil {
			return written
		}
	}
}

// endlessServer returns a server that answers each request endlessly. Each channel value is the
// number of bytes that it wrote for one.
func endlessServer(t *testing.T, head, repeated string) (address string, written chan int) {
	written = make(chan int, 8)
	address = strayServer(t, func(c net.Conn, _, _ int) { written <- endless(c, head, repeated) })
	return address, written
}

// kernelSlackBytes is more than the kernel's buffers of one loopback connection hold.
const kernelSlackBytes = 24 << 20

// Guards against bytes without end, each in one part of an answer: every reader has a bound, at
// which it gives up and closes the connection.
func TestEveryPartOfAnAnswerHasABound(t *testing.T) {
	const statusLine, id = "HTTP/1.1 200 OK\r\n", "Id: 1\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"no line end":         {"", "x"},
		"blank lines":         {"", "\r\n"},
		"status line":         {"HTTP/1.1 200 ", "x"},
		"header field":        {statusLine + "X-Field: ", "x"},
		"header fields":       {statusLine, "X-Field: x\r\n"},
		"interim answers":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body by close":       {statusLine + id + "\r\n", "x"},
		"body by length":      {statusLine + id + "Content-Length: 99999999999\r\n\r\n", "x"},
		"body in chunks":      {statusLine + id + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"chunk's length":      {statusLine + id + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk's extension":   {statusLine + id + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":             {statusLine + id + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: x\r\n"},
		"answers to others":   {"", statusLine + "Id: 2\r\nContent-Length: 1\r\n\r\nx"},
		"another's body":      {statusLine + "Id: 2\r\n\r\n", "x"},
		"another's in chunks": {statusLine + "Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	} {
		address, written := endlessServer(t, c.head, c.repeated)
		client := NewClient(nil, nil)
		_, err := bodyOf(client, Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")})
		if !Broken.Has(err) && !AnswerTooLong.Has(err) {
			t.Errorf("%s: %v", name, err)
		}
		if n := <-written; n > 2*MaxAnswerBytes+kernelSlackBytes {
			t.Errorf("%s: %d bytes were read", name, n)
		}
		client.Close()
	}
}

// Guards against a reader that is bounded by nothing but the call's time: an answer to another
// call, which is discarded.
func TestDiscardedAnswerIsReadToABoundOnly(t *testing.T) {
	is := is.New(t)
	address, written := endlessServer(t, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x")
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := NewClient(nil, nil)
	defer client.Close()
	_, err := client.Do(ctx, Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")})
	is.True(Broken.Has(err))
	is.NoErr(ctx.Err())
	is.True(<-written < kernelSlackBytes)
}

// Guards against a process that runs out of memory: answers without end, each within its own
// bound, were all buffered at the same time.
func TestBufferedAnswersShareABudget(t *testing.T) {
	is := is.New(t)
	client := NewClient(nil, nil)
	defer client.Close()
	client.bodies.limit = 3 * bodyReservation
	address, written := endlessServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x")
	call := Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")}
	_, err := bodyOf(client, call)
	is.True(AnswerTooLong.Has(err))
	is.True(<-written < kernelSlackBytes)
	is.Equal(client.bodies.reserved.Load(), int64(0)) // given back

	client.bodies.reserved.Store(client.bodies.limit) // by other answers
	small := strayServer(t, func(c net.Conn, _, _ int) { writeAnswer(c, "1", "small") })
	call.Address = small
	got, err := bodyOf(client, call)
	is.NoErr(err) // a small answer needs none of it
	is.Equal(got, "small")
}

// Guards against a long answer to a confirmation: it is read while the call waits.
func TestConfirmationsAnswerHasABound(t *testing.T) {
	is := is.New(t)
	address := strayServer(t, func(c net.Conn, request, connection int) {
		if connection > 1 || request == 1 {
			writeAnswer(c, "1", "right")
			return
		}
		endless(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxAnswerBytes), "x")
	})
	client := NewClient(nil, nil)
	defer client.Close()
	call := Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")}
	_, err := bodyOf(client, call)
	is.NoErr(err)
	call.MaxIdle = time.Nanosecond
	call.Confirm = &Confirmation{Request: prepared(""), Matches: func(*fasthttp.ResponseHeader) Match { return Own }, Accept: func(*fasthttp.ResponseHeader, []byte) bool { return true }}
	got, err := bodyOf(client, call)
	is.NoErr(err) // on another connection
	is.Equal(got, "right")
}
