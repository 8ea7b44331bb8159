// Package direct composes the decisions of a host that sends requests to
// replicas on its own: no other host and no store is asked before a request is
// sent. What hosts tell each other makes the decisions better, never possible.
//
// Events go in, effects come out; the package does no I/O and reads no clock.
package direct

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/table"
)

// Event is something that happened outside the machine.
type Event interface{ isEvent() }

// Arrive is a caller's request, read whole and bounded.
type Arrive struct {
	ID          core.RequestID // of this host's own making, unique to it
	Host        string
	Path        string // without the query
	Key         table.KeyHash
	HasKey      bool
	Model       core.BaseModel // "" for a plain service
	Adapter     core.AdapterID // "" for the model itself
	Tokens      core.Tokens    // declared by the caller; 0: none
	Patience    time.Duration  // how long the caller waits; 0: it did not say
	Fingerprint uint64         // hash of what a replica would run
	Spread      uint64         // even over all requests: deals them to a route's services
	LastEvent   string         // the stream goes on after it
}

// Gone says that the caller hung up.
type Gone struct{ ID core.RequestID }

// Begun says that a replica's answer to an attempt has begun.
type Begun struct {
	ID      core.RequestID
	Attempt int
	Passed  bool // and the caller has been sent a part of it
}

// EndKind is how an attempt ended.
type EndKind uint8

// Ends of an attempt.
const (
	EndOK         EndKind = iota + 1 // a whole success, passed on or about to be
	EndNotReached                    // nothing was sent
	EndNotRun                        // the replica says that it did not run the request
	EndMissing                       // the same: it lacks the adapter, or is another replica
	EndError                         // the replica's own whole failure
	EndBroken                        // sent, and no whole answer came
	EndCancelled                     // ended by this host
)

// Ended says that an attempt is over.
type Ended struct {
	ID         core.RequestID
	Attempt    int
	Kind       EndKind
	Dropped    bool          // the replica let go of the connection before it answered
	LastEvent  string        // last event that the caller has been sent
	RetryAfter time.Duration // as the replica said; 0: it did not
}

// Configured is a version of the configuration.
type Configured struct {
	Table    *table.Table
	Document []byte // as the store has it; nil where another host has told it
}

// ReplicasListed is the platform's whole list of replicas.
type ReplicasListed struct{ Entries []replicas.Entry }

// ReplicaListed is one entry of the list that has changed.
type ReplicaListed struct{ Entry replicas.Entry }

// ReplicaUnlisted says that an entry is gone from the list.
type ReplicaUnlisted struct{ ID core.UpstreamID }

// VersionNamed says that a version of an adapter has been named its newest.
type VersionNamed struct {
	Model   core.BaseModel
	Adapter core.AdapterRef
	Listed  bool // it may have been named long ago: it was found in a list
}

// VersionsRead says that the list of the adapters' newest versions has been told.
type VersionsRead struct{}

// HostListed is one registration, as its host wrote itself.
type HostListed struct{ Host fleet.Registration }

// HostUnlisted says that a registration is gone.
type HostUnlisted struct{ Name string }

// LeasesListed is the list of the shards' leases.
type LeasesListed struct{ Objects []core.Object }

// StoreLost says that a call to the store failed or was refused.
type StoreLost struct{}

// StoreReached says that the store answered.
type StoreReached struct{}

// ObjectDone is the end of a write that the machine wanted.
type ObjectDone struct{ Result core.ObjectResult }

// OrderDone is the end of an order.
type OrderDone struct{ residency.OrderDone }

// Reported is a replica's report.
type Reported struct{ residency.Report }

// FromPeer is a message of another host.
type FromPeer struct {
	From    core.HostID
	Message Message
}

// Tick says that time has passed.
type Tick struct{}

// Tuned changes settings of a running host; zero fields take their defaults.
type Tuned struct {
	RetryShare   float64
	RetrySlack   float64
	RetryWindow  time.Duration
	VersionGrace time.Duration
}

// Leave begins a graceful shutdown.
type Leave struct{}

func (Arrive) isEvent()          {}
func (Gone) isEvent()            {}
func (Begun) isEvent()           {}
func (Ended) isEvent()           {}
func (Configured) isEvent()      {}
func (ReplicasListed) isEvent()  {}
func (ReplicaListed) isEvent()   {}
func (ReplicaUnlisted) isEvent() {}
func (VersionNamed) isEvent()    {}
func (VersionsRead) isEvent()    {}
func (HostListed) isEvent()      {}
func (HostUnlisted) isEvent()    {}
func (LeasesListed) isEvent()    {}
func (StoreLost) isEvent()       {}
func (StoreReached) isEvent()    {}
func (ObjectDone) isEvent()      {}
func (OrderDone) isEvent()       {}
func (Reported) isEvent()        {}
func (FromPeer) isEvent()        {}
func (Tick) isEvent()            {}
func (Leave) isEvent()           {}
func (Tuned) isEvent()           {}

// Message is what hosts tell each other. It may be lost, doubled or late.
type Message struct {
	Heartbeats  []Heartbeat          `cbor:"1,keyasint,omitempty"` // the sender's own first, then those of others
	Demands     []residency.Demand   `cbor:"2,keyasint,omitempty"`
	Residencies []replicas.Residency `cbor:"3,keyasint,omitempty"`
	Uses        []residency.Use      `cbor:"4,keyasint,omitempty"`
	Replicas    []replicas.Entry     `cbor:"5,keyasint,omitempty"` // entries of the platform's list that have changed
	Gone        []core.UpstreamID    `cbor:"6,keyasint,omitempty"` // entries that it lacks now

	Configuration []byte               `cbor:"7,keyasint,omitempty"`  // as the store has it
	Newer         uint64               `cbor:"8,keyasint,omitempty"`  // version of a configuration too long to be told: to be read from the store
	Versions      []VersionNamed       `cbor:"9,keyasint,omitempty"`  // adapters' newest versions that have changed
	Hosts         []fleet.Registration `cbor:"10,keyasint,omitempty"` // registrations that have changed
}

// Heartbeat is what a host tells all others regularly.
type Heartbeat struct {
	Host     core.HostID      `cbor:"1,keyasint"`
	Number   uint64           `cbor:"2,keyasint"` // rises with each heartbeat of the host
	Ready    bool             `cbor:"3,keyasint,omitempty"`
	Leaving  bool             `cbor:"4,keyasint,omitempty"`
	Uptime   time.Duration    `cbor:"5,keyasint,omitempty"`
	Spent    map[uint32]int64 `cbor:"6,keyasint,omitempty"` // tokens admitted since the start, by core.Short of the workspace
	Loads    []Load           `cbor:"7,keyasint,omitempty"`
	Crashes  map[uint64]uint8 `cbor:"8,keyasint,omitempty"`  // replicas lost, by request fingerprint
	Config   uint64           `cbor:"9,keyasint,omitempty"`  // version of the configuration in force
	Versions uint64           `cbor:"10,keyasint,omitempty"` // sum of the adapters' newest versions
	Watches  bool             `cbor:"11,keyasint,omitempty"` // it watches the list of replicas, and the store answers it
	List     uint64           `cbor:"12,keyasint,omitempty"` // digest of its list of replicas
	Hears    []uint32         `cbor:"13,keyasint,omitempty"` // hosts that stand by and have told it that they are ready, by core.Short of the name
	Rate     float32          `cbor:"14,keyasint,omitempty"` // requests a second that it gets
}

// Load is how many requests a host has at a replica.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32   // core.Short of its id
	Running int
}

// Effect is something that the machine wants done.
type Effect interface{ isEffect() }

// Dispatch sends an attempt of a request to a replica.
type Dispatch struct {
	ID        core.RequestID
	Attempt   int
	Upstream  core.UpstreamID
	Address   string
	Workspace core.WorkspaceID
	Left      time.Duration // until the request's deadline
	Version   int           // of the adapter that it must run on; 0: any
	LastEvent string        // the stream goes on after it
	Once      bool          // the request must not run twice
	Priority  int           // of the request among those that wait at the replica; 0 is the most urgent
}

// Cancel ends an attempt at its replica.
type Cancel struct {
	ID      core.RequestID
	Attempt int
	Unbegun bool // only if its answer has not begun yet
}

// Refuse is the final answer of a request of which the caller has seen nothing.
type Refuse struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// Deliver passes on the failure that a replica answered with.
type Deliver struct{ ID core.RequestID }

// Cut ends an answer that can't be completed.
type Cut struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// Order sends an order to a replica.
type Order struct{ residency.Order }

// Probe asks a replica for its report.
type Probe struct{ residency.Probe }

// Object is a write to the store.
type Object struct{ Call core.ObjectCall }

// ToPeers is a message for other hosts.
type ToPeers struct {
	To      []fleet.Registration
	Message Message
}

// Note is a decision with what it was based on, for the log and the metrics.
type Note struct {
	Name     string // of the decision, one of few
	Reason   string // one of few
	ID       core.RequestID
	Upstream core.UpstreamID
	Detail   string
	Age      time.Duration // of the request, or of what the decision is based on
	Quiet    bool          // for the metrics alone
}

// Served is the end of a request, for the metrics alone.
type Served struct {
	Route     string // "" where none matched
	Outcome   string // ok, error, cut, caller_gone or the code of the refusal
	FirstByte time.Duration
	Total     time.Duration
}

// Left says that the host may exit.
type Left struct{}

func (Dispatch) isEffect() {}
func (Cancel) isEffect()   {}
func (Refuse) isEffect()   {}
func (Deliver) isEffect()  {}
func (Cut) isEffect()      {}
func (Order) isEffect()    {}
func (Probe) isEffect()    {}
func (Object) isEffect()   {}
func (ToPeers) isEffect()  {}
func (Note) isEffect()     {}
func (Left) isEffect()     {}
func (Served) isEffect()   {}

// Query reads the machine between two steps. It is not part of its decisions.
type Query struct {
	Read func(*Machine)
}

func (Query) isEvent() {}
