package upstream

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
)

// parseKeepAlive returns the timeout in a Keep-Alive header field: how long the upstream
// keeps an idle connection. It returns 0 if the field gives none.
func parseKeepAlive(field []byte) time.Duration {
	for part := range strings.SplitSeq(string(field), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// exchange sends a call and reads the header of its answer.
func exchange(conn *conn, call Call) (*Answer, error) {
	request := call.Prepared
	if request == nil {
		request = fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		writeHeader(request, call)
		request.SetBodyRaw(call.Body)
	}
	conn.BeginAnswer(request.Header.IsHead())
	written, err := startRequest(conn, request, call)
	if err != nil {
		return nil, err
	}
	response, err := receive(conn, call, written, request.Header.IsHead())
	if err != nil {
		return nil, err
	}
	return newAnswer(conn, response, written), nil
}

// maxInlineBodyBytes is the longest body that is written before the answer is read. A
// longer one is written concurrently, because an upstream may answer before it has read
// the whole body.
const maxInlineBodyBytes = 8 << 10

// requestWrite is the write of a request, which may still run when the answer comes.
type requestWrite struct {
	end      chan struct{}
	err      error  // valid once end is closed
	withheld []byte // the body that the upstream has not asked for yet
}

func (w *requestWrite) ended() bool {
	select {
	case <-w.end:
		return true
	default:
		return false
	}
}

// done reports whether the whole request has been written.
func (w *requestWrite) done() bool { return w.ended() && w.err == nil }

// await waits for the end of the write and returns its error. A write has a timeout.
func (w *requestWrite) await() error {
	<-w.end
	return w.err
}

// startRequest writes a request, or only its head where the upstream is to ask for the body.
func startRequest(conn *conn, request *fasthttp.Request, call Call) (*requestWrite, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if call.Invited {
		return sendHead(conn, request)
	}
	return send(conn, request, call.StableBody)
}

// send writes a request. stableBody is as in Call.
func send(conn *conn, request *fasthttp.Request, stableBody bool) (*requestWrite, error) {
	w := &requestWrite{end: make(chan struct{})}
	if len(request.Body()) <= maxInlineBodyBytes {
		close(w.end)
		return w, writeRequest(conn, request)
	}
	copied := &fasthttp.Request{} // the write may still run when the call has ended
	if stableBody {
		request.Header.CopyTo(&copied.Header)
		copied.SetBodyRaw(request.Body())
	} else {
		request.CopyTo(copied)
	}
	go func() {
		defer close(w.end)
		w.err = writeRequest(conn, copied)
	}()
	return w, nil
}

func writeRequest(conn *conn, request *fasthttp.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return err
	}
	if err := conn.writer.Flush(); err != nil {
		return err
	}
	conn.sent.Store(true)
	return nil
}

// maxStrayAnswers is how many answers to earlier calls are discarded before a call fails.
const maxStrayAnswers = 2

// receive reads the header of the answer that belongs to a call, and writes a withheld body where the
// upstream asks for it before. Invariant: on a kept connection, which may still carry an answer to an
// earlier call, only an answer that names the call is taken for its answer. isHead is set for a HEAD
// request, whose answer has no body.
func receive(conn *conn, call Call, written *requestWrite, isHead bool) (*fasthttp.Response, error) {
	for range maxStrayAnswers + 1 {
		if err := written.awaitInvitation(conn); err != nil {
			return nil, err
		}
		response := fasthttp.AcquireResponse()
		response.StreamBody = true
		response.SkipBody = isHead
		if err := response.ReadLimitBody(conn.reader, MaxAnswerBytes); err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, err
		}
		match := call.match(&response.Header)
		if written.withheld != nil && conn.use.Kept && isSuccess(response) {
			match = Foreign // a copy of an earlier answer: the upstream doesn't know the body yet
		}
		if match == Own || match == Unnamed && !conn.use.Kept {
			return response, nil
		}
		conn.use.Stray++
		if match == Unnamed {
			fasthttp.ReleaseResponse(response)
			return nil, Broken.New("an answer on a kept connection names no call")
		}
		err := discard(response)
		if err != nil {
			return nil, err
		}
	}
	return nil, Broken.New("none of the answers received belongs to this call")
}

// maxDiscardedBytes is the size of the longest body that is discarded. A longer one costs more
// than a new connection.
const maxDiscardedBytes = 64 << 10

// discard reads an answer to its end. A body over maxDiscardedBytes is an error.
func discard(response *fasthttp.Response) error {
	defer fasthttp.ReleaseResponse(response)
	defer func() { _ = response.CloseBodyStream() }()
	body := response.BodyStream()
	if body == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return AnswerTooLong.New("an answer to discard is over %d bytes", maxDiscardedBytes)
	}
	return err
}

func newAnswer(conn *conn, response *fasthttp.Response, written *requestWrite) *Answer {
	var body io.Reader = response.BodyStream()
	if body == nil {
		body = emptyBody{}
	}
	if framing(response) == FramedByClose {
		body = &closedBody{Reader: body, conn: conn, written: written}
	}
	return &Answer{
		Status:             response.StatusCode(),
		ContentType:        string(response.Header.ContentType()),
		NotRun:             string(response.Header.Peek("X-Ran")) == string(core.RanNo),
		RetryAfter:         string(response.Header.Peek("Retry-After")),
		Body:               &trackedBody{Reader: body},
		Connection:         conn.use,
		Framing:            framing(response),
		response:           response,
		conn:               conn,
		connectionReusable: written.done() && !conn.carried && !response.ConnectionClose(),
	}
}

// framing tells how the end of a response's body is marked.
func framing(response *fasthttp.Response) Framing {
	length := response.Header.ContentLength()
	switch {
	case response.BodyStream() == nil || length >= 0:
		return FramedByLength
	case length == -1:
		return FramedByChunks
	}
	return FramedByClose
}

// writeHeader sets the request line and the header. Invariant: only the call's filtered
// headers and this host's own reach an upstream.
func writeHeader(request *fasthttp.Request, call Call) {
	h := &request.Header
	h.SetMethod(call.Method)
	request.SetRequestURI("http://" + call.Address + call.Path)
	if call.Body != nil {
		h.SetContentType("application/json")
	}
	for _, f := range call.Headers {
		h.Set(f.Name, f.Value)
	}
	if call.Request != "" {
		h.Set("X-Request-Id", string(call.Request))
	}
	h.Set("X-Priority", strconv.Itoa(int(call.Class)))
	h.Set("X-Fence", strconv.FormatUint(uint64(call.Fence), 10))
	if call.Adapter != (core.AdapterRef{}) {
		h.Set("X-Adapter", call.Adapter.String())
	}
}
