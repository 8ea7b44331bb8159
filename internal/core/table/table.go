// Package table holds the routes, services, workspaces and key hashes of one version of
// the configuration, indexed for lookup by request headers. It decides which route
// and service a request goes to. Bodies are not inspected; parsing and checking the
// configuration is left to the caller.
package table

import (
	"crypto/sha256"
	"strings"
	"time"

	"gentiancroft/internal/core"
)

// ServiceID names a group of interchangeable replicas.
type ServiceID string

// Kind is whether requests on a route may be repeated.
type Kind uint8

// Kinds of route.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once
	Streaming                     // answers with events; runs at most once unless it is resumable
)

// String names a kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Target is a service of a route with its weight among the route's services.
type Target struct {
	Service ServiceID
	Weight  int
}

// Route maps requests for a host name and a path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool // another replica may continue a stream
	KeyOptional   bool // callers need no key
	Timeout       time.Duration
	LatencyTarget time.Duration // target latency of the whole answer, or of the first event of a stream
	MaxEventGap   time.Duration // maximum time between two events that counts as on time
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // replicas that one request may be sent to
	Targets       []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target returns the service for a number that is uniformly distributed over requests,
// in proportion to the weights; "" if no target has a weight.
func (r *Route) Target(spread uint64) ServiceID {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(spread % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Megabytes is an amount of an engine's memory.
type Megabytes float64

// Model is a base model that a service's engines run.
type Model struct {
	Name    core.BaseModel
	Weights Megabytes // that its weights take
	Adapter Megabytes // that each of its adapters takes
}

// Engine describes the replicas of a service that run models.
type Engine struct {
	Batch        int // requests that run concurrently
	AdapterSlots int
	Memory       Megabytes   // for weights and adapters together; 0: not given
	KVCapacity   core.Tokens // that its running requests can hold together, prompts and outputs; 0: not given
	Models       []Model
}

// Service is a group of interchangeable replicas.
type Service struct {
	ID        ServiceID
	Engine    *Engine       // nil: a plain service
	ColdStart time.Duration // how long a replica is cold after a start during traffic; 0: not at all
	ColdRate  float64       // requests a second that a cold replica takes from all hosts; 0: no limit
}

// Workspace is a group of callers with one rate.
type Workspace struct {
	ID          core.WorkspaceID
	Priority    int
	Rate        float64     // tokens per second over all hosts; 0: no limit
	Burst       float64     // tokens
	DefaultCost core.Tokens // cost of a request that doesn't state its own
}

// KeyHash is the hash of a caller's key; keys themselves are not stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Table is one checked version of the configuration.
type Table struct {
	Version      uint64
	KeysRequired bool // callers need keys except on open routes
	Routes       []Route
	Services     map[ServiceID]*Service
	Workspaces   map[core.WorkspaceID]*Workspace
	Keys         map[KeyHash]*Workspace

	routes map[string]map[string]*Route // by host name and prefix
}

// Index builds the index for Route. It must be called once, before the table is shared.
func (t *Table) Index() {
	t.routes = map[string]map[string]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if t.routes[r.Host] == nil {
			t.routes[r.Host] = map[string]*Route{}
		}
		t.routes[r.Host][r.Prefix] = r
	}
}

// Route returns the route of a host name with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routes[host]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}
