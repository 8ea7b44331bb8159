// Package config defines the configuration document, the one thing that operators
// change: its types, validation, warnings about risky changes, canonical form,
// chunks and differences. It does no I/O and takes documents as YAML text or as
// chunks. Storing, distributing and accepting a version are left to its callers.
package config

import "gentiancroft/internal/core"

// Document is a whole configuration. In canonical form its lists are sorted by
// identity.
type Document struct {
	BaseModels []BaseModel `yaml:"base_models" json:"base_models" cbor:"1,keyasint"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" cbor:"2,keyasint"`
	Keys       []Key       `yaml:"keys" json:"keys" cbor:"3,keyasint"`
	Adapters   []Adapter   `yaml:"adapters" json:"adapters" cbor:"4,keyasint"`
	Routes     []Route     `yaml:"routes" json:"routes" cbor:"5,keyasint"`
	Upstreams  []Upstream  `yaml:"upstreams" json:"upstreams" cbor:"6,keyasint"`
}

// BaseModel is a model that adapters are loaded onto.
type BaseModel struct {
	ID core.BaseModel `yaml:"id" json:"id" cbor:"1,keyasint"`
}

// Workspace is a customer with its limits.
type Workspace struct {
	ID     core.WorkspaceID `yaml:"id" json:"id" cbor:"1,keyasint"`
	Rate   int64            `yaml:"rate" json:"rate" cbor:"2,keyasint"`     // tokens per second
	Burst  int64            `yaml:"burst" json:"burst" cbor:"3,keyasint"`   // tokens
	Weight int              `yaml:"weight" json:"weight" cbor:"4,keyasint"` // share of contended capacity, at least 1
}

// Key is a caller's credential. Only its keyed hash is stored.
type Key struct {
	ID        string           `yaml:"id" json:"id" cbor:"1,keyasint"`
	Workspace core.WorkspaceID `yaml:"workspace" json:"workspace" cbor:"2,keyasint"`
	Hash      string           `yaml:"hash" json:"hash" cbor:"3,keyasint"` // hex HMAC-SHA-256 under the deployment's key
	Withdrawn bool             `yaml:"withdrawn,omitempty" json:"withdrawn,omitempty" cbor:"4,keyasint,omitempty"`
}

// Adapter is a LoRA adapter and the versions that requests may name.
type Adapter struct {
	ID         core.AdapterID     `yaml:"id" json:"id" cbor:"1,keyasint"`
	Base       core.BaseModel     `yaml:"base" json:"base" cbor:"2,keyasint"`
	Versions   []int              `yaml:"versions" json:"versions" cbor:"3,keyasint"`
	Default    int                `yaml:"default" json:"default" cbor:"4,keyasint"`                                     // used if a request names no version
	Workspaces []core.WorkspaceID `yaml:"workspaces,omitempty" json:"workspaces,omitempty" cbor:"5,keyasint,omitempty"` // that may use it; empty: all
}

// RouteKind says how a route's requests are served.
type RouteKind string

// Kinds of route.
const (
	RouteCompletions RouteKind = "completions"
	RouteChat        RouteKind = "chat"
	RouteService     RouteKind = "service"
)

// Route is a path that callers use.
type Route struct {
	Path       string             `yaml:"path" json:"path" cbor:"1,keyasint"`
	Kind       RouteKind          `yaml:"kind" json:"kind" cbor:"2,keyasint"`
	Pool       string             `yaml:"pool" json:"pool" cbor:"3,keyasint"`                                           // of upstreams that serve it
	Open       bool               `yaml:"open,omitempty" json:"open,omitempty" cbor:"4,keyasint,omitempty"`             // callers need no key
	Idempotent bool               `yaml:"idempotent,omitempty" json:"idempotent,omitempty" cbor:"5,keyasint,omitempty"` // its requests may run more than once
	Class      string             `yaml:"class" json:"class" cbor:"6,keyasint"`                                         // interactive, normal or overnight
	Cost       int64              `yaml:"cost,omitempty" json:"cost,omitempty" cbor:"7,keyasint,omitempty"`             // tokens charged for a service request
	Workspaces []core.WorkspaceID `yaml:"workspaces,omitempty" json:"workspaces,omitempty" cbor:"8,keyasint,omitempty"` // that may use it; empty: all
	Charged    core.WorkspaceID   `yaml:"charged,omitempty" json:"charged,omitempty" cbor:"9,keyasint,omitempty"`       // workspace whose limit an open route spends
}

// UpstreamKind says what an upstream is.
type UpstreamKind string

// Kinds of upstream.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is one replica.
type Upstream struct {
	ID      core.UpstreamID `yaml:"id" json:"id" cbor:"1,keyasint"`
	Kind    UpstreamKind    `yaml:"kind" json:"kind" cbor:"2,keyasint"`
	Pool    string          `yaml:"pool" json:"pool" cbor:"3,keyasint"`
	Address string          `yaml:"address" json:"address" cbor:"4,keyasint"` // ip:port
	Domain  core.Domain     `yaml:"domain" json:"domain" cbor:"5,keyasint"`
	Base    core.BaseModel  `yaml:"base,omitempty" json:"base,omitempty" cbor:"6,keyasint,omitempty"`
	Slots   int             `yaml:"slots,omitempty" json:"slots,omitempty" cbor:"7,keyasint,omitempty"`                   // maximum number of loaded adapters
	Batch   int             `yaml:"batch" json:"batch" cbor:"8,keyasint"`                                                 // maximum number of running requests
	Fencing bool            `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty" cbor:"9,keyasint,omitempty"` // it rejects orders with an outdated fencing number
	Leaving bool            `yaml:"leaving,omitempty" json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`              // it gets no new work
}
