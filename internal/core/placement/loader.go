package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// loadCandidate is an adapter that the loader should load somewhere.
type loadCandidate struct {
	adapter       core.AdapterRef
	pool          string
	waitingByHost map[core.HostID]int // waiting callers, by entry host
	class         core.Class
	added         core.Instant
	avoid         []core.UpstreamID
	failures      int
	notBefore     core.Instant
	background    bool // no caller waits for it: a prefetch or a further replica
	loadID        uint64
}

func (c *loadCandidate) waitingCallers() int {
	sum := 0
	for _, w := range c.waitingByHost {
		sum += w
	}
	return sum
}

// inFlightLoad is one load under way.
type inFlightLoad struct {
	id       uint64
	adapter  core.AdapterRef
	upstream core.UpstreamID
	expires  core.Instant
}

// loader spends the fleet's budget of adapter loads.
type loader struct {
	budget      float64 // loads that the weight store's rate allows now
	lastAccrual core.Instant
	fence       core.Fence
	// assumedInFlight is how many loads of a former loader may still be running,
	// until assumedUntil. Invariant: never more loads run at once than the
	// settings allow.
	assumedInFlight int
	assumedUntil    core.Instant
	lastQuery       core.Instant         // when members were last queried for their loads
	reported        map[core.HostID]bool // members that reported what they load
	inFlight        map[uint64]*inFlightLoad
	candidates      map[core.AdapterRef]*loadCandidate
	popularity      map[core.AdapterRef]adapterPopularity
	lastID          uint64
	lastPrefetch    core.Instant
	lastPrune       core.Instant
}

// noCostLimit lets a load evict the adapter with the lowest eviction cost,
// whatever it is.
const noCostLimit = -1.0

// Pacing of the loader.
const (
	maxBudget     = 2.0 // loads saved up while the loader is idle
	retryBackoff  = 500 * time.Millisecond
	maxBackoff    = 8 * time.Second
	noSlotBackoff = 250 * time.Millisecond
)

func (m *Machine) updateLoader() {
	owner, _ := m.ownership.Owner(LoaderShard)
	serving := m.ownership.Serving(m.now, LoaderShard)
	grant, acting := m.ownership.Acting(m.now, LoaderShard)
	switch {
	case owner != m.settings.Self && !serving:
		m.loader = nil
		return
	case m.loader != nil && acting && m.loader.fence != grant.Fence:
		m.loader = nil // another host may have started loads in between
	}
	if m.loader != nil || !serving {
		return
	}
	m.loader = &loader{
		fence:           grant.Fence,
		lastAccrual:     m.now,
		assumedInFlight: m.settings.MaxInFlightLoads,
		assumedUntil:    m.now.Add(m.settings.LoadTimeout + m.settings.MaxOrderDelay),
		reported:        map[core.HostID]bool{},
		inFlight:        map[uint64]*inFlightLoad{},
		candidates:      map[core.AdapterRef]*loadCandidate{},
		popularity:      map[core.AdapterRef]adapterPopularity{},
		lastID:          uint64(m.now),
	}
	m.logDecision("loader.taken", "")
}

// reportLoads sends a new loader the list of loads on this host's upstreams.
func (m *Machine) reportLoads() {
	loader, ok := m.ownership.Owner(LoaderShard)
	if !ok || loader == m.loadsReportedTo {
		return
	}
	m.loadsReportedTo = loader
	msg := LoadReportMessage{Adapters: []core.AdapterRef{}}
	for _, x := range m.owned.list {
		msg.Adapters = append(msg.Adapters, slices.SortedFunc(maps.Keys(x.loadJobs), compareRefs)...)
	}
	m.send(loader, Message{LoadReport: &msg})
}

// sendLoads answers a loader's query for the loads on this host's upstreams.
func (m *Machine) sendLoads(loader core.HostID) {
	msg := LoadReportMessage{Adapters: []core.AdapterRef{}}
	for _, x := range m.owned.list {
		msg.Adapters = append(msg.Adapters, slices.SortedFunc(maps.Keys(x.loadJobs), compareRefs)...)
	}
	m.send(loader, Message{LoadReport: &msg})
}

// queryLoads queries the members that have not reported their loads, until all
// have or the assumed loads have ended.
func (m *Machine) queryLoads() {
	l := m.loader
	if l.assumedInFlight == 0 || m.now.Before(l.lastQuery.Add(m.settings.RetryInterval)) {
		return
	}
	l.lastQuery = m.now
	for _, h := range m.ownership.Members() {
		if !l.reported[h.Host] {
			m.send(h.Host, Message{LoadReport: &LoadReportMessage{Query: true}})
		}
	}
}

func (m *Machine) receiveLoadReport(from core.HostID, msg LoadReportMessage) {
	if msg.Query {
		m.sendLoads(from)
		return
	}
	l := m.loader
	if l == nil || l.reported[from] {
		return
	}
	l.reported[from] = true
	for _, a := range msg.Adapters {
		l.lastID++
		l.inFlight[l.lastID] = &inFlightLoad{id: l.lastID, adapter: a, expires: l.assumedUntil}
	}
}

func (m *Machine) receiveLoadRequest(from core.HostID, msg LoadRequestMessage) {
	l := m.loader
	if l == nil {
		return
	}
	l.countRequests(msg.Adapter, msg.Pool, float64(msg.NewArrivals), m.now, m.settings.PopularityHalfLife)
	c := l.candidates[msg.Adapter]
	if c == nil && msg.Waiting == 0 {
		return
	}
	if u, ok := m.loadedUpstream(msg); ok {
		m.send(from, Message{LoadReply: &LoadReplyMessage{Adapter: msg.Adapter, Upstream: u}})
		return
	}
	if c == nil {
		c = &loadCandidate{adapter: msg.Adapter, pool: msg.Pool, waitingByHost: map[core.HostID]int{}, added: m.now, class: core.Overnight}
		l.candidates[msg.Adapter] = c
	}
	c.background = false
	c.class = min(c.class, msg.Class)
	c.waitingByHost[from] = msg.Waiting
	for _, u := range msg.Avoid {
		if !slices.Contains(c.avoid, u) {
			c.avoid = append(c.avoid, u)
		}
	}
	if msg.Waiting == 0 {
		delete(c.waitingByHost, from)
		l.removeIfUnneeded(c)
		return
	}
	m.startLoads()
}

// loadedUpstream returns a usable upstream that already has the requested
// adapter loaded, and false if there is none. The requesting host's view then
// lags.
func (m *Machine) loadedUpstream(msg LoadRequestMessage) (core.UpstreamID, bool) {
	for _, x := range m.view.loadedOn[msg.Adapter] {
		usable := x.config.Pool == msg.Pool && !m.view.ejected(x) && !x.leaving() && !m.view.listedLeaving[x.Upstream]
		if usable && !slices.Contains(msg.Avoid, x.Upstream) {
			return x.Upstream, true
		}
	}
	return "", false
}

// removeIfUnneeded removes a candidate without waiting callers or a running
// load, unless it is background work.
func (l *loader) removeIfUnneeded(c *loadCandidate) {
	if len(c.waitingByHost) == 0 && c.loadID == 0 && !c.background {
		delete(l.candidates, c.adapter)
	}
}

func (l *loader) hostLost(h core.HostID) {
	for _, a := range slices.SortedFunc(maps.Keys(l.candidates), compareRefs) {
		c := l.candidates[a]
		delete(c.waitingByHost, h)
		l.removeIfUnneeded(c)
	}
}

func (l *loader) accrue(now core.Instant, rate float64) {
	l.budget = min(l.budget+rate*now.Sub(l.lastAccrual).Seconds(), maxBudget)
	l.lastAccrual = now
}

// loadsAllowed returns how many loads may start now.
func (l *loader) loadsAllowed(now core.Instant, maxInFlight int) int {
	if !now.Before(l.assumedUntil) {
		l.assumedInFlight = 0
	}
	return min(maxInFlight-l.assumedInFlight-len(l.inFlight), int(l.budget))
}

func (m *Machine) tickLoader() {
	l := m.loader
	if l == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(l.inFlight)) {
		t := l.inFlight[id]
		if m.now.Before(t.expires) {
			continue
		}
		delete(l.inFlight, id)
		if c := l.candidates[t.adapter]; c != nil && c.loadID == id {
			m.retryCandidate(c, t.upstream, true)
		}
	}
	if l.assumedInFlight > 0 && m.allReported() {
		l.assumedInFlight = 0
	}
	m.queryLoads()
	m.startLoads()
	m.prefetch()
}

func (m *Machine) allReported() bool {
	for _, h := range m.ownership.Members() {
		if !m.loader.reported[h.Host] {
			return false
		}
	}
	return true
}

// startLoads orders loads of the candidates that are due while the budget
// allows, the most urgent first.
func (m *Machine) startLoads() {
	l := m.loader
	if !m.ownership.Serving(m.now, LoaderShard) {
		return
	}
	l.accrue(m.now, m.settings.MaxLoadsPerSecond)
	if l.loadsAllowed(m.now, m.settings.MaxInFlightLoads) <= 0 || len(l.candidates) == 0 {
		return
	}
	due := make([]*loadCandidate, 0, len(l.candidates))
	for _, c := range l.candidates {
		if c.loadID == 0 && !m.now.Before(c.notBefore) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *loadCandidate) int { return m.compareCandidates(a, b) })
	for _, c := range due {
		if l.loadsAllowed(m.now, m.settings.MaxInFlightLoads) <= 0 {
			return
		}
		m.orderLoad(c)
	}
}

// compareCandidates orders candidates: those with waiting callers before
// background work, then by class, then by urgency.
func (m *Machine) compareCandidates(a, b *loadCandidate) int {
	if a.background != b.background {
		if b.background {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if c := cmp.Compare(m.urgency(b), m.urgency(a)); c != 0 {
		return c
	}
	return compareRefs(a.adapter, b.adapter)
}

// urgency grows with the waiting callers, with those to be expected, and with
// the time waited, so that no candidate starves.
func (m *Machine) urgency(c *loadCandidate) float64 {
	return (float64(c.waitingCallers()) + m.absentPopularity(c.adapter)) * (1 + m.now.Sub(c.added).Seconds())
}

func (m *Machine) orderLoad(c *loadCandidate) {
	l := m.loader
	score := m.absentPopularity(c.adapter)
	maxCost := noCostLimit
	if c.background {
		maxCost = score / prefetchMargin
	}
	u, ok := m.loadTarget(c, maxCost)
	if !ok {
		c.notBefore = m.now.Add(noSlotBackoff)
		return
	}
	owner, ok := m.ownership.Owner(core.Shard{Kind: core.ShardUpstream, Name: string(u)})
	if !ok {
		return
	}
	l.budget--
	l.lastID++
	c.loadID = l.lastID
	l.inFlight[c.loadID] = &inFlightLoad{id: c.loadID, adapter: c.adapter, upstream: u, expires: m.now.Add(m.settings.LoadTimeout + 2*m.settings.MaxOrderDelay)}
	msg := LoadOrderMessage{ID: c.loadID, Adapter: c.adapter, Upstream: u, Score: score, MaxEvictionCost: maxCost}
	m.send(owner, Message{LoadOrder: &msg})
}

// receiveLoadDone ends a load: it informs the waiting hosts, or retries
// elsewhere after a failure.
func (m *Machine) receiveLoadDone(d LoadDoneMessage) {
	l := m.loader
	if l == nil {
		return
	}
	if x := m.view.upstreams[d.Upstream]; x != nil && d.Evicted.Adapter != (core.AdapterRef{}) {
		l.setPopularity(d.Evicted, x.config.Pool, m.now)
	}
	t := l.inFlight[d.ID]
	if t == nil {
		return
	}
	delete(l.inFlight, d.ID)
	if d.End == LoadNoSlot || d.End == LoadNotOwner {
		l.budget = min(l.budget+1, maxBudget) // the weight store was not used
	}
	c := l.candidates[d.Adapter]
	if c == nil || c.loadID != d.ID {
		return
	}
	if d.End != LoadOK {
		m.retryCandidate(c, d.Upstream, d.End == LoadFailed)
		m.startLoads()
		return
	}
	delete(l.candidates, d.Adapter)
	m.view.markLoaded(d.Upstream, d.Adapter)
	for _, h := range slices.Sorted(maps.Keys(c.waitingByHost)) {
		m.send(h, Message{LoadReply: &LoadReplyMessage{Adapter: d.Adapter, Upstream: d.Upstream}})
	}
	m.startLoads()
}

func (m *Machine) retryCandidate(c *loadCandidate, u core.UpstreamID, failed bool) {
	c.loadID = 0
	if c.background {
		delete(m.loader.candidates, c.adapter)
		return
	}
	c.notBefore = m.now.Add(noSlotBackoff)
	if failed {
		c.failures++
		c.avoid = append(c.avoid, u)
		c.notBefore = m.now.Add(min(retryBackoff<<min(c.failures, 8), maxBackoff))
	}
	m.loader.removeIfUnneeded(c)
}
