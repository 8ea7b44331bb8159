package upstream

import (
	"context"
	"encoding/json"
	"io"

	"gentiancroft/internal/core"
)

// Orders sends adapter orders to engines.
type Orders struct{}

type orderBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Do runs an order to its end. Only an order that never reached the engine is
// surely without effect.
func (Orders) Do(ctx context.Context, o core.AdapterOrder) core.OrderDone {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	path := "/v1/unload_lora_adapter"
	if o.Load {
		path = "/v1/load_lora_adapter"
	}
	body, err := json.Marshal(orderBody{Name: o.Adapter.String(), Path: o.Adapter.String()})
	if err != nil {
		return core.OrderDone{ID: o.ID, Sure: true}
	}
	a, err := Do(ctx, Call{Address: o.Address, Method: "POST", Path: path, Body: body, Fence: o.Grant.Fence})
	if err != nil {
		return core.OrderDone{ID: o.ID, Sure: NotReached.Has(err)}
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return core.OrderDone{ID: o.ID, OK: err == nil && a.Status == 200, Sure: err == nil}
}
