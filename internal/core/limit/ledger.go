package limit

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// phase is how far an owner is in opening a workspace's ledger.
type phase uint8

const (
	phaseReading  phase = iota + 1 // reading the list of hosts that may hold shares
	phaseClaiming                  // writing its fencing number over its predecessor's
	phaseOpen
)

// ledger is the owner's record of who holds which part of one workspace's limit.
type ledger struct {
	workspace  core.WorkspaceID
	fence      core.Fence
	phase      phase
	limit      Limit
	pool       bucket
	loanDemand demand   // loans that other hosts requested from the pool
	entries    []*entry // by holder, sorted by host
	lastSeq    uint64   // of the shares assigned

	listed        []core.HostID // hosts in the stored list, which may hold shares; sorted
	toList        []core.HostID // to be added to the stored list
	objectVersion uint64        // of the stored list
	priorFence    core.Fence    // of the ledger that the entries were adopted from
	callInFlight  bool          // an object call is in flight
	unknownResult bool          // a write may or may not have been applied

	withheld       bool // the pool is limited to ownRate and ownBurst until all of notRestated have restated
	notRestated    []core.HostID
	ownRate        microtokenRate // this host's own share at the takeover
	ownBurst       nanotokens
	previous       *ledger // an older ledger, valid if nobody else has owned the workspace since
	withheldUntil  core.Instant
	actingUntil    core.Instant  // Grant.Until when last Acting
	frozen         bool          // not Acting, within the horizon: may grant shares, not spend the pool
	queryAll       bool          // request the state of all listed hosts at the next check
	starved        []core.HostID // got less than their target, because others hold more than theirs
	lastRebalance  core.Instant
	queryNext      []core.HostID // starved hosts whose state to request at the next check
	queuedLoans    []LoanRequest // received before the ledger was open
	checkScheduled bool
}

// entry records one holder: at least what it holds.
type entry struct {
	host           core.HostID
	seq            uint64
	rate           microtokenRate // at most held
	burst          nanotokens     // at most held
	targetRate     microtokenRate // as assigned with seq
	targetBurst    nanotokens
	addedLevel     nanotokens // level sent with seq
	unacknowledged bool       // share seq may not have been applied: the holder may still hold up to rate and burst
	expires        core.Instant
	level          nanotokens // as last stated, corrected by grants and loans since
	statedAt       core.Instant
	demand         core.Tokens
	largest        core.Tokens
	unresponsive   bool // no loans are requested from it until its next share request
}

func (led *ledger) entry(host core.HostID) *entry {
	i, ok := slices.BinarySearchFunc(led.entries, host, byHost)
	if !ok {
		return nil
	}
	return led.entries[i]
}

func byHost(e *entry, host core.HostID) int {
	switch {
	case e.host < host:
		return -1
	case e.host > host:
		return 1
	}
	return 0
}

func (led *ledger) addEntry(host core.HostID) *entry {
	i, _ := slices.BinarySearchFunc(led.entries, host, byHost)
	e := &entry{host: host}
	led.entries = slices.Insert(led.entries, i, e)
	return e
}

// updatePool makes the pool what the entries leave of the limit. Invariant Sum.
func (led *ledger) updatePool(now core.Instant) {
	rate, burst := toMicrotokenRate(led.limit.Rate), toNanotokens(led.limit.Burst)
	for _, e := range led.entries {
		rate -= e.rate
		burst -= e.burst
	}
	if led.withheld {
		rate, burst = min(rate, led.ownRate), min(burst, led.ownBurst)
	}
	rate, burst = max(rate, 0), max(burst, 0)
	led.pool.shrink(now, rate, burst)
	led.pool.grow(now, max(rate-led.pool.rate, 0), max(burst-led.pool.burst, 0), 0)
}

// maySpend reports whether this host may charge the pool: it is Acting with the
// ledger's fencing number. A frozen owner may only grant.
func (m *Machine) maySpend(now core.Instant, own core.Ownership, led *ledger) bool {
	g, ok := own.Acting(now, shardOf(led.workspace))
	return ok && led.phase == phaseOpen && g.Fence == led.fence && now.Before(g.Until)
}

// openLedger returns the open ledger of a workspace that this host owns; otherwise
// nil, after starting to open it if this host is Acting for it. A ledger of a lower
// fencing number is used under a higher one only if the stored list shows that
// nobody else owned the workspace in between.
func (m *Machine) openLedger(now core.Instant, own core.Ownership, ws core.WorkspaceID, r *Result) *ledger {
	led := m.ledgers[ws]
	if led == nil {
		if owner, ok := own.Owner(shardOf(ws)); !ok || owner != m.settings.Self {
			return nil
		}
	}
	g, acting := own.Acting(now, shardOf(ws))
	if acting && g.Fence > m.handedOff[ws] && (led == nil || led.fence < g.Fence) {
		led = m.takeOver(now, ws, led, g, r)
	}
	if led == nil || led.phase != phaseOpen {
		return nil
	}
	if acting {
		led.actingUntil = g.Until
		led.frozen = false
		return led
	}
	if !own.Serving(now, shardOf(ws)) || !now.Before(led.actingUntil.Add(m.settings.OutageHorizon)) {
		return nil
	}
	if !led.frozen {
		led.frozen, led.queryAll = true, true
	}
	return led
}

const ledgerCheckInterval = time.Second

// checkLedger does an owner's periodic work for one workspace.
func (m *Machine) checkLedger(now core.Instant, own core.Ownership, ws core.WorkspaceID, r *Result) {
	led := m.ledgers[ws]
	if led == nil {
		return
	}
	led.checkScheduled = false
	if owner, ok := own.Owner(shardOf(ws)); ok && owner != m.settings.Self && !own.Serving(now, shardOf(ws)) {
		if g, acting := own.Acting(now, shardOf(ws)); !acting || g.Fence != led.fence {
			delete(m.ledgers, ws)
			return
		}
	}
	m.scheduleCheck(now, led)
	if m.openLedger(now, own, ws, r) != led {
		if led.phase != phaseOpen && !led.callInFlight { // the last call failed
			m.readList(led, r)
		}
		return
	}
	m.maintain(now, own, led, r)
}

func (m *Machine) scheduleCheck(now core.Instant, led *ledger) {
	if !led.checkScheduled {
		led.checkScheduled = true
		m.timers.add(timer{at: now.Add(ledgerCheckInterval), kind: timerLedger, workspace: led.workspace})
	}
}

// maintain reclaims expired shares, ends withholding, keeps the stored list short
// and rebalances.
func (m *Machine) maintain(now core.Instant, own core.Ownership, led *ledger, r *Result) {
	if m.maySpend(now, own, led) {
		m.reclaim(now, led)
		m.listHomes(own, led, r)
		m.reconcileList(own, led, r)
	}
	led.markEnded(own)
	if led.withheld && (len(led.notRestated) == 0 || !now.Before(led.withheldUntil)) {
		led.withheld, led.notRestated = false, nil
		led.updatePool(now)
	}
	if led.withheld {
		m.requestState(led, led.notRestated, r)
	}
	if led.queryAll {
		led.queryAll = false
		m.requestState(led, led.listed, r)
	}
	m.rebalance(now, led, r)
}

// rebalance moves rate and burst before the next regular share requests. It requests
// the state of over-allocated hosts first, and of starved ones at the next check.
func (m *Machine) rebalance(now core.Instant, led *ledger, r *Result) {
	m.requestState(led, led.queryNext, r)
	led.queryNext = nil
	if led.frozen || led.withheld || now.Sub(led.lastRebalance) < m.settings.MinRequestInterval {
		return
	}
	if len(led.starved) == 0 && !m.poolStarved(now, led) {
		return
	}
	m.requestState(led, m.overAllocated(now, led), r)
	led.queryNext, led.starved, led.lastRebalance = led.starved, nil, now
}

// reclaim takes expired shares back; their holders stopped spending earlier.
func (m *Machine) reclaim(now core.Instant, led *ledger) {
	n := len(led.entries)
	led.entries = slices.DeleteFunc(led.entries, func(e *entry) bool {
		return !now.Before(e.expires)
	})
	if len(led.entries) < n {
		m.stats.Reclaimed += uint64(n - len(led.entries))
		led.updatePool(now)
	}
}

// requestState sends state requests to hosts other than this one.
func (m *Machine) requestState(led *ledger, hosts []core.HostID, r *Result) {
	for _, h := range hosts {
		if h != m.settings.Self {
			r.Send(h, Message{StateRequest: &StateRequest{Workspace: led.workspace, Fence: led.fence}})
		}
	}
}

// onShareRequest records what a holder states and answers with its share.
func (m *Machine) onShareRequest(now core.Instant, own core.Ownership, from core.HostID, req ShareRequest, r *Result) {
	led := m.openLedger(now, own, req.Workspace, r)
	if led == nil || req.Fence > led.fence {
		return
	}
	if req.Fence < led.fence && (req.Fence == 0 || req.Fence != led.priorFence) {
		m.requestState(led, []core.HostID{from}, r) // the holder must first promise this ledger's fencing number
		return
	}
	restated := led.markRestated(from)
	e := m.recordRequest(now, led, from, req, restated)
	if e == nil {
		m.addToList(own, led, from, r)
		m.sendEmptyShare(led, from, req, r)
		return
	}
	if req.Acknowledgement {
		return
	}
	m.assignShare(now, led, e)
	m.sendShare(now, own, led, e, req.Sent, r)
}

// markRestated records that a host restated its share, and reports whether that was
// awaited.
func (led *ledger) markRestated(host core.HostID) bool {
	n := len(led.notRestated)
	led.notRestated = slices.DeleteFunc(led.notRestated, func(h core.HostID) bool { return h == host })
	return len(led.notRestated) < n
}

// recordRequest updates the holder's entry from its share request. It returns nil
// if the host is not listed yet and must not be granted anything. For a host without
// an entry the stated share counts only if its restatement was awaited; otherwise
// that share has expired and the request is late.
func (m *Machine) recordRequest(now core.Instant, led *ledger, from core.HostID, req ShareRequest, restated bool) *entry {
	e := led.entry(from)
	if e == nil {
		if _, ok := slices.BinarySearch(led.listed, from); !ok {
			return nil
		}
		e = led.addEntry(from)
		e.seq = req.Applied
		led.lastSeq = max(led.lastSeq, req.Applied)
		if restated && led.withheld {
			e.rate, e.burst = microtokenRate(max(req.Rate, 0)), nanotokens(max(req.Burst, 0))
		}
		e.targetRate, e.targetBurst = e.rate, e.burst
		e.expires = now.Add(extendedByDrift(m.settings.ShareTTL, m.settings.DriftPPM))
		led.updatePool(now)
	}
	led.confirm(now, e, req)
	e.level, e.statedAt = min(nanotokens(req.Level), e.burst), now
	e.demand, e.largest, e.unresponsive = req.Demand, req.Largest, false
	return e
}

// confirm lowers an entry to what its holder states once the holder has applied the
// last share, and adds the level released with that share to the pool.
func (led *ledger) confirm(now core.Instant, e *entry, req ShareRequest) {
	if req.Applied != e.seq {
		return
	}
	rate, burst := min(e.rate, microtokenRate(max(req.Rate, 0))), min(e.burst, nanotokens(max(req.Burst, 0)))
	freed := e.burst - burst
	e.rate, e.burst = rate, burst
	led.updatePool(now)
	level := max(nanotokens(req.Returned), 0)
	if e.unacknowledged {
		e.unacknowledged = false
		level += max(nanotokens(req.Released), 0)
	}
	led.pool.level = min(led.pool.level+min(level, freed), led.pool.maxLevel())
	led.pool.sampleRoom()
}

// sendShare sends a holder its recorded share. Sending it again changes nothing.
func (m *Machine) sendShare(now core.Instant, own core.Ownership, led *ledger, e *entry, echo core.Instant, r *Result) {
	term := min(m.settings.ShareTTL, led.actingUntil.Add(m.settings.OutageHorizon).Sub(now))
	if term <= 0 {
		return
	}
	if g, ok := own.Acting(now, shardOf(led.workspace)); ok && g.Fence != led.fence {
		return
	}
	e.expires = max(e.expires, now.Add(extendedByDrift(term, m.settings.DriftPPM)))
	r.Send(e.host, Message{Share: &Share{
		Workspace: led.workspace, Fence: led.fence, Seq: e.seq,
		Rate: int64(e.targetRate), Burst: int64(e.targetBurst), AddedLevel: int64(e.addedLevel),
		TotalRate: led.limit.Rate, TotalBurst: led.limit.Burst, Echo: echo, Term: term,
	}})
}

// sendEmptyShare answers a host that holds nothing and is granted nothing.
func (m *Machine) sendEmptyShare(led *ledger, to core.HostID, req ShareRequest, r *Result) {
	r.Send(to, Message{Share: &Share{
		Workspace: led.workspace, Fence: led.fence, Seq: req.Applied, TotalRate: led.limit.Rate,
		TotalBurst: led.limit.Burst, Echo: req.Sent, Term: m.settings.ShareTTL,
	}})
}
