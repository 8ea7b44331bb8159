package limit

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// phase is how far an owner is with a workspace's book.
type phase uint8

const (
	phaseReading  phase = iota + 1 // reads who may hold shares
	phaseClaiming                  // writes its fencing number over the predecessor's
	phaseOpen
)

// book is the owner's account of one workspace.
type book struct {
	workspace core.WorkspaceID
	fence     core.Fence
	phase     phase
	limit     Limit
	pool      bucket
	lent      demand   // asked of the pool by other hosts
	entries   []*entry // sorted by host
	seq       uint64   // of the last share cut

	listed  []core.HostID // in the object: who may hold shares, sorted
	wanted  []core.HostID // to be listed
	version uint64        // of the object
	prior   core.Fence    // whose entries were adopted with the book
	writing bool          // an object call is under way
	unsure  bool          // a write ended without an answer

	withheld   bool // the pool is this host's own share until all of unheard have restated
	unheard    []core.HostID
	ownRate    microRate // this host's own share at the takeover
	ownBurst   nano
	former     *book // an older book, good if nobody owned the workspace since
	withheldTo core.Instant
	acted      core.Instant // Grant.Until when last Acting
	frozen     bool
	stir       bool          // holders are to ask at once
	starved    []core.HostID // got less than their part: others hold more than theirs
	stirred    core.Instant
	refill     []core.HostID // starved hosts to recall at the next look
	queue      []Borrow      // came before the book was open
	due        bool
}

// entry is one holder in a book: at least what it holds.
type entry struct {
	host    core.HostID
	seq     uint64
	rate    microRate // at most held
	burst   nano      // at most held
	toRate  microRate // as cut with seq
	toBurst nano
	added   nano // level sent with seq
	open    bool // seq is not acknowledged: the holder may hold up to this
	until   core.Instant
	level   nano // as stated last
	stated  core.Instant
	demand  core.Tokens
	largest core.Tokens
	silent  bool // did not answer: no loans are asked of it until its next Ask
}

func (b *book) entry(host core.HostID) *entry {
	i, ok := slices.BinarySearchFunc(b.entries, host, byHost)
	if !ok {
		return nil
	}
	return b.entries[i]
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

func (b *book) addEntry(host core.HostID) *entry {
	i, _ := slices.BinarySearchFunc(b.entries, host, byHost)
	e := &entry{host: host}
	b.entries = slices.Insert(b.entries, i, e)
	return e
}

// reslice makes the pool what is left of the limit. Invariant Sum.
func (b *book) reslice(now core.Instant) {
	rate, burst := micros(b.limit.Rate), nanos(b.limit.Burst)
	for _, e := range b.entries {
		rate -= e.rate
		burst -= e.burst
	}
	if b.withheld {
		rate, burst = min(rate, b.ownRate), min(burst, b.ownBurst)
	}
	rate, burst = max(rate, 0), max(burst, 0)
	b.pool.cut(now, rate, burst)
	b.pool.grow(now, max(rate-b.pool.rate, 0), max(burst-b.pool.burst, 0), 0)
}

// spendable is the right to charge the pool: Acting, and longer than a message
// could be under way. A frozen owner may only grant.
func (m *Machine) spendable(now core.Instant, own core.Ownership, b *book) bool {
	g, ok := own.Acting(now, shardOf(b.workspace))
	return ok && b.phase == phaseOpen && g.Fence == b.fence && now.Before(g.Until)
}

// book returns the open book of a workspace that this host owns, or starts to
// open it. A book of an older fencing number is never used under a newer one
// unless the object shows that nobody owned the workspace between.
func (m *Machine) book(now core.Instant, own core.Ownership, ws core.WorkspaceID, r *Result) *book {
	b := m.books[ws]
	if b == nil {
		if owner, ok := own.Owner(shardOf(ws)); !ok || owner != m.settings.Self {
			return nil
		}
	}
	g, acting := own.Acting(now, shardOf(ws))
	if acting && g.Fence > m.departed[ws] && (b == nil || b.fence < g.Fence) {
		b = m.takeOver(now, ws, b, g, r)
	}
	if b == nil || b.phase != phaseOpen {
		return nil
	}
	if acting {
		b.acted = g.Until
		b.frozen = false
		return b
	}
	if !own.Serving(now, shardOf(ws)) || !now.Before(b.acted.Add(m.settings.Horizon)) {
		return nil
	}
	if !b.frozen {
		b.frozen, b.stir = true, true
	}
	return b
}

// bookCheck is the time between looks through a book.
const bookCheck = time.Second

// bookDue does an owner's periodic work for one workspace.
func (m *Machine) bookDue(now core.Instant, own core.Ownership, ws core.WorkspaceID, r *Result) {
	b := m.books[ws]
	if b == nil {
		return
	}
	b.due = false
	if owner, ok := own.Owner(shardOf(ws)); ok && owner != m.settings.Self && !own.Serving(now, shardOf(ws)) {
		if g, acting := own.Acting(now, shardOf(ws)); !acting || g.Fence != b.fence {
			delete(m.books, ws)
			return
		}
	}
	m.bookAgain(now, b)
	if m.book(now, own, ws, r) != b {
		if b.phase != phaseOpen && !b.writing { // the last call failed
			m.readList(b, r)
		}
		return
	}
	m.look(now, own, b, r)
}

func (m *Machine) bookAgain(now core.Instant, b *book) {
	if !b.due {
		b.due = true
		m.agenda.add(task{at: now.Add(bookCheck), duty: dutyBook, workspace: b.workspace})
	}
}

// look takes lapsed shares back, ends withholding and keeps the list short.
func (m *Machine) look(now core.Instant, own core.Ownership, b *book, r *Result) {
	if m.spendable(now, own, b) {
		m.reclaim(now, b)
		m.listHomes(own, b, r)
		m.settleList(own, b, r)
	}
	if b.withheld && (len(b.unheard) == 0 || !now.Before(b.withheldTo)) {
		b.withheld, b.unheard = false, nil
		b.reslice(now)
	}
	if b.withheld {
		m.recall(b, b.unheard, r)
	}
	if b.stir {
		b.stir = false
		m.recall(b, b.listed, r)
	}
	m.even(now, b, r)
}

// even moves slices before the next regular Ask: hosts that hold too much are
// asked first, and at the next look those that got too little.
func (m *Machine) even(now core.Instant, b *book, r *Result) {
	m.recall(b, b.refill, r)
	b.refill = nil
	if b.frozen || b.withheld || now.Sub(b.stirred) < m.settings.Urgent {
		return
	}
	if len(b.starved) == 0 && !m.poolStarved(now, b) {
		return
	}
	m.recall(b, m.holdTooMuch(now, b), r)
	b.refill, b.starved, b.stirred = b.starved, nil, now
}

// reclaim takes lapsed shares back: their holders stopped spending earlier.
func (m *Machine) reclaim(now core.Instant, b *book) {
	n := len(b.entries)
	b.entries = slices.DeleteFunc(b.entries, func(e *entry) bool {
		return !now.Before(e.until)
	})
	if len(b.entries) < n {
		m.stats.Reclaimed += uint64(n - len(b.entries))
		b.reslice(now)
	}
}

func (m *Machine) recall(b *book, hosts []core.HostID, r *Result) {
	for _, h := range hosts {
		if h != m.settings.Self {
			r.Send(h, Message{Recall: &Recall{Workspace: b.workspace, Fence: b.fence}})
		}
	}
}

// onAsk books what a holder states and answers with its share.
func (m *Machine) onAsk(now core.Instant, own core.Ownership, from core.HostID, a Ask, r *Result) {
	b := m.book(now, own, a.Workspace, r)
	if b == nil || a.Fence > b.fence {
		return
	}
	if a.Fence < b.fence && (a.Fence == 0 || a.Fence != b.prior) {
		m.recall(b, []core.HostID{from}, r) // it has to promise first
		return
	}
	restated := b.heard(from)
	e := m.book2entry(now, b, from, a, restated)
	if e == nil {
		m.list(own, b, from, r)
		m.shareNothing(b, from, a, r)
		return
	}
	if a.Only {
		return
	}
	m.cutShare(now, b, e)
	m.share(now, own, b, e, a.Sent, r)
}

// heard notes that a host restated what it holds, and reports whether that was
// waited for.
func (b *book) heard(host core.HostID) bool {
	n := len(b.unheard)
	b.unheard = slices.DeleteFunc(b.unheard, func(h core.HostID) bool { return h == host })
	return len(b.unheard) < n
}

// book2entry books an Ask. Nil where the host is not listed yet, so may not be
// granted anything. What a host states counts only where it was waited for: the
// share of a host without an entry has ended otherwise, and the Ask is late.
func (m *Machine) book2entry(now core.Instant, b *book, from core.HostID, a Ask, restated bool) *entry {
	e := b.entry(from)
	if e == nil {
		if _, ok := slices.BinarySearch(b.listed, from); !ok {
			return nil
		}
		e = b.addEntry(from)
		e.seq = a.Applied
		b.seq = max(b.seq, a.Applied)
		if restated && b.withheld {
			e.rate, e.burst = microRate(max(a.Rate, 0)), nano(max(a.Burst, 0))
		}
		e.toRate, e.toBurst = e.rate, e.burst
		e.until = now.Add(longer(m.settings.Term, m.settings.DriftPPM))
		b.reslice(now)
	}
	b.confirm(now, e, a)
	e.level, e.stated = min(nano(a.Level), e.burst), now
	e.demand, e.largest, e.silent = a.Demand, a.Largest, false
	return e
}

// confirm lowers an entry to what its holder states, once it has applied the
// last share, and takes in the level it released with that share.
func (b *book) confirm(now core.Instant, e *entry, a Ask) {
	if a.Applied != e.seq {
		return
	}
	rate, burst := min(e.rate, microRate(max(a.Rate, 0))), min(e.burst, nano(max(a.Burst, 0)))
	freed := e.burst - burst
	e.rate, e.burst = rate, burst
	b.reslice(now)
	level := max(nano(a.Left), 0)
	if e.open {
		e.open = false
		level += max(nano(a.Released), 0)
	}
	b.pool.level = min(b.pool.level+min(level, freed), b.pool.limit())
	b.pool.sample()
}

// share sends a holder what the book says of it. Sent again it is the same.
func (m *Machine) share(now core.Instant, own core.Ownership, b *book, e *entry, echo core.Instant, r *Result) {
	term := min(m.settings.Term, b.acted.Add(m.settings.Horizon).Sub(now))
	if term <= 0 {
		return
	}
	if g, ok := own.Acting(now, shardOf(b.workspace)); ok && g.Fence != b.fence {
		return
	}
	e.until = max(e.until, now.Add(longer(term, m.settings.DriftPPM)))
	r.Send(e.host, Message{Share: &Share{
		Workspace: b.workspace, Fence: b.fence, Seq: e.seq,
		Rate: int64(e.toRate), Burst: int64(e.toBurst), Added: int64(e.added),
		TotalRate: b.limit.Rate, TotalBurst: b.limit.Burst, Echo: echo, Term: term,
	}})
}

// shareNothing answers a host that holds nothing and gets nothing now.
func (m *Machine) shareNothing(b *book, to core.HostID, a Ask, r *Result) {
	r.Send(to, Message{Share: &Share{
		Workspace: b.workspace, Fence: b.fence, Seq: a.Applied, TotalRate: b.limit.Rate,
		TotalBurst: b.limit.Burst, Echo: a.Sent, Term: m.settings.Term,
	}})
}
