package upstream

import (
	"context"
	"encoding/json"
	"net/http"

	"gentiancroft/internal/core"
)

// maxOrderAnswerBytes is the maximum size of an engine's answer to an order.
const maxOrderAnswerBytes = 64 << 10

// OrderClient sends load and unload orders for adapters to engines.
type OrderClient struct {
	// Client sends the orders; nil uses the client that the process shares.
	Client *Client
	// Now is the host's clock. With nil, the expiry of an order's grant is not checked.
	Now func() core.Instant
}

type orderBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Do carries out an order and returns its result. For a failed order,
// OrderDone.NoEffect reports whether it certainly has no effect: it was never sent, or
// the engine's answer says so by a 4xx status or X-Ran: no.
func (s OrderClient) Do(ctx context.Context, o core.AdapterOrder) core.OrderDone {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	body, err := json.Marshal(orderBody{Name: o.Adapter.String(), Path: o.Adapter.String()})
	if err != nil || s.expired(o) {
		return core.OrderDone{ID: o.ID, NoEffect: true}
	}
	a, err := s.client().sendOrder(ctx, orderCall(o, body), func() bool { return s.expired(o) })
	if err != nil {
		return core.OrderDone{ID: o.ID, NoEffect: NotReached.Has(err)}
	}
	defer a.Close()
	if _, err := ReadBody(a, maxOrderAnswerBytes); err != nil {
		return core.OrderDone{ID: o.ID}
	}
	refused := a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError
	return core.OrderDone{ID: o.ID, OK: a.Status == http.StatusOK, NoEffect: a.Status == http.StatusOK || refused || a.NotRun}
}

func orderCall(o core.AdapterOrder, body []byte) Call {
	path := "/v1/unload_lora_adapter"
	if o.Load {
		path = "/v1/load_lora_adapter"
	}
	return Call{Upstream: o.Upstream, Address: o.Address, Method: "POST", Path: path, Body: body, Fence: o.Grant.Fence, NewConnection: true}
}

func (s OrderClient) client() *Client {
	if s.Client == nil {
		return sharedClient
	}
	return s.Client
}

func (s OrderClient) expired(o core.AdapterOrder) bool {
	return s.Now != nil && o.Grant.Until != 0 && !s.Now().Before(o.Grant.Until)
}

// sendOrder sends a call on a new connection, unless expired returns true once the
// connection is open. Dialling takes time, and an order sent after its grant has expired
// may conflict with one of the adapter's next owner.
func (c *Client) sendOrder(ctx context.Context, call Call, expired func() bool) (*Answer, error) {
	c.count(call, "orders")
	conn, err := c.dial(ctx, call)
	if err != nil {
		c.count(call, "not_reached")
		return nil, NotReached.Wrap(err)
	}
	if expired() {
		conn.closeInOrder()
		return nil, NotReached.New("the grant expired while the connection was being opened")
	}
	answer, err := c.attempt(ctx, conn, call)
	return answer, c.countFailure(call, err)
}
