// Package shard decides which host may order which replicas. The replicas are
// dealt to a fixed number of shards; each shard has one lease, an object in the
// platform's store that is renewed by conditional updates.
//
// Replicas need not check fencing numbers. What keeps two hosts from ordering
// one replica at the same time is time alone: a holder orders only for Term
// after it sent the last renewal that was acknowledged, and a successor writes
// its name only after it has itself seen the lease unchanged for Term plus Gap.
package shard

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
)

// Prefix begins the keys of all leases.
const Prefix = "gentiancroft-shards/"

// scoreKind separates the scores of shards from those of other things.
const scoreKind = 17

// Settings of the leases.
type Settings struct {
	Self  core.HostID // this machine's name, the same over restarts
	Count int         // of shards
	Term  time.Duration
	Renew time.Duration // between two renewals, well within Term
	Gap   time.Duration // between the orders of two holders
	Turn  time.Duration // that the next best successor waits longer
	Meet  time.Duration // from the start, for the hosts to find each other
}

// Defaults of Settings.
const (
	DefaultCount = 4
	DefaultTerm  = 5 * time.Second
	DefaultRenew = 1100 * time.Millisecond
	DefaultGap   = 3300 * time.Millisecond
	DefaultTurn  = 700 * time.Millisecond
)

// maxUnanswered is how long a call may stay open before the lease is tried again.
const maxUnanswered = 1500 * time.Millisecond

// Record is a lease as it stands in the store.
type Record struct {
	Holder   core.HostID `json:"holder"`
	Fence    core.Fence  `json:"fence"` // rises with each holder
	Renewals uint64      `json:"renewals"`
	Released bool        `json:"released"`

	// Levels are how full the workspaces' buckets were at the renewal, as parts of
	// their bursts, for hosts that start.
	Levels map[core.WorkspaceID]float64 `json:"levels,omitempty"`
}

type lease struct {
	record  Record
	version uint64       // in the store; 0: not there
	seen    core.Instant // when this version was first seen
	until   core.Instant // this host may order until then
	asked   core.Instant // when the open call was sent; 0: none is open
	due     core.Instant // next renewal
}

// Call is a write that the machine wants done; give its end to Written.
type Call struct {
	Shard  int
	Sent   core.Instant
	Object core.ObjectCall
	record Record
}

// Machine is one host's part in the leases.
type Machine struct {
	settings Settings
	leases   []lease
	of       map[core.UpstreamID]int // shards of replicas, worked out before
	listed   bool                    // the leases have been read at least once
	leaving  bool
	levels   func() map[core.WorkspaceID]float64 // nil: writes carry none
}

// New returns a machine that holds nothing.
func New(s Settings) *Machine {
	if s.Count <= 0 {
		s.Count = DefaultCount
	}
	if s.Term <= 0 {
		s.Term = DefaultTerm
	}
	if s.Renew <= 0 {
		s.Renew = DefaultRenew
	}
	if s.Gap <= 0 {
		s.Gap = DefaultGap
	}
	if s.Turn <= 0 {
		s.Turn = DefaultTurn
	}
	return &Machine{settings: s, leases: make([]lease, s.Count), of: map[core.UpstreamID]int{}}
}

// Count is how many shards there are.
func (m *Machine) Count() int { return len(m.leases) }

// rememberedMost bounds the shards that are remembered, of replicas long gone too.
const rememberedMost = 4096

// Of returns the shard of a replica.
func (m *Machine) Of(id core.UpstreamID) int {
	if shard, ok := m.of[id]; ok {
		return shard
	}
	if len(m.of) >= rememberedMost {
		clear(m.of)
	}
	shard := int(core.Score("", scoreKind, string(id)) % uint64(len(m.leases)))
	m.of[id] = shard
	return shard
}

// ActsAny reports whether this host may order any replicas now.
func (m *Machine) ActsAny(now core.Instant) bool {
	for i := range m.leases {
		if now.Before(m.leases[i].until) {
			return true
		}
	}
	return false
}

// Acting returns the fencing number under which this host may order a shard's
// replicas now. Ask again before every send.
func (m *Machine) Acting(now core.Instant, shard int) (core.Fence, bool) {
	l := &m.leases[shard]
	return l.record.Fence, now.Before(l.until)
}

// Holder is who holds a shard, as far as this host has seen, "" where nobody does.
func (m *Machine) Holder(shard int) core.HostID {
	l := &m.leases[shard]
	if l.record.Released {
		return ""
	}
	return l.record.Holder
}

// Read takes the leases as listed. A stale list only delays a takeover.
func (m *Machine) Read(now core.Instant, objects []core.Object) {
	m.listed = true
	for _, o := range objects {
		i, err := strconv.Atoi(o.Key[min(len(Prefix), len(o.Key)):])
		if err != nil || i < 0 || i >= len(m.leases) {
			continue
		}
		m.observe(now, i, o)
	}
}

func (m *Machine) observe(now core.Instant, i int, o core.Object) {
	l := &m.leases[i]
	if o.Version <= l.version {
		return
	}
	var r Record
	if json.Unmarshal(o.Value, &r) != nil {
		r = Record{} // not ours: taken over like any other lease that is not renewed
	}
	if r.Holder != m.settings.Self {
		l.until = 0
	}
	l.record, l.version, l.seen = r, o.Version, now
}

// Carry sets what gives the levels that writes carry.
func (m *Machine) Carry(levels func() map[core.WorkspaceID]float64) { m.levels = levels }

// Levels are those of the lease that was written last, as far as can be told.
func (m *Machine) Levels() map[core.WorkspaceID]float64 {
	var latest *lease
	for i := range m.leases {
		if l := &m.leases[i]; l.record.Levels != nil && (latest == nil || l.version > latest.version) {
			latest = l
		}
	}
	if latest == nil {
		return nil
	}
	return latest.record.Levels
}

// Leave gives all leases up and takes none any more.
func (m *Machine) Leave() { m.leaving = true }

// Tick returns the writes that are due. Members gives the hosts that are there.
func (m *Machine) Tick(now core.Instant, members func() []core.HostID) []Call {
	if !m.listed {
		return nil
	}
	var calls []Call
	for i := range m.leases {
		l := &m.leases[i]
		if l.asked != 0 && now.Sub(l.asked) < maxUnanswered {
			continue
		}
		l.asked = 0
		if c, ok := m.next(now, i, l, members); ok {
			l.asked = now
			calls = append(calls, c)
		}
	}
	return calls
}

func (m *Machine) next(now core.Instant, i int, l *lease, members func() []core.HostID) (Call, bool) {
	mine := l.version != 0 && l.record.Holder == m.settings.Self && !l.record.Released
	switch {
	case m.leaving && mine && l.until != 0:
		l.until = 0
		r := l.record
		r.Released = true
		return m.write(now, i, l, r), true
	case m.leaving:
		return Call{}, false
	case mine && l.until == 0: // of an earlier process of this machine, or of a write without an answer
		return m.write(now, i, l, m.successor(l)), true
	case mine && now >= l.due:
		l.due = now.Add(m.settings.Renew)
		r := l.record
		if !now.Before(l.until) { // it has run out: orders go on under a new number
			r.Fence++
		}
		r.Renewals++
		return m.write(now, i, l, r), true
	case !mine && m.free(now, i, l, members):
		return m.write(now, i, l, m.successor(l)), true
	}
	return Call{}, false
}

// successor is the record of a new holder.
func (m *Machine) successor(l *lease) Record {
	return Record{Holder: m.settings.Self, Fence: l.record.Fence + 1}
}

// free reports whether a lease may be taken by this host now.
func (m *Machine) free(now core.Instant, i int, l *lease, members func() []core.HostID) bool {
	wait := m.settings.Term + m.settings.Gap
	if l.record.Released {
		wait = m.settings.Gap
	}
	from := l.seen
	if l.version == 0 {
		from, wait = 0, m.settings.Meet
	}
	if now.Sub(from) < wait {
		return false
	}
	turn := time.Duration(m.rank(i, members())) * m.settings.Turn
	return now.Sub(from) >= wait+turn
}

// rank is this host's place among those that could take a shard; a host that is not
// one of them comes last.
func (m *Machine) rank(i int, members []core.HostID) int {
	order := core.RendezvousN(members, scoreKind, strconv.Itoa(i), len(members))
	if rank := slices.Index(order, m.settings.Self); rank >= 0 {
		return rank
	}
	return len(members)
}

func (m *Machine) write(now core.Instant, i int, l *lease, r Record) Call {
	if m.levels != nil {
		r.Levels = m.levels()
	}
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	c := core.ObjectCall{Op: core.ObjectUpdate, Key: Prefix + strconv.Itoa(i), Value: value, IfVersion: l.version}
	if l.version == 0 {
		c.Op = core.ObjectCreate
	}
	return Call{Shard: i, Sent: now, Object: c, record: r}
}

// Written takes the end of a write.
func (m *Machine) Written(now core.Instant, c Call, result core.ObjectResult) {
	l := &m.leases[c.Shard]
	l.asked = 0
	switch result.Status {
	case core.ObjectOK:
		if result.Object.Version < l.version {
			return // a later version has been read meanwhile
		}
		l.record, l.version, l.seen = c.record, result.Object.Version, now
		l.until = 0
		if !c.record.Released && !m.leaving {
			l.until = c.Sent.Add(m.settings.Term)
			l.due = c.Sent.Add(m.settings.Renew)
		}
	case core.ObjectConflict:
		if result.Object.Version != 0 {
			m.observe(now, c.Shard, result.Object)
		}
	case core.ObjectNotFound:
		l.version, l.record = 0, Record{Fence: l.record.Fence}
	}
}
