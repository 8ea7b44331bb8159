package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/upstream"
)

// waitTimeout bounds every wait of the tests; only a failing test reaches it.
const waitTimeout = 10 * time.Second

// fakeDialect is a minimal Dialect.
type fakeDialect struct{}

func (fakeDialect) ParseRequest(h *fasthttp.RequestHeader) RequestFields {
	return RequestFields{RequestID: string(h.Peek("Id")), Key: h.Peek("Key")}
}

func (fakeDialect) BuildRequest(to, from *fasthttp.Request, a AttemptFields) {
	to.Header.SetMethodBytes(from.Header.Method())
	to.Header.SetRequestURIBytes(from.Header.RequestURI())
	to.Header.SetHostBytes(from.Header.Host())
	to.Header.SetBytesV("Id", from.Header.Peek("Id"))
	to.Header.Set("After", a.LastEventID)
	to.SetBodyRaw(from.Body())
}

func (fakeDialect) BuildConfirmation(to *fasthttp.Request, _ AttemptFields) {
	to.Header.SetRequestURI("/confirm")
}

func (fakeDialect) MatchAnswer(h *fasthttp.ResponseHeader, id string) upstream.Match {
	if string(h.Peek("Id")) == id {
		return upstream.Own
	}
	return upstream.Foreign
}

func (fakeDialect) ParseIncarnation(body []byte) int64 {
	n, _ := strconv.ParseInt(string(body), 10, 64)
	return n
}

func (fakeDialect) MatchConfirmation(*fasthttp.ResponseHeader) upstream.Match { return upstream.Own }

func (fakeDialect) ParseAnswer(h *fasthttp.ResponseHeader) AnswerFields {
	notice := replicas.Notice{}
	if len(h.Peek("Pause")) > 0 {
		notice.Pause = time.Second
	}
	return AnswerFields{Notice: notice, Status: h.StatusCode(), NotRun: len(h.Peek("Not-Run")) > 0, Misdirected: h.StatusCode() == 421, Produced: len(h.Peek("Made")) > 0}
}

func (fakeDialect) CopyAnswerHeader(to, from *fasthttp.ResponseHeader) {
	to.SetStatusCode(from.StatusCode())
	to.SetContentTypeBytes(from.ContentType())
	to.SetBytesV("Made", from.Peek("Made"))
}

func (fakeDialect) SetRefusalFields(to *fasthttp.ResponseHeader, id string) { to.Set("Id", id) }

// fakeNode is a Node that decides by a script: the n-th function makes the n-th
// decision.
type fakeNode struct {
	mu        sync.Mutex
	script    []func(relaynode.RequestArrived) relaynode.Effect
	events    chan relaynode.Event
	x         *fakeExchange
	cancelled int // attempts up to this one may not begin
}

type fakeExchange struct {
	node      *fakeNode
	arrive    relaynode.RequestArrived
	decisions chan relaynode.Effect
	cancel    context.CancelFunc
	cancelled int // attempts up to this one may not begin
}

func (n *fakeNode) StartRequest(a relaynode.RequestArrived) Exchange {
	n.x = &fakeExchange{node: n, arrive: a, decisions: make(chan relaynode.Effect, 8), cancelled: n.cancelled}
	n.decide()
	return n.x
}

func (n *fakeNode) decide() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.script) == 0 {
		return
	}
	next := n.script[0]
	n.script = n.script[1:]
	n.x.decisions <- next(n.x.arrive)
}

func (n *fakeNode) Notify(e relaynode.Event) {
	n.events <- e
	if x, ok := e.(relaynode.AttemptEnded); ok && x.Kind != relaynode.EndOK {
		n.decide()
	}
}

func (n *fakeNode) Leaving() bool { return false }

func (x *fakeExchange) Decisions() <-chan relaynode.Effect { return x.decisions }

func (x *fakeExchange) StartAttempt(parent context.Context, _ int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	x.cancel = cancel
	return ctx, cancel
}

func (x *fakeExchange) StartAnswer(attempt int) bool { return attempt > x.cancelled }

func (x *fakeExchange) Close() {}

// harness is a server with one fake replica behind it.
type harness struct {
	t       *testing.T
	is      *is.I
	node    *fakeNode
	address string // of the server
	replica string // its address
	server  *Server
}

// newHarness starts a server and a fake replica that handles each request by answer.
func newHarness(t *testing.T, answer func(net.Conn, *http.Request), script ...func(relaynode.RequestArrived) relaynode.Effect) *harness {
	h := &harness{t: t, is: is.New(t), node: &fakeNode{script: script, events: make(chan relaynode.Event, 64)}}
	h.replica = h.listen(func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				_ = c.Close()
				return
			}
			answer(c, request)
		}
	})
	limits := DefaultLimits
	limits.MaxBodyBytes = 1 << 20
	h.server = New(h.node, upstream.NewClient(nil, nil), fakeDialect{}, limits, metrics.NewRegistry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	h.is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = h.server.Serve(l) }()
	h.address = l.Addr().String()
	return h
}

func (h *harness) listen(serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	h.is.NoErr(err)
	h.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// dispatch returns a decision to send attempt n to the fake replica.
func (h *harness) dispatch(n int, after string) func(relaynode.RequestArrived) relaynode.Effect {
	return func(a relaynode.RequestArrived) relaynode.Effect {
		return relaynode.Dispatch{ID: a.ID, Attempt: n, Upstream: "r", Address: h.replica, LastEvent: after, NonRepeatable: true}
	}
}

func (h *harness) script(f ...func(relaynode.RequestArrived) relaynode.Effect) { h.node.script = f }

// request sends raw bytes and reads the answer's header.
func (h *harness) request(raw string) (*http.Response, net.Conn) {
	c, err := net.Dial("tcp", h.address)
	h.is.NoErr(err)
	h.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, err = c.Write([]byte(raw))
	h.is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	h.is.NoErr(err)
	return response, c
}

// ended returns the next end of an attempt that is reported to the node.
func (h *harness) ended() relaynode.AttemptEnded {
	h.is.Helper()
	for {
		select {
		case e := <-h.node.events:
			if x, ok := e.(relaynode.AttemptEnded); ok {
				return x
			}
		case <-time.After(waitTimeout):
			h.t.Fatal("no end of an attempt was reported to the node")
		}
	}
}

func body(r *http.Response) (string, error) {
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

func get(id string) string {
	return "GET /a//b/../c?x=1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"
}

func answer(c net.Conn, id, head, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, head, len(body), body)
}

const (
	madeHeader    = "Made: 1\r\n"
	streamHeaders = "Made: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
)

func chunk(c net.Conn, s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func streamHead(c net.Conn, id string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+streamHeaders+"\r\n")
}

func TestARequestAndItsAnswerAreForwardedUnchanged(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		answer(c, r.Header.Get("Id"), madeHeader, r.Method+" "+r.RequestURI+" "+string(sent))
	})
	h.script(h.dispatch(1, ""))
	r, _ := h.request("POST /a//b/../c%2F?x=1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	got, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(got, "POST /a//b/../c%2F?x=1 abc")
	h.is.Equal(h.ended().Kind, relaynode.EndOK)
}

func TestALateAnswerToAnotherRequestIsDropped(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		answer(c, "another", madeHeader, "wrong")
		answer(c, r.Header.Get("Id"), madeHeader, "right")
	})
	h.script(h.dispatch(1, ""))
	r, _ := h.request(get("1"))
	got, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(got, "right")
}

// Guards against a refusal that says "not run" of a request that ran: the replica's rejection
// of its first attempt came twice, and passed for the answer to the next one.
func TestARepeatedAnswerToAnEarlierAttemptIsNotTakenForTheNextOnes(t *testing.T) {
	const rejection = "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	rejected := map[net.Conn]bool{}
	first := true
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if first {
			first, rejected[c] = false, true
			_, _ = io.WriteString(c, rejection)
			return
		}
		if rejected[c] {
			_, _ = io.WriteString(c, rejection) // late, when the next answer is due
		}
		answer(c, "1", madeHeader, "ran")
	})
	h.script(h.dispatch(1, ""), h.dispatch(2, ""), func(a relaynode.RequestArrived) relaynode.Effect {
		return relaynode.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, time.Second, "")}
	})
	r, _ := h.request(get("1"))
	h.is.Equal(r.StatusCode, http.StatusOK)
	got, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(got, "ran")
}

func TestATruncatedAnswerIsNotPassedOn(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+madeHeader+"Content-Length: 100\r\n\r\nshort")
		_ = c.Close()
	})
	h.script(h.dispatch(1, ""), func(a relaynode.RequestArrived) relaynode.Effect {
		return relaynode.Refuse{ID: a.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.RanUnknown}}
	})
	r, _ := h.request(get("1"))
	h.is.Equal(r.StatusCode, http.StatusBadGateway)
	h.is.Equal(h.ended().Kind, relaynode.EndBroken)
}

func TestAnAnswerWithoutTheReplicasMarkIsBroken(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) { answer(c, "1", "", "not by the replica") })
	h.script(h.dispatch(1, ""), func(a relaynode.RequestArrived) relaynode.Effect {
		return relaynode.Refuse{ID: a.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.RanUnknown}}
	})
	r, _ := h.request(get("1"))
	h.is.Equal(r.StatusCode, http.StatusBadGateway)
	h.is.Equal(h.ended().Kind, relaynode.EndBroken)
}

func TestNotRunAndMissingAreReported(t *testing.T) {
	for head, want := range map[string]relaynode.EndKind{
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n": relaynode.EndNotRun,
		"HTTP/1.1 421 Misdirected\r\n":        relaynode.EndAdapterMissing,
		"HTTP/1.1 500 Failed\r\nMade: 1\r\n":  relaynode.EndError,
		// The replica ran it, whatever the status suggests:
		"HTTP/1.1 421 Misdirected\r\nMade: 1\r\n":        relaynode.EndError,
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nMade: 1\r\n": relaynode.EndError,
		"HTTP/1.1 503 Unavailable\r\nMade: 1\r\n":        relaynode.EndError,
		"HTTP/1.1 503 Unavailable\r\nOther: 1\r\n":       relaynode.EndBroken,
	} {
		h := newHarness(t, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, head+"Id: 1\r\nContent-Length: 0\r\n\r\n")
		})
		h.script(h.dispatch(1, ""), func(a relaynode.RequestArrived) relaynode.Effect {
			return relaynode.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, 250*time.Millisecond, "")}
		})
		r, _ := h.request(get("1"))
		h.is.Equal(r.StatusCode, http.StatusServiceUnavailable)
		h.is.Equal(r.Header.Get("Retry-After"), "0.25")
		h.is.Equal(h.ended().Kind, want)
	}
}

func TestAReplicasOwnFailureIsDeliveredUnlessItsStatusImpliesNotRun(t *testing.T) {
	for status, want := range map[int]int{500: 500, 504: 504, 503: 502, 429: 502} {
		h := newHarness(t, func(c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: 1\r\n%sContent-Length: 4\r\n\r\nfail", status, madeHeader)
		})
		h.script(h.dispatch(1, ""), func(a relaynode.RequestArrived) relaynode.Effect { return relaynode.DeliverFailure{ID: a.ID} })
		r, _ := h.request(get("1"))
		h.is.Equal(r.StatusCode, want)
		h.is.Equal(r.Header.Get("Made") != "", status == want)
	}
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	second := make(chan struct{})
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		streamHead(c, "1")
		chunk(c, "id: 1\ndata: a\n\nid: 2\nda")
		<-second
		chunk(c, "ta: b\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.script(h.dispatch(1, ""))
	r, _ := h.request(get("1"))
	first := make([]byte, len("id: 1\ndata: a\n\n"))
	_, err := io.ReadFull(r.Body, first)
	h.is.NoErr(err)
	close(second)
	rest, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(rest, "id: 2\ndata: b\n\n")
	e := h.ended()
	h.is.Equal(e.Kind, relaynode.EndOK)
	h.is.Equal(e.LastEvent, "2")
}

func TestABrokenStreamNeverLooksComplete(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		streamHead(c, "1")
		chunk(c, "id: 1\ndata: a\n\nid: 2\nda")
		_ = c.Close()
	})
	h.script(h.dispatch(1, ""), func(a relaynode.RequestArrived) relaynode.Effect { return relaynode.AbortAnswer{ID: a.ID} })
	r, _ := h.request(get("1"))
	got, err := body(r)
	h.is.True(err != nil)
	h.is.Equal(got, "id: 1\ndata: a\n\n") // no incomplete event
	e := h.ended()
	h.is.Equal(e.Kind, relaynode.EndBroken)
	h.is.Equal(e.LastEvent, "1")
}

func TestAStreamResumesOnAnotherReplica(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		streamHead(c, "1")
		if r.Header.Get("After") == "" {
			chunk(c, "id: 1\ndata: a\n\nid: 2\nda")
			_ = c.Close()
			return
		}
		chunk(c, "id: 2\ndata: b\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.script(h.dispatch(1, ""), h.dispatch(2, "1"))
	r, _ := h.request(get("1"))
	got, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(got, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// Guards against events that are lost or come twice: a connection that broke right after complete
// events, within the framing of the body, took those events with it but counted them as sent.
func TestEventsThatArriveTogetherWithTheEndOfTheConnectionAreForwarded(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, apart := range map[string]int{"first read": 0, "later read": len(events) / 2} {
		h := newHarness(t, func(c net.Conn, r *http.Request) {
			streamHead(c, "1")
			if r.Header.Get("After") != "" {
				chunk(c, "id: 3\ndata: c\n\n")
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return
			}
			if apart > 0 {
				chunk(c, events[:apart])
			}
			rest := events[apart:]
			_, _ = fmt.Fprintf(c, "%x\r\n%s", len(rest), rest) // without the end of the chunk
			_ = c.Close()
		})
		h.script(h.dispatch(1, ""), h.dispatch(2, "2"))
		r, _ := h.request(get("1"))
		got, err := body(r)
		if err != nil || got != events+"id: 3\ndata: c\n\n" {
			t.Errorf("%s: %v, %q", name, err, got)
		}
		h.is.Equal(h.ended().LastEvent, "2") // all that was sent to the caller
	}
}

// Guards against a lost stream: the timeout for the first event cancelled an attempt
// while that event was being forwarded, and the caller's stream ended. Only the first
// of the two may take effect.
func TestAnAttemptCancelledBeforeItsAnswerStartsForwardsNothing(t *testing.T) {
	n := 0
	h := newHarness(t, func(c net.Conn, _ *http.Request) {
		n++
		streamHead(c, "1")
		chunk(c, fmt.Sprintf("id: 1\ndata: %d\n\n", n))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.script(h.dispatch(1, ""), h.dispatch(2, ""))
	h.node.cancelled = 1
	r, _ := h.request(get("1"))
	text, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(text, "id: 1\ndata: 2\n\n")
	first := h.ended()
	h.is.Equal(first.Kind, relaynode.EndCancelled)
	h.is.Equal(first.LastEvent, "") // nothing of it was sent to the caller
}

func TestAHangUpEndsTheAttempt(t *testing.T) {
	cancelled := make(chan struct{})
	began := make(chan struct{})
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		close(began)
		_, _ = c.Read(make([]byte, 1))
		close(cancelled)
	})
	h.script(h.dispatch(1, ""))
	c, err := net.Dial("tcp", h.address)
	h.is.NoErr(err)
	_, err = c.Write([]byte(get("1")))
	h.is.NoErr(err)
	<-began
	h.is.NoErr(c.Close())
	select {
	case <-cancelled:
	case <-time.After(waitTimeout):
		t.Fatal("the connection to the replica was not closed")
	}
	_, gone := (<-h.node.events).(relaynode.CallerGone)
	h.is.True(gone)
	h.is.Equal(h.ended().Kind, relaynode.EndCancelled)
}

func TestAnEarlyAnswerToALongBodyIsForwarded(t *testing.T) {
	h := newHarness(t, nil)
	h.replica = h.listen(func(c net.Conn) {
		r := bufio.NewReaderSize(c, 4<<10)
		_, _ = r.ReadString('\n')
		answer(c, "1", madeHeader, "early")
		_, _ = io.Copy(io.Discard, r)
	})
	h.script(h.dispatch(1, ""))
	long := strings.Repeat("x", 900<<10)
	r, _ := h.request(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(long), long))
	got, err := body(r)
	h.is.NoErr(err)
	h.is.Equal(got, "early")
}

func TestUnreadableRequestsGetATypedError(t *testing.T) {
	for raw, want := range map[string]int{
		"GET /x HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 20<<10) + "\r\n\r\n":                                    http.StatusRequestHeaderFieldsTooLarge,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n":                                                     http.StatusRequestEntityTooLarge,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n": http.StatusBadRequest,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd":                                  http.StatusBadRequest,
		"nonsense\r\n\r\n": http.StatusBadRequest,
	} {
		h := newHarness(t, nil)
		r, _ := h.request(raw)
		h.is.Equal(r.StatusCode, want)
	}
}

// The connection of a whole answer was closed: the end of the request came before the end of
// the call, and every plain request opened one.
func TestConnectionOfAWholeAnswerIsKept(t *testing.T) {
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		conns[c] = true
		mu.Unlock()
		answer(c, r.Header.Get("Id"), madeHeader, "whole")
	})
	for _, id := range []string{"1", "2", "3"} {
		h.script(h.dispatch(1, ""))
		r, _ := h.request(get(id))
		h.is.Equal(r.StatusCode, http.StatusOK)
		h.is.Equal(h.ended().Kind, relaynode.EndOK)
	}
	h.is.Equal(len(conns), 1)
}

// A replica that asks for a pause in its answer to a confirmation has not run the request.
func TestPauseInAConfirmationIsReportedAndTheRequestNotRun(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path != "/confirm" {
			answer(c, r.Header.Get("Id"), madeHeader, "first")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nPause: 1\r\nContent-Length: 0\r\n\r\n")
	})
	confirmable := func(a relaynode.RequestArrived) relaynode.Effect {
		d := h.dispatch(1, "")(a).(relaynode.Dispatch)
		d.NonRepeatable, d.Confirmable = true, true
		return d
	}
	h.server.maxConnIdle = time.Nanosecond
	refuse := func(a relaynode.RequestArrived) relaynode.Effect {
		return relaynode.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, time.Second, "")}
	}
	h.script(confirmable)
	r, _ := h.request(get("1"))
	h.is.Equal(r.StatusCode, http.StatusOK)
	h.is.Equal(h.ended().Kind, relaynode.EndOK)
	h.script(confirmable, refuse)
	r, _ = h.request(get("2"))
	h.is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	notice, ok := (<-h.node.events).(relaynode.ReplicaNoticed)
	h.is.True(ok)
	h.is.Equal(notice.Notice.Pause, time.Second)
	h.is.Equal(h.ended().Kind, relaynode.EndNotRun)
}
