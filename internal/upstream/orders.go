package upstream

import (
	"context"
	"encoding/json"
	"net/http"

	"gentiancroft/internal/core"
)

// maxOrderAnswer bounds what an engine may say about an order, in bytes.
const maxOrderAnswer = 64 << 10

// Orders sends adapter orders to engines.
type Orders struct {
	// Client sends them; nil takes a shared one.
	Client *Client
	// Now is the host's clock. Nil sends orders whatever their bound.
	Now func() core.Instant
}

type orderBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Do runs an order to its end. Only an order that never reached the engine, or
// that the engine refused by its status, is surely without effect.
func (s Orders) Do(ctx context.Context, o core.AdapterOrder) core.OrderDone {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	body, err := json.Marshal(orderBody{Name: o.Adapter.String(), Path: o.Adapter.String()})
	if err != nil || s.expired(o) {
		return core.OrderDone{ID: o.ID, Sure: true}
	}
	a, err := s.client().order(ctx, orderCall(o, body), func() bool { return s.expired(o) })
	if err != nil {
		return core.OrderDone{ID: o.ID, Sure: NotReached.Has(err)}
	}
	defer a.Close()
	if _, err := ReadWhole(a, maxOrderAnswer); err != nil {
		return core.OrderDone{ID: o.ID}
	}
	refused := a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError
	return core.OrderDone{ID: o.ID, OK: a.Status == http.StatusOK, Sure: a.Status == http.StatusOK || refused || a.NotRun}
}

func orderCall(o core.AdapterOrder, body []byte) Call {
	path := "/v1/unload_lora_adapter"
	if o.Load {
		path = "/v1/load_lora_adapter"
	}
	return Call{Upstream: o.Upstream, Address: o.Address, Method: "POST", Path: path, Body: body, Fence: o.Grant.Fence, Once: true}
}

func (s Orders) client() *Client {
	if s.Client == nil {
		return shared
	}
	return s.Client
}

func (s Orders) expired(o core.AdapterOrder) bool {
	return s.Now != nil && o.Grant.Until != 0 && !s.Now().Before(o.Grant.Until)
}

// order sends a call on a new connection unless it has expired once the
// connection stands: dialling takes time, and an order past its grant may meet
// the order of another owner.
func (c *Client) order(ctx context.Context, call Call, expired func() bool) (*Answer, error) {
	c.count(call, "orders")
	conn, err := c.dial(ctx, call.Address)
	if err != nil {
		c.count(call, "not_reached")
		return nil, NotReached.Wrap(err)
	}
	if expired() {
		_ = conn.Close()
		return nil, NotReached.New("the grant ended while the connection was made")
	}
	answer, err := c.attempt(ctx, conn, call)
	return answer, c.failed(call, err)
}
