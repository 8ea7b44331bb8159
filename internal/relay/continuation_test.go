package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gentiancroft/internal/core/relaynode"
)

// Whole answers without an event, and one with it.
var (
	emptyStreams = map[string]string{
		"no length":      "Content-Length: 0\r\n\r\n",
		"last chunk":     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"comment":        "Transfer-Encoding: chunked\r\n\r\n9\r\n: alive\n\n\r\n0\r\n\r\n",
		"comment, whole": "Content-Length: 9\r\n\r\n: alive\n\n",
		"blank lines":    "Content-Length: 2\r\n\r\n\n\n",
	}
	nextEvent = "Content-Length: 15\r\n\r\nid: 2\ndata: b\n\n"
)

// inTurn makes fake replicas answer the attempts one after the other with an event stream's head and what
// follows; an attempt that goes on names the event after which it does.
func inTurn(first string, next ...string) func(net.Conn, *http.Request) {
	var attempts atomic.Int32
	answers := append([]string{first}, next...)
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, streamByClose+answers[attempts.Add(1)-1])
		_ = c.Close()
	}
}

const (
	chunkedHead     = "Transfer-Encoding: chunked\r\n\r\n"
	brokeInside     = chunkedHead + "16\r\n" + brokenEvents + "\r\n" // "id: 1" whole, "id: 2" begun
	brokeBetween    = chunkedHead + "f\r\n" + deliveredOfThese + "\r\n"
	brokeInComment  = chunkedHead + "13\r\n" + deliveredOfThese + ": al\r\n"
	brokeBeforeAny  = chunkedHead + "3\r\nid:\r\n"
	brokeAtItsStart = chunkedHead
)

// Guards against a stream that ends as complete though an event had begun that never came: the next
// replica's answer was whole and had no event.
func TestStreamThatBrokeInsideAnEventIsNotEndedByAnEmptyAnswer(t *testing.T) {
	for name, empty := range emptyStreams {
		for before, attempts := range map[string][]string{
			"at once":                 {brokeInside, empty},
			"after another attempt":   {brokeInside, brokeAtItsStart, empty},
			"after another such one":  {brokeInside, empty, empty},
			"that ended in a comment": {brokeInside, chunkedHead + "2\r\n: \r\n", empty},
		} {
			h := newHarness(t, inTurn(attempts[0], attempts[1:]...))
			h.script(h.dispatch(1, ""))
			for i := range attempts[1:] {
				h.node.script = append(h.node.script, h.dispatch(i+2, "1"))
			}
			h.node.script = append(h.node.script, abort)
			r, _ := h.request(get("1"))
			got, err := body(r)
			if err == nil || got[:len(deliveredOfThese)] != deliveredOfThese {
				t.Errorf("%s, %s: the caller got %q, %v", name, before, got, err)
			}
			var last relaynode.AttemptEnded
			for range attempts {
				last = h.ended()
			}
			if last.Kind != relaynode.EndBroken || !last.OwesEvent {
				t.Errorf("%s, %s: the node was told %+v", name, before, last)
			}
		}
	}
}

// The first event had begun, and nothing was delivered: another replica's empty answer isn't whole either.
func TestFirstEventThatBeganIsOwed(t *testing.T) {
	for name, empty := range emptyStreams {
		h := newHarness(t, inTurn(brokeBeforeAny, empty))
		h.script(h.dispatch(1, ""), h.dispatch(2, ""), refuseFailed)
		r, _ := h.request(get("1"))
		if r.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: status %d", name, r.StatusCode)
		}
	}
}

// A stream may have ended, so that only its end was lost; and an event that was owed has come.
func TestStreamIsEndedByAWholeAnswer(t *testing.T) {
	for name, empty := range emptyStreams {
		for _, c := range []struct {
			attempts []string
			want     string
		}{
			{[]string{brokeBetween, empty}, deliveredOfThese},
			{[]string{brokeInComment, empty}, deliveredOfThese},
			{[]string{brokeInside, nextEvent}, wholeEvents},
			{[]string{brokeInside, chunkedHead + "f\r\nid: 2\ndata: b\n\n\r\n", empty}, wholeEvents},
		} {
			h := newHarness(t, inTurn(c.attempts[0], c.attempts[1:]...))
			h.script(h.dispatch(1, ""))
			for i := range c.attempts[1:] {
				h.node.script = append(h.node.script, h.dispatch(i+2, "1"))
			}
			r, _ := h.request(get("1"))
			got, err := body(r)
			if err != nil || got[:len(c.want)] != c.want {
				t.Errorf("%s after %q: the caller got %q, %v", name, c.attempts[0], got, err)
			}
		}
	}
}

// Guards against the same where the caller takes the stream up at another connection: the node knows that
// it was broken off inside an event.
func TestStreamThatACallerTakesUpNeedsTheEventThatBegan(t *testing.T) {
	for name, empty := range emptyStreams {
		for _, owed := range []bool{false, true} {
			h := newHarness(t, inTurn(empty))
			h.script(func(a relaynode.RequestArrived) relaynode.Effect {
				d := h.dispatch(1, "1")(a).(relaynode.Dispatch)
				d.OwesEvent = owed
				return d
			}, refuseFailed)
			r, _ := h.request(get("1"))
			want := http.StatusOK
			if owed {
				want = http.StatusBadGateway
			}
			if r.StatusCode != want {
				t.Errorf("%s, owed %v: status %d", name, owed, r.StatusCode)
			}
		}
	}
}

// Guards against a stream that ends as complete when the next replica answers with a success that has no
// body, typed as events or not.
func TestSuccessWithoutABodyIsNoContinuation(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusResetContent} {
		for _, first := range []string{brokeBetween, brokeInside} {
			var attempts atomic.Int32
			h := newHarness(t, func(c net.Conn, _ *http.Request) {
				if attempts.Add(1) == 1 {
					_, _ = io.WriteString(c, streamByClose+first)
				} else {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: 1\r\n%sContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", status, madeHeader)
				}
				_ = c.Close()
			})
			h.script(h.dispatch(1, ""), h.dispatch(2, "1"), abort)
			r, _ := h.request(get("1"))
			got, err := body(r)
			if err == nil || got != deliveredOfThese {
				t.Errorf("%d: the caller got %q, %v", status, got, err)
			}
		}
	}
}

func TestFieldsAreToldFromComments(t *testing.T) {
	for text, want := range map[string]bool{"": false, "\n\r\n": false, ": a\n: b": false, ":": false, "i": true, ": a\nid: 1\n\n": true, "data: x\n: a\n\n": true} {
		if hasField([]byte(text)) != want {
			t.Errorf("%q: %v", text, !want)
		}
	}
}

// Guards against a replica that stops in the middle of its head: neither a stream nor what goes on with one
// looks complete, and no byte of the head reaches the caller.
func TestHeadThatStopsHalfWayIsNoContinuation(t *testing.T) {
	for _, next := range []string{
		streamByClose + "Content-Length: 0\r\n\r\n",
		streamByClose + chunkedHead,
		"HTTP/1.1 500 Failed\r\nId: 1\r\n" + madeHeader + "Content-Length: 0\r\n\r\n",
	} {
		for cut := range len(next) {
			var attempts atomic.Int32
			h := newHarness(t, func(c net.Conn, _ *http.Request) {
				answer := streamByClose + brokeBetween
				if attempts.Add(1) > 1 {
					answer = next[:cut]
				}
				_, _ = io.WriteString(c, answer)
				_ = c.Close()
			})
			h.script(h.dispatch(1, ""), h.dispatch(2, "1"), abort)
			r, _ := h.request(get("1"))
			got, err := body(r)
			if err == nil || got != deliveredOfThese {
				t.Errorf("cut at %d of %q: the caller got %q, %v", cut, next, got, err)
			}
		}
	}
}
