package residency

import (
	"cmp"
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

// Machine decides what the replicas hold that this host orders.
type Machine struct {
	settings Settings
	known    map[core.UpstreamID]*replica
	sorted   []*replica // the same by replica; nil: to be made
	services map[table.ServiceID]limits
	newest   map[core.AdapterID]newest
	fetches  int    // adapters that may be on their way from the weight store
	next     uint64 // id of the next order
	byOrder  map[uint64]*replica
}

// New returns a machine without replicas.
func New(s Settings) *Machine {
	if s.InTransit <= 0 {
		s.InTransit = DefaultInTransit
	}
	if s.Fetches <= 0 {
		s.Fetches = DefaultFetches
	}
	if s.DemandFor <= 0 {
		s.DemandFor = DefaultDemandFor
	}
	return &Machine{
		settings: s,
		known:    map[core.UpstreamID]*replica{},
		services: map[table.ServiceID]limits{},
		byOrder:  map[uint64]*replica{},
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

// Put takes a replica's entry. Those of plain services are never ordered.
func (m *Machine) Put(e replicas.Entry) {
	r := m.known[e.ID]
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
		m.known[e.ID] = r
		m.sorted = nil
	}
	r.address, r.service = e.Address, e.Service
}

// Remove forgets a replica.
func (m *Machine) Remove(id core.UpstreamID) {
	if r := m.known[id]; r != nil {
		m.drop(r)
	}
}

func (m *Machine) drop(r *replica) {
	if r.order != nil {
		delete(m.byOrder, r.order.ID)
	}
	delete(m.known, r.id)
	m.sorted = nil
}

// Yield forgets what is known of a replica that another host orders now.
func (m *Machine) Yield(id core.UpstreamID) {
	if r := m.known[id]; r != nil {
		r.synced = false
		r.probe = 0
		r.demands = map[core.AdapterID]*demand{}
	}
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
	for _, r := range m.all() {
		fence, ok := act(r.id)
		if !ok {
			continue
		}
		if w := m.advance(now, r, fence, &out); w != nil {
			fetches = append(fetches, candidate{replica: r, fence: fence, demand: w})
		}
	}
	m.fetch(now, fetches, &out)
	return out
}

// all returns the known by replica.
func (m *Machine) all() []*replica {
	if m.sorted != nil {
		return m.sorted
	}
	m.sorted = make([]*replica, 0, len(m.known))
	for _, r := range m.known {
		m.sorted = append(m.sorted, r)
	}
	slices.SortFunc(m.sorted, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	return m.sorted
}

// Changed returns what the replicas hold that act reports as this host's:
// of all, or of those where that has changed since the last call.
func (m *Machine) Changed(act Actor, all bool) []replicas.Residency {
	var changed []replicas.Residency
	for _, r := range m.all() {
		if _, ok := act(r.id); !ok || !r.synced || !r.changed && !all {
			continue
		}
		r.changed = false
		changed = append(changed, r.residency())
	}
	return changed
}

// Meets returns what a replica holds, if that meets a demand.
func (m *Machine) Meets(w Demand) (held replicas.Residency, ok bool) {
	r := m.known[w.Replica]
	if r == nil || !r.synced || !r.holds(w.Adapter) {
		return replicas.Residency{}, false
	}
	return r.residency(), true
}

// Replicas returns the replicas that the machine knows, sorted.
func (m *Machine) Replicas() []core.UpstreamID {
	var ids []core.UpstreamID
	for _, r := range m.all() {
		ids = append(ids, r.id)
	}
	return ids
}
