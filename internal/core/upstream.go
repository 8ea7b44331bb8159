package core

import "time"

// UpstreamReport is the state that an upstream returned to a poll. It may be outdated.
type UpstreamReport struct {
	Upstream    UpstreamID
	OK          bool   // false: the poll failed
	Incarnation string // changes when the upstream restarts
	Running     int    // requests in the batch
	Waiting     int    // requests queued inside the upstream
	Adapters    []AdapterLoad
	Loading     []AdapterRef
	Sent        Instant // on this host's clock, before the poll was sent
	Leaving     bool    // the upstream reports that it is leaving
}

// AdapterLoad is an adapter loaded on an engine and the number of requests that run
// with it.
type AdapterLoad struct {
	Adapter AdapterRef
	Running int
}

// AdapterOrder is an order to an engine to load or unload an adapter.
type AdapterOrder struct {
	ID       uint64
	Upstream UpstreamID
	Address  string // ip:port
	Load     bool   // false: unload
	Adapter  AdapterRef
	Grant    Grant // the order isn't sent from Grant.Until on
	Timeout  time.Duration
}

// OrderDone is the result of the adapter order with the same id.
type OrderDone struct {
	ID       uint64
	OK       bool
	NoEffect bool // if OK is false: the order has had and will have no effect
}

// Outcome is the recorded answer to a non-idempotent request. Its size is bounded.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	EndUnmarked bool   `cbor:"4,keyasint,omitempty"` // nothing but the end of the connection marked its end: it may be a part
}
