package wiring

import (
	"context"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/directory"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
	"gentiancroft/internal/host"
)

// readTimeout bounds a read of the node's state.
const readTimeout = 2 * time.Second

// status answers the callers' pages that read the node's state.
type status struct{ host *host.Host }

// read runs f between two steps of the node and returns whether it ran in time.
func (s status) read(f func(n *node.Node, now core.Instant)) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return s.host.Read(ctx, f) == nil
}

// Ready implements entry.Status.
func (s status) Ready() (ok bool, reason string) {
	result := make(chan readiness, 1)
	if !s.read(func(n *node.Node, _ core.Instant) { result <- readinessOf(n) }) {
		return false, "overloaded"
	}
	r := <-result
	return r.ok, r.reason
}

// readiness is whether a host serves, and the reason.
type readiness struct {
	ok     bool
	reason string
}

func readinessOf(n *node.Node) readiness {
	ok, reason := n.Ready()
	return readiness{ok: ok, reason: reason}
}

// Entries implements entry.Status.
func (s status) Entries(keyHash string, near core.Domain) (entry.Entries, *core.Refusal) {
	result := make(chan directory.Answer, 1)
	if !s.read(func(n *node.Node, _ core.Instant) { result <- n.Entries(keyHash, near) }) {
		return entry.Entries{}, core.Refuse(core.CodeOverloaded, time.Second, "the host is overloaded")
	}
	a := <-result
	return entry.Entries{Addresses: a.Addresses, TTL: a.TTL}, nil
}

// Models implements entry.Status.
func (s status) Models(keyHash string) ([]entry.Model, *core.Refusal) {
	result := make(chan *config.Snapshot, 1)
	if !s.read(func(n *node.Node, _ core.Instant) { result <- n.Snapshot() }) {
		return nil, core.Refuse(core.CodeOverloaded, time.Second, "the host is overloaded")
	}
	snapshot := <-result
	if snapshot == nil {
		return nil, core.Refuse(core.CodeHostCutOff, time.Second, "this host has no configuration yet")
	}
	key := snapshot.Key(keyHash)
	if key == nil || key.Withdrawn {
		return nil, core.Refuse(core.CodeInvalidKey, 0, "the key is missing or not valid")
	}
	return models(snapshot, key.Workspace), nil
}

// models returns the adapters that a workspace may use, each by its name alone and
// by each of its versions.
func models(s *config.Snapshot, ws core.WorkspaceID) []entry.Model {
	var all []entry.Model
	for _, a := range s.Document.Adapters {
		if _, _, refusal := s.ResolveModel(string(a.ID), ws); refusal != nil {
			continue
		}
		all = append(all, entry.Model{ID: string(a.ID), Base: a.Base})
		for _, v := range a.Versions {
			all = append(all, entry.Model{ID: string(a.ID) + "@" + strconv.Itoa(v), Base: a.Base})
		}
	}
	return all
}
