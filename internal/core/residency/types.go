// Package residency decides which adapters are loaded on a replica: what to load, in
// which order, and what to unload for it. It runs on the host that owns the replica's
// shard. Its inputs are the demands and running requests of all hosts, the replicas'
// reports and the results of orders; its outputs are orders and probes. Who owns a
// shard is decided by package shard, which replica serves a request by the caller.
package residency

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Order is a load or unload order for a replica.
type Order struct {
	ID               uint64
	Replica          core.UpstreamID
	Address          string // ip:port
	Load             bool   // false: unload
	Model            core.BaseModel
	Adapter          core.AdapterRef // zero: the base model itself; version 0: the newest
	ExpectedSequence uint64          // the replica's order sequence that this order is based on
	Owner            core.HostID
	Fence            core.Fence
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order.
const (
	Accepted     Outcome = iota + 1 // the replica is carrying it out
	AlreadyDone                     // the replica is already as ordered
	Conflict                        // another order was accepted first, or is being carried out
	WrongReplica                    // another replica has this address
	Invalid                         // the order can never be carried out
	Unknown                         // no answer: the order may be carried out, now or later
)

var outcomeNames = map[Outcome]string{
	Accepted:     "accepted",
	AlreadyDone:  "holds",
	Conflict:     "conflict",
	WrongReplica: "elsewhere",
	Invalid:      "invalid",
	Unknown:      "unknown",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// OrderDone is the result of the order with the same id.
type OrderDone struct {
	ID      uint64
	Outcome Outcome
	Err     error // why there is no answer; nil if there is one
	Notice  replicas.Notice
}

// Report is the state that a replica reports. It may be outdated.
type Report struct {
	Replica  core.UpstreamID
	OK       bool   // false: the replica did not answer
	Err      error  // why it did not answer
	Ended    bool   // nothing listens at its address, or another replica answers there
	Refused  bool   // with Ended: shown by nothing but a refused connection
	Started  int64  // start of the reporting incarnation; 0: not reported
	Sequence uint64 // orders that the replica has accepted
	Busy     bool   // a model is being loaded or unloaded
	Models   []replicas.Model
	Pending  []core.AdapterRef // adapters that are being loaded
	Notice   replicas.Notice   // also where OK is false
}

// Demand is a host's request to load an adapter on a replica. It is repeated while
// requests wait.
type Demand struct {
	Replica core.UpstreamID
	Model   core.BaseModel
	Adapter core.AdapterRef // the newest version known; 0: none is known
	Weight  int             // requests that wait for the adapter
	Left    time.Duration   // until the first of them must start to be on time; 0 or less: it is late
}

// Use counts a host's requests for an adapter on a replica: those running there and
// those sent there since the host's previous report.
type Use struct {
	Replica core.UpstreamID
	Adapter core.AdapterID
	Running int
	Begun   int
}

// Settings are the machine's settings. Limits and times of 0 or less take their
// defaults.
type Settings struct {
	Self              core.HostID
	MaxLoads          int           // maximum number of adapters that one replica loads concurrently
	FetchesPerReplica float64       // maximum number of concurrent loads from the weight store, per replica that this host owns
	DemandTTL         time.Duration // after which a demand that is not repeated is dropped
}

// Defaults of Settings.
const (
	DefaultMaxLoads          = 4
	DefaultFetchesPerReplica = 0.75
	DefaultDemandTTL         = 700 * time.Millisecond
)

// FenceFunc returns the fencing number under which this host may order a replica now, and
// false if it may not.
type FenceFunc func(core.UpstreamID) (core.Fence, bool)

// limits are what the replicas of a service can hold, and their models.
type limits struct {
	slots  int
	memory table.Megabytes // for weights and adapters together; 0: not limited
	models []table.Model
}
