// Package table holds the routes, services and workspaces that a host serves
// without looking into requests: what a caller asks for stands in the request's
// header, and the bytes of the body and the answer pass unchanged.
package table

import (
	"crypto/sha256"
	"strings"
	"time"

	"gentiancroft/internal/core"
)

// ServiceID names a group of interchangeable replicas.
type ServiceID string

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of route.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs once at most
	Streaming                     // answers with events; runs once at most unless it may be resumed
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

// Target is one service that a route leads to and its share of the requests.
type Target struct {
	Service ServiceID
	Weight  int
}

// Route leads requests for a host name and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool // a stream may be continued by another replica
	Open        bool // needs no key
	Timeout     time.Duration
	Objective   time.Duration // to the whole answer, or to the first event of a stream
	Pause       time.Duration // longest between two events that is still on time
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // replicas that one request may be sent to
	Targets     []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target picks a service by a number that is spread evenly over all requests.
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

// Model is a base model that a service's engines run.
type Model struct {
	Name core.BaseModel
}

// Engine describes the replicas of a service that run models.
type Engine struct {
	Batch        int // requests that run at once
	AdapterSlots int
	Models       []Model
}

// Service is a group of interchangeable replicas.
type Service struct {
	ID     ServiceID
	Engine *Engine // nil: a plain service
}

// Workspace is a group of callers with one rate.
type Workspace struct {
	ID       core.WorkspaceID
	Priority int
	Rate     float64     // tokens a second over all hosts; 0: no limit
	Burst    float64     // tokens
	Plain    core.Tokens // that a request without a count of its own costs
}

// KeyHash stands for a caller's key; keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns what a key is known by.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Table is one version of the configuration, checked and indexed.
type Table struct {
	Version    uint64
	Keyed      bool // callers need keys, but on open routes
	Routes     []Route
	Services   map[ServiceID]*Service
	Workspaces map[core.WorkspaceID]*Workspace
	Keys       map[KeyHash]*Workspace

	routes map[string]map[string]*Route // by host name and prefix
}

// Index prepares a table for Route. Call it once, before the table is shared.
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

// Route returns the route of a host name with the longest prefix that begins
// the path, or nil.
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
