package core

import "time"

// UpstreamReport is an upstream's own account of itself, as polled. It lags.
type UpstreamReport struct {
	Upstream    UpstreamID
	OK          bool   // false: the poll failed
	Incarnation string // changes when the upstream restarts
	Running     int    // requests in the batch
	Waiting     int    // requests queued inside the upstream
	Adapters    []AdapterLoad
	Loading     []AdapterRef
	Sent        Instant // this host's clock before the poll was sent
	Leaving     bool    // the upstream says it is leaving
}

// AdapterLoad is one adapter an engine holds and how many requests run on it.
type AdapterLoad struct {
	Adapter AdapterRef
	Running int
}

// AdapterOrder tells an engine to load or unload an adapter.
type AdapterOrder struct {
	ID       uint64
	Upstream UpstreamID
	Address  string // ip:port
	Load     bool   // false: unload
	Adapter  AdapterRef
	Grant    Grant // not sent from Grant.Until on
	Timeout  time.Duration
}

// OrderDone is the end of an adapter order.
type OrderDone struct {
	ID   uint64
	OK   bool
	Sure bool // with OK false: the order surely had and will have no effect
}

// Outcome is the answer of a non-idempotent request, bounded, as recorded.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}
