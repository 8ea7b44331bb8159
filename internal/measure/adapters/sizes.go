package adapters

import (
	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/placement"
	"gentiancroft/internal/measure"
)

// messageSizes lists the encoded sizes of placement's messages, for the
// capacity page.
func messageSizes() (measure.Table, error) {
	adapter := core.AdapterRef{ID: "adapter-12345", Version: 12}
	residency := placement.Residency{Upstream: "upstream-123", Fence: 1 << 20, Seq: 1 << 12, Load: 20, SlowStartWeight: 1, EvictionCosts: []float64{0.1, 0.2, 0.3}}
	for range 32 {
		residency.Adapters = append(residency.Adapters, placement.AdapterPopularity{Adapter: adapter, Score: 1.5, Idle: 1e10})
	}
	const request = core.RequestID("0123456789abcdef01234567")
	const sent = core.Instant(1e15)
	messages := []struct {
		label   string
		message any
	}{
		{"ask", placement.Message{TicketRequest: &placement.TicketRequestMessage{
			Request: request, Seq: 1 << 20, Upstream: "upstream-123", Adapter: adapter, Workspace: "workspace-1", Weight: 10, Cost: 1000, Remaining: 6e10, Sent: sent,
		}}},
		{"ticket", placement.Message{TicketReply: &placement.TicketReplyMessage{
			Request: request, Seq: 1 << 20, Upstream: "upstream-123", Kind: placement.ReplyTicket, Sent: sent, TTL: 4e9, Fence: 1 << 20, Load: 20,
		}}},
		{"release", placement.Message{Release: &placement.ReleaseMessage{
			Request: request, Seq: 1 << 20, Upstream: "upstream-123", End: placement.TicketEnd{TokensUsed: 1000, OK: true},
		}}},
		{"account of 10 requests", placement.Message{Outstanding: &placement.OutstandingMessage{MaxSeq: 1 << 20, Requests: []core.RequestID{
			request, request, request, request, request, request, request, request, request, request,
		}}}},
		{"residency of 32 adapters", residency},
	}
	t := measure.Table{Title: "encoded messages", Columns: []string{"bytes"}}
	for _, m := range messages {
		b, err := cbor.Marshal(m.message)
		if err != nil {
			return t, err
		}
		t.Rows = append(t.Rows, measure.Row{Label: m.label, Values: []float64{float64(len(b))}})
	}
	return t, nil
}
