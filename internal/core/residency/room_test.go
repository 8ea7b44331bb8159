package residency

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// newMemoryMachine returns a machine with one replica, "r", of an engine.
func newMemoryMachine(e table.Engine) *Machine {
	m := New(Settings{Self: "a"})
	m.Configure(map[table.ServiceID]*table.Service{"s": {ID: "s", Engine: &e}})
	m.UpdateReplica(replicas.Entry{ID: "r", Service: "s", Started: 1})
	return m
}

// Guards against crashes of replicas that were ordered to load more adapters than their memory
// holds (review, case 3): only the slots were counted.
func TestLoadsStayWithinTheMemoryOfAReplica(t *testing.T) {
	is := is.New(t)
	const fitting = 20 // (76000 - 72700) / 165
	m := newMemoryMachine(table.Engine{AdapterSlots: 28, Memory: 76000, Models: []table.Model{{Name: base, Weights: 72700, Adapter: 165}}})
	e := newEngine(fitting)
	for i := range 200 {
		now := time.Duration(i) * 50 * time.Millisecond
		m.AddDemand(at(now), demandFor(core.AdapterID("a"+strconv.Itoa(i))))
		run(m, e, now, now+45*time.Millisecond)
	}
	is.True(!e.crashed)
	is.Equal(len(loaded(m)) >= fitting-4, true) // the memory is used, but for what is on its way
}

// What a replica holds is counted by model, and each version of a model's weights.
func TestRoomCountsAllThatAReplicaHolds(t *testing.T) {
	adapters := func(names ...core.AdapterID) (all []core.AdapterRef) {
		for _, n := range names {
			all = append(all, core.AdapterRef{ID: n, Version: 1})
		}
		return all
	}
	engine := table.Engine{AdapterSlots: 4, Memory: 1000, Models: []table.Model{{Name: "m", Weights: 400, Adapter: 50}, {Name: "n", Weights: 300, Adapter: 100}}}
	noMemory := engine
	noMemory.Memory = 0
	cases := []struct {
		name     string
		engine   table.Engine
		models   []replicas.Model
		pending  []core.AdapterRef
		forM     bool // there is room for one more adapter of "m"
		forN     bool // of "n"
		memoryMB table.Megabytes
	}{
		{"one model", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2")}}, nil, true, true, 500},
		{"no slot is left", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2", "a3", "a4")}}, nil, false, false, 600},
		{"an adapter on its way", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2", "a3")}}, adapters("a4"), false, false, 600},
		{"two models", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2")}, {Name: "n", Version: 1, Adapters: adapters("b1")}}, nil, true, true, 900},
		{"two models, memory is full", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2", "a3")}, {Name: "n", Version: 1, Adapters: adapters("b1")}}, nil, false, false, 950},
		{"two models, room for a small one", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1")}, {Name: "n", Version: 1, Adapters: adapters("b1", "b2")}}, nil, true, false, 950},
		{"two models with adapters of one name", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2")}, {Name: "n", Version: 1, Adapters: adapters("a1", "a2")}}, nil, false, false, 1000},
		{"two versions of the weights", engine, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1", "a2", "a3")}, {Name: "m", Version: 2}}, nil, true, false, 950},
		{"an adapter of unknown model on its way", engine, []replicas.Model{{Name: "m", Version: 1}, {Name: "n", Version: 1, Adapters: adapters("b1", "b2")}}, adapters("x"), false, false, 1000},
		{"no memory is given", noMemory, []replicas.Model{{Name: "m", Version: 1, Adapters: adapters("a1")}, {Name: "m", Version: 2}, {Name: "n", Version: 1, Adapters: adapters("b1")}}, nil, true, true, 1250},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMemoryMachine(c.engine)
			m.Tick(0, ownAll)
			m.ApplyReport(0, Report{Replica: "r", OK: true, Started: 1, Models: c.models, Pending: c.pending})
			r, limit := m.byID["r"], m.services["s"]
			is.Equal(r.usedMemory(limit), c.memoryMB)
			is.Equal(r.hasRoom(limit, "m"), c.forM)
			is.Equal(r.hasRoom(limit, "n"), c.forN)
		})
	}
}

// A configuration that gives less memory has adapters evicted, and no model is loaded that is larger
// than the memory.
func TestLessMemoryEvicts(t *testing.T) {
	is := is.New(t)
	engine := table.Engine{AdapterSlots: 28, Memory: 1000, Models: []table.Model{{Name: base, Weights: 500, Adapter: 100}}}
	m, e := newMemoryMachine(engine), newEngine(5)
	run(m, e, 0, 0)
	for i := range 5 {
		m.AddDemand(0, demandFor(core.AdapterID("a"+strconv.Itoa(i))))
	}
	run(m, e, 0, time.Second)
	is.Equal(len(loaded(m)), 5)
	engine.Memory = 800
	m.Configure(map[table.ServiceID]*table.Service{"s": {ID: "s", Engine: &engine}})
	e.slots = 3
	m.AddDemand(at(time.Second), demandFor("b"))
	run(m, e, time.Second, 2*time.Second)
	is.True(!e.crashed)
	is.Equal(len(loaded(m)), 3)

	engine.Memory = 400
	small := newMemoryMachine(engine)
	small.Tick(0, ownAll)
	small.ApplyReport(0, Report{Replica: "r", OK: true, Started: 1})
	is.Equal(len(small.Tick(at(time.Second), ownAll).Orders), 0)
}
