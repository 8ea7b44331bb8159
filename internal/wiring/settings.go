// Package wiring puts a host together: node, carriers, links, the callers' and
// operators' interfaces, under one supervisor tree.
package wiring

import (
	"time"

	"github.com/fasthttp/router"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
	"gentiancroft/internal/peer"
)

// Error is the class of failures to put a host together.
var Error = errs.Class("wiring")

// Fenced is returned by Run where this identity was fenced: run again.
var Fenced = errs.Class("identity fenced")

// Settings of one host.
type Settings struct {
	Name      string // of the host; its identity adds a number of its own
	Domain    core.Domain
	Region    core.Region
	Callers   string // ip:port to listen on
	Links     string // ip:port to listen on
	Platform  string // ip:port of the object API
	KeySecret []byte // hashes callers' keys
	Material  peer.Material
	Limits    entry.Limits
	Node      node.Settings // its Self is filled in
	StopAfter time.Duration // most that a killed host's duties take to end
	Routes    []func(*router.Router)
}
