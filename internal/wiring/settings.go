// Package wiring assembles both kinds of host from their settings: the machine, its
// executors, the links and the interfaces for callers and operators, under one
// supervisor tree. It contains no request handling.
package wiring

import (
	"github.com/fasthttp/router"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
	"gentiancroft/internal/peer"
)

// Error is the class of errors in assembling or running a host.
var Error = errs.Class("wiring")

// Fenced is the class of the error that Run returns if the host's identity was
// fenced: assemble the host again, which gives it a new identity.
var Fenced = errs.Class("identity fenced")

// Settings of one host.
type Settings struct {
	Name      string // of the host; its identity has a random suffix
	Domain    core.Domain
	Region    core.Region
	Callers   string // ip:port to listen on
	Links     string // ip:port to listen on
	Platform  string // ip:port of the object API
	KeySecret []byte // hashes callers' keys
	Material  peer.Material
	Limits    entry.Limits
	Memory    int           // bytes that the process may use; 0: defaultServeMemory
	Node      node.Settings // New sets its Self and Seed
	Routes    []func(*router.Router)
}
