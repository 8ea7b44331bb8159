package upstream

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
)

// keepAlive reads how long an upstream says it keeps an idle connection; 0
// where it does not say.
func keepAlive(field []byte) time.Duration {
	for part := range strings.SplitSeq(string(field), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// exchange sends a call and reads the head of its answer.
func exchange(conn *conn, call Call) (*Answer, error) {
	request := call.Prepared
	if request == nil {
		request = fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		writeHeader(request, call)
		request.SetBodyRaw(call.Body)
	}
	sent, err := send(conn, request)
	if err != nil {
		return nil, err
	}
	response, err := receive(conn, call, request.Header.IsHead())
	if err != nil {
		return nil, err
	}
	return newAnswer(conn, response, sent()), nil
}

// inlineBody is the longest body that is written before the answer is read; a
// longer one is written beside it, for an upstream may answer before it has
// read the body.
const inlineBody = 8 << 10 // bytes

// send writes a request. The function that it returns reports whether all of it
// has been written.
func send(conn *conn, request *fasthttp.Request) (sent func() bool, err error) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(request.Body()) <= inlineBody {
		return func() bool { return true }, flush(conn, request)
	}
	copied := &fasthttp.Request{}
	request.CopyTo(copied) // it outlives the call where the upstream answers early
	done := make(chan error, 1)
	go func() { done <- flush(conn, copied) }()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

func flush(conn *conn, request *fasthttp.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

// strayAnswers is how many answers to earlier calls are passed over.
const strayAnswers = 2

// receive reads the head of the answer that belongs to a call.
func receive(conn *conn, call Call, head bool) (*fasthttp.Response, error) {
	for range strayAnswers + 1 {
		response := fasthttp.AcquireResponse()
		response.StreamBody = true
		response.SkipBody = head
		if err := response.ReadLimitBody(conn.reader, MaxAnswer); err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, err
		}
		if call.Matches == nil || call.Matches(&response.Header) {
			return response, nil
		}
		err := drop(response)
		if err != nil {
			return nil, err
		}
	}
	return nil, Broken.New("no answer to this call among those that came")
}

// drop reads an answer to its end.
func drop(response *fasthttp.Response) error {
	defer fasthttp.ReleaseResponse(response)
	defer func() { _ = response.CloseBodyStream() }()
	body := response.BodyStream()
	if body == nil {
		return nil
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

func newAnswer(conn *conn, response *fasthttp.Response, sent bool) *Answer {
	var body io.Reader = response.BodyStream()
	if body == nil {
		body = eof{}
	}
	return &Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		NotRun:      string(response.Header.Peek("X-Ran")) == string(core.RanNo),
		RetryAfter:  string(response.Header.Peek("Retry-After")),
		Body:        &tail{Reader: body},
		response:    response,
		conn:        conn,
		keep:        sent && !response.ConnectionClose(),
	}
}

// writeHeader keeps the invariant that only filtered headers and this host's
// own reach an upstream.
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
