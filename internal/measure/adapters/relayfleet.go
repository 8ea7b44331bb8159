package adapters

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/shard"
	configured "gentiancroft/internal/core/table"
)

// Names of the deployment of the shift.
const (
	shiftService configured.ServiceID = "engines"
	shiftModel   core.BaseModel       = "base"
	shiftHostKey                      = "h"
)

const (
	relayTick       = 20 * time.Millisecond
	leaseListDelay  = 300 * time.Millisecond // until every host has read a change of the leases
	engineStarted   = 1                      // start of every engine's incarnation
	engineReplyTime = time.Millisecond
)

// relayFleet is a fleet of relaying hosts over engines that stream, with a store of leases.
type relayFleet struct {
	clock    clock
	calls    []streamCall
	engines  []*streamEngine
	machines []*relaynode.Machine
	runs     map[core.RequestID]*streamRun
	leases   map[string]core.Object
	version  uint64
	transits int
	score    *shiftScore
}

// runRelayFleet runs a trace through relaying hosts.
func runRelayFleet(calls []streamCall, seed uint64) *shiftScore {
	f := &relayFleet{calls: slices.Clone(calls), runs: map[core.RequestID]*streamRun{}, leases: map[string]core.Object{}, score: &shiftScore{}}
	f.engines = newStreamEngines(&f.clock, f.calls)
	for i := range shiftHosts {
		f.addHost(i, seed)
	}
	for i := range f.machines {
		f.sendInitialReads(i)
		f.clock.after(relayTick*time.Duration(i)/shiftHosts, func() { f.tick(i) })
	}
	for i := range f.calls {
		c := &f.calls[i]
		f.clock.after(c.at, func() { f.arrive(i, c) })
	}
	f.score.run(&f.clock, f.engines, f.calls)
	return f.score
}

func (f *relayFleet) addHost(i int, seed uint64) {
	m := relaynode.New(relaynode.Settings{
		Self: registration(i), Seed: seed + uint64(i), FirstStart: true,
		Shard: shard.Settings{Self: core.HostID(registration(i).Name)},
	})
	f.machines = append(f.machines, m)
}

func registration(i int) fleet.Registration {
	name := fmt.Sprintf("host-%d", i)
	return fleet.Registration{Name: name, Host: core.HostID(name + "/1"), Domain: "a", Capacity: 1}
}

// sendInitialReads sends a host what it reads from the store at its start.
func (f *relayFleet) sendInitialReads(i int) {
	f.step(i, relaynode.ConfigurationRead{Table: shiftConfiguration()})
	f.step(i, relaynode.VersionsRead{})
	var entries []replicas.Entry
	for j, e := range f.engines {
		id := engineID(j)
		entries = append(entries, replicas.Entry{
			ID: id, Service: shiftService, Software: "v1", Address: string(id), Domain: "a", Batch: streamPlaces,
			Started: engineStarted, Sequence: 1, Models: e.models(),
		})
	}
	f.step(i, relaynode.ReplicasListed{Entries: entries})
	for j := range shiftHosts {
		f.step(i, relaynode.HostListed{Host: registration(j)})
	}
	f.step(i, relaynode.LeasesListed{})
}

func shiftConfiguration() *configured.Table {
	t := &configured.Table{
		Version: 1,
		Routes: []configured.Route{{
			Name: "stream", Host: shiftHostKey, Prefix: "/", Kind: configured.Streaming, KeyOptional: true, Timeout: streamTimeout,
			LatencyTarget: shiftObjective, MaxEventGap: shiftMaxGap, MaxAttempts: 1, Targets: []configured.Target{{Service: shiftService, Weight: 1}},
		}},
		Services: map[configured.ServiceID]*configured.Service{
			shiftService: {ID: shiftService, Engine: &configured.Engine{Batch: streamPlaces, AdapterSlots: streamSlots, Models: []configured.Model{{Name: shiftModel}}}},
		},
	}
	t.Index()
	return t
}

func engineID(i int) core.UpstreamID { return core.UpstreamID("engine-" + strconv.Itoa(i)) }

func (f *relayFleet) engineOf(id core.UpstreamID) *streamEngine {
	i, _ := strconv.Atoi(string(id[len("engine-"):]))
	return f.engines[i]
}

func (e *streamEngine) models() []replicas.Model {
	m := replicas.Model{Name: shiftModel, Version: 1}
	for _, a := range slices.Sorted(intKeys(e.loaded)) {
		m.Adapters = append(m.Adapters, adapterRef(a))
	}
	return []replicas.Model{m}
}

// now starts at an hour, so that it is never the zero instant.
func (f *relayFleet) now() core.Instant { return core.Instant(f.clock.now + time.Hour) }

func (f *relayFleet) tick(i int) {
	f.step(i, relaynode.Tick{})
	f.clock.after(relayTick, func() { f.tick(i) })
}

func (f *relayFleet) arrive(i int, c *streamCall) {
	f.step(c.host, relaynode.RequestArrived{
		ID: core.RequestID(strconv.Itoa(i)), Host: shiftHostKey, Path: "/x", Model: shiftModel, Adapter: adapterRef(c.adapter).ID,
		Tokens: c.prompt + maxOutput, Prompt: c.prompt, Timeout: streamTimeout,
	})
}

// step has a host handle an event and carries out the effects.
func (f *relayFleet) step(host int, e relaynode.Event) {
	for _, effect := range f.machines[host].Step(f.now(), e) {
		f.execute(host, effect)
	}
}

func (f *relayFleet) execute(host int, effect relaynode.Effect) {
	switch e := effect.(type) {
	case relaynode.Dispatch:
		f.clock.after(linkDelay, func() { f.dispatch(host, e) })
	case relaynode.Cancel:
		if r := f.runs[e.ID]; r != nil && !(e.OnlyIfUnanswered && r.events.Events > 0) {
			r.cancelled = true
		}
	case relaynode.Refuse:
		f.call(e.ID).refused = true
	case relaynode.AbortAnswer:
		f.call(e.ID).refused = true
	case relaynode.SendOrder:
		f.clock.after(linkDelay, func() { f.order(host, e.Order) })
	case relaynode.RequestReport:
		f.clock.after(2*linkDelay, func() { f.report(host, e.Replica) })
	case relaynode.WriteObject:
		f.clock.after(linkDelay, func() { f.write(host, e.Call) })
	case relaynode.SendToPeers:
		for _, to := range e.To {
			i, _ := strconv.Atoi(to.Name[len("host-"):])
			f.clock.after(linkDelay, func() { f.step(i, relaynode.MessageReceived{From: registration(host).Host, Message: e.Message}) })
		}
	}
}

func (f *relayFleet) call(id core.RequestID) *streamCall {
	i, _ := strconv.Atoi(string(id))
	return &f.calls[i]
}

// dispatch runs an attempt at an engine, which rejects it where the adapter isn't loaded.
func (f *relayFleet) dispatch(host int, d relaynode.Dispatch) {
	c, e := f.call(d.ID), f.engineOf(d.Upstream)
	end := func(a relaynode.AttemptEnded) {
		a.ID, a.Attempt = d.ID, d.Attempt
		f.clock.after(linkDelay, func() { f.step(host, a) })
	}
	c.tries++
	if !e.loaded[c.adapter] {
		end(relaynode.AttemptEnded{Kind: relaynode.EndAdapterMissing})
		return
	}
	r := &streamRun{call: c, unread: c.prompt}
	r.first = func() {
		c.first = f.clock.now - c.at
		f.clock.after(linkDelay, func() {
			f.step(host, relaynode.AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
		})
	}
	r.done = func(ok bool) {
		c.largestGap = max(c.largestGap, r.events.LargestGap)
		kind := relaynode.EndOK
		if !ok {
			kind = relaynode.EndCancelled
		}
		end(relaynode.AttemptEnded{Kind: kind, Stream: r.events})
	}
	f.runs[d.ID] = r
	e.start(r)
}

// order carries out a load or unload order.
func (f *relayFleet) order(host int, o residency.Order) {
	e, a := f.engineOf(o.Replica), adapterNumber(o.Adapter)
	outcome := residency.Accepted
	switch {
	case o.ExpectedSequence != e.sequence:
		outcome = residency.Conflict
	case o.Load && e.transits[a]: // a check of a load that isn't done yet
	case o.Load == e.loaded[a]:
		outcome = residency.AlreadyDone
	case !o.Load && !e.uses(a):
		outcome = residency.AlreadyDone // an unused adapter is unloaded at once
		e.sequence++
		delete(e.loaded, a)
	case !o.Load || len(e.loaded)+len(e.transits) >= streamSlots:
		outcome = residency.Conflict
	default:
		e.sequence++
		f.load(e, a)
	}
	f.clock.after(linkDelay, func() {
		f.step(host, relaynode.OrderDone{OrderDone: residency.OrderDone{ID: o.ID, Outcome: outcome}})
	})
}

// load loads an adapter from the weight store, or from the replica's copy of one that it had.
func (f *relayFleet) load(e *streamEngine, a int) {
	f.score.loads++
	e.transits[a] = true
	done := func() {
		delete(e.transits, a)
		e.loaded[a], e.copies[a] = true, true
	}
	if e.copies[a] {
		f.clock.after(adapterCopyTime, done)
		return
	}
	f.transits++
	slowed := max(1, float64(f.transits)/transitsAtFull)
	f.clock.after(time.Duration(float64(adapterFetchTime)*slowed), func() {
		f.transits--
		done()
	})
}

func (f *relayFleet) report(host int, id core.UpstreamID) {
	e := f.engineOf(id)
	r := residency.Report{Replica: id, OK: true, Started: engineStarted, Sequence: e.sequence, Models: e.models()}
	for _, a := range slices.Sorted(intKeys(e.transits)) {
		r.Pending = append(r.Pending, adapterRef(a))
	}
	f.clock.after(engineReplyTime, func() { f.step(host, relaynode.ReportReceived{Report: r}) })
}

// write carries out a host's write to the store, and has all hosts read the leases.
func (f *relayFleet) write(host int, c core.ObjectCall) {
	stored, exists := f.leases[c.Key]
	r := core.ObjectResult{Tag: c.Tag, Status: core.ObjectOK}
	switch {
	case c.Op == core.ObjectCreate && exists, c.Op == core.ObjectUpdate && exists && stored.Version != c.IfVersion:
		r.Status, r.Object = core.ObjectConflict, stored
	case c.Op == core.ObjectUpdate && !exists:
		r.Status = core.ObjectNotFound
	default:
		f.version++
		r.Object = core.Object{Key: c.Key, Value: c.Value, Version: f.version}
		f.leases[c.Key] = r.Object
	}
	f.clock.after(linkDelay, func() { f.step(host, relaynode.WriteDone{Result: r}) })
	f.clock.after(leaseListDelay, func() {
		for i := range f.machines {
			f.step(i, relaynode.LeasesListed{Objects: f.listLeases()})
		}
	})
}

func (f *relayFleet) listLeases() (all []core.Object) {
	for i := range shard.DefaultCount {
		if o, ok := f.leases[shard.Prefix+strconv.Itoa(i)]; ok {
			all = append(all, o)
		}
	}
	return all
}
