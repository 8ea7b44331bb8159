package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/cost"
	"gentiancroft/internal/core/dispatch/retry"
	"gentiancroft/internal/core/errorshare"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/shard"
	"gentiancroft/internal/core/table"
	"gentiancroft/internal/core/window"
)

// Machine holds the state of one host and decides on its events. It is not safe for
// concurrent use.
type Machine struct {
	settings Settings
	rng      *core.Rand
	now      core.Instant
	effects  []Effect

	table           *table.Table // the configuration in force; nil: none
	configuration   configurationState
	replicas        *replicas.Set
	replicasRead    bool // the list of replicas has been read
	versionsRead    bool // the adapters' newest versions have been read
	inherited       bool // what earlier processes have learned has been read from the leases
	fleet           *fleet.Fleet
	quota           *quota.Machine
	shards          *shard.Machine
	residency       *residency.Machine
	evacuations     evacuations
	versions        map[core.AdapterID]versionHistory
	origins         origins
	owed            owedEvents
	retries         map[table.ServiceID]*retry.Budget
	crashes         crashes
	parts           promptParts
	limits          limits
	cold            coldState
	paths           pathState
	windows         *window.Windows
	failures        map[core.UpstreamID]*core.Decaying
	errors          *errorshare.Shares
	avoided         map[core.UpstreamID]bool        // as last logged
	lastExtraDemand map[core.AdapterID]core.Instant // when another copy or a newer version was last demanded

	requests      *requests
	placementDue  bool // a replica may have become usable for waiting requests
	writes        writes
	loads         map[core.HostID]hostLoad
	models        map[table.ServiceID]*replicamodel.Service
	costs         *cost.Estimator
	meanPromises  map[table.ServiceID]float64 // memory that a request of this host was promised, in tokens
	gossip        gossip
	changes       changes
	watch         watchState
	list          listState
	rereads       uint64                      // counts the requested rereads of the documents
	relists       uint64                      // counts the requested rereads of all lists
	versionSum    uint64                      // of the adapters' newest versions
	workspaces    map[uint32]core.WorkspaceID // by core.ShortHash
	waiters       residencyWaiters
	unsent        map[core.UpstreamID]replicas.Residency // changed, and not sent to all active hosts yet
	startedUses   map[adapterUse]int                     // requests sent since the last heartbeat
	reportedUses  map[adapterUse]bool                    // those last reported to run requests of this host
	due           due
	arrivals      core.Decaying // requests, with arrivalHalfLife
	requiredCores float64       // capacity that the active hosts must have, in cores
	pausesUntil   core.Instant  // when the last pause of a replica ends; 0: none is paused
	rejectsUntil  core.Instant  // until when an engine that has rejected a request gets no other one; 0: none has
	leavingSince  core.Instant  // 0: not leaving
	leaveDone     bool
}

// due holds the next times of periodic work.
type due struct {
	heartbeat core.Instant
	relay     core.Instant // of heartbeats to standby hosts
	selection core.Instant // of the active hosts
	residency core.Instant
	unsent    core.Instant
	register  core.Instant
}

// New returns the machine of a host that has no configuration.
func New(s Settings) *Machine {
	s.setDefaults()
	m := &Machine{
		settings:        s,
		rng:             core.NewRand(s.Seed),
		replicas:        replicas.NewSet(),
		fleet:           fleet.New(s.Self),
		quota:           quota.New(!s.FirstStart),
		shards:          shard.New(s.Shard),
		residency:       residency.New(s.Residency),
		evacuations:     newEvacuations(),
		versions:        map[core.AdapterID]versionHistory{},
		retries:         map[table.ServiceID]*retry.Budget{},
		crashes:         newCrashes(s.Self.Host),
		parts:           newPromptParts(),
		limits:          newLimits(),
		cold:            newColdState(),
		paths:           newPathState(core.NewRand(s.Seed)),
		windows:         window.New(core.NewRand(s.Seed)),
		origins:         newOrigins(s.FirstStart),
		owed:            newOwedEvents(),
		failures:        map[core.UpstreamID]*core.Decaying{},
		errors:          errorshare.New(),
		avoided:         map[core.UpstreamID]bool{},
		lastExtraDemand: map[core.AdapterID]core.Instant{},
		requests:        newRequests(),
		writes:          writes{pending: map[uint64]func(core.ObjectResult){}},
		loads:           map[core.HostID]hostLoad{},
		models:          map[table.ServiceID]*replicamodel.Service{},
		costs:           cost.NewEstimator(),
		meanPromises:    map[table.ServiceID]float64{},
		gossip:          gossip{latest: map[core.HostID]Heartbeat{}},
		waiters:         residencyWaiters{},
		watch:           watchState{differSince: map[core.HostID]core.Instant{}},

		startedUses:  map[adapterUse]int{},
		reportedUses: map[adapterUse]bool{},
		unsent:       map[core.UpstreamID]replicas.Residency{},
	}
	if s.FirstStart {
		m.due.selection, m.due.heartbeat = core.Instant(discoveryTime), core.Instant(discoveryTime)
	}
	m.shards.SetLevels(func() map[core.WorkspaceID]float64 { return m.quota.Levels(m.now) })
	m.shards.SetSoftware(m.software)
	m.shards.SetPartStates(m.partStates)
	m.shards.SetSuspects(m.suspectAges)
	return m
}

// Step handles one event and returns its effects. Time never goes back: an earlier
// now counts as that of the last step.
func (m *Machine) Step(now core.Instant, event Event) []Effect {
	m.effects = nil
	m.advanceTo(now)
	switch e := event.(type) {
	case RequestArrived:
		m.handleArrival(e)
	case CallerGone:
		m.handleCallerGone(e)
	case AnswerStarted:
		m.handleAnswerStart(e)
	case AttemptEnded:
		m.handleAttemptEnd(e)
	case ReplicaNoticed:
		m.handleAttemptNotice(e)
	case ConfigurationRead:
		m.handleConfiguration(e)
	case ReplicasListed:
		m.applyReplicaList(e.Entries)
		m.listCompared(e.Sent)
	case ReplicasCompared:
		m.listCompared(e.Sent)
	case ReplicaListed:
		m.applyReplicaEntry(e.Entry)
	case ReplicaUnlisted:
		m.replicas.Remove(m.now, e.ID)
		m.dropIfGone(e.ID)
	case VersionAnnounced:
		if m.applyVersion(e, versionSource(e)) && !e.Listed {
			m.changes.versions = append(m.changes.versions, e)
		}
	case VersionsRead:
		m.versionsRead = true
	case EvacuationsListed:
		m.handleEvacuationsListed(e)
	case EvacuationsChanged:
		m.handleEvacuationsChanged(e)
	case HostListed:
		if m.fleet.UpdateRegistration(m.now, e.Host, m.watch.era) {
			m.changes.hosts = append(m.changes.hosts, e.Host)
			m.origins.resendOwn = true
			m.welcome(e.Host)
		}
	case HostUnlisted:
		m.fleet.RemoveRegistration(e.Name)
	case LeasesListed:
		if m.shards.ApplyList(m.now, e.Era, e.Objects) {
			m.restoreQuota()
			m.inheritSoftware()
			m.inheritStates()
		}
	case StoreCallFailed:
		m.handleStoreLost(e)
	case StoreAnswered:
		m.handleStoreReached(e)
	case WriteDone:
		m.writes.complete(e.Result)
	case OrderDone:
		m.handleOrderDone(e)
	case ReportReceived:
		m.handleReport(e)
	case ReplicaChecked:
		m.handleReplicaChecked(e)
	case PathProbed:
		m.handlePathProbed(e)
	case CarryDialled:
		m.handleCarryDialled(e)
	case CarryEnded:
		m.paths.carried--
	case MessageReceived:
		m.handlePeerMessage(e)
	case Tick:
		m.tick()
	case SettingsChanged:
		m.applySettings(e)
	case Leave:
		m.startLeaving()
	case Query:
		e.Read(m)
	}
	m.enforceBlocked()
	m.placeWaiting()
	m.placePermitWaiters()
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) tick() {
	for _, id := range m.replicas.Tick(m.now) {
		m.dropIfGone(id)
	}
	m.updateQuotaFraction()
	m.quota.SetHosts(m.now, m.servingHosts())
	if m.watch.rereadPending {
		m.requestReread("store_back", "")
	}
	m.applyRewrite()
	m.endPauses()
	m.endRejections()
	m.tickEvacuations()
	m.register()
	m.probePaths()
	m.yieldShards()
	m.renewLeases()
	m.sendOrders()
	m.placeWaiting()
	m.sendHeartbeat()
	m.checkRequests()
	m.checkEnds()
	m.expireParts()
	m.endAvoided()
	m.sendPartReports()
	m.expireLimits()
	m.updateCold()
	m.sendLimitReports()
	m.sendColdReports()
	m.finishLeaving()
}

// firstHeartbeatsTime is how long after its start a host may have no heartbeat of a host that it
// reaches.
const firstHeartbeatsTime = time.Second

// updateQuotaFraction tells the quota machine which fraction of the fleet this host reaches. A host
// that has just started doesn't know it and keeps 1: after a restart of all hosts, each would
// otherwise count as cut off and refuse requests within their workspace's rate. Buckets are nearly
// empty then, so that the parts of a partitioned fleet that restarts exceed a rate by what it gives in
// firstHeartbeatsTime at most.
func (m *Machine) updateQuotaFraction() {
	if m.now < core.Instant(firstHeartbeatsTime) {
		return
	}
	m.quota.SetReachableFraction(m.now, m.fleet.ReachableFraction(m.now))
}

// applySettings applies changed settings.
func (m *Machine) applySettings(e SettingsChanged) {
	s := &m.settings
	s.RetryShare, s.RetrySlack, s.RetryWindow = e.RetryShare, e.RetrySlack, e.RetryWindow
	s.VersionGrace, s.VersionExpiry = e.VersionGrace, e.VersionExpiry
	s.setDefaults()
	clear(m.retries)
	m.emit(LogDecision{Name: "settings", Reason: "in_force"})
}

// Ready reports whether the host can serve callers.
func (m *Machine) Ready() bool { return m.initialized() && m.leavingSince == 0 }

// Table returns the configuration in force, nil before the first. It doesn't change.
func (m *Machine) Table() *table.Table { return m.table }

// inheritTimeout is how long after its start a host waits for the leases, which tell what crashes
// replicas: where the store can't be read, other hosts tell it.
const inheritTimeout = 2 * time.Second

// initialized reports whether the configuration, the replicas, the adapters' versions, the
// evacuations and what is kept with the leases have been read. Invariant: a host that has just
// started runs nothing on a version that was replaced before.
func (m *Machine) initialized() bool {
	inherited := m.inherited || m.now >= core.Instant(inheritTimeout)
	return m.table != nil && m.replicasRead && m.versionsRead && m.evacuationsInitialized() && inherited
}

// Addresses returns the addresses that are advertised to callers.
func (m *Machine) Addresses() []string { return m.fleet.Addresses(m.now, m.Ready()) }

// Trusted reports whether key is the fingerprint of the certificate that another host,
// h, has registered.
func (m *Machine) Trusted(h core.HostID, key string) bool { return m.fleet.Trusted(h, key) }

// orderFence returns the fencing number under which this host may order a replica
// now, and false where it may not.
func (m *Machine) orderFence(id core.UpstreamID) (core.Fence, bool) {
	return m.shards.OrderFence(m.now, m.shards.Of(id))
}

// orderFenceUnlessPaused is orderFence for a replica that accepts calls of this host now and
// isn't evacuated.
func (m *Machine) orderFenceUnlessPaused(id core.UpstreamID) (core.Fence, bool) {
	if x := m.replicas.Get(id); x != nil && (x.Pause(m.now) > 0 || m.evacuated(x)) {
		return 0, false
	}
	return m.orderFence(id)
}

// handleOrderDone applies the result of an order.
func (m *Machine) handleOrderDone(e OrderDone) {
	if o, ok := m.residency.OpenOrder(e.ID); ok {
		what := "unload "
		if o.Load {
			what = "load "
		}
		m.emit(LogDecision{Name: "order", Reason: e.Outcome.String(), Upstream: o.Replica, Detail: what + o.Adapter.String() + " after " + utoa(o.ExpectedSequence)})
		m.applyCurrentNotice(o.Replica, e.Notice) // an order to an earlier incarnation is no longer open
		if e.Err == nil {
			m.pathHeard(o.Replica, false)
		}
	}
	m.residency.ApplyOrderResult(m.now, e.OrderDone)
	m.sendOrders()
}

// handleReport applies a replica's report.
func (m *Machine) handleReport(e ReportReceived) {
	if e.Started == 0 {
		m.applyCurrentNotice(e.Replica, e.Notice) // an answer without a body
	} else {
		m.applyNotice(e.Replica, e.Started, e.Notice)
	}
	if e.OK {
		m.pathHeard(e.Replica, false)
	}
	m.residency.ApplyReport(m.now, e.Report)
	m.sendOrders()
}

// sendOrders emits the orders and probes that are due, and sends the residency that
// has changed.
func (m *Machine) sendOrders() {
	if !m.shards.OwnsAny(m.now) && len(m.unsent) == 0 {
		return
	}
	out := m.residency.Tick(m.now, m.orderFenceUnlessPaused)
	for _, o := range out.Orders {
		m.emit(SendOrder{Order: o, TimeLeft: m.shards.OrderTimeLeft(m.now, m.shards.Of(o.Replica))})
	}
	for _, p := range out.Probes {
		m.emit(RequestReport{p})
	}
	m.sendResidency()
}
