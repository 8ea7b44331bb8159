package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/relaynode"
)

func TestMetricsOfRemovedObjectsAreDropped(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	g := New(relaynode.New(relaynode.Settings{}), Executors{}, nil, r)
	g.recordRequestEnd(relaynode.RequestEnded{Route: "a", Outcome: "ok", FirstByte: time.Millisecond, Total: time.Second})
	g.recordRequestEnd(relaynode.RequestEnded{Route: "b", Outcome: "ok", Total: time.Second})
	g.recordRequestEnd(relaynode.RequestEnded{Outcome: "unknown_route"})
	state := relaynode.State{
		Replicas:   []relaynode.ReplicaState{{ID: "i.1", Own: 2}},
		Workspaces: []relaynode.WorkspaceState{{ID: "w", Level: -3}},
		Routes:     map[string]bool{"a": true, "b": true},
	}
	g.publish(state)
	is.Equal(metrics.GetOrRegisterGauge("upstream.i.1.in_flight", r).Value(), int64(2))
	is.Equal(metrics.GetOrRegisterGauge("workspace.w.tokens_left", r).Value(), int64(-3))
	g.publish(relaynode.State{Routes: map[string]bool{"a": true}})
	is.True(r.Get("upstream.i.1.in_flight") == nil)
	is.True(r.Get("workspace.w.tokens_left") == nil)
	is.True(r.Get("route.b.total_us") == nil)
	is.True(r.Get("route.a.total_us") != nil)
	is.True(r.Get("route.none.unknown_route") != nil)
}
