package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// need is an adapter that the loader should bring somewhere.
type need struct {
	adapter   core.AdapterRef
	pool      string
	hosts     map[core.HostID]int // callers that wait, by entry host
	class     core.Class
	since     core.Instant
	avoid     []core.UpstreamID
	tries     int
	notBefore core.Instant
	spread    bool // a further replica of a busy adapter
	job       uint64
}

func (n *need) waiting() int {
	sum := 0
	for _, w := range n.hosts {
		sum += w
	}
	return sum
}

// transit is one load under way.
type transit struct {
	id       uint64
	adapter  core.AdapterRef
	upstream core.UpstreamID
	ends     core.Instant
}

// loader spends the fleet's one budget of adapter loads.
type loader struct {
	tokens  float64 // loads that the store's rate allows now
	accrued core.Instant
	fence   core.Fence
	// assumed is how many loads of a former loader may still be under way,
	// until assumedEnd. Keeps: never more than InTransit at once.
	assumed    int
	assumedEnd core.Instant
	asked      core.Instant         // when members were last asked what they load
	heard      map[core.HostID]bool // members that told what they load
	transits   map[uint64]*transit
	needs      map[core.AdapterRef]*need
	fame       map[core.AdapterRef]fame
	lastID     uint64
	prefetched core.Instant
	pruned     core.Instant
}

// unbounded lets a load evict whatever is worth least.
const unbounded = -1.0

// Pacing of the loader.
const (
	tokenBurst    = 2.0 // loads saved up while nothing is wanted
	retryBackoff  = 500 * time.Millisecond
	maxBackoff    = 8 * time.Second
	noSlotBackoff = 250 * time.Millisecond
)

func (m *Machine) scanLoader() {
	owner, _ := m.own.Owner(LoaderShard)
	serving := m.own.Serving(m.now, LoaderShard)
	grant, acting := m.own.Acting(m.now, LoaderShard)
	switch {
	case owner != m.settings.Self && !serving:
		m.loader = nil
		return
	case m.loader != nil && acting && m.loader.fence != grant.Fence:
		m.loader = nil // another host may have loaded in between
	}
	if m.loader != nil || !serving {
		return
	}
	m.loader = &loader{
		fence:      grant.Fence,
		accrued:    m.now,
		assumed:    m.settings.InTransit,
		assumedEnd: m.now.Add(m.settings.LoadTimeout + m.settings.OrderLinger),
		heard:      map[core.HostID]bool{},
		transits:   map[uint64]*transit{},
		needs:      map[core.AdapterRef]*need{},
		fame:       map[core.AdapterRef]fame{},
		lastID:     uint64(m.now),
	}
	m.note("loader.taken", "")
}

// greetLoader tells a new loader what this host's upstreams load.
func (m *Machine) greetLoader() {
	loader, ok := m.own.Owner(LoaderShard)
	if !ok || loader == m.greeted {
		return
	}
	m.greeted = loader
	msg := LoadingMessage{Adapters: []core.AdapterRef{}}
	for _, x := range m.owned.list {
		msg.Adapters = append(msg.Adapters, slices.SortedFunc(maps.Keys(x.jobs), compareRefs)...)
	}
	m.send(loader, Message{Loading: &msg})
}

// answerLoader tells a loader that asks what this host's upstreams load.
func (m *Machine) answerLoader(loader core.HostID) {
	msg := LoadingMessage{Adapters: []core.AdapterRef{}}
	for _, x := range m.owned.list {
		msg.Adapters = append(msg.Adapters, slices.SortedFunc(maps.Keys(x.jobs), compareRefs)...)
	}
	m.send(loader, Message{Loading: &msg})
}

// askLoading asks the members that have not said yet what they load, until all
// have or the assumed loads have ended.
func (m *Machine) askLoading() {
	l := m.loader
	if l.assumed == 0 || m.now.Before(l.asked.Add(m.settings.Repeat)) {
		return
	}
	l.asked = m.now
	for _, h := range m.own.Members() {
		if !l.heard[h.Host] {
			m.send(h.Host, Message{Loading: &LoadingMessage{Ask: true}})
		}
	}
}

func (m *Machine) loadingElsewhere(from core.HostID, msg LoadingMessage) {
	if msg.Ask {
		m.answerLoader(from)
		return
	}
	l := m.loader
	if l == nil || l.heard[from] {
		return
	}
	l.heard[from] = true
	for _, a := range msg.Adapters {
		l.lastID++
		l.transits[l.lastID] = &transit{id: l.lastID, adapter: a, ends: l.assumedEnd}
	}
}

func (m *Machine) wanted(from core.HostID, w WantMessage) {
	l := m.loader
	if l == nil {
		return
	}
	l.famed(w.Adapter, w.Pool, float64(w.Arrived), m.now, m.settings.HalfLife)
	n := l.needs[w.Adapter]
	if n == nil && w.Waiting == 0 {
		return
	}
	if u, ok := m.holderFor(w); ok {
		m.send(from, Message{Wanted: &WantedMessage{Adapter: w.Adapter, Upstream: u}})
		return
	}
	if n == nil {
		n = &need{adapter: w.Adapter, pool: w.Pool, hosts: map[core.HostID]int{}, since: m.now, class: core.Overnight}
		l.needs[w.Adapter] = n
	}
	n.spread = false
	n.class = min(n.class, w.Class)
	n.hosts[from] = w.Waiting
	for _, u := range w.Avoid {
		if !slices.Contains(n.avoid, u) {
			n.avoid = append(n.avoid, u)
		}
	}
	if w.Waiting == 0 {
		delete(n.hosts, from)
		l.settleNeed(n)
		return
	}
	m.pumpLoader()
}

// holderFor is an upstream that the asking host should have known of.
func (m *Machine) holderFor(w WantMessage) (core.UpstreamID, bool) {
	for _, x := range m.view.holders[w.Adapter] {
		usable := x.config.Pool == w.Pool && !m.view.ejected(x) && !x.leaving() && !m.view.listed[x.Upstream]
		if usable && !slices.Contains(w.Avoid, x.Upstream) {
			return x.Upstream, true
		}
	}
	return "", false
}

// settleNeed forgets a need that nobody has any more.
func (l *loader) settleNeed(n *need) {
	if len(n.hosts) == 0 && n.job == 0 && !n.spread {
		delete(l.needs, n.adapter)
	}
}

func (l *loader) hostLost(h core.HostID) {
	for _, a := range slices.SortedFunc(maps.Keys(l.needs), compareRefs) {
		n := l.needs[a]
		delete(n.hosts, h)
		l.settleNeed(n)
	}
}

func (l *loader) accrue(now core.Instant, rate float64) {
	l.tokens = min(l.tokens+rate*now.Sub(l.accrued).Seconds(), tokenBurst)
	l.accrued = now
}

// room is how many loads may start now.
func (l *loader) room(now core.Instant, inTransit int) int {
	if !now.Before(l.assumedEnd) {
		l.assumed = 0
	}
	return min(inTransit-l.assumed-len(l.transits), int(l.tokens))
}

func (m *Machine) tickLoader() {
	l := m.loader
	if l == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(l.transits)) {
		t := l.transits[id]
		if m.now.Before(t.ends) {
			continue
		}
		delete(l.transits, id)
		if n := l.needs[t.adapter]; n != nil && n.job == id {
			m.retryNeed(n, t.upstream, true)
		}
	}
	if l.assumed > 0 && m.everyoneHeard() {
		l.assumed = 0
	}
	m.askLoading()
	m.pumpLoader()
	m.prefetch()
}

func (m *Machine) everyoneHeard() bool {
	for _, h := range m.own.Members() {
		if !m.loader.heard[h.Host] {
			return false
		}
	}
	return true
}

// pumpLoader starts loads while the budget allows, the most pressing first.
func (m *Machine) pumpLoader() {
	l := m.loader
	if !m.own.Serving(m.now, LoaderShard) {
		return
	}
	l.accrue(m.now, m.settings.StoreRate)
	if l.room(m.now, m.settings.InTransit) <= 0 || len(l.needs) == 0 {
		return
	}
	due := make([]*need, 0, len(l.needs))
	for _, n := range l.needs {
		if n.job == 0 && !m.now.Before(n.notBefore) {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *need) int { return m.compareNeeds(a, b) })
	for _, n := range due {
		if l.room(m.now, m.settings.InTransit) <= 0 {
			return
		}
		m.startNeed(n)
	}
}

// compareNeeds puts waiting callers before spreading, urgent classes first,
// then whoever saves the most waiting.
func (m *Machine) compareNeeds(a, b *need) int {
	if a.spread != b.spread {
		if b.spread {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if c := cmp.Compare(m.pressure(b), m.pressure(a)); c != 0 {
		return c
	}
	return compareRefs(a.adapter, b.adapter)
}

// pressure grows with the callers that wait, with those to be expected, and
// with the time waited, so that nothing is passed over for ever.
func (m *Machine) pressure(n *need) float64 {
	return (float64(n.waiting()) + m.remembered(n.adapter)) * (1 + m.now.Sub(n.since).Seconds())
}

func (m *Machine) startNeed(n *need) {
	l := m.loader
	score := m.remembered(n.adapter)
	most := unbounded
	if n.spread {
		most = score / prefetchMargin
	}
	u, ok := m.loadTarget(n, most)
	if !ok {
		n.notBefore = m.now.Add(noSlotBackoff)
		return
	}
	owner, ok := m.own.Owner(core.Shard{Kind: core.ShardUpstream, Name: string(u)})
	if !ok {
		return
	}
	l.tokens--
	l.lastID++
	n.job = l.lastID
	l.transits[n.job] = &transit{id: n.job, adapter: n.adapter, upstream: u, ends: m.now.Add(m.settings.LoadTimeout + 2*m.settings.OrderLinger)}
	msg := LoadMessage{ID: n.job, Adapter: n.adapter, Upstream: u, Score: score, Most: most}
	m.send(owner, Message{Load: &msg})
}

// loadDone ends a load: tell who waits, or try elsewhere.
func (m *Machine) loadDone(d LoadDoneMessage) {
	l := m.loader
	if l == nil {
		return
	}
	if x := m.view.seen[d.Upstream]; x != nil && d.Evicted.Adapter != (core.AdapterRef{}) {
		l.remember(d.Evicted, x.config.Pool, m.now)
	}
	t := l.transits[d.ID]
	if t == nil {
		return
	}
	delete(l.transits, d.ID)
	if d.End == LoadNoSlot || d.End == LoadNotOwner {
		l.tokens = min(l.tokens+1, tokenBurst) // the store was not touched
	}
	n := l.needs[d.Adapter]
	if n == nil || n.job != d.ID {
		return
	}
	if d.End != LoadOK {
		m.retryNeed(n, d.Upstream, d.End == LoadFailed)
		m.pumpLoader()
		return
	}
	delete(l.needs, d.Adapter)
	m.view.gained(d.Upstream, d.Adapter)
	for _, h := range slices.Sorted(maps.Keys(n.hosts)) {
		m.send(h, Message{Wanted: &WantedMessage{Adapter: d.Adapter, Upstream: d.Upstream}})
	}
	m.pumpLoader()
}

func (m *Machine) retryNeed(n *need, u core.UpstreamID, failed bool) {
	n.job = 0
	if n.spread {
		delete(m.loader.needs, n.adapter)
		return
	}
	n.notBefore = m.now.Add(noSlotBackoff)
	if failed {
		n.tries++
		n.avoid = append(n.avoid, u)
		n.notBefore = m.now.Add(min(retryBackoff<<min(n.tries, 8), maxBackoff))
	}
	m.loader.settleNeed(n)
}
