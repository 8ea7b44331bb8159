package lease

import (
	"slices"

	"gentiancroft/internal/core"
)

// table is the owner of every shard under the view in force.
type table struct {
	index   map[core.Shard]*shard
	list    []*shard
	active  []core.HostID // members that don't leave, sorted
	dirty   bool          // rights may have changed
	held    bool          // Holding as of the last refresh
	changes []Change
}

// shard is one shard's owner and this host's right to it.
type shard struct {
	id      core.Shard
	owner   core.HostID
	score   uint64
	since   uint64 // the owner has owned it in every view from this one on
	custody bool   // the one who acted before has stopped, or is dead
	acting  bool   // as reported
	frozen  bool   // was acting when the lease ran out
	handed  uint64 // the latest view that it was handed over under
	pending uint64 // custody that waits for this view
}

// ChangeKind tells what became of this host's right to a shard.
type ChangeKind uint8

// Changes of a right.
const (
	Gained    ChangeKind = iota + 1 // this host may act
	Lost                            // it may not, nobody to hand over to
	Departing                       // it may not; call HandOver with the shard's state
	State                           // the state that the one before handed over
)

// Change is a change of this host's right to a shard.
type Change struct {
	Shard core.Shard
	Kind  ChangeKind
	Host  core.HostID // of Departing: the new owner; of State: the old one
	View  uint64
	State []byte // of State
}

// SetShards names the shards that exist. A new one is acted on once the view
// in force is settled.
func (m *Machine) SetShards(shards []core.Shard) {
	t := &m.shards
	keep := make(map[core.Shard]*shard, len(shards))
	list := make([]*shard, 0, len(shards))
	for _, id := range shards {
		if keep[id] != nil {
			continue
		}
		s := t.index[id]
		if s == nil {
			s = &shard{id: id, since: m.head.Version}
			s.choose(t.active)
		}
		keep[id] = s
		list = append(list, s)
	}
	for _, s := range t.list {
		if keep[s.id] == nil && s.acting {
			t.changes = append(t.changes, Change{Shard: s.id, Kind: Lost, View: m.head.Version})
		}
	}
	t.index, t.list, t.dirty = keep, list, true
}

// Changes returns what has changed since the last call.
func (m *Machine) Changes() []Change {
	c := m.shards.changes
	m.shards.changes = nil
	return c
}

// choose finds the owner among the active hosts.
func (s *shard) choose(active []core.HostID) {
	s.owner, s.score = "", 0
	for _, h := range active {
		s.offer(h)
	}
}

// offer makes a host the owner if it ranks higher.
func (s *shard) offer(h core.HostID) {
	score := core.Score(h, uint8(s.id.Kind), s.id.Name)
	if s.owner == "" || score > s.score || (score == s.score && h < s.owner) {
		s.owner, s.score = h, score
	}
}

// advance applies a newer head one version at a time. Where its log does not
// reach back, nothing is known about the views in between and every right
// begins anew.
func (m *Machine) advance(now core.Instant, h *Head) {
	if m.head.Version == 0 || h.LogFrom > m.head.Version+1 {
		m.restart(h)
		return
	}
	for v := m.head.Version + 1; v <= h.Version; v++ {
		m.step(now, v, h.Log)
	}
}

// restart takes a head without its history.
func (m *Machine) restart(h *Head) {
	t := &m.shards
	t.active = t.active[:0]
	for i := range h.Members {
		if !h.Members[i].Leaving {
			t.active = append(t.active, h.Members[i].Host)
		}
	}
	for _, s := range t.list {
		s.choose(t.active)
		s.since, s.custody, s.frozen = h.Version, false, false
	}
}

// step applies the changes of one version.
func (m *Machine) step(now core.Instant, version uint64, log []MemberChange) {
	t := &m.shards
	var joined, gone, removed []core.HostID
	for _, c := range log {
		if c.Version != version {
			continue
		}
		i, in := slices.BinarySearch(t.active, c.Host)
		switch {
		case c.Kind == Joined && !in:
			t.active = slices.Insert(t.active, i, c.Host)
			joined = append(joined, c.Host)
		case c.Kind != Joined && in:
			t.active = slices.Delete(t.active, i, i+1)
			gone = append(gone, c.Host)
		}
		if c.Kind == Removed {
			removed = append(removed, c.Host)
		}
	}
	for _, s := range t.list {
		m.stepShard(now, s, version, joined, gone, removed)
	}
}

// stepShard moves one shard into a version.
//
// Invariant: custody is set only where the owner before has surely stopped: it
// owned the shard in every view that a live host may act under, and is dead.
func (m *Machine) stepShard(now core.Instant, s *shard, version uint64, joined, gone, removed []core.HostID) {
	before, quiet, entitled := s.owner, s.since <= m.settled, m.entitled(now, s)
	if slices.Contains(gone, s.owner) {
		s.choose(m.shards.active)
	} else {
		for _, h := range joined {
			s.offer(h)
		}
	}
	if s.owner == before {
		return
	}
	if before == m.Self() && (entitled || s.acting) {
		m.depart(s, version, entitled)
	}
	s.since, s.frozen, s.acting = version, false, false
	s.custody = quiet && slices.Contains(removed, before)
}

// entitled reports whether this host may act on a shard that it owns.
func (m *Machine) entitled(now core.Instant, s *shard) bool {
	return s.owner == m.Self() && (s.custody || s.since <= m.settled) && m.Holding(now)
}

// refresh reports the rights that have changed.
func (m *Machine) refresh(now core.Instant) {
	t := &m.shards
	held := m.Holding(now)
	if !t.dirty && held == t.held {
		return
	}
	t.dirty, t.held = false, held
	for _, s := range t.list {
		acting := m.entitled(now, s)
		if acting == s.acting {
			continue
		}
		s.frozen = s.acting && !held && s.owner == m.Self() && !m.lost && !m.left
		s.acting = acting
		to := Lost
		if acting {
			to, s.frozen = Gained, false
		}
		t.changes = append(t.changes, Change{Shard: s.id, Kind: to, View: m.head.Version})
	}
}

// Owner implements core.Ownership.
func (m *Machine) Owner(id core.Shard) (core.HostID, bool) {
	if s := m.shards.index[id]; s != nil {
		return s.owner, s.owner != ""
	}
	return core.Rendezvous(m.shards.active, uint8(id.Kind), id.Name)
}

// Acting implements core.Ownership. The lease is checked at now, so a host that
// was paused is refused before its next send.
func (m *Machine) Acting(now core.Instant, id core.Shard) (core.Grant, bool) {
	s := m.shards.index[id]
	if s == nil || !m.entitled(now, s) {
		return core.Grant{}, false
	}
	return core.Grant{Fence: core.Fence(s.since), Until: m.leaseEnd()}, true
}

// Serving implements core.Ownership: what this host acted on when the store
// went away it may go on answering for, while the store stays away and no newer
// view is known.
func (m *Machine) Serving(now core.Instant, id core.Shard) bool {
	s := m.shards.index[id]
	if s == nil || m.lost || m.left || m.release || s.owner != m.Self() {
		return false
	}
	return m.entitled(now, s) || ((s.frozen || s.acting) && m.Outage(now))
}
