package upstream

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Connection describes the connection of an answer, for logs.
type Connection struct {
	Kept      bool // it had carried other calls before
	Confirmed bool // a confirmation was answered on it just before
	Stray     int  // answers on it that were discarded since they belong to other calls
}

// Framing is how the end of an answer's body is marked.
type Framing uint8

// Framings of answers.
const (
	FramedByLength Framing = iota // by its length, or it has no body
	FramedByChunks                // by its last chunk
	FramedByClose                 // by nothing but the end of the connection, which may as well be a failure
)

// Answer is a response with a streamed body. It must be closed in every case.
type Answer struct {
	Status      int
	ContentType string
	NotRun      bool // the upstream reports that it did not run the request
	RetryAfter  string
	Body        io.Reader
	Connection  Connection
	Framing     Framing

	response           *fasthttp.Response
	conn               *conn
	stop               func() bool
	client             *Client
	reserved           int64 // bytes of the client's body budget that the answer holds
	connectionReusable bool  // the connection stays open after the answer
	closed             bool
}

// Header returns the answer's header. It is valid until Close.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.response.Header }

// Close ends the call. A connection whose answer was read to its end goes back to the
// pool; otherwise the connection is closed, which cancels the call at the upstream.
// Further calls of Close do nothing.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	if a.detach() {
		a.client.pool.put(a.conn)
	}
}

// detach ends a call and reports whether its connection can be used for another one. If not,
// the connection is closed.
func (a *Answer) detach() (reusable bool) {
	a.closed = true
	a.client.bodies.release(a.reserved)
	reusable = a.stop() && a.readToEnd()
	a.conn.serverIdleTimeout = parseKeepAlive(a.response.Header.Peek("Keep-Alive"))
	if !reusable {
		a.conn.abandon() // before the body stream, whose Close would wait for the upstream
	}
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
	a.response, a.Body = nil, emptyBody{} // the response may now be reused by another call
	return reusable
}

// readToEnd reports whether the answer was read to its end and the connection carries
// nothing else.
func (a *Answer) readToEnd() bool {
	if !a.connectionReusable || a.conn.use.Stray > 0 || a.response.Header.ContentLength() < -1 {
		return false
	}
	var next [1]byte
	body, ok := a.Body.(*trackedBody)
	if !ok || !body.ended {
		return false
	}
	n, err := a.Body.Read(next[:])
	return n == 0 && errors.Is(err, io.EOF) && a.conn.reader.Buffered() == 0 && !a.conn.Failed()
}

// trackedBody records whether its reader has returned io.EOF, so that closing an
// answer never waits for the rest of its body.
type trackedBody struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (t *trackedBody) Read(p []byte) (int, error) {
	if t.ended {
		return 0, io.EOF
	}
	n, err := t.Reader.Read(p)
	if err == io.EOF {
		t.ended = true
	}
	return n, err
}

type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// drainTimeout is how long CloseAfterDrain waits for the end of an answer.
const drainTimeout = time.Second

// CloseAfterDrain ends a call whose content is complete, such as a stream after [DONE]. It
// reads the end of the answer in the background so that the connection can be kept,
// and closes the connection if that end doesn't come within a second. The end of the
// call's context has no effect afterwards.
func (a *Answer) CloseAfterDrain() {
	if !a.stop() {
		a.Close()
		return
	}
	a.stop = func() bool { return true }
	_ = a.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	go func() {
		n, err := io.Copy(io.Discard, io.LimitReader(a.Body, readBufferBytes))
		_ = a.conn.SetReadDeadline(time.Time{})
		a.connectionReusable = a.connectionReusable && n == 0 && err == nil
		a.Close()
	}()
}

// ConnectionClosed reports whether an upstream closed or reset the connection in the
// middle of a call, as happens when it crashes.
func ConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// NothingListens reports whether a call was not sent because nothing listens at the upstream's
// address: its process has ended.
func NothingListens(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
