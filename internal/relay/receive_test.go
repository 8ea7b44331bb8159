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

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/heldbytes"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/held"
	"gentiancroft/internal/upstream"
)

const mib = 1 << 20

// receivingLimits are those of a receiving server.
var receivingLimits = Limits{
	MaxBodyBytes: mib, MaxHeaderBytes: 16 << 10, MaxFields: 20,
	ReadTimeout: waitTimeout, IdleTimeout: waitTimeout, StallTimeout: waitTimeout,
}

var receivingBudget = heldbytes.Limits{
	Total: 4 * mib, Reserve: mib, Small: 64 << 10, Connection: 2 * mib, Peer: 3 * mib,
	Connections: 100, PeerConnections: 100,
	StallAge: 50 * time.Millisecond, IdleAge: time.Second, MaxWait: waitTimeout, MinRate: 1,
}

// screeningNode refuses requests with the path /unknown by their heads.
type screeningNode struct{ *fakeNode }

func (screeningNode) Screen(a relaynode.RequestArrived) *core.Refusal {
	if a.Path == "/unknown" {
		return core.Refuse(core.CodeUnknownRoute, 0, "no route")
	}
	return nil
}

// receiving is a server whose requests are refused with status 502 and the body's length once they
// were received.
type receiving struct {
	is      *is.I
	t       *testing.T
	address string
	arrived chan relaynode.RequestArrived
}

func newReceiving(t *testing.T, budget heldbytes.Limits) *receiving {
	return newReceivingWithin(t, budget, receivingLimits)
}

func newReceivingWithin(t *testing.T, budget heldbytes.Limits, limits Limits) *receiving {
	r := &receiving{is: is.New(t), t: t, arrived: make(chan relaynode.RequestArrived, 64)}
	node := &fakeNode{events: make(chan relaynode.Event, 64)}
	for range 16 {
		node.script = append(node.script, func(a relaynode.RequestArrived) relaynode.Effect {
			r.arrived <- a
			return relaynode.Refuse{ID: a.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Message: "received", Ran: core.RanUnknown}}
		})
	}
	server := New(screeningNode{node}, upstream.NewClient(nil, nil), fakeDialect{}, limits, metrics.NewRegistry())
	server.SetBudget(held.New("callers", budget, metrics.NewRegistry()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = server.Serve(l) }()
	r.address = l.Addr().String()
	return r
}

// client is a caller's connection.
type client struct {
	*receiving
	conn   net.Conn
	reader *bufio.Reader
}

func (r *receiving) dial() *client {
	c, err := net.Dial("tcp", r.address)
	r.is.NoErr(err)
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{receiving: r, conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c.conn, text)
	c.is.NoErr(err)
}

// status reads an answer and returns its status.
func (c *client) status() int {
	c.is.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	c.is.NoErr(err)
	_, err = io.Copy(io.Discard, r.Body)
	c.is.NoErr(err)
	return r.StatusCode
}

// closed reports whether the server ends the connection without another answer.
func (c *client) closed() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

// post returns a request.
func post(path, fields, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: 1\r\n" + fields + "\r\n" + body
}

func withLength(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

const withChunks = "Transfer-Encoding: chunked\r\n"

func TestRequestsSentAheadAreServedOneByOne(t *testing.T) {
	r := newReceiving(t, receivingBudget)
	c := r.dial()
	large := strings.Repeat("x", mib)
	c.send(post("/a", withLength(3), "abc") + post("/b", withChunks, "3\r\nabc\r\n0\r\nT: x\r\n\r\n") + post("/c", withLength(mib), large) + post("/d", "", ""))
	for _, path := range []string{"/a", "/b", "/c", "/d"} {
		r.is.Equal(c.status(), http.StatusBadGateway)
		r.is.Equal((<-r.arrived).Path, path)
	}
}

// Guards against a part of a body that is taken for a request.
func TestABodyThatIsNotReadEndsTheConnection(t *testing.T) {
	smuggled := strings.Repeat(post("/smuggled", "", ""), 1000)
	for name, text := range map[string]struct {
		request string
		status  int
	}{
		"no route":             {post("/unknown", withLength(len(smuggled)), smuggled), 404},
		"no route, chunks":     {post("/unknown", withChunks, "5\r\n"+smuggled), 404},
		"too large":            {post("/a", withLength(2*mib), smuggled), 413},
		"too large, in chunks": {post("/a", withChunks, "200000\r\n"+strings.Repeat("x", 2*mib)+"\r\n"+smuggled), 413},
		"broken chunk":         {post("/a", withChunks, "zz\r\n"+smuggled), 400},
		"two lengths":          {post("/a", withLength(4)+withLength(5), smuggled), 400},
		"length and chunks":    {post("/a", withLength(4)+withChunks, smuggled), 400},
		"too many fields":      {post("/a", strings.Repeat("a: b\r\n", 100), smuggled), 431},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReceiving(t, receivingBudget)
			c := r.dial()
			go func() { _, _ = io.WriteString(c.conn, text.request) }()
			answer, err := http.ReadResponse(c.reader, nil)
			r.is.NoErr(err)
			r.is.Equal(answer.StatusCode, text.status)
			r.is.True(answer.Close) // the caller is told
			_, err = io.Copy(io.Discard, answer.Body)
			r.is.NoErr(err)
			r.is.True(c.closed())
			r.is.Equal(len(r.arrived), 0)
		})
	}
}

func TestALateBodyIsRefused(t *testing.T) {
	limits := receivingLimits
	limits.ReadTimeout = 200 * time.Millisecond
	r := newReceivingWithin(t, receivingBudget, limits)
	c := r.dial()
	c.send(post("/a", withLength(100), "part"))
	r.is.Equal(c.status(), http.StatusRequestTimeout)
	r.is.True(c.closed())
	r.is.Equal(len(r.arrived), 0)
}

// Guards against a connection that ends although all of the request was read.
func TestASmallRefusedBodyKeepsTheConnection(t *testing.T) {
	r := newReceiving(t, receivingBudget)
	c := r.dial()
	for range 2 {
		c.send(post("/unknown", withLength(4), "body"))
		r.is.Equal(c.status(), http.StatusBadGateway) // the node decides it
	}
}

func TestACallerThatWaitsIsToldToSendOnlyWhatIsReceived(t *testing.T) {
	r := newReceiving(t, receivingBudget)
	c := r.dial()
	c.send(post("/unknown", withLength(mib)+"Expect: 100-continue\r\n", ""))
	r.is.Equal(c.status(), http.StatusNotFound) // not 100
	c = r.dial()
	c.send(post("/a", withLength(4)+"Expect: 100-continue\r\n", ""))
	r.is.Equal(c.status(), http.StatusContinue)
	c.send("body")
	r.is.Equal(c.status(), http.StatusBadGateway)
}

// Guards against a refusal of what could be received, and against more than the budget.
func TestBodiesThatStopMakeRoomForOthers(t *testing.T) {
	r := newReceiving(t, receivingBudget)
	var stopped []*client
	for range 3 {
		c := r.dial()
		c.send(post("/a", withLength(mib), strings.Repeat("x", mib-8)))
		stopped = append(stopped, c)
	}
	c := r.dial()
	c.send(post("/b", withLength(mib), strings.Repeat("x", mib)))
	r.is.Equal(c.status(), http.StatusBadGateway)
	r.is.Equal((<-r.arrived).Path, "/b")
	statuses := make(chan int, len(stopped))
	for _, c := range stopped {
		go func() {
			if answer, err := http.ReadResponse(c.reader, nil); err == nil {
				statuses <- answer.StatusCode
			}
		}()
	}
	r.is.Equal(<-statuses, http.StatusServiceUnavailable)
	r.is.Equal(len(r.arrived), 0)
}

func TestABodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	small := receivingBudget
	small.Total, small.Reserve, small.MaxWait = mib/2, mib/4, 50*time.Millisecond
	r := newReceiving(t, small)
	c := r.dial()
	go func() { _, _ = io.WriteString(c.conn, post("/a", withLength(mib), strings.Repeat("x", mib))) }()
	answer, err := http.ReadResponse(c.reader, nil)
	r.is.NoErr(err)
	r.is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	r.is.True(answer.Header.Get("Retry-After") != "")
	b, err := io.ReadAll(answer.Body)
	r.is.NoErr(err)
	r.is.True(strings.Contains(string(b), `"ran":"no"`))
	c = r.dial()
	c.send(post("/b", withLength(4), "body"))
	r.is.Equal(c.status(), http.StatusBadGateway)
}

func TestConnectionsAreBounded(t *testing.T) {
	few := receivingBudget
	few.Connections, few.PeerConnections, few.IdleAge = 2, 2, time.Hour
	r := newReceiving(t, few)
	for range 2 {
		c := r.dial()
		c.send(post("/a", "", ""))
		r.is.Equal(c.status(), http.StatusBadGateway)
	}
	r.is.True(r.dial().closed())
}

// Guards against a request without a body that is taken for an idle connection, and closed for another.
func TestARunningRequestIsNotClosedForANewConnection(t *testing.T) {
	one := receivingBudget
	one.Connections, one.IdleAge = 1, 0
	arrived, decide := make(chan struct{}), make(chan struct{})
	node := &fakeNode{events: make(chan relaynode.Event, 64), script: []func(relaynode.RequestArrived) relaynode.Effect{
		func(a relaynode.RequestArrived) relaynode.Effect {
			close(arrived)
			<-decide
			return relaynode.Refuse{ID: a.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.RanUnknown}}
		},
	}}
	r := &receiving{is: is.New(t), t: t}
	server := New(screeningNode{node}, upstream.NewClient(nil, nil), fakeDialect{}, receivingLimits, metrics.NewRegistry())
	server.SetBudget(held.New("callers", one, metrics.NewRegistry()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() { _ = server.Serve(l) }()
	r.address = l.Addr().String()
	c := r.dial()
	c.send(post("/a", "", ""))
	<-arrived
	r.is.True(r.dial().closed())
	close(decide)
	r.is.Equal(c.status(), http.StatusBadGateway)
}

// Guards against answers without a bound: an event, or a whole answer, that there is no room for is not
// delivered, and the caller isn't told that the request has not run.
func TestAnswersWithoutRoomAreNotDelivered(t *testing.T) {
	tiny := receivingBudget
	tiny.Total, tiny.Reserve, tiny.MaxWait = 24<<10, 0, 20*time.Millisecond
	for name, head := range map[string]string{
		"event":        streamHeaders,
		"whole answer": madeHeader + "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{t: t, is: is.New(t), node: &fakeNode{events: make(chan relaynode.Event, 64)}}
			h.replica = h.listen(func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head+"\r\n")
				chunk(c, "data: "+strings.Repeat("x", 60<<10)+"\n\n")
				chunk(c, "")
			})
			h.script(h.dispatch(1, ""), func(a relaynode.RequestArrived) relaynode.Effect {
				return relaynode.Refuse{ID: a.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.RanUnknown}}
			})
			h.server = New(h.node, upstream.NewClient(nil, nil), fakeDialect{}, receivingLimits, metrics.NewRegistry())
			h.server.SetBudget(held.New("callers", tiny, metrics.NewRegistry()))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			h.is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() { _ = h.server.Serve(l) }()
			h.address = l.Addr().String()
			r, _ := h.request(get("1"))
			h.is.Equal(r.StatusCode, http.StatusBadGateway)
		})
	}
}
