package upstream

import (
	"bytes"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// A call that must not act late is sent in two parts (RFC 9110, section 10.1.1): the head, which asks the
// upstream for an invitation, and after that the body. While the connection is cut, nothing is sent of which
// the upstream could make a whole request afterwards, wherever it is held up.

// NotInvited is the class of errors of calls whose body was not sent, as the upstream has neither asked for
// it nor answered. An upstream need not support that.
var NotInvited = errs.Class("upstream has not asked for the body")

// statusStart and statusEnd are where an answer's first line has its status; answercheck lets no other line
// pass.
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + len("100")
)

// sendHead writes the head of a request. Its body is withheld until the upstream asks for it.
func sendHead(conn *conn, request *fasthttp.Request) (*requestWrite, error) {
	request.Header.Set(fasthttp.HeaderExpect, "100-continue")
	var whole bytes.Buffer
	if _, err := request.WriteTo(&whole); err != nil {
		return nil, err
	}
	head, body := whole.Bytes(), request.Body()
	head = head[:len(head)-len(body)]
	if _, err := conn.Write(head); err != nil {
		return nil, err
	}
	w := &requestWrite{end: make(chan struct{}), err: NotInvited.New("the answer came first"), withheld: body}
	close(w.end)
	return w, nil
}

// awaitInvitation waits for the first line of an answer, and writes the withheld body if the upstream asks
// for it there.
func (w *requestWrite) awaitInvitation(conn *conn) error {
	if w.withheld == nil {
		return nil
	}
	line, err := conn.reader.Peek(statusEnd)
	if errors.Is(err, net.ErrClosed) {
		return NotInvited.Wrap(err) // the call has been given up
	}
	if err != nil {
		return err
	}
	if string(line[statusStart:]) != "100" {
		return nil // it answers, or this is an answer to another call
	}
	if _, err := conn.Write(w.withheld); err != nil {
		return err
	}
	w.withheld, w.err = nil, nil
	conn.sent.Store(true)
	return nil
}

// isSuccess reports whether an answer has a status of 2xx.
func isSuccess(r *fasthttp.Response) bool {
	return r.StatusCode() >= fasthttp.StatusOK && r.StatusCode() < fasthttp.StatusMultipleChoices
}
