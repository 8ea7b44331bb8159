// Package replicas keeps one host's state of the replicas that it sends requests to:
// their addresses, loaded adapters and running requests. Its inputs are the platform's
// list, the reports of the hosts that own the replicas, what the replicas say of
// themselves in their answers, and the caller's request counts. It decides when a replica
// that is missing from the list is removed, and that an entry older than the removal
// doesn't add it again; which replica serves a request is decided elsewhere.
package replicas

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/table"
)

// Model is a base model loaded on a replica, with the adapters loaded onto it.
type Model struct {
	Name     core.BaseModel
	Version  int
	Adapters []core.AdapterRef
}

// SoftwareVersion is the version of the software that a replica runs, as opposed to the
// versions of its models and adapters. Versions have no order.
type SoftwareVersion string

// Entry is a replica in the platform's list.
type Entry struct {
	ID       core.UpstreamID
	Service  table.ServiceID
	Software SoftwareVersion
	Address  string // ip:port
	Domain   core.Domain
	Batch    int // requests that it runs concurrently
	Leaving  bool
	Started  int64  // start of this incarnation, in ms of the replica's clock
	Sequence uint64 // rises with each entry that this incarnation writes
	Models   []Model
	Cold     Coldness // hosts of the previous build send none: it doesn't say
}

// Coldness is what an entry says of how much longer its replica is cold, that is, takes few
// requests a second.
type Coldness struct {
	Known     bool          // false: it doesn't say
	Remaining time.Duration // as of when the entry was written
}

// Newer reports whether an entry describes the same or a later state than another of
// the same replica.
func (e *Entry) Newer(than *Entry) bool {
	if e.Started != than.Started {
		return e.Started > than.Started
	}
	return e.Sequence >= than.Sequence
}

// Replica is an entry with the state that this host keeps for it.
type Replica struct {
	Entry
	OwnRequests    int                    // this host's requests there
	OtherRequests  int                    // other hosts' requests there, as last reported
	OwnPrompts     core.Tokens            // prompts of this host's requests that have had no event yet
	OtherPrompts   core.Tokens            // the same of other hosts, as last reported
	Slowness       replicamodel.Replica   // of this incarnation, against the average of its service
	OwnPromised    core.Tokens            // memory that this host's requests there will hold at their ends
	OtherPromised  core.Tokens            // the same of other hosts, as last reported
	Recent         core.Decaying          // requests that this host has sent there just now
	missing        bool                   // not in the platform's list, perhaps only because of a store outage
	saysLeaving    bool                   // it has said in an answer that it is leaving, which its entry may not show yet
	pausedUntil    core.Instant           // it has asked this host to send it nothing until then
	rejectsUntil   core.Instant           // it has just rejected a request for want of room
	downUntil      core.Instant           // its process has ended, as far as this host has seen, and is tried again then
	adapters       map[core.AdapterID]int // versions of the loaded adapters
	baseModels     map[core.BaseModel]bool
	reportedAt     core.Instant // when its owner last reported its residency; 0: never
	reportedOrders uint64       // accepted by the replica as of that report
	full           bool         // as of that report
}

// Load is the number of requests at the replica, as known to this host.
func (r *Replica) Load() int { return r.OwnRequests + r.OtherRequests }

// QueuedPrompts is the number of prompt tokens that the replica still has to read, as known to
// this host.
func (r *Replica) QueuedPrompts() core.Tokens { return r.OwnPrompts + r.OtherPrompts }

// Promised is the memory that the requests at the replica will hold at their ends, in tokens, as
// known to this host.
func (r *Replica) Promised() core.Tokens { return r.OwnPromised + r.OtherPromised }

// Occupancy is the load divided by the batch size.
func (r *Replica) Occupancy() float64 { return float64(r.Load()) / float64(max(r.Batch, 1)) }
