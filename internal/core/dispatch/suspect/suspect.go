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
)

// Times.
const (
	ConvictionTerm = 24 * time.Hour         // how long a fingerprint stays refused
	suspicionTerm  = time.Hour              // how long one strike counts
	clearedTerm    = 10 * time.Minute       // how long a completed run speaks for a fingerprint
	claimTerm      = 15 * time.Minute       // a claim not released by then is forgotten
	claimWait      = 250 * time.Millisecond // before the second home is asked
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
	EndOK    End = iota + 1 // completed: the fingerprint is cleared
	EndDied                 // the upstream died while it ran
	EndOther                // not dispatched, cancelled or failed without a death: proves nothing
)

// Strike says that a fingerprint was running on upstreams that died.
type Strike struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"` // 0: cleared
	Serial      uint64 `cbor:"3,keyasint"` // rises with each change of this fingerprint
}

// Decision answers a claim. Exactly one comes for each, unless it was released
// before.
type Decision struct {
	ID      core.RequestID
	Allowed bool
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

// Message is what hosts tell each other; exactly one field is set.
type Message struct {
	Claim   *ClaimMessage   `cbor:"1,keyasint,omitempty"`
	Verdict *VerdictMessage `cbor:"2,keyasint,omitempty"`
	Release *ReleaseMessage `cbor:"3,keyasint,omitempty"`
	Apart   *ApartMessage   `cbor:"4,keyasint,omitempty"`
	Free    *FreeMessage    `cbor:"5,keyasint,omitempty"`
}

// ClaimMessage asks a fingerprint's home for leave to run.
type ClaimMessage struct {
	ID          core.RequestID  `cbor:"1,keyasint"`
	Fingerprint uint64          `cbor:"2,keyasint"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	Running     bool            `cbor:"4,keyasint,omitempty"` // it runs already: the home is new
}

// VerdictMessage answers a claim.
type VerdictMessage struct {
	ID      core.RequestID    `cbor:"1,keyasint"`
	Allowed bool              `cbor:"2,keyasint"`
	Suspect bool              `cbor:"3,keyasint,omitempty"`
	Struck  int               `cbor:"4,keyasint,omitempty"`
	Use     []core.UpstreamID `cbor:"5,keyasint,omitempty"`
}

// ReleaseMessage ends a claim.
type ReleaseMessage struct {
	ID          core.RequestID  `cbor:"1,keyasint"` // "": a death seen without a claim
	Fingerprint uint64          `cbor:"2,keyasint"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	End         End             `cbor:"4,keyasint"`
}

// ApartMessage asks the host that keeps suspects apart on an upstream.
type ApartMessage struct {
	ID       core.RequestID  `cbor:"1,keyasint"`
	Entry    core.HostID     `cbor:"2,keyasint"` // who gets the verdict
	Upstream core.UpstreamID `cbor:"3,keyasint"`
}

// FreeMessage ends an ApartMessage's hold, or its wait.
type FreeMessage struct {
	ID       core.RequestID  `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint"`
}

// Kinds of name whose rendezvous host is a home.
const (
	homeOfFingerprint uint8 = 101
	homeOfUpstream    uint8 = 102
)

// claim is this host's own request, from Claim to Release.
type claim struct {
	req     Request
	home    core.HostID
	tries   int
	due     core.Instant // of the next try while waiting
	decided bool
	allowed bool
	apart   bool // runs as a suspect
}

// Machine decides for one host, as an entry host and as a home.
type Machine struct {
	self    core.HostID
	rng     *core.Rand
	own     core.Ownership
	claims  map[core.RequestID]*claim
	order   []core.RequestID // of claims, oldest first
	cases   map[uint64]*record
	aged    []uint64 // of cases, oldest first
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
		claims:  map[core.RequestID]*claim{},
		cases:   map[uint64]*record{},
		learned: map[uint64]learnedStrike{},
		lanes:   map[core.UpstreamID]*lane{},
	}
}

func (m *Machine) begin(own core.Ownership) {
	m.out = Result{}
	if own != nil {
		m.own = own
	}
}

// Claim asks for leave to dispatch a request.
func (m *Machine) Claim(now core.Instant, own core.Ownership, r Request) Result {
	m.begin(own)
	if m.struck(now, r.Fingerprint) >= Budget {
		m.decide(Decision{ID: r.ID, Refusal: convicted(), Reason: "convicted"})
		return m.out
	}
	c := &claim{req: r}
	m.claims[r.ID] = c
	m.order = append(m.order, r.ID)
	m.ask(now, c)
	return m.out
}

// Release ends a claim, decided or not.
func (m *Machine) Release(now core.Instant, own core.Ownership, id core.RequestID, end End) Result {
	m.begin(own)
	c := m.claims[id]
	if c == nil {
		return m.out
	}
	m.forget(id)
	if c.allowed && c.home == "" {
		return m.out // allowed without a home: nobody else knows
	}
	m.tell(now, c.home, Message{Release: &ReleaseMessage{ID: id, Fingerprint: c.req.Fingerprint, Upstream: c.req.Upstream, End: end}})
	if c.apart || !c.decided {
		m.free(now, c.req)
	}
	return m.out
}

// Died reports an upstream's death with the fingerprints that were running on
// it, as far as this host knows beyond its own claims.
func (m *Machine) Died(now core.Instant, own core.Ownership, u core.UpstreamID, fingerprints []uint64) Result {
	m.begin(own)
	for _, f := range fingerprints {
		home, ok := m.home(f, 0)
		if !ok {
			continue
		}
		m.tell(now, home, Message{Release: &ReleaseMessage{Fingerprint: f, Upstream: u, End: EndDied}})
	}
	return m.out
}

// Peer takes a message from another host.
func (m *Machine) Peer(now core.Instant, own core.Ownership, from core.HostID, msg Message) Result {
	m.begin(own)
	m.handle(now, from, msg)
	return m.out
}

// Tick retries claims without an answer and moves them when homes move.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	m.begin(own)
	for _, id := range slices.Clone(m.order) {
		c := m.claims[id]
		if !c.decided && !now.Before(c.due) {
			m.ask(now, c)
		} else if c.allowed {
			m.follow(now, c)
		}
	}
	m.expire(now)
	return m.out
}

// Running is how many of this host's requests hold or wait for leave.
func (m *Machine) Running() int { return len(m.claims) }

func (m *Machine) forget(id core.RequestID) {
	delete(m.claims, id)
	if i := slices.Index(m.order, id); i >= 0 {
		m.order = slices.Delete(m.order, i, i+1)
	}
}

func (m *Machine) decide(d Decision) { m.out.Decisions = append(m.out.Decisions, d) }

// tell sends a message, or handles it here where this host is the addressee.
func (m *Machine) tell(now core.Instant, to core.HostID, msg Message) {
	if to == m.self {
		m.handle(now, m.self, msg)
		return
	}
	if to != "" {
		m.out.Send(to, msg)
	}
}

// home is the n-th choice of home of a fingerprint.
func (m *Machine) home(f uint64, n int) (core.HostID, bool) {
	return m.nth(homeOfFingerprint, strconv.FormatUint(f, 16), n)
}

func (m *Machine) nth(kind uint8, name string, n int) (core.HostID, bool) {
	if m.own == nil {
		return "", false
	}
	members := m.own.Members()
	hosts := make([]core.HostID, 0, len(members))
	for _, x := range members {
		hosts = append(hosts, x.Host)
	}
	chosen := core.RendezvousN(hosts, kind, name, n+1)
	if len(chosen) <= n {
		return "", false
	}
	return chosen[n], true
}

func convicted() *core.Refusal {
	return core.Refuse(core.CodeSuspect, convictRetry, "requests like this one have crashed "+strconv.Itoa(Budget)+" upstreams")
}
