package hangup

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core/heldbytes"
	"gentiancroft/internal/framing"
	"gentiancroft/internal/held"
)

// Classes of errors of requests whose bodies are not received. Such a connection must be closed.
var (
	BodyTooLarge = errs.Class("body too large")
	TooSlow      = errs.Class("body too slow")
	BrokenBody   = errs.Class("broken body")
)

// requestState is how far a connection's current request has been read.
type requestState int32

const (
	inHead requestState = iota
	inBody
	requestRead
)

const (
	// headReadBytes is how much is read at once while a head is received.
	headReadBytes = 4 << 10
	// firstBodyBytes is what a body may take before more of it has arrived.
	firstBodyBytes = 16 << 10
	// bodyGrowth is by what factor the space for a body of unknown length grows.
	bodyGrowth = 4
)

// body is the state of reading a request's body.
type body struct {
	began  time.Time // when the request's first byte came
	left   int64     // bytes of a body with a length
	chunks framing.Chunks
	raw    []byte // of a chunked body: read from the connection and not decoded yet
	buffer []byte // that raw is a part of
}

// readHead reads on in the head of a request.
func (c *Conn) readHead(p []byte) (int, error) {
	switch requestState(c.state.Load()) {
	case inBody:
		return 0, BrokenBody.New("the body has not been read")
	case requestRead:
		c.beginRequest()
	}
	n, err := c.read(p[:min(len(p), headReadBytes)])
	if n == 0 {
		return 0, err
	}
	if c.body.began.IsZero() {
		c.body.began = time.Now()
		c.account.SetPhase(heldbytes.Idle) // its idle time begins anew
	}
	used, scanErr := c.head.Scan(p[:n])
	if scanErr != nil {
		c.account.Reject(reasonOf(scanErr))
		return 0, scanErr
	}
	c.unread(p[used:n])
	if c.head.Done() {
		c.endHead()
	}
	return used, err
}

// reasonOf returns the reason for metrics of a request that could not be read.
func reasonOf(err error) heldbytes.Reason {
	switch {
	case framing.TooManyFields.Has(err):
		return "fields"
	case framing.TooLong.Has(err):
		return "chunk_overhead"
	case BodyTooLarge.Has(err):
		return "body"
	case TooSlow.Has(err):
		return "slow"
	}
	return "malformed"
}

// beginRequest prepares for the next request. What the connection held for the last is given back.
func (c *Conn) beginRequest() {
	c.endServing()
	c.head.Reset()
	c.body = body{}
	c.written, c.blocked, c.answerHeld = 0, 0, false
	c.account.SetPhase(heldbytes.Idle)
	c.state.Store(int32(inHead))
}

func (c *Conn) endHead() {
	c.beginServing()
	if c.head.BodyLength() == 0 {
		c.state.Store(int32(requestRead))
		return
	}
	c.body.left = c.head.BodyLength()
	c.state.Store(int32(inBody))
}

// unread puts bytes back that the next read is to return.
func (c *Conn) unread(b []byte) {
	if len(b) == 0 {
		return
	}
	c.mu.Lock()
	c.buffered = slices.Concat(b, c.buffered)
	c.mu.Unlock()
}

// Of returns the connection that a Listener with framing accepted, nil for others.
func Of(c net.Conn) *Conn {
	w, ok := c.(*Conn)
	if !ok || w.head.MaxLines == 0 {
		return nil
	}
	return w
}

// HideBody is the HTTP server's HeaderReceived. It makes the server take the request for one without
// a body, which ReceiveBody reads within the connection's budget.
func HideBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if length := h.ContentLength(); length > 0 || length == framing.Chunked {
		h.SetContentLength(0)
	}
	h.Del(fasthttp.HeaderExpect) // answered by ReceiveBody
	return fasthttp.RequestConfig{}
}

// HeadEnded reports whether the request's head has ended. If it hasn't when the request is served, the
// HTTP server has found another end, and the connection can't be used further.
func (c *Conn) HeadEnded() bool { return c.head.Done() }

// BodyLength returns the length of the request's body, framing.Chunked if it isn't known.
func (c *Conn) BodyLength() int64 { return c.head.BodyLength() }

// BodyPending reports whether a part of the request's body has not been read.
func (c *Conn) BodyPending() bool { return requestState(c.state.Load()) == inBody }

// BodyLimits bound the receiving of a body.
type BodyLimits struct {
	MaxBytes int
	Timeout  time.Duration // from the request's first byte to its last
	Grace    time.Duration // after which the body must have come at MinRate
	MinRate  int64         // bytes a second
	Continue bool          // tell a caller that waits for it to send the body
}

// ReceiveBody reads the request's body within the connection's budget. Invariant: after an error, the
// connection is closed, so that nothing of the body is taken for another request.
func (c *Conn) ReceiveBody(l BodyLimits) ([]byte, error) {
	if !c.HeadEnded() {
		return nil, framing.Malformed.New("the head has another end for the HTTP server")
	}
	if !c.BodyPending() {
		c.account.SetPhase(heldbytes.Running)
		return nil, nil
	}
	c.receiving.Store(true)
	defer c.receiving.Store(false)
	b, err := c.receiveBody(l)
	if evicted := c.account.Evicted(); evicted != "" {
		return nil, held.Refused.New("%s", evicted)
	}
	if err != nil && !held.Refused.Has(err) {
		c.account.Reject(reasonOf(err))
	}
	return b, err
}

func (c *Conn) receiveBody(l BodyLimits) ([]byte, error) {
	length := c.head.BodyLength()
	if length > int64(l.MaxBytes) {
		return nil, BodyTooLarge.New("%d bytes, of %d", length, l.MaxBytes)
	}
	if l.Continue && c.head.ExpectsContinue() {
		if err := c.sendContinue(); err != nil {
			return nil, BrokenBody.Wrap(err)
		}
	}
	c.account.SetPhase(heldbytes.Receiving)
	r := &receiver{conn: c, limits: l, began: time.Now()}
	for {
		if err := r.grow(); err != nil {
			return nil, err
		}
		done, err := r.read()
		if err != nil {
			return nil, err
		}
		if done {
			c.account.SetPhase(heldbytes.Running)
			return r.bytes, nil
		}
	}
}

// sendContinue tells a caller to send the body that waits to be told so.
func (c *Conn) sendContinue() error {
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// receiver is a body that is being received.
type receiver struct {
	conn   *Conn
	limits BodyLimits
	began  time.Time
	waited time.Duration // for the budget
	bytes  []byte
}

// grow makes space for more of the body, and waits until the budget has it. A body of known length
// gets all its space at once as soon as a first part has come, so that no two bodies wait for each
// other.
func (r *receiver) grow() error {
	if len(r.bytes) < cap(r.bytes) {
		return nil
	}
	size := int64(r.limits.MaxBytes) + 1 // the last byte shows that a body of unknown length is too large
	if length := r.conn.head.BodyLength(); length != framing.Chunked {
		size = length
	} else {
		size = min(size, max(int64(cap(r.bytes))*bodyGrowth, firstBodyBytes))
	}
	if cap(r.bytes) == 0 {
		size = min(size, firstBodyBytes)
	}
	asked := time.Now()
	if err := r.conn.account.Acquire(size - int64(cap(r.bytes))); err != nil {
		return err
	}
	r.waited += time.Since(asked)
	grown := make([]byte, len(r.bytes), size)
	copy(grown, r.bytes)
	r.bytes = grown
	return nil
}

// read reads once. done is set at the body's end.
func (r *receiver) read() (done bool, err error) {
	_ = r.conn.SetReadDeadline(r.deadline())
	if r.conn.account.Evicted() != "" { // its deadline may have been set before the one above
		return false, TooSlow.New("closed to free memory for other connections")
	}
	n, err := r.conn.readBody(r.bytes[len(r.bytes):cap(r.bytes)])
	r.bytes = r.bytes[:len(r.bytes)+n]
	r.conn.account.Progress(n)
	switch {
	case len(r.bytes) > r.limits.MaxBytes:
		return false, BodyTooLarge.New("over %d bytes", r.limits.MaxBytes)
	case err == io.EOF:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, TooSlow.Wrap(err)
	}
	return false, err
}

// deadline returns when the body is too slow if nothing more comes. Waiting for the budget isn't
// the caller's fault.
func (r *receiver) deadline() time.Time {
	total := r.conn.body.began.Add(r.limits.Timeout)
	due := time.Duration(float64(len(r.bytes)) / float64(r.limits.MinRate) * float64(time.Second))
	progress := r.began.Add(r.limits.Grace + due)
	if progress.Before(total) {
		total = progress
	}
	return total.Add(r.waited)
}

// readBody reads on in the request's body. It returns io.EOF at its end.
func (c *Conn) readBody(p []byte) (int, error) {
	if !c.BodyPending() {
		return 0, io.EOF
	}
	if c.head.BodyLength() == framing.Chunked {
		return c.readChunks(p)
	}
	n, err := c.read(p[:min(int64(len(p)), c.body.left)])
	c.body.left -= int64(n)
	if c.body.left == 0 {
		c.state.Store(int32(requestRead))
		return n, io.EOF
	}
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns the error of a connection that ends within a body.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return BrokenBody.Wrap(io.ErrUnexpectedEOF)
	}
	return err
}

// readChunks decodes chunks until p is full or what has arrived is used up.
func (c *Conn) readChunks(p []byte) (n int, err error) {
	if len(c.body.raw) == 0 {
		if c.body.buffer == nil {
			c.body.buffer = make([]byte, headReadBytes)
		}
		read, err := c.read(c.body.buffer)
		if read == 0 {
			return 0, unexpectedEnd(err)
		}
		c.body.raw = c.body.buffer[:read]
	}
	for n < len(p) && len(c.body.raw) > 0 {
		raw := c.body.raw
		skip, data, err := c.body.chunks.Next(raw[:min(len(raw), len(p)-n)])
		n += copy(p[n:], raw[skip:skip+data])
		c.body.raw = raw[skip+data:]
		if err != nil {
			return n, err
		}
		if c.body.chunks.Done() {
			c.unread(c.body.raw)
			c.body.raw, c.body.buffer = nil, nil
			c.state.Store(int32(requestRead))
			return n, io.EOF
		}
	}
	return n, nil
}

// HoldAnswer waits until the budget has room for an answer that is to be written.
func (c *Conn) HoldAnswer(bytes int) error {
	if c == nil || c.account == nil || bytes <= firstBodyBytes {
		return nil
	}
	if err := c.account.Acquire(int64(bytes)); err != nil {
		return err
	}
	c.account.SetPhase(heldbytes.Answering)
	c.answerHeld = true
	return nil
}

// Hold waits until the budget has room for more bytes of an answer that is being written. They are
// given back with the request's end.
func (c *Conn) Hold(bytes int) error {
	if c == nil {
		return nil
	}
	return c.account.Acquire(int64(bytes))
}
