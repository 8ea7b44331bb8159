// Package suspect bounds the upstreams that one crashing request can take.
//
// Every request's fingerprint has a home host, the same for all entry hosts.
// Before a dispatch the entry host claims (fingerprint, upstream) at the home,
// in parallel with asking the upstream's owner. The home lets an unproven
// fingerprint run on at most Budget distinct upstreams at a time, less those it
// has already taken. A fingerprint that was running on an upstream which died
// is a suspect; suspects run one at a time, and no two on one upstream. A
// suspect that completes is cleared, one that takes a second upstream is
// refused everywhere.
package suspect

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// Budget is how many upstreams one crashing request may take from the fleet.
const Budget = 2

// Bounds on what one host keeps.
const (
	maxCases   = 16384 // fingerprints at their home
	maxWaiting = 64    // suspects that wait for one upstream
	maxStrikes = 8192  // strikes learned from others
	expireStep = 256   // fingerprints looked at in one tick
)

// Times.
const (
	ConvictionTerm = 24 * time.Hour         // how long a fingerprint stays refused
	suspicionTerm  = time.Hour              // how long one strike counts
	clearedTerm    = 10 * time.Minute       // how long a completed run speaks for a fingerprint
	claimTerm      = time.Minute            // a claim not renewed by then is forgotten
	renewEvery     = 20 * time.Second       // a running request's claim is renewed
	claimWait      = 250 * time.Millisecond // before the second home is asked
	silentTerm     = 5 * time.Second        // a home that did not answer is passed over
	apartWait      = 20 * time.Second       // how long a suspect waits for its turn
	secondWait     = 250 * time.Millisecond // how long an unproven request waits for a second upstream
	deathSlack     = time.Second            // between a death and the last report of it, beyond the claim's age
	lingerTerm     = 3 * time.Second        // how long a cut request may yet be the cause of a death
	sameDeath      = time.Minute            // an unclaimed report of the same upstream is of the same death
	busyRetry      = time.Second
	convictRetry   = 0 // asking again does not help
)

// Request is a request at its entry host that is about to be dispatched.
type Request struct {
	ID          core.RequestID
	Fingerprint uint64
	Upstream    core.UpstreamID
}

// End is how a claimed dispatch ended.
type End uint8

// Ends of a dispatch.
const (
	EndOK      End = iota + 1 // completed: the fingerprint is cleared
	EndDied                   // the upstream died while it ran
	EndNotSent                // surely not dispatched
	EndCut                    // cancelled or failed: proves nothing, and the upstream may yet die of it
)

// Strike says that a fingerprint was running on upstreams that died.
type Strike struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"` // 0: cleared
	Serial      uint64 `cbor:"3,keyasint"` // rises with each change of this fingerprint
}

// Decision answers a claim. Exactly one comes for each, unless it was released
// before; a second one, Revoked, may follow an Allowed one.
type Decision struct {
	ID      core.RequestID
	Allowed bool
	Revoked bool              // the upstream died since: if not dispatched yet, refuse it or claim anew
	Suspect bool              // run it apart: never in one batch with another suspect
	Use     []core.UpstreamID // not allowed: upstreams where a claim would be
	Refusal *core.Refusal     // not allowed
	Reason  string
}

// Result is what one event gave.
type Result struct {
	core.Output[Message]
	Decisions []Decision
	Publish   []Strike // to be spread to all hosts by fingerprint, the highest serial wins
}

// Kinds of name whose rendezvous host is a home.
const (
	homeOfFingerprint uint8 = 101
	homeOfUpstream    uint8 = 102
)

// claim is this host's own request, from Claim to Release.
type claim struct {
	id      claimID
	req     Request
	since   core.Instant
	asked   []core.HostID // homes that may know of it
	epoch   uint64        // in which the last of them was the home
	tries   int
	due     core.Instant // of the next try, or of the next renewal
	decided bool
	apart   bool              // runs as a suspect, or waits to
	use     []core.UpstreamID // where it may run instead of waiting
	cut     bool              // over for the request; kept until due
}

// Machine decides for one host, as an entry host and as a home.
type Machine struct {
	self    core.HostID
	rng     *core.Rand
	hosts   []core.HostID                // the membership in force
	epoch   uint64                       // rises when homes may have moved
	silent  map[core.HostID]core.Instant // homes that did not answer, until when they are passed over
	serial  uint64
	claims  map[claimID]*claim
	present map[core.RequestID]*claim // the claim of each request that is not over
	order   []claimID                 // of claims, oldest first; may name ended ones
	cases   map[uint64]*record
	aged    []uint64 // of cases, in order of expiry checks
	learned map[uint64]learnedStrike
	heard   []uint64 // of learned, oldest first
	lanes   map[core.UpstreamID]*lane
	laned   []core.UpstreamID
	out     Result
}

// New returns a machine that knows no fingerprints.
func New(self core.HostID, rng *core.Rand) *Machine {
	return &Machine{
		self:    self,
		rng:     rng,
		silent:  map[core.HostID]core.Instant{},
		claims:  map[claimID]*claim{},
		present: map[core.RequestID]*claim{},
		cases:   map[uint64]*record{},
		learned: map[uint64]learnedStrike{},
		lanes:   map[core.UpstreamID]*lane{},
	}
}

// begin starts an event's result and reports whether the membership changed.
func (m *Machine) begin(own core.Ownership) bool {
	m.out = Result{}
	if own == nil {
		return false
	}
	members := own.Members()
	same := len(members) == len(m.hosts)
	for i := 0; same && i < len(members); i++ {
		same = members[i].Host == m.hosts[i]
	}
	if same {
		return false
	}
	m.epoch++
	m.hosts = make([]core.HostID, 0, len(members))
	for _, x := range members {
		m.hosts = append(m.hosts, x.Host)
	}
	return true
}

// Claim asks for leave to dispatch a request.
func (m *Machine) Claim(now core.Instant, own core.Ownership, r Request) Result {
	m.begin(own)
	if m.struck(now, r.Fingerprint) >= Budget {
		m.decide(Decision{ID: r.ID, Refusal: convicted(), Reason: "convicted"})
		return m.out
	}
	if old := m.present[r.ID]; old != nil {
		m.cut(now, old)
	}
	m.serial++
	c := &claim{id: claimID(string(r.ID) + "/" + strconv.FormatUint(m.serial, 36)), req: r, since: now}
	m.claims[c.id] = c
	m.present[r.ID] = c
	m.order = append(m.order, c.id)
	m.ask(now, c)
	return m.out
}

// Release ends a claim, decided or not.
func (m *Machine) Release(now core.Instant, own core.Ownership, id core.RequestID, end End) Result {
	m.begin(own)
	c := m.present[id]
	switch {
	case c == nil:
	case end == EndCut && c.decided:
		m.cut(now, c)
	default:
		m.end(now, c, end)
	}
	return m.out
}

// cut keeps a claim for as long as its upstream may yet die of it.
func (m *Machine) cut(now core.Instant, c *claim) {
	delete(m.present, c.req.ID)
	c.cut = true
	c.due = now.Add(lingerTerm)
}

// Died reports an upstream's death with the fingerprints that were running on
// it, as far as this host knows beyond its own claims. Of its own, those that
// were cut shortly before are reported here, the others by their Release.
func (m *Machine) Died(now core.Instant, own core.Ownership, u core.UpstreamID, fingerprints []uint64) Result {
	m.begin(own)
	for _, id := range m.order {
		if c := m.claims[id]; c != nil && c.cut && c.req.Upstream == u {
			m.end(now, c, EndDied)
		}
	}
	for _, f := range fingerprints {
		if home, ok := m.home(now, f); ok {
			m.tell(now, home, Message{Release: &ReleaseMessage{Fingerprint: f, Upstream: u, End: EndDied, Age: sameDeath}})
		}
	}
	return m.out
}

// Peer takes a message from another host.
func (m *Machine) Peer(now core.Instant, own core.Ownership, from core.HostID, msg Message) Result {
	m.begin(own)
	m.handle(now, from, msg)
	return m.out
}

// Tick retries claims without an answer, renews those that run, tells a new
// home of them, and forgets what is too old.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	moved := m.begin(own)
	m.order = slices.DeleteFunc(m.order, func(id claimID) bool { return m.claims[id] == nil })
	for _, id := range slices.Clone(m.order) {
		c := m.claims[id]
		switch {
		case c.cut && !now.Before(c.due):
			m.end(now, c, EndCut)
		case c.cut:
		case c.decided && (moved || !now.Before(c.due)):
			m.renew(now, c)
		case !c.decided && !now.Before(c.due):
			m.ask(now, c)
		}
	}
	m.expire(now)
	for h, until := range m.silent {
		if !now.Before(until) {
			m.epoch++
			delete(m.silent, h)
		}
	}
	return m.out
}

// Running is how many of this host's requests hold leave, wait for it, or were
// cut just now.
func (m *Machine) Running() int { return len(m.claims) }

func (m *Machine) decide(d Decision) { m.out.Decisions = append(m.out.Decisions, d) }

// tell sends a message, or handles it here where this host is the addressee.
func (m *Machine) tell(now core.Instant, to core.HostID, msg Message) {
	if to == m.self {
		m.handle(now, m.self, msg)
		return
	}
	m.out.Send(to, msg)
}

// home is the host that decides for a fingerprint.
func (m *Machine) home(now core.Instant, f uint64) (core.HostID, bool) {
	return m.best(now, homeOfFingerprint, strconv.FormatUint(f, 16))
}

// keeper is the host that keeps suspects apart on an upstream.
func (m *Machine) keeper(now core.Instant, u core.UpstreamID) (core.HostID, bool) {
	return m.best(now, homeOfUpstream, string(u))
}

// best is the host with the highest score for a name among those that answer.
func (m *Machine) best(now core.Instant, kind uint8, name string) (core.HostID, bool) {
	best, top := core.HostID(""), uint64(0)
	for _, h := range m.hosts {
		if len(m.silent) > 0 && now.Before(m.silent[h]) {
			continue
		}
		if s := core.Score(h, kind, name); best == "" || s > top {
			best, top = h, s
		}
	}
	return best, best != ""
}

func convicted() *core.Refusal {
	return core.Refuse(core.CodeSuspect, convictRetry, "requests like this one have crashed "+strconv.Itoa(Budget)+" upstreams")
}
