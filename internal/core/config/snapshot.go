package config

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"gentiancroft/internal/core"
)

// Snapshot is an accepted document with the indexes that requests need. It is
// immutable.
type Snapshot struct {
	Version  uint64
	Document *Document

	workspaces map[core.WorkspaceID]*Workspace
	keys       map[string]*Key
	adapters   map[core.AdapterID]*Adapter
	routes     map[string]*Route
	upstreams  map[core.UpstreamID]*Upstream
	pools      map[string][]*Upstream
}

// NewSnapshot indexes a valid document, which must not be changed afterwards.
func NewSnapshot(version uint64, d *Document) *Snapshot {
	s := &Snapshot{
		Version:    version,
		Document:   d,
		workspaces: make(map[core.WorkspaceID]*Workspace, len(d.Workspaces)),
		keys:       make(map[string]*Key, len(d.Keys)),
		adapters:   make(map[core.AdapterID]*Adapter, len(d.Adapters)),
		routes:     make(map[string]*Route, len(d.Routes)),
		upstreams:  make(map[core.UpstreamID]*Upstream, len(d.Upstreams)),
		pools:      map[string][]*Upstream{},
	}
	for i := range d.Workspaces {
		s.workspaces[d.Workspaces[i].ID] = &d.Workspaces[i]
	}
	for i := range d.Keys {
		s.keys[d.Keys[i].Hash] = &d.Keys[i]
	}
	for i := range d.Adapters {
		s.adapters[d.Adapters[i].ID] = &d.Adapters[i]
	}
	for i := range d.Routes {
		s.routes[d.Routes[i].Path] = &d.Routes[i]
	}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		s.upstreams[u.ID] = u
		s.pools[u.Pool] = append(s.pools[u.Pool], u)
	}
	return s
}

// HashKey returns the form in which a caller's key is stored and compared: its hex
// HMAC-SHA-256 under secret.
func HashKey(secret []byte, key string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// Workspace returns a workspace by its identity, or nil.
func (s *Snapshot) Workspace(id core.WorkspaceID) *Workspace { return s.workspaces[id] }

// Route returns a route by its path, or nil.
func (s *Snapshot) Route(path string) *Route { return s.routes[path] }

// Upstream returns an upstream by its identity, or nil.
func (s *Snapshot) Upstream(id core.UpstreamID) *Upstream { return s.upstreams[id] }

// Key returns the key with a hash, or nil. The lookup is by a keyed hash, so its
// timing reveals nothing about the key; the final comparison is constant-time.
func (s *Snapshot) Key(hash string) *Key {
	k := s.keys[hash]
	if k == nil || !hmac.Equal([]byte(k.Hash), []byte(hash)) {
		return nil
	}
	return k
}

// Pool returns the upstreams of a pool in document order. The caller must not
// change the slice.
func (s *Snapshot) Pool(name string) []*Upstream { return s.pools[name] }

// Adapter returns an adapter by its identity, or nil.
func (s *Snapshot) Adapter(id core.AdapterID) *Adapter { return s.adapters[id] }

// ResolveModel returns the exact version that a model name means, "adapter" or
// "adapter@version", and a refusal if the workspace may not use it or it doesn't
// exist.
func (s *Snapshot) ResolveModel(model string, ws core.WorkspaceID) (core.AdapterRef, *Adapter, *core.Refusal) {
	name, version, versioned := strings.Cut(model, "@")
	a := s.adapters[core.AdapterID(name)]
	if a == nil {
		return core.AdapterRef{}, nil, unknownAdapter(model)
	}
	if len(a.Workspaces) > 0 && !slices.Contains(a.Workspaces, ws) {
		return core.AdapterRef{}, nil, unknownAdapter(model)
	}
	if !versioned {
		return core.AdapterRef{ID: a.ID, Version: a.Default}, a, nil
	}
	v, err := strconv.Atoi(version)
	if err != nil || !slices.Contains(a.Versions, v) || strconv.Itoa(v) != version {
		return core.AdapterRef{}, nil, unknownAdapter(model)
	}
	return core.AdapterRef{ID: a.ID, Version: v}, a, nil
}

// unknownAdapter returns the same refusal for an adapter that does not exist and for
// one of another workspace, so that a caller can't distinguish them.
func unknownAdapter(model string) *core.Refusal {
	return core.Refuse(core.CodeUnknownAdapter, 0, "no adapter "+strconv.Quote(model)+" for this workspace")
}
