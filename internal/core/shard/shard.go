// Package shard decides which host may send load and unload orders to which replicas.
// The replicas are hashed to a fixed number of shards; each shard has one lease, an
// object in the platform's store that its owner renews by conditional updates. Inputs
// are the listed leases, the results of writes and the reachable hosts; outputs are the
// writes to make. What to order is decided elsewhere.
//
// Replicas need not check fencing numbers. Two hosts are kept from ordering the same
// replica at the same time by timeouts alone: an owner orders only for the lease term
// after it sent the last acknowledged renewal, and a successor writes its name only
// after it has itself observed the lease unchanged for the term plus a gap, or released
// for the gap. A host takes back at once what an earlier process of it has released.
//
// A store that is restored from an older copy may have lost the latest owner's lease.
// Each record therefore carries the era of the store in which it was written. One of an
// earlier era doesn't show who owned the shard last: the owner, whose term still runs,
// writes it anew, and every other host waits for the whole term plus the gap. Fencing
// numbers of a later era are above all those of earlier ones.
package shard

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// Prefix is the key prefix of all leases in the store.
const Prefix = "gentiancroft-shards/"

// scoreKind separates these rendezvous scores from other uses.
const scoreKind = 17

// Settings of the leases. The count and the times take their defaults at 0 or less,
// apart from the delay after the start.
type Settings struct {
	Self           core.HostID   // this host's name, the same over restarts
	Count          int           // of shards
	Term           time.Duration // lease term: how long an acknowledged renewal permits orders
	RenewInterval  time.Duration // renewal interval, well below Term
	OwnerGap       time.Duration // minimum time between the orders of two owners
	SuccessorDelay time.Duration // extra wait for each better-ranked successor
	StartDelay     time.Duration // from the process's start until missing leases are created, so that hosts find each other first
	Joining        bool          // the deployment runs already: a missing lease may have had an owner
}

// Defaults of Settings.
const (
	DefaultCount          = 4
	DefaultTerm           = 5 * time.Second
	DefaultRenewInterval  = 1100 * time.Millisecond
	DefaultOwnerGap       = 3300 * time.Millisecond
	DefaultSuccessorDelay = 700 * time.Millisecond
)

// callTimeout is how long a write may stay unanswered before the next one is sent.
const callTimeout = 1500 * time.Millisecond

// lease is a shard's lease as last observed or written by this host.
type lease struct {
	record     Record
	revision   core.Revision // in the store; its version is 0 where the lease doesn't exist
	outdated   bool          // the store may have lost the latest owner's lease
	seenAt     core.Instant  // when this revision, or that the lease is missing, was first observed
	validUntil core.Instant  // this host may order until then; 0: it may not
	callSent   core.Instant  // when the open write was sent; 0: none is open
	renewAt    core.Instant  // when to send the next renewal
}

// Call is a write to the store. The caller passes its result back.
type Call struct {
	Shard  int
	Sent   core.Instant
	Object core.ObjectCall
	record Record
}

// Machine is one host's state of all leases.
type Machine struct {
	settings Settings
	leases   []lease
	shardOf  map[core.UpstreamID]int // cached shards of replicas
	era      uint64                  // of the store; 0: it gives none
	restored bool                    // the store has been restored since this host started
	listed   bool                    // the leases have been read in this era
	leaving  bool
	cutOff   bool                                // from all replicas
	levels   func() map[core.WorkspaceID]float64 // nil: leases are written without levels
	software func() Software                     // nil: leases are written without it
	parts    func() PartStates                   // nil: leases are written without it
	suspects func() SuspectAges                  // nil: leases are written without it
}

// New returns a machine that owns no shard.
func New(s Settings) *Machine {
	if s.Count <= 0 {
		s.Count = DefaultCount
	}
	if s.Term <= 0 {
		s.Term = DefaultTerm
	}
	if s.RenewInterval <= 0 {
		s.RenewInterval = DefaultRenewInterval
	}
	if s.OwnerGap <= 0 {
		s.OwnerGap = DefaultOwnerGap
	}
	if s.SuccessorDelay <= 0 {
		s.SuccessorDelay = DefaultSuccessorDelay
	}
	return &Machine{settings: s, leases: make([]lease, s.Count), shardOf: map[core.UpstreamID]int{}}
}

// Count returns the number of shards.
func (m *Machine) Count() int { return len(m.leases) }

// maxCachedShards bounds the cache of replicas' shards, which keeps removed replicas
// too.
const maxCachedShards = 4096

// Of returns the shard of a replica.
func (m *Machine) Of(id core.UpstreamID) int {
	if shard, ok := m.shardOf[id]; ok {
		return shard
	}
	if len(m.shardOf) >= maxCachedShards {
		clear(m.shardOf)
	}
	shard := int(core.Score("", scoreKind, string(id)) % uint64(len(m.leases)))
	m.shardOf[id] = shard
	return shard
}

// OwnsAny reports whether this host may order any replicas now.
func (m *Machine) OwnsAny(now core.Instant) bool {
	for i := range m.leases {
		if now.Before(m.leases[i].validUntil) {
			return true
		}
	}
	return false
}

// OrderFence returns the fencing number under which this host may order a shard's
// replicas now, and false if it may not. Callers check it before every send.
func (m *Machine) OrderFence(now core.Instant, shard int) (core.Fence, bool) {
	l := &m.leases[shard]
	return l.record.Fence, now.Before(l.validUntil)
}

// OrderTimeLeft returns for how much longer this host may order a shard's replicas, unless it renews the
// lease. An order that has no answer by then must be given up.
func (m *Machine) OrderTimeLeft(now core.Instant, shard int) time.Duration {
	return max(m.leases[shard].validUntil.Sub(now), 0)
}

// Owner returns a shard's owner as last observed, "" if there is none.
func (m *Machine) Owner(shard int) core.HostID {
	l := &m.leases[shard]
	if l.record.Released {
		return ""
	}
	return l.record.Owner
}

// SetLevels sets the function that returns the bucket levels stored with each lease.
func (m *Machine) SetLevels(levels func() map[core.WorkspaceID]float64) { m.levels = levels }

// SetSoftware sets the function that returns what is stored of software versions with each lease.
func (m *Machine) SetSoftware(software func() Software) { m.software = software }

// SetPartStates sets the function that returns the states of prompt parts stored with each lease.
func (m *Machine) SetPartStates(parts func() PartStates) { m.parts = parts }

// SetSuspects sets the function that returns the suspects stored with each lease.
func (m *Machine) SetSuspects(suspects func() SuspectAges) { m.suspects = suspects }

// Levels returns the bucket levels of the lease with the latest known revision, nil if
// no lease has any. Levels of an earlier era don't count: the store may have lost later
// ones.
func (m *Machine) Levels() map[core.WorkspaceID]float64 {
	var latest *lease
	for i := range m.leases {
		if l := &m.leases[i]; l.record.Levels != nil && !l.outdated && (latest == nil || latest.revision.Before(l.revision)) {
			latest = l
		}
	}
	if latest == nil {
		return nil
	}
	return latest.record.Levels
}

// Leave makes the host release its leases and take over no more.
func (m *Machine) Leave() { m.leaving = true }

// SetCutOff makes a host that reaches no replica release its leases and take over none until it is
// called with false.
func (m *Machine) SetCutOff(cutOff bool) { m.cutOff = cutOff }

// yields reports whether this host gives up its leases.
func (m *Machine) yields() bool { return m.leaving || m.cutOff }

// Tick returns the writes that are due. Members returns the names of the hosts that
// may take over. It returns none before the leases have been listed once.
func (m *Machine) Tick(now core.Instant, members func() []core.HostID) []Call {
	if !m.listed {
		return nil
	}
	var calls []Call
	for i := range m.leases {
		l := &m.leases[i]
		if l.callSent != 0 && now.Sub(l.callSent) < callTimeout {
			continue
		}
		l.callSent = 0
		if c, ok := m.nextWrite(now, i, l, members); ok {
			l.callSent = now
			calls = append(calls, c)
		}
	}
	return calls
}

// nextWrite returns the write that is due for a lease, and false if there is none.
func (m *Machine) nextWrite(now core.Instant, i int, l *lease, members func() []core.HostID) (Call, bool) {
	valid := now.Before(l.validUntil)
	mine := l.record.Owner == m.settings.Self && !l.record.Released && (valid || l.revision.Version != 0 && !l.outdated)
	switch {
	case m.yields() && mine && l.validUntil != 0:
		l.validUntil = 0
		r := l.record
		r.Released = true
		return m.write(now, i, l, r), true
	case m.yields():
		return Call{}, false
	case mine && l.validUntil == 0: // written by an earlier process of this host, or by a write without an answer
		return m.write(now, i, l, m.takeoverRecord(l)), true
	case mine && now >= l.renewAt:
		l.renewAt = now.Add(m.settings.RenewInterval)
		r := l.record
		if !valid || l.outdated { // expired, or lost by the store: later orders need a new fencing number
			r.Fence = m.nextFence(r.Fence)
		}
		r.Renewals++
		return m.write(now, i, l, r), true
	case !mine && m.mayTakeOver(now, i, l, members):
		return m.write(now, i, l, m.takeoverRecord(l)), true
	}
	return Call{}, false
}

// takeoverRecord is the record with this host as the new owner.
func (m *Machine) takeoverRecord(l *lease) Record {
	return Record{Owner: m.settings.Self, Fence: m.nextFence(l.record.Fence)}
}

// mayTakeOver reports whether this host may write its name into a lease now.
func (m *Machine) mayTakeOver(now core.Instant, i int, l *lease, members func() []core.HostID) bool {
	wait := m.settings.Term + m.settings.OwnerGap
	if l.record.Released && !l.outdated {
		if l.record.Owner == m.settings.Self {
			return true // an earlier process of this host was the last to order
		}
		wait = m.settings.OwnerGap
	}
	since := l.seenAt
	if l.revision.Version == 0 && !l.outdated {
		since, wait = 0, m.settings.StartDelay
	}
	if now.Sub(since) < wait {
		return false
	}
	delay := time.Duration(m.rank(i, members())) * m.settings.SuccessorDelay
	return now.Sub(since) >= wait+delay
}

// rank is this host's place among the possible successors for a shard, 0 for the best;
// a host that isn't a member comes last.
func (m *Machine) rank(i int, members []core.HostID) int {
	order := core.RendezvousN(members, scoreKind, strconv.Itoa(i), len(members))
	if rank := slices.Index(order, m.settings.Self); rank >= 0 {
		return rank
	}
	return len(members)
}

// write returns the call that stores a record if the lease is unchanged.
func (m *Machine) write(now core.Instant, i int, l *lease, r Record) Call {
	if m.levels != nil {
		r.Levels = m.levels()
	}
	if m.software != nil {
		s := m.software()
		r.Software, r.SoftwareKnownMS = s.Ages, s.Known.Milliseconds()
	}
	if m.parts != nil {
		r.Parts = m.parts()
	}
	if m.suspects != nil {
		r.Suspects = m.suspects()
	}
	r.Era = m.era
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	c := core.ObjectCall{Op: core.ObjectUpdate, Key: Prefix + strconv.Itoa(i), Value: value, IfVersion: l.revision.Version}
	if l.revision.Version == 0 {
		c.Op = core.ObjectCreate
	}
	return Call{Shard: i, Sent: now, Object: c, record: r}
}

// ApplyWriteResult applies the result of a write.
func (m *Machine) ApplyWriteResult(now core.Instant, c Call, result core.ObjectResult) {
	l := &m.leases[c.Shard]
	l.callSent = 0
	switch result.Status {
	case core.ObjectOK:
		if result.Object.Revision().Before(l.revision) {
			return // a later revision has been observed since the write was sent
		}
		if result.Era != c.record.Era {
			// The store was restored meanwhile: the condition held for another state of it.
			stored := result.Object
			stored.Value = c.Object.Value
			m.observe(now, c.Shard, stored)
			return
		}
		l.record, l.revision, l.seenAt, l.outdated = c.record, result.Object.Revision(), now, false
		l.validUntil = 0
		if !c.record.Released && !m.yields() {
			l.validUntil = c.Sent.Add(m.settings.Term)
			l.renewAt = c.Sent.Add(m.settings.RenewInterval)
		}
	case core.ObjectConflict:
		if result.Object.Version != 0 {
			m.observe(now, c.Shard, result.Object)
		}
	case core.ObjectNotFound:
		if l.revision.Era <= result.Era {
			m.observeMissing(now, l)
		}
	}
}
