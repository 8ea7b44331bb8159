package lease

import (
	"slices"

	"gentiancroft/internal/core"
)

// shardTable holds the owner of every shard under the current view.
type shardTable struct {
	index     map[core.Shard]*shard
	list      []*shard
	active    []core.HostID // members that are not leaving, sorted
	dirty     bool          // this host's rights may have changed
	leaseHeld bool          // the lease was valid at the last updateRights
	changes   []RightChange
}

// shard is one shard's owner and this host's right to it.
type shard struct {
	id                 core.Shard
	owner              core.HostID
	score              uint64
	ownerSince         uint64 // first view from which the owner has owned it without a break
	predecessorStopped bool   // the previous owner has certainly stopped
	acting             bool   // as last reported by Changes
	heldAtExpiry       bool   // this host was acting when its lease expired
	receivedView       uint64 // latest view that it was handed over under
	claimView          uint64 // view from which a received handoff lets this host act; 0 if none
}

// RightChangeKind is the kind of a change of this host's right to a shard.
type RightChangeKind uint8

// Kinds of change.
const (
	RightGained   RightChangeKind = iota + 1 // this host may act
	RightLost                                // this host may not act; there is no host to hand over to
	HandoffNeeded                            // this host may not act; call HandOff with the shard's state
	StateReceived                            // the previous owner has handed over its state
)

// RightChange is a change of this host's right to a shard, or the arrival of its
// state.
type RightChange struct {
	Shard core.Shard
	Kind  RightChangeKind
	Host  core.HostID // of HandoffNeeded: the new owner; of StateReceived: the sender
	View  uint64
	State []byte // of StateReceived
}

// SetShards sets the shards that exist. The owner of a new one may act once the
// current view is the lowest applied one.
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
			s = &shard{id: id, ownerSince: m.head.Version}
			s.chooseOwner(t.active)
		}
		keep[id] = s
		list = append(list, s)
	}
	for _, s := range t.list {
		if keep[s.id] == nil && s.acting {
			t.changes = append(t.changes, RightChange{Shard: s.id, Kind: RightLost, View: m.head.Version})
		}
	}
	t.index, t.list, t.dirty = keep, list, true
}

// Changes returns the changes since the last call.
func (m *Machine) Changes() []RightChange {
	c := m.shards.changes
	m.shards.changes = nil
	return c
}

// chooseOwner selects the owner among the active hosts.
func (s *shard) chooseOwner(active []core.HostID) {
	s.owner, s.score = "", 0
	for _, h := range active {
		s.considerOwner(h)
	}
}

// considerOwner makes a host the owner if it has a higher rendezvous score.
func (s *shard) considerOwner(h core.HostID) {
	score := core.Score(h, uint8(s.id.Kind), s.id.Name)
	if s.owner == "" || score > s.score || (score == s.score && h < s.owner) {
		s.owner, s.score = h, score
	}
}

// applyLog applies a newer head one version at a time. If its log doesn't reach
// back to this host's view, the views in between are unknown, and all rights
// are reset.
func (m *Machine) applyLog(now core.Instant, h *Head) {
	if m.head.Version == 0 || h.LogFrom > m.head.Version+1 {
		m.resetOwners(h)
		return
	}
	for v := m.head.Version + 1; v <= h.Version; v++ {
		m.applyVersion(now, v, h.Log)
	}
}

// resetOwners takes the owners from a head without regard to earlier views.
func (m *Machine) resetOwners(h *Head) {
	t := &m.shards
	t.active = t.active[:0]
	for i := range h.Members {
		if !h.Members[i].Leaving {
			t.active = append(t.active, h.Members[i].Host)
		}
	}
	for _, s := range t.list {
		s.chooseOwner(t.active)
		s.ownerSince, s.predecessorStopped, s.heldAtExpiry = h.Version, false, false
	}
}

// applyVersion applies the changes of one version.
func (m *Machine) applyVersion(now core.Instant, version uint64, log []MemberChange) {
	t := &m.shards
	var joined, inactive, removed []core.HostID
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
			inactive = append(inactive, c.Host)
		}
		if c.Kind == Removed {
			removed = append(removed, c.Host)
		}
	}
	for _, s := range t.list {
		m.applyVersionToShard(now, s, version, joined, inactive, removed)
	}
}

// applyVersionToShard updates a shard's owner and this host's right to it for
// one version.
//
// Invariant: predecessorStopped is set only if the previous owner has certainly
// stopped. Here that means that it owned the shard in every view that a live
// host may act under, and was removed; claim sets it after a handoff.
func (m *Machine) applyVersionToShard(now core.Instant, s *shard, version uint64, joined, inactive, removed []core.HostID) {
	previous, soleOwner, acted := s.owner, s.ownerSince <= m.lowestApplied, m.mayAct(now, s)
	if slices.Contains(inactive, s.owner) {
		s.chooseOwner(m.shards.active)
	} else {
		for _, h := range joined {
			s.considerOwner(h)
		}
	}
	if s.owner == previous {
		return
	}
	if previous == m.Self() && (acted || s.acting) {
		m.startHandoff(s, version, acted)
	}
	s.ownerSince, s.heldAtExpiry, s.acting = version, false, false
	s.predecessorStopped = soleOwner && slices.Contains(removed, previous)
}

// mayAct reports whether this host may act on a shard now.
func (m *Machine) mayAct(now core.Instant, s *shard) bool {
	return s.owner == m.Self() && (s.predecessorStopped || s.ownerSince <= m.lowestApplied) && m.HasLease(now)
}

// updateRights records the changes of rights for Changes.
func (m *Machine) updateRights(now core.Instant) {
	t := &m.shards
	held := m.HasLease(now)
	if !t.dirty && held == t.leaseHeld {
		return
	}
	t.dirty, t.leaseHeld = false, held
	for _, s := range t.list {
		acting := m.mayAct(now, s)
		if acting == s.acting {
			continue
		}
		s.heldAtExpiry = s.acting && !held && s.owner == m.Self() && !m.identityLost && !m.released
		s.acting = acting
		kind := RightLost
		if acting {
			kind, s.heldAtExpiry = RightGained, false
		}
		t.changes = append(t.changes, RightChange{Shard: s.id, Kind: kind, View: m.head.Version})
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
	if s == nil || !m.mayAct(now, s) {
		return core.Grant{}, false
	}
	return core.Grant{Fence: core.Fence(s.ownerSince), Until: m.leaseEnd()}, true
}

// Serving implements core.Ownership: a host that acted on a shard when the
// store became unavailable may continue to answer for it during the outage, as
// long as it has adopted no newer view with another owner.
func (m *Machine) Serving(now core.Instant, id core.Shard) bool {
	s := m.shards.index[id]
	if s == nil || m.identityLost || m.released || m.releasing || s.owner != m.Self() {
		return false
	}
	return m.mayAct(now, s) || ((s.heldAtExpiry || s.acting) && m.StoreOutage(now))
}
