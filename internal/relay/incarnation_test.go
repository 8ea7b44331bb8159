package relay

import (
	"net"
	"net/http"
	"testing"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
)

// Guards against a stream that goes on at another software version: its replica had restarted
// under its id, which this host didn't know. The request is sent on the connection on which the
// right incarnation has just answered, or not at all.
func TestStreamGoesOnAtTheConfirmedIncarnationOnly(t *testing.T) {
	const running = "2"
	var confirmedOn net.Conn
	runs, confirmations := 0, 0
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/confirm" {
			confirmations++
			confirmedOn = c
			answer(c, "", "", running)
			return
		}
		if c != confirmedOn {
			t.Error("the request came on a connection without a confirmation")
		}
		runs++
		answer(c, r.Header.Get("Id"), madeHeader, "ran")
	})
	goOnAt := func(incarnation int64) func(relaynode.RequestArrived) relaynode.Effect {
		return func(a relaynode.RequestArrived) relaynode.Effect {
			return relaynode.Dispatch{ID: a.ID, Attempt: 1, Upstream: "r", Address: h.replica, Incarnation: incarnation}
		}
	}
	refuse := func(a relaynode.RequestArrived) relaynode.Effect {
		return relaynode.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, 0, "")}
	}
	for _, id := range []string{"1", "2"} { // on a new connection, and on a kept one
		h.script(goOnAt(1), refuse)
		r, _ := h.request(get(id))
		h.is.Equal(r.StatusCode, http.StatusServiceUnavailable)
		h.is.Equal(h.ended().Kind, relaynode.EndNotRun)
		h.script(goOnAt(2))
		r, _ = h.request(get(id))
		h.is.Equal(r.StatusCode, http.StatusOK)
		h.is.Equal(h.ended().Kind, relaynode.EndOK)
	}
	h.is.Equal(runs, 2)
	h.is.Equal(confirmations, 4)
	h.script(goOnAt(2))
	r, _ := h.request(get("3"))
	h.is.Equal(r.StatusCode, http.StatusOK)
	h.is.Equal(confirmations, 4) // the connection leads to that incarnation as long as it lasts
}
