package upstream

import "github.com/valyala/fasthttp"

// Match is how an answer relates to a call.
type Match uint8

// Relations of an answer to a call.
const (
	Foreign Match = iota // it names another call: it is read and discarded
	Own                  // it names the call, or can only be an answer to a call of its kind
	Unnamed              // it names no call though answers of this upstream do; the call's only on a new connection
)

// match tells whether an answer belongs to the call.
func (c *Call) match(h *fasthttp.ResponseHeader) Match {
	if c.Matches != nil {
		return c.Matches(h)
	}
	echo := h.Peek("X-Request-Id")
	if c.Request == "" || len(echo) == 0 || string(echo) == string(c.Request) {
		return Own // engines need not name the request
	}
	return Foreign
}
