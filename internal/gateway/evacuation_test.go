package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/evacuation"
	"gentiancroft/internal/core/relaynode"
)

// testDocuments decode as the platform does: the object's name is the domain.
var testDocuments = Documents{
	EvacuationsKind: "evacuations",
	DecodeEvacuation: func(name string) (core.Domain, error) {
		if name == "" {
			return "", errs.New("no name")
		}
		return core.Domain(name), nil
	},
}

// evacuationsGateway returns a gateway whose store gives results in turn, and its watch of
// evacuations.
func evacuationsGateway(plan relaynode.ReadPlan, results ...core.ObjectResult) (*scriptedStore, *Gateway, *watch) {
	store := &scriptedStore{calls: make(chan core.ObjectCall), results: results}
	m := relaynode.New(relaynode.Settings{Evacuation: 5 * time.Second})
	g := New(m, Executors{Store: store, Documents: testDocuments}, noClock, metrics.NewRegistry())
	g.status.Store(&status{reading: plan})
	return store, g, g.evacuationsWatch()
}

// nextEvacuations returns the next event about evacuations.
func nextEvacuations(g *Gateway) relaynode.Event {
	for {
		switch e := (<-g.events.Items()).(type) {
		case relaynode.EvacuationsListed, relaynode.EvacuationsChanged:
			return e
		}
	}
}

func watchedKinds(m *relaynode.Machine) []string {
	g := New(m, Executors{Documents: testDocuments}, noClock, metrics.NewRegistry())
	var kinds []string
	for _, w := range g.watches() {
		kinds = append(kinds, w.kind)
	}
	return kinds
}

// Without the setting the store is not asked for evacuations.
func TestEvacuationsAreWatchedOnlyWithTheSetting(t *testing.T) {
	is := is.New(t)
	without := watchedKinds(relaynode.New(relaynode.Settings{}))
	with := watchedKinds(relaynode.New(relaynode.Settings{Evacuation: time.Second}))
	is.Equal(with, append(without, testDocuments.EvacuationsKind))
}

func TestListsAndChangesOfEvacuationsBecomeEvents(t *testing.T) {
	is := is.New(t)
	object := func(key string, version uint64, deleted bool) core.Object {
		return core.Object{Key: key, Version: version, Era: 3, Value: []byte(`{"a":{"b":[1]}}`), Deleted: deleted}
	}
	store, g, w := evacuationsGateway(relaynode.ReadPlan{Evacuations: true},
		core.ObjectResult{Status: core.ObjectOK, Version: 7, Era: 3, Objects: []core.Object{object("evacuations/a", 4, false), {Key: "evacuations/b", Value: []byte(`"a text"`), Era: 3}, object("evacuations/", 5, false)}},
		core.ObjectResult{Status: core.ObjectOK, Version: 9, Era: 3, Objects: []core.Object{object("evacuations/a", 8, true), object("evacuations/c", 9, false)}},
		core.ObjectResult{Status: core.ObjectOK, Version: 11, Era: 3})
	w.startAtOnce = true
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	is.Equal((<-store.calls).Op, core.ObjectList)
	is.Equal(nextEvacuations(g), relaynode.EvacuationsListed{At: core.Revision{Era: 3, Version: 7}, Domains: []core.Domain{"a", "b"}})
	is.Equal((<-store.calls).IfVersion, uint64(7))
	is.Equal(nextEvacuations(g), relaynode.EvacuationsChanged{At: core.Revision{Era: 3, Version: 9}, Changes: []evacuation.ObjectChange{{Domain: "a", Removed: true}, {Domain: "c"}}})
	is.Equal((<-store.calls).IfVersion, uint64(9))
	is.Equal(nextEvacuations(g), relaynode.EvacuationsChanged{At: core.Revision{Era: 3, Version: 11}}) // nothing has changed since
	cancel()
	is.True(<-done != nil)
}

// The store has never had an evacuation: that is an empty list, which a watcher reads again and
// again and any other host reads once.
func TestAKindWithoutObjectsIsListedOnceByHostsThatDoNotWatch(t *testing.T) {
	is := is.New(t)
	for _, watches := range []bool{true, false} {
		store, g, w := evacuationsGateway(relaynode.ReadPlan{Evacuations: watches}, core.ObjectResult{Status: core.ObjectNotFound, Era: 2})
		w.startAtOnce = true
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.run(ctx) }()
		<-store.calls
		is.Equal(nextEvacuations(g), relaynode.EvacuationsListed{At: core.Revision{Era: 2}})
		if watches {
			is.Equal((<-store.calls).Op, core.ObjectList)
		} else {
			is.True(!calledWithin(store, 3*maxRetryDelay))
			g.status.Store(&status{reading: relaynode.ReadPlan{Evacuations: true}})
			g.wake.interruptAll() // the watchers are gone
			is.Equal((<-store.calls).Op, core.ObjectList)
		}
		cancel()
		is.True(<-done != nil)
	}
}

// Guards against several calls of each host while a whole deployment starts.
func TestAHostWaitsAfterItsFirstListOfAKindWithoutObjects(t *testing.T) {
	is := is.New(t)
	store, g, w := evacuationsGateway(relaynode.ReadPlan{Evacuations: true}, core.ObjectResult{Status: core.ObjectNotFound})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	<-store.calls
	nextEvacuations(g)
	is.True(!calledWithin(store, watchStartDelay-maxRetryDelay))
	is.Equal((<-store.calls).Op, core.ObjectList)
	cancel()
	is.True(<-done != nil)
}

// A store that no longer knows the kind once its last object is removed gives no change that says so.
func TestAWatchOfAKindThatNoLongerExistsListsAgain(t *testing.T) {
	is := is.New(t)
	store, g, w := evacuationsGateway(relaynode.ReadPlan{Evacuations: true},
		core.ObjectResult{Status: core.ObjectOK, Version: 7, Era: 3, Objects: []core.Object{{Key: "evacuations/a", Version: 6, Era: 3}}},
		core.ObjectResult{Status: core.ObjectNotFound, Era: 3})
	w.startAtOnce = true
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	<-store.calls
	is.Equal(nextEvacuations(g), relaynode.EvacuationsListed{At: core.Revision{Era: 3, Version: 7}, Domains: []core.Domain{"a"}})
	is.Equal((<-store.calls).Op, core.ObjectWatch)
	is.Equal((<-store.calls).Op, core.ObjectList)
	is.Equal(nextEvacuations(g), relaynode.EvacuationsListed{At: core.Revision{Era: 3}})
	cancel()
	is.True(<-done != nil)
}

func calledWithin(s *scriptedStore, d time.Duration) bool {
	select {
	case <-s.calls:
		return true
	case <-time.After(d):
		return false
	}
}

// The watchers of the former build watch all other kinds, so that only this one is to be watched.
func TestAnIdleWatchOfEvacuationsFollowsItsOwnPlan(t *testing.T) {
	is := is.New(t)
	store, g, w := evacuationsGateway(relaynode.ReadPlan{}, core.ObjectResult{Status: core.ObjectOK, Version: 7, Era: 3})
	w.startAtOnce = true
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.run(ctx) }()
	is.Equal((<-store.calls).Op, core.ObjectList)
	is.True(!calledWithin(store, 3*maxRetryDelay)) // idle
	g.status.Store(&status{reading: relaynode.ReadPlan{Watch: true}})
	g.wake.interruptAll()
	is.Equal((<-store.calls).Op, core.ObjectList) // as any idle watch that is woken
	is.True(!calledWithin(store, 3*maxRetryDelay))
	g.status.Store(&status{reading: relaynode.ReadPlan{Evacuations: true}})
	g.wake.interruptAll()
	is.Equal((<-store.calls).Op, core.ObjectList)
	is.Equal((<-store.calls).Op, core.ObjectWatch)
	cancel()
	is.True(<-done != nil)
}
