package entry

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

func itoa(n int) string { return strconv.Itoa(n) }

func TestHangUpWhileQueued(t *testing.T) {
	b := newFixture(t, nil)
	c := b.dial()
	c.send(post("/v1/completions", streamBody))
	arrived := b.next().(node.RequestArrived)
	b.is.NoErr(c.Close())
	b.is.Equal(b.next(), node.CallerGone{ID: arrived.ID})
}

func TestHangUpDuringPrefillCancelsTheUpstream(t *testing.T) {
	running, cancelled := make(chan struct{}), make(chan struct{})
	b := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // net/http detects a hang-up only after the body was read
		close(running)
		<-r.Context().Done()
		close(cancelled)
	})
	c := b.dial()
	c.send(post("/v1/completions", streamBody))
	arrived := b.next().(node.RequestArrived)
	<-running
	b.is.NoErr(c.Close())
	<-cancelled
	b.is.Equal(b.next(), node.CallerGone{ID: arrived.ID})
	b.is.Equal(b.nextEnded().Kind, node.EndCancelled)
}

func TestHangUpMidStreamCancelsTheUpstream(t *testing.T) {
	cancelled := make(chan struct{})
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		event(w, `{"choices":[{"text":"a"}]}`)
		<-r.Context().Done()
		close(cancelled)
	})
	c := b.dial()
	c.send(post("/v1/completions", streamBody))
	arrived := b.next().(node.RequestArrived)
	b.is.Equal(b.next(), node.FirstByteSent{ID: arrived.ID, Attempt: 1})
	c.readEvent(c.response())
	b.is.NoErr(c.Close())
	<-cancelled
	b.is.Equal(b.next(), node.CallerGone{ID: arrived.ID})
	e := b.nextEnded()
	b.is.Equal(e.Kind, node.EndCancelled)
	b.is.Equal(e.TokensReceived, core.Tokens(1))
	b.is.Equal(e.TokensUsed, arrived.PromptTokens+1) // only the tokens generated so far are charged
	b.stop()
	b.is.Equal(b.logs.Entries[0].Fields["outcome"], core.CodeCancelled) // not counted as a failure of the upstream
}

func TestHangUpDuringARecordedAttemptLetsItFinish(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	registry := metrics.NewRegistry()
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(running)
		<-finish
		_, _ = w.Write([]byte("booked"))
	}, WithRegistry(registry))
	b.node.script = func(x *fakeExchange, a node.RequestArrived) {
		d := b.dispatch(a.ID, 1)
		d.Adapter, d.BufferAnswer = core.AdapterRef{}, true
		x.decisions <- d
	}
	c := b.dial()
	c.send(post("/bookings", "{}", "Idempotency-Key: k"))
	arrived := b.next().(node.RequestArrived)
	<-running
	b.is.NoErr(c.Close())
	for metrics.GetOrRegisterCounter("entry.hung_up", registry).Count() == 0 {
		time.Sleep(time.Millisecond) // the attempt must end after the hang-up was detected
	}
	close(finish)
	e := b.next().(node.AttemptEnded)
	b.is.Equal(e.Kind, node.EndOK)
	b.is.Equal(string(e.Outcome.Body), "booked")
	b.is.Equal(b.next(), node.CallerGone{ID: arrived.ID}) // reported after the outcome
}

func TestPipelinedRequestsAreServed(t *testing.T) {
	release := make(chan struct{})
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	c := b.dial()
	request := func(i int) string {
		return post("/v1/completions", `{"model":"quotes","prompt":"number `+itoa(i)+`"}`)
	}
	c.send(request(0) + request(1) + request(2)[:40])
	first := b.next().(node.RequestArrived) // the first request is in progress; the third has arrived in part
	c.send(request(2)[40:])
	c.send(request(3))
	close(release)
	for i := range 4 {
		body, err := io.ReadAll(c.response().Body)
		b.is.NoErr(err)
		b.is.True(strings.Contains(string(body), "number "+itoa(i)))
	}
	b.is.NoErr(c.Close())
	for range 7 { // three more arrivals and four ends of attempts, but no hang-up
		switch e := b.next().(type) {
		case node.CallerGone:
			t.Error("a hang-up was reported for a pipelined request:", e.ID, first.ID)
		}
	}
}

func TestSlowCallerIsCancelledWithoutDelayingOthers(t *testing.T) {
	cancelled := make(chan struct{})
	limits := DefaultLimits
	limits.StallTimeout = 20 * time.Millisecond
	text := strings.Repeat("x", 32<<10)
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for strings.Contains(string(body), "endless") && r.Context().Err() == nil {
			event(w, text)
		}
		if r.Context().Err() != nil {
			close(cancelled)
			return
		}
		event(w, "[DONE]")
	}, WithLimits(limits))
	slow := b.dial()
	b.is.NoErr(slow.Conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	slow.send(post("/v1/completions", `{"model":"quotes","prompt":"endless","stream":true}`))
	quick := b.dial()
	quick.send(post("/v1/completions", streamBody))
	body, err := io.ReadAll(quick.response().Body)
	b.is.NoErr(err)
	b.is.Equal(string(body), "data: [DONE]\n\n")
	<-cancelled
	_ = slow.Close()
	_ = quick.Close()
}
