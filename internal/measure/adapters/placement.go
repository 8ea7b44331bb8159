package adapters

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/placement"
)

func intKeys[V any](m map[int]V) iter.Seq[int] { return maps.Keys(m) }

// Times of the simulated hosts.
const (
	tickInterval = 100 * time.Millisecond
	feedDelay    = 20 * time.Millisecond // until every host has received a residency
	leaseTerm    = time.Hour
)

// placementFleet is a fleet of hosts with placement machines.
type placementFleet struct {
	clock    clock
	engines  []*engine
	store    *weightStore
	machines []*placement.Machine
	ids      []core.HostID
	calls    map[core.RequestID]*call
	starts   map[core.RequestID]bool
	score    *score
}

// staticOwnership is one host's view of an ownership that never changes.
type staticOwnership struct {
	p    *placementFleet
	self int
}

func (s staticOwnership) Self() core.HostID { return s.p.ids[s.self] }

func (s staticOwnership) Owner(x core.Shard) (core.HostID, bool) {
	if x.Kind == core.ShardLoader {
		return s.p.ids[0], true
	}
	i, err := strconv.Atoi(x.Name)
	return s.p.ids[i%len(s.p.ids)], err == nil
}

func (s staticOwnership) Acting(now core.Instant, x core.Shard) (core.Grant, bool) {
	h, ok := s.Owner(x)
	return core.Grant{Fence: 1, Until: now.Add(leaseTerm)}, ok && h == s.Self()
}

func (s staticOwnership) Serving(now core.Instant, x core.Shard) bool {
	_, ok := s.Acting(now, x)
	return ok
}

func (s staticOwnership) Members() []core.Member {
	var out []core.Member
	for _, h := range s.p.ids {
		out = append(out, core.Member{Host: h})
	}
	return out
}

func document(d deployment, slots int) *config.Document {
	doc := &config.Document{}
	for i := range d.engines {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: core.UpstreamID(strconv.Itoa(i)), Kind: config.UpstreamEngine, Pool: "engines",
			Slots: slots, Batch: batchSize, Domain: core.Domain(strconv.Itoa(i % d.domains)),
		})
	}
	return doc
}

// runPlacement runs a trace through the placement machines.
func runPlacement(d deployment, slots int, w *workload, seed uint64) *score {
	p := &placementFleet{score: newScore(), calls: map[core.RequestID]*call{}, starts: map[core.RequestID]bool{}}
	p.store = &weightStore{clock: &p.clock, rate: d.storeRate}
	for i := range d.engines {
		p.engines = append(p.engines, newEngine(&p.clock, i))
	}
	for i := range d.hosts {
		p.ids = append(p.ids, core.HostID(fmt.Sprintf("h%d", i)))
	}
	snapshot := config.NewSnapshot(1, document(d, slots))
	for i := range d.hosts {
		s := placement.Settings{Self: p.ids[i], Domain: core.Domain(strconv.Itoa(i % d.domains)), MaxLoadsPerSecond: d.storeRate}
		m := placement.New(s, core.NewRand(seed+uint64(i)))
		p.machines = append(p.machines, m)
		p.execute(i, m.Configure(p.now(), p.ownership(i), snapshot))
		p.clock.after(tickInterval*time.Duration(i)/time.Duration(d.hosts), func() { p.tick(i) })
		p.clock.after(pollInterval*time.Duration(i)/time.Duration(d.hosts), func() { p.poll(i) })
	}
	for i := range w.calls {
		c := &w.calls[i]
		p.clock.after(c.at, func() { p.arrive(i, c) })
	}
	p.clock.after(restartAt, p.engines[restartedEngine].restart)
	p.clock.after(halfRateFrom, func() { p.store.accrue(); p.store.rate = d.storeRate / 2 })
	p.clock.after(halfRateUntil, func() { p.store.accrue(); p.store.rate = d.storeRate })
	before := 0
	p.clock.after(warmUp, func() { before = p.store.loads })
	p.clock.runUntil(runTime)
	p.score.collect(p.engines, p.store, before)
	return p.score
}

// now starts at an hour, so that it is never the zero instant.
func (p *placementFleet) now() core.Instant              { return core.Instant(p.clock.now + time.Hour) }
func (p *placementFleet) ownership(i int) core.Ownership { return staticOwnership{p, i} }
func (p *placementFleet) tick(i int) {
	p.execute(i, p.machines[i].Tick(p.now(), p.ownership(i)))
	p.clock.after(tickInterval, func() { p.tick(i) })
}

func (p *placementFleet) poll(i int) {
	for _, u := range p.machines[i].OwnedUpstreams() {
		sent := p.now()
		r := p.report(u, sent)
		p.clock.after(2*linkDelay, func() { p.execute(i, p.machines[i].Report(p.now(), p.ownership(i), r)) })
	}
	p.clock.after(pollInterval, func() { p.poll(i) })
}

func (p *placementFleet) engine(u core.UpstreamID) *engine {
	i, _ := strconv.Atoi(string(u))
	return p.engines[i]
}

func adapterRef(a int) core.AdapterRef {
	return core.AdapterRef{ID: core.AdapterID(strconv.Itoa(a)), Version: 1}
}

func adapterNumber(r core.AdapterRef) int {
	a, _ := strconv.Atoi(string(r.ID))
	return a
}

func (p *placementFleet) report(u core.UpstreamID, sent core.Instant) core.UpstreamReport {
	e := p.engine(u)
	r := core.UpstreamReport{Upstream: u, OK: true, Incarnation: strconv.Itoa(e.incarnation), Running: len(e.batch), Sent: sent}
	for _, a := range slices.Sorted(intKeys(e.loaded)) {
		r.Adapters = append(r.Adapters, core.AdapterLoad{Adapter: adapterRef(a), Running: e.running[a]})
	}
	return r
}

func (p *placementFleet) arrive(i int, c *call) {
	id := core.RequestID(strconv.Itoa(i))
	p.calls[id] = c
	p.requestTicket(c.host, id)
}

func (p *placementFleet) requestTicket(host int, id core.RequestID) {
	c := p.calls[id]
	p.execute(host, p.machines[host].Place(p.now(), p.ownership(host), placement.PlacementRequest{
		Request: id, Pool: "engines", Adapter: adapterRef(c.adapter), Workspace: c.workspace, Weight: 1,
		Cost: core.Tokens(meanTokens), Deadline: core.Instant(c.at + requestTimeout + time.Hour),
	}))
}

// execute carries out the effects of one host's result.
func (p *placementFleet) execute(host int, r placement.Result) {
	for _, s := range r.Sends {
		to := slices.Index(p.ids, s.To)
		p.clock.after(linkDelay, func() { p.execute(to, p.machines[to].HandleMessage(p.now(), p.ownership(to), p.ids[host], s.Message)) })
	}
	for _, o := range r.Orders {
		p.executeOrder(host, o)
	}
	for _, res := range r.Publish {
		p.countPublished(res)
		p.clock.after(feedDelay, func() {
			for i := range p.machines {
				if i != host {
					p.execute(i, p.machines[i].ReceiveResidency(p.now(), p.ownership(i), res))
				}
			}
		})
	}
	for _, d := range r.Decisions {
		p.applyDecision(host, d)
	}
}

// countPublished counts the encoded bytes of a residency.
func (p *placementFleet) countPublished(r placement.Residency) {
	if p.clock.now < warmUp {
		return
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		p.score.faults++
	}
	p.score.feedBytesPerSecond += float64(len(b)) / (runTime - warmUp).Seconds()
}

// executeOrder carries out a load or unload order. A load fails if the engine
// restarts meanwhile; an unload under a running request is a fault.
func (p *placementFleet) executeOrder(host int, o core.AdapterOrder) {
	e, a := p.engine(o.Upstream), adapterNumber(o.Adapter)
	generation := e.incarnation
	done := func(ok bool) {
		p.clock.after(linkDelay, func() {
			p.execute(host, p.machines[host].OrderDone(p.now(), p.ownership(host), core.OrderDone{ID: o.ID, OK: ok, NoEffect: true}))
		})
	}
	if !o.Load {
		p.clock.after(linkDelay+unloadTime, func() {
			if e.running[a] > 0 {
				p.score.faults++
			}
			delete(e.loaded, a)
			done(true)
		})
		return
	}
	p.clock.after(linkDelay, func() {
		p.store.load(func() {
			ok := generation == e.incarnation
			if ok {
				e.loaded[a] = true
			}
			done(ok)
		})
	})
}

func (p *placementFleet) applyDecision(host int, d placement.Decision) {
	c := p.calls[d.Request]
	if d.Refusal != nil {
		p.score.recordRefused(c, p.clock.now)
		return
	}
	stall := p.clock.now - c.at
	e := p.engine(d.Ticket.Upstream)
	p.machines[host].RecordDispatch(d.Request)
	p.clock.after(linkDelay, func() {
		ok := e.start(c.adapter, c.tokens, func(ok bool) {
			if !ok {
				p.score.aborted++
			}
			p.release(host, d.Request, placement.TicketEnd{OK: ok, Crashed: !ok, TokensUsed: core.Tokens(c.tokens)})
		})
		if !ok { // the engine has restarted and did not run the request: a new ticket request
			p.execute(host, p.machines[host].Release(p.now(), p.ownership(host), d.Request, placement.TicketEnd{AdapterMissing: true}))
			p.requestTicket(host, d.Request)
			return
		}
		p.score.recordServed(c, p.clock.now, d.Ticket.WaitedForLoad, stall)
	})
}

func (p *placementFleet) release(host int, id core.RequestID, e placement.TicketEnd) {
	p.clock.after(linkDelay, func() {
		p.execute(host, p.machines[host].Release(p.now(), p.ownership(host), id, e))
	})
}
