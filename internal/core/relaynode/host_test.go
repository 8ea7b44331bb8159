package relaynode

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
	"gentiancroft/internal/core/table"
)

// host drives one machine by events, at times that the test sets.
type host struct {
	is  *is.I
	m   *Machine
	now time.Duration
	out []Effect // of the last step
	n   int
}

// Names of the deployment that the tests run.
const (
	engines  table.ServiceID = "engines"
	services table.ServiceID = "services"
	model    core.BaseModel  = "base"
)

func testTable() *table.Table {
	t := &table.Table{
		Version: 1,
		Routes: []table.Route{
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: table.Streaming, Resumable: true, KeyOptional: true, Timeout: 10 * time.Second, LatencyTarget: 500 * time.Millisecond, MaxAttempts: 2, Targets: []table.Target{{Service: engines, Weight: 1}}},
			{Name: "once-stream", Host: "h", Prefix: "/once-stream/", Kind: table.Streaming, KeyOptional: true, Timeout: 10 * time.Second, LatencyTarget: 500 * time.Millisecond, MaxAttempts: 1, Targets: []table.Target{{Service: engines, Weight: 1}}},
			{Name: "whole", Host: "h", Prefix: "/whole/", Kind: table.NonIdempotent, KeyOptional: true, Timeout: 10 * time.Second, LatencyTarget: 500 * time.Millisecond, MaxAttempts: 1, Targets: []table.Target{{Service: engines, Weight: 1}}},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: table.Idempotent, KeyOptional: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2, Targets: []table.Target{{Service: services, Weight: 1}}},
			{Name: "act", Host: "h", Prefix: "/act/", Kind: table.NonIdempotent, KeyOptional: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 1, Targets: []table.Target{{Service: services, Weight: 1}}},
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: table.NonIdempotent, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 1, Targets: []table.Target{{Service: services, Weight: 1}}},
		},
		KeysRequired: true,
		Services: map[table.ServiceID]*table.Service{
			engines:  {ID: engines, Engine: &table.Engine{Batch: 4, AdapterSlots: 2, Models: []table.Model{{Name: model}}}},
			services: {ID: services},
		},
		Workspaces: map[core.WorkspaceID]*table.Workspace{"w": {ID: "w", Rate: 100, Burst: 100, DefaultCost: 10}},
	}
	t.Keys = map[table.KeyHash]*table.Workspace{table.HashKey([]byte("key")): t.Workspaces["w"]}
	t.Index()
	return t
}

func replica(id core.UpstreamID, service table.ServiceID, adapters ...core.AdapterRef) replicas.Entry {
	e := replicas.Entry{ID: id, Service: service, Software: "v1", Address: string(id), Domain: "a", Batch: 4, Started: 1}
	if service == engines {
		e.Models = []replicas.Model{{Name: model, Version: 1, Adapters: adapters}}
	}
	return e
}

// newHost returns a host with a configuration and two replicas of each service; the
// engines have adapter x loaded at version 1.
func newHost(t *testing.T) *host {
	return newHostAs(t, fleet.Registration{Name: "a", Host: "a/1", Domain: "a"})
}

// newHostAs is newHost with another registration.
func newHostAs(t *testing.T, self fleet.Registration) *host {
	h := &host{is: is.New(t), m: New(Settings{Self: self, FirstStart: true})}
	h.now = 10 * time.Second
	x := core.AdapterRef{ID: "x", Version: 1}
	h.step(ConfigurationRead{Table: testTable()})
	h.step(VersionsRead{})
	h.step(ReplicasListed{Entries: []replicas.Entry{
		replica("e1", engines, x), replica("e2", engines, x), replica("s1", services), replica("s2", services),
	}})
	return h
}

func (h *host) step(e Event) {
	h.is.Helper()
	h.out = h.m.Step(core.Instant(h.now), e)
	for _, effect := range h.out {
		if n, ok := effect.(LogDecision); ok && !InCatalog(n) {
			h.is.Equal(n, LogDecision{}) // not in the catalog
		}
	}
}

// advance advances the time and sends a tick.
func (h *host) advance(d time.Duration) {
	h.now += d
	h.step(Tick{})
}

// arrive sends a request and returns its id.
func (h *host) arrive(a RequestArrived) core.RequestID {
	h.n++
	a.ID = core.RequestID(rune('a' + h.n))
	a.Host = "h"
	if a.Timeout == 0 {
		a.Timeout = 5 * time.Second
	}
	h.step(a)
	return a.ID
}

// get returns the only effect of a type in the last step, and whether there is one.
func get[E Effect](h *host) (E, bool) {
	var found E
	n := 0
	for _, e := range h.out {
		if x, ok := e.(E); ok {
			found = x
			n++
		}
	}
	if n > 1 {
		h.is.Fail() // more than one
	}
	return found, n == 1
}

func (h *host) dispatch() Dispatch {
	h.is.Helper()
	d, ok := get[Dispatch](h)
	h.is.True(ok)
	return d
}

func (h *host) refusal() *core.Refusal {
	h.is.Helper()
	r, ok := get[Refuse](h)
	h.is.True(ok)
	return r.Refusal
}

// other returns the one of two replicas that isn't id.
func other(id, first, second core.UpstreamID) core.UpstreamID {
	if id == first {
		return second
	}
	return first
}

func (h *host) endAttempt(d Dispatch, kind EndKind) {
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: kind})
}

// lease reads leases of all shards whose owner is the host.
func (h *host) lease(owner core.HostID) {
	value, err := json.Marshal(shard.Record{Owner: owner, Fence: 1})
	h.is.NoErr(err)
	var objects []core.Object
	for i := range shard.DefaultCount {
		objects = append(objects, core.Object{Key: shard.Prefix + strconv.Itoa(i), Value: value, Version: 1})
	}
	h.step(LeasesListed{Objects: objects})
}

// acceptWrites answers the last step's writes to the store.
func (h *host) acceptWrites() {
	for _, e := range h.out {
		if w, ok := e.(WriteObject); ok {
			h.step(WriteDone{Result: core.ObjectResult{Tag: w.Call.Tag, Status: core.ObjectOK, Object: core.Object{Version: uint64(h.now)}}})
		}
	}
}

// demanded reports whether the last step sent another host a demand for a version of
// adapter x on a replica.
func (h *host) demanded(replica core.UpstreamID, version int) bool {
	for _, e := range h.out {
		p, ok := e.(SendToPeers)
		if !ok {
			continue
		}
		for _, d := range p.Message.Demands {
			if d.Replica == replica && d.Adapter == (core.AdapterRef{ID: "x", Version: version}) {
				return true
			}
		}
	}
	return false
}
