package direct

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/retry"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/shard"
	"gentiancroft/internal/core/table"
)

// Machine is one host's decisions.
type Machine struct {
	settings Settings
	rng      *core.Rand
	now      core.Instant
	out      []Effect

	table        *table.Table
	replicas     *replicas.Set
	listed       bool // the replicas have been listed at least once
	versionsRead bool // so have the adapters' newest versions
	fleet        *fleet.Fleet
	quota        *quota.Machine
	shards       *shard.Machine
	residency    *residency.Machine
	versions     map[core.AdapterID]named
	retries      map[table.ServiceID]*retry.Budget
	crashes      map[uint64]*crash
	failures     map[core.UpstreamID]*core.Decaying
	copies       map[core.AdapterID]core.Instant // when a further copy was last asked for

	requests     *requests
	writes       writes
	loads        map[core.HostID][]Load
	gossip       gossip
	changes      changes
	watch        watchState
	rereads      uint64                      // times that documents are to be read again
	relists      uint64                      // times that everything is
	versionSum   uint64                      // of the adapters' newest versions
	workspaces   map[uint32]core.WorkspaceID // by core.Short
	awaiting     awaiting
	unsent       map[core.UpstreamID]replicas.Residency // changed, and not told to all hosts yet
	begunUses    map[use]int                            // requests sent since the last heartbeat
	due          due
	arrivals     core.Decaying // requests, over arrivalsHalf
	configuredAt core.Instant  // since when the configuration is in force
	need         float64       // capacity that the active hosts have to have, in cores
	leaving      core.Instant  // 0: not leaving
	left         bool
}

// due is when periodic work is next done.
type due struct {
	heartbeat core.Instant
	relay     core.Instant // to hosts that stand by
	selection core.Instant // of the active hosts
	residency core.Instant
	unsent    core.Instant
	register  core.Instant
}

// New returns the machine of a host that has no configuration.
func New(s Settings) *Machine {
	s.fill()
	m := &Machine{
		settings:  s,
		rng:       core.NewRand(s.Seed),
		replicas:  replicas.NewSet(),
		fleet:     fleet.New(s.Self),
		quota:     quota.New(!s.FirstStart),
		shards:    shard.New(s.Shard),
		residency: residency.New(s.Residency),
		versions:  map[core.AdapterID]named{},
		retries:   map[table.ServiceID]*retry.Budget{},
		crashes:   map[uint64]*crash{},
		failures:  map[core.UpstreamID]*core.Decaying{},
		copies:    map[core.AdapterID]core.Instant{},
		requests:  newRequests(),
		writes:    writes{open: map[uint64]func(core.ObjectResult){}},
		loads:     map[core.HostID][]Load{},
		gossip:    gossip{known: map[core.HostID]Heartbeat{}},
		awaiting:  awaiting{},
		watch:     watchState{differs: map[core.HostID]core.Instant{}},

		begunUses: map[use]int{},
		unsent:    map[core.UpstreamID]replicas.Residency{},
	}
	if s.FirstStart {
		m.due.selection, m.due.heartbeat = core.Instant(meetTime), core.Instant(meetTime)
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
		m.configured(e)
	case ReplicasListed:
		m.replicasListed(e.Entries)
	case ReplicaListed:
		m.replicaListed(e.Entry)
	case ReplicaUnlisted:
		m.replicas.Remove(m.now, e.ID)
		if m.dropIfGone(e.ID) {
			m.changes.gone = append(m.changes.gone, e.ID)
		}
	case VersionNamed:
		if m.versionNamed(e) && !e.Listed {
			m.changes.versions = append(m.changes.versions, e)
		}
	case VersionsRead:
		m.versionsRead = true
	case HostListed:
		if m.fleet.Listed(m.now, e.Host) {
			m.changes.hosts = append(m.changes.hosts, e.Host)
		}
	case HostUnlisted:
		m.fleet.Unlisted(e.Name)
	case LeasesListed:
		m.shards.Read(m.now, e.Objects)
		m.restore()
	case StoreLost:
		m.watch.lost = true
		m.replicas.StoreLost(m.now)
	case StoreReached:
		m.storeReached()
	case ObjectDone:
		m.writes.done(e.Result)
	case OrderDone:
		m.orderDone(e)
	case Reported:
		m.residency.Reported(m.now, e.Report)
		m.order()
	case FromPeer:
		m.fromPeer(e)
	case Tick:
		m.tick()
	case Tuned:
		m.tune(e)
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
		m.changes.gone = append(m.changes.gone, gone...)
	}
	m.quota.Hears(m.now, m.fleet.Part(m.now))
	if m.watch.again {
		m.reread("store_back", "")
	}
	m.register()
	m.leases()
	m.order()
	m.heartbeat()
	m.expire()
	m.leaveOn()
}

// tune takes changed settings.
func (m *Machine) tune(e Tuned) {
	s := &m.settings
	s.RetryShare, s.RetrySlack, s.RetryWindow, s.VersionGrace = e.RetryShare, e.RetrySlack, e.RetryWindow, e.VersionGrace
	s.fill()
	clear(m.retries)
	m.emit(Note{Name: "settings", Reason: "in_force"})
}

// Ready reports whether the host can serve callers.
func (m *Machine) Ready() bool { return m.informed() && m.leaving == 0 }

// informed reports whether the host has read all that it decides by. Keeps: a
// host that has just started runs nothing on a version that was replaced before.
func (m *Machine) informed() bool { return m.table != nil && m.listed && m.versionsRead }

// Addresses are those that callers are told now.
func (m *Machine) Addresses() []string { return m.fleet.Addresses(m.now, m.Ready()) }

// Trusted reports whether a certificate is that of a registered host.
func (m *Machine) Trusted(h core.HostID, key string) bool { return m.fleet.Trusted(h, key) }

// configured takes a configuration, and tells it where others may rely on this host.
// What a host finds at its start, the others have read.
func (m *Machine) configured(e Configured) {
	first := m.table == nil
	if m.configure(e.Table) && !first && e.Document != nil {
		m.tellConfiguration(e)
	}
}

// configure puts a newer configuration in force. Keeps: a configuration in
// force never reverts.
func (m *Machine) configure(t *table.Table) bool {
	if m.table != nil && t.Version <= m.table.Version {
		return false
	}
	m.table, m.configuredAt = t, m.now
	m.quota.Configure(m.now, t.Workspaces)
	m.restore()
	m.residency.Configure(t.Services)
	m.workspaces = make(map[uint32]core.WorkspaceID, len(t.Workspaces))
	for id := range t.Workspaces {
		m.workspaces[core.Short(string(id))] = id
	}
	m.emit(Note{Name: "configuration", Reason: "in_force", Detail: "version " + utoa(t.Version)})
	m.withdrawKeys()
	return true
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

// acting tells whether this host may order a replica now.
func (m *Machine) acting(id core.UpstreamID) (core.Fence, bool) {
	return m.shards.Acting(m.now, m.shards.Of(id))
}

// orderDone takes the end of an order.
func (m *Machine) orderDone(e OrderDone) {
	if o, ok := m.residency.Open(e.ID); ok {
		what := "unload "
		if o.Load {
			what = "load "
		}
		m.emit(Note{Name: "order", Reason: e.Outcome.String(), Upstream: o.Replica, Detail: what + o.Adapter.String() + " after " + utoa(o.Expected)})
	}
	m.residency.Done(m.now, e.OrderDone)
	m.order()
}

// order sends the orders and probes that are due, and tells what has changed.
func (m *Machine) order() {
	if !m.shards.ActsAny(m.now) && len(m.unsent) == 0 {
		return
	}
	out := m.residency.Tick(m.now, m.acting)
	for _, o := range out.Orders {
		m.emit(Order{o})
	}
	for _, p := range out.Probes {
		m.emit(Probe{p})
	}
	m.tellResidency()
}
