// Package residency decides which adapters a replica holds: what to load, in which
// order, and what to unload for it. It runs on the one host that may order the
// replica; other hosts send it their demands and what they have running.
package residency

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Order tells a replica to load or unload something.
type Order struct {
	ID       uint64
	Replica  core.UpstreamID
	Address  string // ip:port
	Load     bool   // false: unload
	Model    core.BaseModel
	Adapter  core.AdapterRef // zero: the model itself; version 0: the newest
	Expected uint64          // orders that the replica must have accepted before this one
	Holder   core.HostID
	Fence    core.Fence
}

// Outcome is how an order ended.
type Outcome uint8

// Outcomes of an order.
const (
	Accepted  Outcome = iota + 1 // it is being carried out
	Holds                        // the replica is already as ordered
	Conflict                     // another order came first, or is being carried out
	Elsewhere                    // another replica answers at this address
	Invalid                      // the order can't be carried out at all
	Unknown                      // no answer: it may be carried out, also later
)

var outcomeNames = map[Outcome]string{
	Accepted:  "accepted",
	Holds:     "holds",
	Conflict:  "conflict",
	Elsewhere: "elsewhere",
	Invalid:   "invalid",
	Unknown:   "unknown",
}

// String names an outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// OrderDone is the end of an order.
type OrderDone struct {
	ID      uint64
	Outcome Outcome
	Err     error // why there is no answer; nil where there is one
}

// Report is a replica's own account of what it holds. It lags.
type Report struct {
	Replica  core.UpstreamID
	OK       bool  // false: no answer
	Err      error // why there is none
	Started  int64
	Sequence uint64
	Busy     bool // a model is being loaded or unloaded
	Models   []replicas.Model
	Pending  []core.AdapterRef // adapters on their way
}

// Demand asks for an adapter at a replica.
type Demand struct {
	Replica core.UpstreamID
	Model   core.BaseModel
	Adapter core.AdapterRef // the version is the newest known, 0 where none is
	Weight  int             // requests that wait for it
	Left    time.Duration   // in which the first of them must begin to be on time; 0 or less: it is late
}

// Use tells how many requests a host has at a replica that name an adapter, and
// how many it has sent there since it last told.
type Use struct {
	Replica core.UpstreamID
	Adapter core.AdapterID
	Running int
	Begun   int
}

// Settings of the decisions.
type Settings struct {
	Self      core.HostID
	InTransit int           // adapters on their way to one replica
	Fetches   float64       // adapters on their way from the weight store, for each replica that this host orders
	DemandFor time.Duration // a demand that is not repeated is dropped after it
}

// Defaults of Settings.
const (
	DefaultInTransit = 4
	DefaultFetches   = 0.75
	DefaultDemandFor = 700 * time.Millisecond
)

// Actor tells under which number this host may order a replica now.
type Actor func(core.UpstreamID) (core.Fence, bool)

// limits are what the replicas of a service can hold.
type limits struct {
	slots  int
	models []table.Model
}
