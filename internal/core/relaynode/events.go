// Package relaynode is the state machine of a host that relays requests. It decides
// which requests are admitted, which replica runs each and when one is retried; which
// adapters are loaded on the replicas whose shards this host owns; and what is sent to
// the other hosts and to the store. It composes fleet, replicas, quota, shard,
// residency and table.
//
// No other host and no store is consulted before a request is sent: messages of
// other hosts improve the decisions but are never required for them.
//
// Its inputs are events, each with the present time; its outputs are effects, which
// the caller carries out. The package does no I/O and reads no clock.
package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/table"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// RequestArrived is a caller's request, read to its end and within the size limits.
type RequestArrived struct {
	ID          core.RequestID // chosen by this host, unique on it
	CallerID    string         // the caller's id of the request
	Host        string
	Path        string // without the query
	Key         table.KeyHash
	HasKey      bool
	Model       core.BaseModel  // "" for a plain service
	Adapter     core.AdapterID  // "" for the base model itself
	Tokens      core.Tokens     // prompt and maximum output, declared by the caller; 0: none
	Prompt      core.Tokens     // of these, the prompt
	OutputHint  core.Tokens     // the caller's estimate of the output; 0: none
	Timeout     time.Duration   // the caller's timeout; 0: none given
	Fingerprint uint64          // hash of what a replica would run
	TargetHash  uint64          // uniform over all requests: selects one of the route's services by weight
	LastEvent   string          // the stream resumes after it
	Resumes     string          // id of the caller's request that brought the stream's first event; "": not given
	Parts       []promptpart.ID // of the prompt, that other requests may share
}

// CallerGone is sent when the caller has hung up.
type CallerGone struct{ ID core.RequestID }

// AnswerStarted is sent when a replica starts to answer an attempt.
type AnswerStarted struct {
	ID            core.RequestID
	Attempt       int
	PartDelivered bool // a part of the answer has been sent to the caller
}

// EndKind is how an attempt ended.
type EndKind uint8

// Kinds of the end of an attempt.
const (
	EndOK             EndKind = iota + 1 // complete success, passed on or about to be
	EndNotReached                        // nothing was sent
	EndNotRun                            // the replica answered that it did not run the request
	EndAdapterMissing                    // the same, because it lacks the adapter or is another replica
	EndError                             // complete answer with a failure of the replica
	EndBroken                            // sent, but no complete answer came
	EndCancelled                         // ended by this host
)

// AttemptEnded is sent when an attempt has ended.
type AttemptEnded struct {
	ID               core.RequestID
	Attempt          int
	Kind             EndKind
	ConnectionClosed bool          // the replica closed the connection before its answer was complete
	Refused          bool          // nothing listens at the replica's address
	CarrierLost      bool          // the host that was to carry it can't be reached, or carries no more
	LastEvent        string        // last event that was sent to the caller
	RetryAfter       time.Duration // as given by the replica; 0: none
	Answer           AnswerEvidence
	Stream           replicamodel.Stream // the events of a stream
	OwesEvent        bool                // of the request's stream an event has begun that was never complete
}

// AnswerEvidence describes the answer that ended an attempt, for the log.
type AnswerEvidence struct {
	Status    int  // HTTP status; 0: no answer
	Kept      bool // it came on a connection that had carried other requests
	Confirmed bool // a confirmation was answered on the connection just before
	Stray     int  // other answers that were discarded before it

	EndUnmarked bool // only the end of the connection marks its end
	InsideEvent bool // it is a stream that ended inside an event
}

// ReplicaNoticed is sent when the header of a replica's answer to an attempt says
// something about the replica itself. The answer may still be under way.
type ReplicaNoticed struct {
	ID      core.RequestID
	Attempt int
	Notice  replicas.Notice

	Confirmation bool // it was said in the answer to a confirmation, not in that to the request
}

// ConfigurationRead is a version of the configuration.
type ConfigurationRead struct {
	Table    *table.Table
	Document []byte        // as in the store; nil where another host sent it
	Hash     uint64        // of the document
	Revision core.Revision // of the object; zero where another host sent it
	Restored uint64        // where another host sent it: see Heartbeat.ConfigRestored
}

// ReplicasListed is the platform's complete list of replicas.
type ReplicasListed struct {
	Entries []replicas.Entry
	Sent    core.Instant // when the list was asked for; 0: now
}

// ReplicasCompared is sent when the store has told what changed in the list of replicas, if
// anything, after the events of these changes.
type ReplicasCompared struct {
	Sent core.Instant // when it was asked
}

// ReplicaListed is a new or changed entry of the list of replicas.
type ReplicaListed struct{ Entry replicas.Entry }

// ReplicaUnlisted is sent when an entry has been removed from the list of replicas.
type ReplicaUnlisted struct{ ID core.UpstreamID }

// VersionAnnounced is sent when a version of an adapter has been announced as its
// newest. It is also sent to other hosts: its field names are keys on the wire.
type VersionAnnounced struct {
	Model   core.BaseModel
	Adapter core.AdapterRef
	Listed  bool          // read from a list or after a failed call: it may have been announced long ago
	Age     time.Duration // from the announcement, as far as the sender knows, to the sending of the message
}

// VersionsRead is sent when the whole list of the adapters' newest versions has been
// passed on.
type VersionsRead struct{}

// HostListed is a registration as its host has written it.
type HostListed struct{ Host fleet.Registration }

// HostUnlisted is sent when a registration has been removed.
type HostUnlisted struct{ Name string }

// LeasesListed is the list of the shards' leases.
type LeasesListed struct {
	Era     uint64 // of the store
	Objects []core.Object
}

// StoreCallFailed is sent when a call to the store has failed or was refused.
type StoreCallFailed struct {
	Sent core.Instant // when the call was sent; 0: now
}

// StoreAnswered is sent when the store has answered, before the event of the answer.
type StoreAnswered struct {
	Era  uint64
	Sent core.Instant // when the call was sent; 0: now
}

// WriteDone is the result of a write to the store.
type WriteDone struct{ Result core.ObjectResult }

// OrderDone is the result of an order to a replica.
type OrderDone struct{ residency.OrderDone }

// ReportReceived is a replica's report.
type ReportReceived struct{ residency.Report }

// CheckResult is what a check of a replica has shown.
type CheckResult uint8

// Results of checks.
const (
	CheckUnknown CheckResult = iota // it could not be reached, or its answer not be read
	CheckAlive                      // the incarnation answered
	CheckEnded                      // nothing listens at its address, or something else answers there
)

// ReplicaChecked is the result of a check of a replica's incarnation.
type ReplicaChecked struct {
	Replica core.UpstreamID
	Started int64 // of the incarnation
	Result  CheckResult
	Refused bool            // with CheckEnded: shown by nothing but a refused connection
	Carrier core.Carrier    // the host over which it was checked; the zero value: none
	Notice  replicas.Notice // that the answer gave
}

// PathProbed is the result of a probe of this host's path to a replica.
type PathProbed struct {
	Replica core.UpstreamID
	Begun   core.Instant
	OK      bool // a connection was opened
}

// CarryDialled is sent when a connection to a replica that this host was to carry for another one
// has been opened, or could not be.
type CarryDialled struct {
	For     core.HostID
	Replica core.UpstreamID
	Request string // the caller's id of the request, for the log
	Begun   core.Instant
	OK      bool
	Refused bool // nothing listens at the replica's address
}

// CarryEnded is sent when a carried connection that was opened has ended.
type CarryEnded struct{}

// MessageReceived is a message from another host.
type MessageReceived struct {
	From    core.HostID
	Message Message
}

// Tick is sent at a regular interval; timeouts are checked at it.
type Tick struct{}

// SettingsChanged changes settings at run time; zero fields take their defaults.
type SettingsChanged struct {
	RetryShare    float64
	RetrySlack    float64
	RetryWindow   time.Duration
	VersionGrace  time.Duration
	VersionExpiry time.Duration
}

// Leave starts a graceful shutdown.
type Leave struct{}

func (RequestArrived) isEvent()    {}
func (CallerGone) isEvent()        {}
func (AnswerStarted) isEvent()     {}
func (AttemptEnded) isEvent()      {}
func (ReplicaNoticed) isEvent()    {}
func (ConfigurationRead) isEvent() {}
func (ReplicasListed) isEvent()    {}
func (ReplicasCompared) isEvent()  {}
func (ReplicaListed) isEvent()     {}
func (ReplicaUnlisted) isEvent()   {}
func (VersionAnnounced) isEvent()  {}
func (VersionsRead) isEvent()      {}
func (HostListed) isEvent()        {}
func (HostUnlisted) isEvent()      {}
func (LeasesListed) isEvent()      {}
func (StoreCallFailed) isEvent()   {}
func (StoreAnswered) isEvent()     {}
func (WriteDone) isEvent()         {}
func (OrderDone) isEvent()         {}
func (ReportReceived) isEvent()    {}
func (ReplicaChecked) isEvent()    {}
func (PathProbed) isEvent()        {}
func (CarryDialled) isEvent()      {}
func (CarryEnded) isEvent()        {}
func (MessageReceived) isEvent()   {}
func (Tick) isEvent()              {}
func (Leave) isEvent()             {}
func (SettingsChanged) isEvent()   {}

// Query reads the machine between two steps. It decides nothing.
type Query struct {
	Read func(*Machine)
}

func (Query) isEvent() {}
