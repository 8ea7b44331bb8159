// Package suspect limits how many upstreams one crashing request can crash.
//
// Every fingerprint of a request has a home host, chosen by rendezvous hashing,
// so all entry hosts use the same one. Before a dispatch the entry host claims
// (fingerprint, upstream) at the home, in parallel with the ticket request to the
// upstream's owner. The home lets a fingerprint that has not completed yet run on
// at most two distinct upstreams at a time, less those it has already crashed. A
// fingerprint that was running on an upstream when it crashed is a suspect:
// suspects run one at a time, and no two on one upstream. A suspect that
// completes is cleared; one that crashes a second upstream is refused everywhere.
//
// Inputs are claims and releases of the local host, messages, the membership and
// ticks. Sending, publishing the counts, dispatching and detecting crashes are
// left to the caller.
package suspect

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// MaxCrashes is the number of upstreams that one crashing request may crash.
const MaxCrashes = 2

// Bounds on what one host keeps.
const (
	maxRecords       = 16384 // fingerprints at their home
	maxQueuedPerSlot = 64    // suspects that wait for one upstream
	maxLearnedCounts = 8192  // crash counts published by others
	expiryBatch      = 256   // fingerprints checked in one tick
)

// Times.
const (
	BlockTTL              = 24 * time.Hour         // how long a fingerprint stays refused
	suspicionTTL          = time.Hour              // how long one crash counts
	clearedTTL            = 10 * time.Minute       // how long a fingerprint counts as harmless after it completed
	claimTTL              = time.Minute            // a claim that is not renewed expires
	renewInterval         = 20 * time.Second       // between renewals of a running request's claim
	claimTimeout          = 250 * time.Millisecond // before the claim is sent to the second home
	unresponsiveTTL       = 5 * time.Second        // how long a home that did not answer is skipped
	isolationTimeout      = 20 * time.Second       // how long a suspect waits for its slot
	secondUpstreamTimeout = 250 * time.Millisecond // how long a non-suspect waits for a slot on a second upstream
	crashReportSlack      = time.Second            // between a crash and its last report, beyond the claim's age
	abortedClaimTTL       = 3 * time.Second        // how long an aborted request may still be the cause of a crash
	unclaimedReportAge    = time.Minute            // reports without a claim within this time count as one crash of the upstream
	busyRetryAfter        = time.Second
	blockedRetryAfter     = 0 // none: a retry does not help
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
	EndCrashed                // the upstream crashed while it ran
	EndNotSent                // certainly not dispatched
	EndAborted                // cancelled or failed: proves nothing, and it may still crash the upstream
)

// CrashCount is the published number of upstreams that crashed while a fingerprint ran
// on them.
type CrashCount struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"` // 0: cleared
	Serial      uint64 `cbor:"3,keyasint"` // incremented with each change of this fingerprint
}

// Decision answers a claim. Each claim gets exactly one, unless it is released
// before; a revocation may follow one that was allowed.
type Decision struct {
	ID           core.RequestID
	Allowed      bool
	Revoked      bool              // the upstream has crashed: if not dispatched yet, refuse it or claim again
	Isolate      bool              // run it isolated: never in one batch with another suspect
	Alternatives []core.UpstreamID // if not allowed: upstreams where a claim would be
	Refusal      *core.Refusal     // if not allowed
	Reason       string
}

// Result is the output of one event.
type Result struct {
	core.Output[Message]
	Decisions []Decision
	Publish   []CrashCount // to be published to all hosts by fingerprint; the highest serial wins
}

// Kinds of rendezvous names: those of fingerprints, for their homes, and those of
// upstreams, for their isolation hosts.
const (
	homeOfFingerprint uint8 = 101
	homeOfUpstream    uint8 = 102
)

// claim is a request of this host, from its claim to its release.
type claim struct {
	id           claimID
	req          Request
	createdAt    core.Instant
	homes        []core.HostID // that may have a record of it
	epoch        uint64        // of the machine when the last of them was chosen
	attempts     int
	due          core.Instant // next attempt or renewal; once aborted, its removal
	decided      bool
	isolated     bool              // runs as a suspect, or waits for its slot
	alternatives []core.UpstreamID // where it may run instead of waiting
	aborted      bool              // ended for the request; retained until due
}

// Machine decides for one host in three roles: entry host, home, and isolation
// host of upstreams.
type Machine struct {
	self         core.HostID
	rng          *core.Rand
	hosts        []core.HostID                // the current membership
	epoch        uint64                       // incremented when homes may have moved
	unresponsive map[core.HostID]core.Instant // homes that did not answer, and until when they are skipped
	serial       uint64
	claims       map[claimID]*claim
	byRequest    map[core.RequestID]*claim // the claim of each request that has not ended
	claimOrder   []claimID                 // oldest first; may contain ended claims
	records      map[uint64]*fingerprintRecord
	expiryOrder  []uint64 // keys of records, in order of expiry checks
	learned      map[uint64]learnedCount
	learnedOrder []uint64 // keys of learned, oldest first
	slots        map[core.UpstreamID]*isolationSlot
	slotOrder    []core.UpstreamID // keys of slots
	out          Result
}

// New returns a machine without claims and records.
func New(self core.HostID, rng *core.Rand) *Machine {
	return &Machine{
		self:         self,
		rng:          rng,
		unresponsive: map[core.HostID]core.Instant{},
		claims:       map[claimID]*claim{},
		byRequest:    map[core.RequestID]*claim{},
		records:      map[uint64]*fingerprintRecord{},
		learned:      map[uint64]learnedCount{},
		slots:        map[core.UpstreamID]*isolationSlot{},
	}
}

// begin resets the result for a new event, applies the membership if own is not
// nil, and reports whether it changed.
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

// Claim requests permission to dispatch a request. An earlier claim of the same
// request is aborted.
func (m *Machine) Claim(now core.Instant, own core.Ownership, r Request) Result {
	m.begin(own)
	if m.crashCountOf(now, r.Fingerprint) >= MaxCrashes {
		m.decide(Decision{ID: r.ID, Refusal: blockedRefusal(), Reason: "convicted"})
		return m.out
	}
	if old := m.byRequest[r.ID]; old != nil {
		m.abortClaim(now, old)
	}
	m.serial++
	c := &claim{id: claimID(string(r.ID) + "/" + strconv.FormatUint(m.serial, 36)), req: r, createdAt: now}
	m.claims[c.id] = c
	m.byRequest[r.ID] = c
	m.claimOrder = append(m.claimOrder, c.id)
	m.sendClaim(now, c)
	return m.out
}

// Release ends the claim of a request, decided or not. Without one it does
// nothing.
func (m *Machine) Release(now core.Instant, own core.Ownership, id core.RequestID, end End) Result {
	m.begin(own)
	c := m.byRequest[id]
	switch {
	case c == nil:
	case end == EndAborted && c.decided:
		m.abortClaim(now, c)
	default:
		m.endClaim(now, c, end)
	}
	return m.out
}

// abortClaim retains a claim for as long as it may still crash its upstream.
func (m *Machine) abortClaim(now core.Instant, c *claim) {
	delete(m.byRequest, c.req.ID)
	c.aborted = true
	c.due = now.Add(abortedClaimTTL)
}

// UpstreamCrashed reports an upstream's crash and the fingerprints that ran on it without a
// claim of this host. Of this host's claims, those aborted shortly before are
// reported here, the others by their release.
func (m *Machine) UpstreamCrashed(now core.Instant, own core.Ownership, u core.UpstreamID, fingerprints []uint64) Result {
	m.begin(own)
	for _, id := range m.claimOrder {
		if c := m.claims[id]; c != nil && c.aborted && c.req.Upstream == u {
			m.endClaim(now, c, EndCrashed)
		}
	}
	for _, f := range fingerprints {
		if home, ok := m.home(now, f); ok {
			m.send(now, home, Message{Release: &ReleaseMessage{Fingerprint: f, Upstream: u, End: EndCrashed, Age: unclaimedReportAge}})
		}
	}
	return m.out
}

// HandleMessage applies a message from another host.
func (m *Machine) HandleMessage(now core.Instant, own core.Ownership, from core.HostID, msg Message) Result {
	m.begin(own)
	m.handle(now, from, msg)
	return m.out
}

// Tick retries claims without an answer, renews running ones, reports them to
// homes that have moved, and expires old state.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	moved := m.begin(own)
	m.claimOrder = slices.DeleteFunc(m.claimOrder, func(id claimID) bool { return m.claims[id] == nil })
	for _, id := range slices.Clone(m.claimOrder) {
		c := m.claims[id]
		switch {
		case c.aborted && !now.Before(c.due):
			m.endClaim(now, c, EndAborted)
		case c.aborted:
		case c.decided && (moved || !now.Before(c.due)):
			m.renew(now, c)
		case !c.decided && !now.Before(c.due):
			m.sendClaim(now, c)
		}
	}
	m.expireRecords(now)
	for h, until := range m.unresponsive {
		if !now.Before(until) {
			m.epoch++
			delete(m.unresponsive, h)
		}
	}
	return m.out
}

// OpenClaims returns the number of this host's claims: allowed, waiting, or aborted
// within the last few seconds.
func (m *Machine) OpenClaims() int { return len(m.claims) }

func (m *Machine) decide(d Decision) { m.out.Decisions = append(m.out.Decisions, d) }

// send sends a message, or handles it here if this host is the receiver.
func (m *Machine) send(now core.Instant, to core.HostID, msg Message) {
	if to == m.self {
		m.handle(now, m.self, msg)
		return
	}
	m.out.Send(to, msg)
}

// home returns the host that decides for a fingerprint; false if there is none.
func (m *Machine) home(now core.Instant, f uint64) (core.HostID, bool) {
	return m.bestHost(now, homeOfFingerprint, strconv.FormatUint(f, 16))
}

// isolationHost returns the host that isolates suspects on an upstream.
func (m *Machine) isolationHost(now core.Instant, u core.UpstreamID) (core.HostID, bool) {
	return m.bestHost(now, homeOfUpstream, string(u))
}

// bestHost returns the host with the highest score for a name among those that
// are not marked unresponsive.
func (m *Machine) bestHost(now core.Instant, kind uint8, name string) (core.HostID, bool) {
	best, top := core.HostID(""), uint64(0)
	for _, h := range m.hosts {
		if len(m.unresponsive) > 0 && now.Before(m.unresponsive[h]) {
			continue
		}
		if s := core.Score(h, kind, name); best == "" || s > top {
			best, top = h, s
		}
	}
	return best, best != ""
}

func blockedRefusal() *core.Refusal {
	return core.Refuse(core.CodeSuspect, blockedRetryAfter, "requests like this one have crashed "+strconv.Itoa(MaxCrashes)+" upstreams")
}
