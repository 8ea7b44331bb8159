package entry

import (
	"bufio"
	"context"
	"flag"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

const testKey = "key-of-a-caller"

// TestMain checks for leaked goroutines. It ignores two of fasthttp: one per process, and
// one per server that ends within ten seconds after its shutdown.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// fakeNode calls a script for each request and records the events reported to it.
type fakeNode struct {
	script func(*fakeExchange, node.RequestArrived)
	events chan node.Event
}

func (n *fakeNode) StartRequest(a node.RequestArrived) Exchange {
	x := &fakeExchange{decisions: make(chan node.Effect, 8)}
	n.events <- a
	n.script(x, a)
	return x
}

func (n *fakeNode) Notify(e node.Event) { n.events <- e }

type fakeExchange struct {
	decisions    chan node.Effect
	mu           sync.Mutex
	cancel       context.CancelFunc
	abortRefusal *core.Refusal
}

func (x *fakeExchange) Decisions() <-chan node.Effect { return x.decisions }
func (x *fakeExchange) Close()                        {}

func (x *fakeExchange) StartAttempt(parent context.Context) (context.Context, context.CancelFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	x.cancel = cancel
	return ctx, cancel
}

func (x *fakeExchange) AbortRefusal() *core.Refusal {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.abortRefusal
}

func (x *fakeExchange) abortWith(r *core.Refusal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortRefusal = r
	x.cancel()
}

// fixture is a server with a fake node and one upstream.
type fixture struct {
	is       *is.I
	node     *fakeNode
	address  string
	upstream string
	logs     *memory.Handler
	exchange chan *fakeExchange
	stop     func() // stops the server after all requests have ended
}

var quotes = core.AdapterRef{ID: "quotes", Version: 2}

// newFixture starts a server. With a nil handler, the node makes no decision on requests.
func newFixture(t *testing.T, engine http.HandlerFunc, options ...Option) *fixture {
	b := &fixture{is: is.New(t), logs: memory.New(), exchange: make(chan *fakeExchange, 16)}
	b.node = &fakeNode{events: make(chan node.Event, 256), script: func(x *fakeExchange, a node.RequestArrived) { b.exchange <- x }}
	if engine != nil {
		up := httptest.NewServer(engine)
		t.Cleanup(up.Close)
		b.upstream = strings.TrimPrefix(up.URL, "http://")
		b.node.script = func(x *fakeExchange, a node.RequestArrived) {
			b.exchange <- x
			x.decisions <- b.dispatch(a.ID, 1)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.is.NoErr(err)
	b.address = l.Addr().String()
	logger := &log.Logger{Handler: b.logs, Level: log.InfoLevel}
	s := NewWithNode(b.node, []byte("secret"), append([]Option{WithLogger(logger)}, options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, l); close(done) }()
	b.stop = func() { cancel(); <-done }
	t.Cleanup(b.stop)
	return b
}

func (b *fixture) dispatch(id core.RequestID, attempt int) node.Dispatch {
	return node.Dispatch{ID: id, Attempt: attempt, Upstream: "u", Address: b.upstream, Adapter: quotes, Workspace: "care-homes"}
}

// next returns the next event reported to the node.
func (b *fixture) next() node.Event { return <-b.node.events }

// nextEnded returns the next end of an attempt and skips other events.
func (b *fixture) nextEnded() node.AttemptEnded {
	for {
		if e, ok := b.next().(node.AttemptEnded); ok {
			return e
		}
	}
}

func (b *fixture) dial() *caller {
	c, err := net.Dial("tcp", b.address)
	b.is.NoErr(err)
	return &caller{Conn: c, reader: bufio.NewReader(c), is: b.is}
}

type caller struct {
	net.Conn
	reader *bufio.Reader
	is     *is.I
}

const streamBody = `{"model":"quotes","prompt":"a grab rail","max_tokens":8,"stream":true}`

func post(path, body string, headers ...string) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func (c *caller) send(s string) {
	_, err := c.Write([]byte(s))
	c.is.NoErr(err)
}

func (c *caller) response() *http.Response {
	r, err := http.ReadResponse(c.reader, nil)
	c.is.NoErr(err)
	return r
}

// readEvent blocks until the next part of a stream has arrived.
func (c *caller) readEvent(r *http.Response) string {
	var b [512]byte
	n, err := r.Body.Read(b[:])
	c.is.NoErr(err)
	return string(b[:n])
}

func event(w http.ResponseWriter, data string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("data: " + data + "\n\n"))
	w.(http.Flusher).Flush()
}
