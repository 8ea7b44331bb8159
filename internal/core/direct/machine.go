package direct

import (
	"encoding/json"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/health"
	"gentiancroft/internal/core/dispatch/retry"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
	"gentiancroft/internal/core/stock"
	"gentiancroft/internal/core/table"
)

// HostsPrefix begins the keys of the hosts' registrations.
const HostsPrefix = "gentiancroft-hosts/"

// Settings of a host.
type Settings struct {
	Self         fleet.Registration
	Seed         uint64
	FirstStart   bool // the whole deployment starts, not this host alone
	Shard        shard.Settings
	Stock        stock.Settings
	RetryShare   float64       // retries a first attempt, over the fleet
	RetrySlack   float64       // further retries in RetryWindow, over the fleet
	RetryWindow  time.Duration // of RetrySlack
	VersionGrace time.Duration // how long a version may still be used after a newer one is named
	Beat         time.Duration // between two messages to the other hosts
	LeaveStreams time.Duration // from Leave to the refusal of new streams
	LeaveAfter   time.Duration // from Leave to the refusal of new requests
	LeaveBy      time.Duration // from Leave to the end, with or without requests in flight
}

// Defaults of Settings.
const (
	DefaultRetryShare   = 0.2
	DefaultRetrySlack   = 50
	DefaultRetryWindow  = 10 * time.Second
	DefaultVersionGrace = 3 * time.Second
	DefaultBeat         = 100 * time.Millisecond
	DefaultLeaveStreams = 2800 * time.Millisecond
	DefaultLeaveAfter   = 5500 * time.Millisecond
	DefaultLeaveBy      = 7500 * time.Millisecond
)

// meetTime is how long the hosts of a new deployment take to find each other.
const meetTime = 600 * time.Millisecond

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (s *Settings) fill() {
	orDefault(&s.RetryShare, DefaultRetryShare)
	orDefault(&s.RetrySlack, DefaultRetrySlack)
	orDefault(&s.RetryWindow, DefaultRetryWindow)
	orDefault(&s.VersionGrace, DefaultVersionGrace)
	orDefault(&s.Beat, DefaultBeat)
	orDefault(&s.LeaveStreams, DefaultLeaveStreams)
	orDefault(&s.LeaveAfter, DefaultLeaveAfter)
	orDefault(&s.LeaveBy, DefaultLeaveBy)
	s.Shard.Self = core.HostID(s.Self.Name)
	s.Stock.Self = core.HostID(s.Self.Name)
	orDefault(&s.Shard.Meet, meetTime)
}

// Machine is one host's decisions.
type Machine struct {
	settings Settings
	rng      *core.Rand
	now      core.Instant
	out      []Effect

	table    *table.Table
	replicas *replicas.Set
	listed   bool // the replicas have been listed at least once
	fleet    *fleet.Fleet
	quota    *quota.Machine
	shards   *shard.Machine
	stock    *stock.Machine
	versions map[core.AdapterID]named
	retries  map[table.ServiceID]*retry.Budget
	crashes  map[uint64]*crash
	failures map[core.UpstreamID]*decayed
	copies   map[core.AdapterID]core.Instant // when a further copy was last asked for

	requests   *requests
	writes     writes
	loads      map[core.HostID][]Load
	gossip     gossip
	cover      cover
	rereads    uint64                      // times that documents are to be read again
	versionSum uint64                      // of the adapters' newest versions
	workspaces map[uint32]core.WorkspaceID // by core.Short
	wanters    wanters
	untold     map[core.UpstreamID]replicas.Stock // changed, and not told to all hosts yet
	begunUses  map[use]int                        // requests sent since the last beat
	due        due
	leaving    core.Instant // 0: not leaving
	left       bool
}

// named is an adapter's newest version and when it was named, at the latest.
type named struct {
	version int
	at      core.Instant
}

// due is when periodic work is next done.
type due struct {
	beat     core.Instant
	stock    core.Instant
	untold   core.Instant
	register core.Instant
}

// New returns the machine of a host that has no configuration.
func New(s Settings) *Machine {
	s.fill()
	m := &Machine{
		settings: s,
		rng:      core.NewRand(s.Seed),
		replicas: replicas.NewSet(health.Settings{}),
		fleet:    fleet.New(s.Self),
		quota:    quota.New(!s.FirstStart),
		shards:   shard.New(s.Shard),
		stock:    stock.New(s.Stock),
		versions: map[core.AdapterID]named{},
		retries:  map[table.ServiceID]*retry.Budget{},
		crashes:  map[uint64]*crash{},
		failures: map[core.UpstreamID]*decayed{},
		copies:   map[core.AdapterID]core.Instant{},
		requests: newRequests(),
		writes:   writes{open: map[uint64]func(core.ObjectResult){}},
		loads:    map[core.HostID][]Load{},
		gossip:   gossip{known: map[core.HostID]Beat{}},
		wanters:  wanters{},

		begunUses: map[use]int{},
		untold:    map[core.UpstreamID]replicas.Stock{},
	}
	m.shards.Carry(func() map[core.WorkspaceID]float64 { return m.quota.Levels(m.now) })
	return m
}

// Step handles one event and returns what to do.
func (m *Machine) Step(now core.Instant, event Event) []Effect {
	m.now = max(m.now, now)
	m.out = nil
	switch e := event.(type) {
	case Arrive:
		m.arrive(e)
	case Gone:
		m.gone(e)
	case Begun:
		m.begun(e)
	case Ended:
		m.ended(e)
	case Configured:
		m.configure(e.Table)
	case ReplicasListed:
		m.replicasListed(e.Entries)
	case ReplicaListed:
		m.replicaListed(e.Entry)
	case ReplicaUnlisted:
		m.replicas.Remove(m.now, e.ID)
		if m.dropIfGone(e.ID) {
			m.tellList(nil, []core.UpstreamID{e.ID})
		}
	case VersionNamed:
		m.versionNamed(e)
	case HostsListed:
		m.hostsListed(e.Hosts)
	case HostListed:
		m.hostListed(e.Host)
	case HostUnlisted:
		m.fleet.Unlisted(e.Name)
	case LeasesListed:
		m.shards.Read(m.now, e.Objects)
		m.restore()
	case StoreLost:
		m.cover.lost = true
		m.replicas.StoreLost(m.now)
	case StoreReached:
		m.storeReached()
	case ObjectDone:
		m.writes.done(e.Result)
	case OrderDone:
		m.orderDone(e)
	case Reported:
		m.stock.Reported(m.now, e.Report)
		m.order()
	case FromPeer:
		m.fromPeer(e)
	case Tick:
		m.tick()
	case Leave:
		m.leave()
	case Query:
		e.Read(m)
	}
	return m.out
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) tick() {
	if gone := m.replicas.Tick(m.now); len(gone) > 0 {
		for _, id := range gone {
			m.dropIfGone(id)
		}
		m.tellList(nil, gone)
	}
	m.quota.Hears(m.now, m.fleet.Part(m.now))
	if m.cover.again {
		m.reread("store_back", "")
	}
	m.register()
	m.leases()
	m.order()
	m.beat()
	m.expire()
	m.leaveOn()
}

// Ready reports whether the host can serve callers.
func (m *Machine) Ready() bool { return m.table != nil && m.listed && m.leaving == 0 }

// Addresses are those that callers are told now.
func (m *Machine) Addresses() []string { return m.fleet.Addresses(m.now, m.Ready()) }

// Trusted reports whether a certificate is that of a registered host.
func (m *Machine) Trusted(h core.HostID, key string) bool { return m.fleet.Trusted(h, key) }

// configure puts a newer configuration in force. Keeps: a configuration in
// force never reverts.
func (m *Machine) configure(t *table.Table) {
	if m.table != nil && t.Version <= m.table.Version {
		return
	}
	m.table = t
	m.quota.Configure(m.now, t.Workspaces)
	m.restore()
	m.stock.Configure(t.Services)
	m.workspaces = make(map[uint32]core.WorkspaceID, len(t.Workspaces))
	for id := range t.Workspaces {
		m.workspaces[core.Short(string(id))] = id
	}
	m.emit(Note{Name: "configuration", Reason: "in_force", Detail: "version " + utoa(t.Version)})
	m.withdrawKeys()
}

// withdrawKeys refuses the waiting requests whose keys are no longer valid.
// Those that run are left to end.
func (m *Machine) withdrawKeys() {
	for _, r := range m.requests.all() {
		if r.stage != stageWaiting || r.route.Open || !m.table.Keyed {
			continue
		}
		if m.table.Keys[r.arrive.Key] == nil {
			m.refuse(r, core.Refuse(core.CodeKeyWithdrawn, 0, "the key has been withdrawn"))
		}
	}
}

func (m *Machine) replicasListed(entries []replicas.Entry) {
	m.listed = true
	m.cover.differs = 0
	var changed []replicas.Entry
	for _, e := range entries {
		if m.takeEntry(e) {
			changed = append(changed, e)
		}
	}
	m.replicas.List(m.now, entries)
	var gone []core.UpstreamID
	for _, id := range m.stock.Replicas() {
		if m.dropIfGone(id) {
			gone = append(gone, id)
		}
	}
	m.tellList(changed, gone)
	m.placeWaiting()
}

func (m *Machine) replicaListed(e replicas.Entry) {
	if m.takeEntry(e) {
		m.tellList([]replicas.Entry{e}, nil)
	}
	m.placeWaiting()
}

// takeEntry takes an entry of the list. It reports whether the entry tells
// something new of where and whether the replica may be used.
func (m *Machine) takeEntry(e replicas.Entry) (changed bool) {
	before := m.replicas.Get(e.ID)
	moved := before != nil && before.Address != e.Address
	wasLeaving := before != nil && before.Leaving
	fresh := m.replicas.Put(m.now, e)
	m.stock.Put(e)
	if fresh {
		m.emit(Note{Name: "replica", Reason: "started", Upstream: e.ID, Detail: string(e.Service)})
	}
	leaves := e.Leaving && (fresh || !wasLeaving)
	if leaves {
		m.emit(Note{Name: "replica", Reason: "leaving", Upstream: e.ID, Detail: string(e.Service)})
	}
	return fresh || leaves || moved
}

// dropIfGone forgets what belongs to a replica that is not there any more.
func (m *Machine) dropIfGone(id core.UpstreamID) bool {
	if m.replicas.Get(id) != nil {
		return false
	}
	m.stock.Remove(id)
	delete(m.failures, id)
	delete(m.wanters, id)
	delete(m.untold, id)
	m.emit(Note{Name: "replica", Reason: "gone", Upstream: id})
	return true
}

func (m *Machine) versionNamed(e VersionNamed) {
	if e.Adapter.Version <= m.versions[e.Adapter.ID].version {
		return
	}
	m.versionSum += uint64(e.Adapter.Version - m.versions[e.Adapter.ID].version)
	at := m.now
	if e.Listed {
		at = at.Add(-m.settings.VersionGrace)
	}
	m.versions[e.Adapter.ID] = named{version: e.Adapter.Version, at: at}
	m.stock.Newest(e.Model, e.Adapter)
}

func (m *Machine) hostsListed(hosts []fleet.Registration) {
	for _, h := range hosts {
		m.hostListed(h)
	}
}

func (m *Machine) hostListed(h fleet.Registration) { m.fleet.Listed(m.now, h) }

// writes are the calls to the store that have no answer yet.
type writes struct {
	next uint64
	open map[uint64]func(core.ObjectResult)
}

func (w *writes) done(r core.ObjectResult) {
	if f := w.open[r.Tag]; f != nil {
		delete(w.open, r.Tag)
		f(r)
	}
}

func (m *Machine) write(c core.ObjectCall, done func(core.ObjectResult)) {
	m.writes.next++
	c.Tag = m.writes.next
	m.writes.open[c.Tag] = done
	m.emit(Object{Call: c})
}

// registerAgain is how long a failed registration waits.
const registerAgain = 700 * time.Millisecond

// register writes this host into the store, once, and again when it leaves.
func (m *Machine) register() {
	if m.due.register < 0 || m.now < m.due.register {
		return
	}
	r := m.settings.Self
	r.Leaving = m.leaving != 0
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings
	}
	m.due.register = m.now.Add(registerAgain)
	m.put(HostsPrefix+r.Name, value, 0)
}

// put writes an object that is this host's alone, whatever stands there.
func (m *Machine) put(key string, value []byte, version uint64) {
	c := core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: version}
	if version == 0 {
		c.Op = core.ObjectCreate
	}
	m.write(c, func(r core.ObjectResult) {
		switch r.Status {
		case core.ObjectOK:
			m.due.register = -1
		case core.ObjectConflict:
			if r.Object.Version != 0 {
				m.put(key, value, r.Object.Version)
			}
		}
	})
}

// restore takes from the leases how full the workspaces' buckets were before
// this host started.
func (m *Machine) restore() {
	if m.table == nil {
		return
	}
	if levels := m.shards.Levels(); levels != nil {
		m.quota.Restore(levels)
	}
}

// leases renews and takes the shards' leases.
func (m *Machine) leases() {
	for _, c := range m.shards.Tick(m.now, func() []core.HostID { return m.fleet.Members(m.now) }) {
		m.write(c.Object, func(r core.ObjectResult) {
			had := m.shards.Holder(c.Shard)
			m.shards.Written(m.now, c, r)
			if now := m.shards.Holder(c.Shard); now != had {
				m.emit(Note{Name: "shard", Reason: "holder", Detail: utoa(uint64(c.Shard)) + " " + string(now)})
			}
		})
	}
}

// acting tells whether this host may order a replica now.
func (m *Machine) acting(id core.UpstreamID) (core.Fence, bool) {
	return m.shards.Acting(m.now, m.shards.Of(id))
}

// orderDone takes the end of an order.
func (m *Machine) orderDone(e OrderDone) {
	if o, ok := m.stock.Open(e.ID); ok {
		what := "unload "
		if o.Load {
			what = "load "
		}
		m.emit(Note{Name: "order", Reason: e.Outcome.String(), Upstream: o.Replica, Detail: what + o.Adapter.String() + " after " + utoa(o.Expected)})
	}
	m.stock.Done(m.now, e.OrderDone)
	m.order()
}

// order sends the orders and probes that are due, and tells what has changed.
func (m *Machine) order() {
	out := m.stock.Tick(m.now, m.acting)
	for _, o := range out.Orders {
		m.emit(Order{o})
	}
	for _, p := range out.Probes {
		m.emit(Probe{p})
	}
	m.tellStocks()
}
