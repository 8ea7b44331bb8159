package residency

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Intervals, timeouts and expected durations.
const (
	probeStaleInterval  = 100 * time.Millisecond // after an outdated report
	probeModelInterval  = 250 * time.Millisecond // while a model is being loaded
	probeFailedInterval = 500 * time.Millisecond // after a missing report
	unknownOrderDelay   = 150 * time.Millisecond // after an order with an unknown result
	unloadCheckInterval = 100 * time.Millisecond // between checks whether an adapter is unloaded
	loadCheckInterval   = 25 * time.Millisecond  // between checks whether an adapter is loaded
	copyLoadTime        = 28 * time.Millisecond  // to load an adapter that the replica has a copy of
	loadTimeout         = 8 * time.Second        // after which the state of a load or unload is read again
	useTTL              = 2 * time.Second        // after which a use that is not repeated is dropped
	minResidentTime     = 300 * time.Millisecond // between an adapter's load and its eviction
)

// FetchLoadTime is how long a replica takes to load an adapter from the weight store while few are loaded.
const FetchLoadTime = 256 * time.Millisecond

// Machine decides the residency of the replicas whose shards this host owns.
type Machine struct {
	settings    Settings
	byID        map[core.UpstreamID]*replica
	sorted      []*replica // the same, sorted by id; nil: not sorted yet
	services    map[table.ServiceID]limits
	newest      map[core.AdapterID]newestVersion
	maxFetches  int    // maximum number of concurrent loads from the weight store
	lastOrderID uint64 // id of the latest order
	byOrder     map[uint64]*replica
}

// New returns a machine without replicas. Settings of 0 or less take their defaults.
func New(s Settings) *Machine {
	if s.MaxLoads <= 0 {
		s.MaxLoads = DefaultMaxLoads
	}
	if s.FetchesPerReplica <= 0 {
		s.FetchesPerReplica = DefaultFetchesPerReplica
	}
	if s.DemandTTL <= 0 {
		s.DemandTTL = DefaultDemandTTL
	}
	return &Machine{
		settings: s,
		byID:     map[core.UpstreamID]*replica{},
		services: map[table.ServiceID]limits{},
		byOrder:  map[uint64]*replica{},
		newest:   map[core.AdapterID]newestVersion{},
	}
}

// Configure sets the services. Those without an engine are ignored.
func (m *Machine) Configure(services map[table.ServiceID]*table.Service) {
	m.services = map[table.ServiceID]limits{}
	for id, s := range services {
		if s.Engine != nil {
			m.services[id] = limits{slots: s.Engine.AdapterSlots, memory: s.Engine.Memory, models: s.Engine.Models}
		}
	}
}

// UpdateReplica adds or updates a replica. A new start resets its state. Replicas of plain
// services get no orders.
func (m *Machine) UpdateReplica(e replicas.Entry) {
	r := m.byID[e.ID]
	if r == nil || r.started != e.Started {
		if r != nil {
			m.drop(r)
		}
		r = &replica{
			id:           e.ID,
			started:      e.Started,
			models:       map[core.BaseModel]int{},
			residents:    map[core.AdapterID]*resident{},
			demands:      map[core.AdapterID]*demand{},
			uses:         map[core.AdapterID]map[core.HostID]use{},
			copies:       map[core.AdapterID]bool{},
			popularities: map[core.AdapterID]core.Decaying{},
		}
		m.byID[e.ID] = r
		m.sorted = nil
	}
	r.address, r.service = e.Address, e.Service
}

// RemoveReplica removes a replica.
func (m *Machine) RemoveReplica(id core.UpstreamID) {
	if r := m.byID[id]; r != nil {
		m.drop(r)
	}
}

// drop removes a replica and its open order.
func (m *Machine) drop(r *replica) {
	if r.order != nil {
		delete(m.byOrder, r.order.ID)
	}
	delete(m.byID, r.id)
	m.sorted = nil
}

// ReleaseReplica discards the state and demands of a replica that another host owns now.
func (m *Machine) ReleaseReplica(id core.UpstreamID) {
	if r := m.byID[id]; r != nil {
		r.synced = false
		r.probeAt = 0
		r.demands = map[core.AdapterID]*demand{}
	}
}

// Output are the orders and probes to send.
type Output struct {
	Orders []Order
	Probes []Probe
}

// Probe is a request for a replica's report.
type Probe struct {
	Replica       core.UpstreamID
	Address       string
	NewConnection bool // the report is not to be read on a kept connection

	Carrier core.Carrier // the host that carries the connection; the zero value: none does
}

// Tick returns the orders and probes that are due at the replicas that this host may
// order according to fenceOf.
func (m *Machine) Tick(now core.Instant, fenceOf FenceFunc) Output {
	var out Output
	m.updateFetchLimit(fenceOf)
	var fetches []fetchCandidate
	for _, r := range m.all() {
		fence, ok := fenceOf(r.id)
		if !ok {
			continue
		}
		d := m.advance(now, r, fence, &out)
		m.updateFull(now, r)
		if d != nil {
			fetches = append(fetches, fetchCandidate{replica: r, fence: fence, demand: d})
		}
	}
	m.orderFetches(now, fetches, &out)
	return out
}

// all returns the replicas sorted by id.
func (m *Machine) all() []*replica {
	if m.sorted != nil {
		return m.sorted
	}
	m.sorted = make([]*replica, 0, len(m.byID))
	for _, r := range m.byID {
		m.sorted = append(m.sorted, r)
	}
	slices.SortFunc(m.sorted, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	return m.sorted
}

// ChangedResidencies returns the residency of the replicas that this host may order
// according to fenceOf: of all of them, or of those whose residency has changed since
// the last call.
func (m *Machine) ChangedResidencies(fenceOf FenceFunc, all bool) []replicas.Residency {
	var changed []replicas.Residency
	for _, r := range m.all() {
		if _, ok := fenceOf(r.id); !ok || !r.synced || !r.changed && !all {
			continue
		}
		r.changed = false
		changed = append(changed, r.residency())
	}
	return changed
}

// ResidencyFor returns the residency of a demand's replica, and false if the adapter isn't
// loaded there.
func (m *Machine) ResidencyFor(d Demand) (found replicas.Residency, ok bool) {
	r := m.byID[d.Replica]
	if r == nil || !r.synced || !r.hasAdapter(d.Adapter) {
		return replicas.Residency{}, false
	}
	return r.residency(), true
}

// Replicas returns the ids of all replicas, sorted.
func (m *Machine) Replicas() []core.UpstreamID {
	var ids []core.UpstreamID
	for _, r := range m.all() {
		ids = append(ids, r.id)
	}
	return ids
}
