package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/crashcount"
	"gentiancroft/internal/core/evacuation"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/origin"
	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/reach"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// Message is what hosts send to each other. It may be lost, duplicated or delayed.
type Message struct {
	Heartbeats  []Heartbeat          `cbor:"1,keyasint,omitempty"` // the sender's own first, then those of other hosts
	Demands     []residency.Demand   `cbor:"2,keyasint,omitempty"`
	Residencies []replicas.Residency `cbor:"3,keyasint,omitempty"`
	Uses        []residency.Use      `cbor:"4,keyasint,omitempty"`
	Replicas    []replicas.Entry     `cbor:"5,keyasint,omitempty"` // new or changed entries of the platform's list

	Configuration      []byte               `cbor:"7,keyasint,omitempty"`  // as in the store
	NewerConfiguration uint64               `cbor:"8,keyasint,omitempty"`  // version of a configuration that is too long for a message: to be read from the store
	Versions           []VersionAnnounced   `cbor:"9,keyasint,omitempty"`  // adapters' newest versions that have changed
	Hosts              []fleet.Registration `cbor:"10,keyasint,omitempty"` // registrations that have changed

	RemovedReplicas       []replicas.Removal `cbor:"11,keyasint,omitempty"` // removed entries
	LeavingReplicas       []replicas.Removal `cbor:"12,keyasint,omitempty"` // replicas that have said that they are leaving
	ConfigurationRestored uint64             `cbor:"13,keyasint,omitempty"` // of Configuration: see Heartbeat.ConfigRestored

	Origins []origin.Record    `cbor:"14,keyasint,omitempty"` // streams that began lately
	Parts   *promptpart.Report `cbor:"15,keyasint,omitempty"` // prompt parts that crash replicas

	Limits       []intake.Evidence `cbor:"16,keyasint,omitempty"` // limits of replicas that have begun, changed or ended
	PermitAsks   []intake.Ask      `cbor:"17,keyasint,omitempty"`
	PermitGrants []intake.Grant    `cbor:"18,keyasint,omitempty"`

	Cold []intake.Cold `cbor:"21,keyasint,omitempty"` // replicas that one host has seen turn cold

	Crashes []crashcount.Count `cbor:"22,keyasint,omitempty"` // what the sender knows of requests that crash replicas

	OwedEvents []uint64 `cbor:"23,keyasint,omitempty"` // streams that were broken off inside an event

	Pauses []Pause `cbor:"19,keyasint,omitempty"` // that replicas have asked of the receiver, in answers to requests that it carried

	Evacuations *evacuation.State `cbor:"20,keyasint,omitempty"` // evacuated domains, where they have changed
}

// Pause is a pause that an incarnation of a replica has asked for.
type Pause struct {
	_       struct{} `cbor:",toarray"`
	Replica core.UpstreamID
	Started int64
	For     time.Duration
}

// Heartbeat is the state that a host sends to other hosts at regular intervals.
type Heartbeat struct {
	Host              core.HostID      `cbor:"1,keyasint"`
	Number            uint64           `cbor:"2,keyasint"` // rises with each heartbeat of the host
	Ready             bool             `cbor:"3,keyasint,omitempty"`
	Leaving           bool             `cbor:"4,keyasint,omitempty"`
	Uptime            time.Duration    `cbor:"5,keyasint,omitempty"`
	Spent             map[uint32]int64 `cbor:"6,keyasint,omitempty"` // tokens admitted since the start, by core.ShortHash of the workspace
	Loads             []Load           `cbor:"7,keyasint,omitempty"`
	Crashes           map[uint64]uint8 `cbor:"8,keyasint,omitempty"`  // replicas crashed, by request fingerprint
	ConfigVersion     uint64           `cbor:"9,keyasint,omitempty"`  // version of the configuration in force
	VersionSum        uint64           `cbor:"10,keyasint,omitempty"` // sum of the adapters' newest versions
	IsWatcher         bool             `cbor:"11,keyasint,omitempty"` // the host watches the store, and the store answers it
	ListDigest        uint64           `cbor:"12,keyasint,omitempty"` // digest of its lists of replicas and hosts
	ReachableStandbys []uint32         `cbor:"13,keyasint,omitempty"` // ready standby hosts that report to it, in every relaysPerCensus-th relay all reachable ones; by core.ShortHash of the name
	RequestRate       float32          `cbor:"14,keyasint,omitempty"` // requests per second that arrive at it
	Prompts           []Load           `cbor:"16,keyasint,omitempty"` // prompt tokens that are queued at replicas
	BlockedParts      uint64           `cbor:"17,keyasint,omitempty"` // digest of the prompt parts that are kept from replicas
	Paths             *reach.Report    `cbor:"18,keyasint,omitempty"` // replicas that it doesn't reach; nil: no change
	Software          uint64           `cbor:"19,keyasint,omitempty"` // digest of the replicas' software versions that ran lately; 0: it doesn't know all
	ReplicaDigest     uint64           `cbor:"20,keyasint,omitempty"` // of its list of replicas alone; 0: a former build, which sends ListDigest only
	Asked             map[uint32]int64 `cbor:"22,keyasint,omitempty"` // tokens that it was asked for since the start, by core.ShortHash of the workspace; nil: the previous build, or none
	Promised          []Load           `cbor:"24,keyasint,omitempty"` // memory that its requests will hold at replicas, in tokens; none: the previous build
	ConfigRestored    uint64           `cbor:"15,keyasint,omitempty"` // era of the store in which its configuration replaced one that was not older; 0: none

	Suspects uint64 `cbor:"25,keyasint,omitempty"` // digest of the requests that are kept from replicas, as they crash them; 0: a former build, or none

	Evacuations *evacuation.State `cbor:"21,keyasint,omitempty"` // evacuated domains; nil: the host doesn't watch them
}

// Load is how many requests, or prompt tokens of them, a host has at a replica.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32   // core.ShortHash of its id
	Running int
}
