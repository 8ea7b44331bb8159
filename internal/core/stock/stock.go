package stock

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Times of the decisions.
const (
	probeEvery   = 100 * time.Millisecond // after a report that tells of an earlier state
	probeModel   = 250 * time.Millisecond // while a model is being loaded
	probeFailed  = 500 * time.Millisecond // after a report that did not come
	settle       = 150 * time.Millisecond // after an order without an answer
	unloadAgain  = 100 * time.Millisecond // between two questions whether an adapter is gone
	loadAgain    = 25 * time.Millisecond  // between two questions whether an adapter is there
	copyTime     = 28 * time.Millisecond  // to load an adapter that the replica has a copy of
	fetchTime    = 256 * time.Millisecond // to load one that it has not
	loadPatience = 8 * time.Second        // for what is on its way; then the replica is asked anew
	useFor       = 2 * time.Second        // a use that is not repeated is dropped after it
	keepAtLeast  = 300 * time.Millisecond // from an adapter's arrival to its unloading
)

type state uint8

const (
	ready state = iota + 1
	loading
	unloading
)

// item is one adapter that takes a place at a replica.
type item struct {
	version int
	state   state
	since   core.Instant // of the state
	used    core.Instant // last
	check   core.Instant // when the replica is next asked whether the state has ended
	copied  bool         // it loads from a copy that the replica has kept
}

type wish struct {
	want  Want
	at    core.Instant // last repeated
	from  core.Instant // first asked
	until core.Instant // when the adapter must be there for a request to be on time
}

type use struct {
	running int
	at      core.Instant
}

// shelf is one replica that this host may have to order.
type shelf struct {
	id       core.UpstreamID
	address  string
	service  table.ServiceID
	started  int64
	sequence uint64
	synced   bool // sequence and items are the replica's
	models   map[core.BaseModel]int
	items    map[core.AdapterID]*item
	wishes   map[core.AdapterID]*wish
	uses     map[core.AdapterID]map[core.HostID]use
	copies   map[core.AdapterID]bool // adapters that the replica has held
	heats    map[core.AdapterID]heat // how often requests have named them
	order    *Order                  // without an answer yet
	checks   bool                    // the order repeats one, to learn whether it is done
	probing  bool
	probe    core.Instant // when the next report is due; 0: none is
	busy     core.Instant // a model is on its way since; 0: none is
	fetched  core.Instant // when it was last ordered to fetch an adapter
	changed  bool
}

// Machine keeps the stock of the replicas that this host orders.
type Machine struct {
	settings Settings
	shelves  map[core.UpstreamID]*shelf
	sorted   []*shelf // the same by replica; nil: to be made
	services map[table.ServiceID]limits
	newest   map[core.AdapterID]newest
	fetches  int    // adapters that may be on their way from the weight store
	next     uint64 // id of the next order
	byOrder  map[uint64]*shelf
}

// New returns a machine without replicas.
func New(s Settings) *Machine {
	if s.InTransit <= 0 {
		s.InTransit = DefaultInTransit
	}
	if s.Fetches <= 0 {
		s.Fetches = DefaultFetches
	}
	if s.WantFor <= 0 {
		s.WantFor = DefaultWantFor
	}
	return &Machine{
		settings: s,
		shelves:  map[core.UpstreamID]*shelf{},
		services: map[table.ServiceID]limits{},
		byOrder:  map[uint64]*shelf{},
		newest:   map[core.AdapterID]newest{},
	}
}

// Configure takes the engines of a configuration.
func (m *Machine) Configure(services map[table.ServiceID]*table.Service) {
	m.services = map[table.ServiceID]limits{}
	for id, s := range services {
		if s.Engine != nil {
			m.services[id] = limits{slots: s.Engine.AdapterSlots, models: s.Engine.Models}
		}
	}
}

// Put takes a replica's entry. Only replicas of engines are kept.
func (m *Machine) Put(e replicas.Entry) {
	s := m.shelves[e.ID]
	if s == nil || s.started != e.Started {
		if s != nil {
			m.drop(s)
		}
		s = &shelf{
			id:      e.ID,
			started: e.Started,
			models:  map[core.BaseModel]int{},
			items:   map[core.AdapterID]*item{},
			wishes:  map[core.AdapterID]*wish{},
			uses:    map[core.AdapterID]map[core.HostID]use{},
			copies:  map[core.AdapterID]bool{},
			heats:   map[core.AdapterID]heat{},
		}
		m.shelves[e.ID] = s
		m.sorted = nil
	}
	s.address, s.service = e.Address, e.Service
}

// Remove forgets a replica.
func (m *Machine) Remove(id core.UpstreamID) {
	if s := m.shelves[id]; s != nil {
		m.drop(s)
	}
}

func (m *Machine) drop(s *shelf) {
	if s.order != nil {
		delete(m.byOrder, s.order.ID)
	}
	delete(m.shelves, s.id)
	m.sorted = nil
}

// Yield forgets what is known of a replica that another host orders now.
func (m *Machine) Yield(id core.UpstreamID) {
	if s := m.shelves[id]; s != nil {
		s.synced = false
		s.probe = 0
		s.wishes = map[core.AdapterID]*wish{}
	}
}

// adopt takes a replica's state as of a sequence.
func (s *shelf) adopt(now core.Instant, sequence uint64, models []replicas.Model, pending []core.AdapterRef) {
	old := s.items
	s.sequence, s.synced, s.changed = sequence, true, true
	s.items = map[core.AdapterID]*item{}
	s.models = map[core.BaseModel]int{}
	take := func(a core.AdapterRef, st state) {
		i := &item{version: a.Version, state: st, since: now, used: now}
		if o := old[a.ID]; o != nil {
			i.used = o.used
			if o.state == st {
				i.since, i.check, i.copied = o.since, o.check, o.copied
			}
			if o.state == unloading && st == ready {
				i.state = unloading
			}
		}
		s.items[a.ID] = i
	}
	for _, model := range models {
		s.models[model.Name] = model.Version
		for _, a := range model.Adapters {
			take(a, ready)
			s.copies[a.ID] = true
		}
	}
	for _, a := range pending {
		take(a, loading)
	}
}

// Wanted takes a want of this host or of another one.
func (m *Machine) Wanted(now core.Instant, w Want) {
	s := m.shelves[w.Replica]
	if s == nil {
		return
	}
	if x := s.wishes[w.Adapter.ID]; x != nil {
		x.at = now
		x.until = max(x.until, now.Add(w.Left))
		x.want.Weight = max(x.want.Weight, w.Weight)
		x.want.Adapter.Version = max(x.want.Adapter.Version, w.Adapter.Version)
		return
	}
	s.wishes[w.Adapter.ID] = &wish{want: w, at: now, from: now, until: now.Add(w.Left)}
}

// Used takes what a host has running.
func (m *Machine) Used(now core.Instant, from core.HostID, u Use) {
	s := m.shelves[u.Replica]
	if s == nil {
		return
	}
	if i := s.items[u.Adapter]; i != nil {
		i.used = now
	}
	if u.Begun > 0 {
		s.warm(now, u.Adapter, u.Begun)
	}
	if u.Running == 0 {
		delete(s.uses[u.Adapter], from)
		return
	}
	if s.uses[u.Adapter] == nil {
		s.uses[u.Adapter] = map[core.HostID]use{}
	}
	s.uses[u.Adapter][from] = use{running: u.Running, at: now}
}

// heat is a count of requests in which older ones count less.
type heat struct {
	value float64
	at    core.Instant
}

const (
	heatHalf  = 10 * time.Second // after which a request counts half
	heatsMost = 1024             // adapters whose heat a replica's owner remembers
	heatLeast = 0.1              // below which it is forgotten
)

func (h heat) now(t core.Instant) float64 {
	return h.value * math.Exp2(-float64(max(t.Sub(h.at), 0))/float64(heatHalf))
}

// warm counts requests that name an adapter.
func (s *shelf) warm(now core.Instant, a core.AdapterID, requests int) {
	if len(s.heats) >= heatsMost {
		maps.DeleteFunc(s.heats, func(_ core.AdapterID, h heat) bool { return h.now(now) < heatLeast })
	}
	s.heats[a] = heat{value: s.heats[a].now(now) + float64(requests), at: now}
}

// running is how many requests use an adapter at a replica, as last told.
func (s *shelf) running(now core.Instant, a core.AdapterID) int {
	total := 0
	for host, u := range s.uses[a] {
		if now.Sub(u.at) > useFor {
			delete(s.uses[a], host)
			continue
		}
		total += u.running
	}
	if total == 0 {
		delete(s.uses, a)
	}
	return total
}

// Newest takes an adapter's newest version: replicas that hold an older one load
// it once the old one is quiet, if requests have named the adapter lately.
func (m *Machine) Newest(model core.BaseModel, a core.AdapterRef) {
	m.newest[a.ID] = newest{model: model, version: a.Version}
}

type newest struct {
	model   core.BaseModel
	version int
}

// Output is what the machine wants done.
type Output struct {
	Orders []Order
	Probes []Probe
}

// Probe asks a replica for its report.
type Probe struct {
	Replica core.UpstreamID
	Address string
}

// Tick returns the orders and probes that are due.
func (m *Machine) Tick(now core.Instant, act Actor) Output {
	var out Output
	m.allot(act)
	var fetches []candidate
	for _, s := range m.all() {
		fence, ok := act(s.id)
		if !ok {
			continue
		}
		if w := m.advance(now, s, fence, &out); w != nil {
			fetches = append(fetches, candidate{shelf: s, fence: fence, wish: w})
		}
	}
	m.fetch(now, fetches, &out)
	return out
}

// candidate is an adapter that a replica would have to load from the weight store.
type candidate struct {
	shelf *shelf
	fence core.Fence
	wish  *wish
}

// fetch orders, of what the replicas wait for, as much as may be on its way, the
// best wishes of all replicas first.
func (m *Machine) fetch(now core.Instant, all []candidate, out *Output) {
	slices.SortStableFunc(all, func(a, b candidate) int {
		if better(now, a.shelf, a.wish, b.shelf, b.wish) {
			return -1
		}
		return 1
	})
	free := m.fetches - m.fetching()
	for _, f := range all[:min(max(free, 0), len(all))] {
		if o, ok := m.load(now, f.shelf, f.wish); ok {
			f.shelf.fetched = now
			m.give(f.shelf, o, f.fence, out)
		}
	}
}

// leastFetches is how many adapters may be on their way however few replicas
// this host orders.
const leastFetches = 2

// allot sets how many adapters may be on their way from the weight store.
func (m *Machine) allot(act Actor) {
	ordered := 0
	for _, s := range m.all() {
		if _, ok := act(s.id); ok && m.services[s.service].slots > 0 {
			ordered++
		}
	}
	m.fetches = max(int(m.settings.Fetches*float64(ordered)+0.5), leastFetches)
}

// all returns the shelves by replica.
func (m *Machine) all() []*shelf {
	if m.sorted != nil {
		return m.sorted
	}
	m.sorted = make([]*shelf, 0, len(m.shelves))
	for _, s := range m.shelves {
		m.sorted = append(m.sorted, s)
	}
	slices.SortFunc(m.sorted, func(a, b *shelf) int { return cmp.Compare(a.id, b.id) })
	return m.sorted
}

// advance does what is due at a replica. It returns the wish that the replica
// would have to fetch an adapter for, nil where there is none.
func (m *Machine) advance(now core.Instant, s *shelf, fence core.Fence, out *Output) *wish {
	limit, ok := m.services[s.service]
	if !ok {
		return nil
	}
	s.expire(now, m.settings.WantFor)
	if !s.probing && (!s.synced && s.probe == 0 || s.probe != 0 && now >= s.probe) {
		s.probing = true
		s.probe = 0
		out.Probes = append(out.Probes, Probe{Replica: s.id, Address: s.address})
	}
	if s.order != nil || !s.synced || s.busy != 0 {
		return nil
	}
	if o, ok := m.loadModel(s, limit); ok {
		m.give(s, o, fence, out)
		return nil
	}
	if o, ok := s.check(now); ok {
		s.checks = true
		m.give(s, o, fence, out)
		return nil
	}
	if s.transit() >= m.settings.InTransit {
		return nil
	}
	if w := m.topWish(now, s, true); w != nil {
		if o, ok := m.load(now, s, w); ok {
			m.give(s, o, fence, out)
			return nil
		}
	}
	return m.topWish(now, s, false)
}

// give sends an order to a replica.
func (m *Machine) give(s *shelf, o Order, fence core.Fence, out *Output) {
	m.next++
	o.ID, o.Replica, o.Address = m.next, s.id, s.address
	o.Expected, o.Holder, o.Fence = s.sequence, m.settings.Self, fence
	s.order = &o
	m.byOrder[o.ID] = s
	out.Orders = append(out.Orders, o)
}

// load orders what a wish asks for, or makes room for it.
func (m *Machine) load(now core.Instant, s *shelf, w *wish) (Order, bool) {
	replaces := s.items[w.want.Adapter.ID] != nil
	if len(s.items) >= m.services[s.service].slots && !replaces {
		return m.makeRoom(now, s, w.want.Model)
	}
	return Order{Load: true, Model: w.want.Model, Adapter: w.want.Adapter}, true
}

func (s *shelf) expire(now core.Instant, wantFor time.Duration) {
	for a, w := range s.wishes {
		i := s.items[a]
		met := i != nil && i.state == ready && i.version >= w.want.Adapter.Version
		if met || now.Sub(w.at) > wantFor {
			delete(s.wishes, a)
		}
	}
	for _, i := range s.items {
		if i.state != ready && now.Sub(i.since) > loadPatience {
			s.synced = false
			i.since = now
		}
	}
	if s.busy != 0 && now.Sub(s.busy) > loadPatience {
		s.busy = 0
		s.synced = false
	}
}

// check asks again for what should have been carried out by now.
func (s *shelf) check(now core.Instant) (Order, bool) {
	var due core.AdapterID
	var first *item
	for a, i := range s.items {
		if i.state == ready || now < i.check {
			continue
		}
		if first == nil || i.check < first.check || i.check == first.check && a < due {
			due, first = a, i
		}
	}
	if first == nil {
		return Order{}, false
	}
	return Order{Load: first.state == loading, Model: s.model(), Adapter: core.AdapterRef{ID: due, Version: first.version}}, true
}

// model is the base model that the replica holds.
func (s *shelf) model() core.BaseModel {
	var first core.BaseModel
	for name := range s.models {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// loadModel loads the service's model into a replica that has none.
func (m *Machine) loadModel(s *shelf, limit limits) (Order, bool) {
	if len(s.models) > 0 || len(limit.models) == 0 {
		return Order{}, false
	}
	return Order{Load: true, Model: limit.models[0].Name}, true
}

// quietFor is how long nobody may have used an adapter before another version
// takes its place: a replica finishes all runs of the old one first, and until
// then takes no request that names the adapter, and no other order.
const quietFor = 400 * time.Millisecond

// topWish is the best wish for an adapter that is neither held nor on its way, nor
// held at an older version that is in use: of those that load from a copy, or of
// those that have to be fetched.
func (m *Machine) topWish(now core.Instant, s *shelf, copied bool) *wish {
	var best *wish
	take := func(a core.AdapterID, w *wish) {
		_, there := s.models[w.want.Model]
		if !there || s.copies[a] != copied {
			return
		}
		if i := s.items[a]; i != nil {
			newer := i.state == ready && i.version < w.want.Adapter.Version
			if !newer || s.running(now, a) > 0 || now.Sub(i.used) < quietFor {
				return
			}
		}
		if best == nil || better(now, s, w, s, best) {
			best = w
		}
	}
	for a, w := range s.wishes {
		take(a, w)
	}
	if best != nil {
		return best
	}
	for a, n := range m.newest {
		if s.items[a] != nil && s.heats[a].now(now) >= renewHeat {
			take(a, &wish{want: Want{Replica: s.id, Model: n.model, Adapter: core.AdapterRef{ID: a, Version: n.version}}})
		}
	}
	return best
}

// renewHeat is how much an adapter must be in use for its newest version to be
// loaded unasked.
const renewHeat = 0.5

// better reports whether a wish goes before another: those for which a request
// can still be on time first, then those that more requests wait for, then those
// of the replica that has fetched nothing for longest, then the older ones. While more is wanted than can be loaded, this serves as many as can
// be on time, instead of all of them late.
func better(now core.Instant, sa *shelf, a *wish, sb *shelf, b *wish) bool {
	if x, y := sa.onTime(now, a), sb.onTime(now, b); x != y {
		return x
	}
	if a.want.Weight != b.want.Weight {
		return a.want.Weight > b.want.Weight
	}
	if sa.fetched != sb.fetched {
		return sa.fetched < sb.fetched
	}
	if a.from != b.from {
		return a.from < b.from
	}
	return a.want.Adapter.ID < b.want.Adapter.ID
}

// onTime reports whether a wish that is met next is met in time.
func (s *shelf) onTime(now core.Instant, w *wish) bool {
	takes := fetchTime
	if s.copies[w.want.Adapter.ID] {
		takes = copyTime
	}
	return now.Add(takes) <= w.until
}

// makeRoom unloads the adapter that requests have named least, older requests
// counting less. Keeps: an adapter that a request is known to use is not
// unloaded.
func (m *Machine) makeRoom(now core.Instant, s *shelf, model core.BaseModel) (Order, bool) {
	var victim core.AdapterID
	var coldest *item
	least := 0.0
	for a, i := range s.items {
		if i.state == unloading {
			return Order{}, false // room is on its way
		}
		if i.state != ready || now.Sub(i.since) < keepAtLeast || s.running(now, a) > 0 {
			continue
		}
		h := s.heats[a].now(now)
		if coldest == nil || colder(h, i, a, least, coldest, victim) {
			victim, coldest, least = a, i, h
		}
	}
	if coldest == nil {
		return Order{}, false
	}
	return Order{Model: model, Adapter: core.AdapterRef{ID: victim, Version: coldest.version}}, true
}

// colder orders adapters by heat, then by their last use, then by name.
func colder(h float64, i *item, a core.AdapterID, than float64, other *item, b core.AdapterID) bool {
	return cmp.Or(cmp.Compare(h, than), cmp.Compare(i.used, other.used), cmp.Compare(a, b)) < 0
}

// transit is how many adapters are on their way to a replica.
func (s *shelf) transit() int {
	n := 0
	for _, i := range s.items {
		if i.state == loading {
			n++
		}
	}
	return n
}

// fetching is how many adapters are on their way from the weight store to the
// replicas of this host.
func (m *Machine) fetching() int {
	n := 0
	for _, s := range m.shelves {
		if !s.synced {
			continue
		}
		for _, i := range s.items {
			if i.state == loading && !i.copied {
				n++
			}
		}
	}
	return n
}

// Open returns an order that has no end yet.
func (m *Machine) Open(id uint64) (Order, bool) {
	s := m.byOrder[id]
	if s == nil || s.order == nil {
		return Order{}, false
	}
	return *s.order, true
}

// Done takes the end of an order.
func (m *Machine) Done(now core.Instant, d OrderDone) {
	s := m.byOrder[d.ID]
	if s == nil {
		return
	}
	delete(m.byOrder, d.ID)
	o := *s.order
	s.order = nil
	if !s.synced || s.sequence != o.Expected {
		s.resync(now)
		return
	}
	checks := s.checks
	s.checks = false
	switch d.Outcome {
	case Accepted:
		if checks {
			s.stillOnItsWay(now, o)
			return
		}
		s.accepted(now, o)
	case Holds:
		s.done(now, o, checks)
	case Conflict, Elsewhere, Invalid:
		s.resync(now)
	case Unknown:
		s.resync(now.Add(settle))
	}
}

// resync asks the replica for its state before it is ordered again.
func (s *shelf) resync(at core.Instant) {
	s.synced = false
	s.probe = at
}

// stillOnItsWay takes the answer that an order is being carried out yet.
func (s *shelf) stillOnItsWay(now core.Instant, o Order) {
	i := s.items[o.Adapter.ID]
	if i == nil {
		return
	}
	again := unloadAgain
	if o.Load {
		again = loadAgain
	}
	i.check = now.Add(again)
	if i.copied {
		i.copied = false // the copy is gone: it is being fetched
		i.check = i.since.Add(fetchTime)
	}
}

// accepted takes the answer that an order has been begun.
func (s *shelf) accepted(now core.Instant, o Order) {
	s.sequence++
	s.changed = true
	switch {
	case o.Adapter.ID == "":
		s.busy = now
		s.probe = now.Add(probeModel)
	case o.Load:
		i := &item{version: o.Adapter.Version, state: loading, since: now, used: now, copied: s.copies[o.Adapter.ID]}
		if old := s.items[o.Adapter.ID]; old != nil {
			i.used = old.used
			i.copied = false // another version of it
		}
		i.check = now.Add(fetchTime)
		if i.copied {
			i.check = now.Add(copyTime)
		}
		s.items[o.Adapter.ID] = i
	default:
		if i := s.items[o.Adapter.ID]; i != nil {
			i.state, i.since = unloading, now
			i.check = now.Add(unloadAgain)
		}
	}
}

// done takes the answer that the replica is as ordered.
func (s *shelf) done(now core.Instant, o Order, checks bool) {
	s.changed = true
	switch {
	case o.Adapter.ID == "":
		s.resync(now)
	case o.Load:
		i := &item{version: o.Adapter.Version, state: ready, since: now, used: now}
		if old := s.items[o.Adapter.ID]; old != nil {
			i.used = max(old.used, old.since)
		}
		s.items[o.Adapter.ID] = i
		s.copies[o.Adapter.ID] = true
	default:
		delete(s.items, o.Adapter.ID)
		if !checks {
			s.sequence++ // an unused adapter goes at once, and that counts as an order
		}
	}
}

// Reported takes a replica's report. One that tells of an earlier state than
// this host knows is passed over.
func (m *Machine) Reported(now core.Instant, r Report) {
	s := m.shelves[r.Replica]
	if s == nil {
		return
	}
	s.probing = false
	switch {
	case !r.OK:
		s.probe = now.Add(probeFailed)
		return
	case r.Started != s.started && r.Started != 0:
		s.probe = now.Add(probeFailed) // the list tells of the new start
		return
	case s.synced && r.Sequence < s.sequence:
		s.probe = now.Add(probeEvery)
		return
	case s.order != nil:
		s.probe = now.Add(probeEvery) // the order under way changes what the report says
		return
	}
	s.adopt(now, r.Sequence, r.Models, r.Pending)
	if r.Busy {
		s.busy = max(s.busy, now)
	} else if len(s.models) > 0 || s.busy != 0 && now.Sub(s.busy) > probeModel {
		s.busy = 0
	}
	if s.busy != 0 {
		s.probe = now.Add(probeModel)
	}
}

// Changed returns the stock of the replicas that act reports as this host's:
// of all, or of those whose stock has changed since the last call.
func (m *Machine) Changed(act Actor, all bool) []replicas.Stock {
	var changed []replicas.Stock
	for _, s := range m.all() {
		if _, ok := act(s.id); !ok || !s.synced || !s.changed && !all {
			continue
		}
		s.changed = false
		changed = append(changed, s.stock())
	}
	return changed
}

func (s *shelf) stock() replicas.Stock {
	e := replicas.Stock{Replica: s.id, Started: s.started, Orders: s.sequence}
	for name, version := range s.models {
		m := replicas.Model{Name: name, Version: version}
		if len(e.Models) == 0 { // adapters are of the one model that engines run here
			for a, i := range s.items {
				if i.state == ready {
					m.Adapters = append(m.Adapters, core.AdapterRef{ID: a, Version: i.version})
				}
			}
			slices.SortFunc(m.Adapters, func(a, b core.AdapterRef) int { return cmp.Compare(a.ID, b.ID) })
		}
		e.Models = append(e.Models, m)
	}
	return e
}

// Replicas returns the replicas that the machine knows, sorted.
func (m *Machine) Replicas() []core.UpstreamID {
	var ids []core.UpstreamID
	for _, s := range m.all() {
		ids = append(ids, s.id)
	}
	return ids
}
