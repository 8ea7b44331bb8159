package lease

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Limits of a batch leader.
const (
	maxRecentTokens  = 16                     // latest write tokens kept, to recognize this host's earlier writes
	minWriteInterval = 250 * time.Millisecond // between writes when a member reports a newer view
)

// leadership is what a host keeps to write the heartbeats of its batch. Every
// host has one; leading says whether it is the leader.
type leadership struct {
	leading       bool
	unresolved    bool // the result of a write is unknown: read the object before anything else
	ownOnly       bool // the write in flight changes only this host's heartbeat, not the leader
	objectVersion uint64
	stored        HeartbeatBatch // as last read or written
	inbox         map[uint64]Heartbeat
	members       []Entry
	pending       HeartbeatBatch
	included      []Heartbeat
	recentTokens  [maxRecentTokens]uint64
	writes        int
	nextWrite     core.Instant
	writtenAt     core.Instant
	nextResign    core.Instant
}

// writeDueBatch writes the batch's heartbeats if this host leads the batch and
// a write is due.
func (m *Machine) writeDueBatch(now core.Instant) {
	l := &m.leadership
	if !l.leading || !m.calls.ready(now, callBatchWrite) {
		return
	}
	if l.unresolved {
		if m.calls.ready(now, callBatch) {
			m.call(now, callBatch, core.ObjectCall{Op: core.ObjectGet, Key: m.ownBatchKey})
		}
		return
	}
	if m.calls.byKind[callBatch].busy || now < l.nextWrite {
		return
	}
	if m.leaving {
		m.resign(now)
	}
	m.writeBatch(now, l.stored, l.objectVersion)
}

// resign requests that another host of the batch, one that isn't leaving, take
// over immediately.
func (m *Machine) resign(now core.Instant) {
	const resendInterval = 2 * time.Second
	if now < m.leadership.nextResign {
		return
	}
	m.leadership.nextResign = now.Add(resendInterval)
	var candidates []core.HostID
	for i := range m.leadership.members {
		if !m.leadership.members[i].Leaving {
			candidates = append(candidates, m.leadership.members[i].Host)
		}
	}
	const kindRank = 0xff
	if next := core.RendezvousN(candidates, kindRank, m.ownBatchKey, 1); len(next) == 1 && next[0] != m.Self() {
		m.out.Send(next[0], Message{LeaderChange: &LeaderChange{Leader: m.Self(), Next: next[0]}})
	}
}

// receiveHeartbeat handles a member's heartbeat. The leader keeps it for the
// next write, or answers that the member is fenced or the store is down. Any
// other host answers with the leader that it follows.
func (m *Machine) receiveHeartbeat(now core.Instant, from core.HostID, hb Heartbeat) {
	l := &m.leadership
	if !l.leading {
		if m.member.leader != "" && m.member.leader != m.Self() && m.member.leader != from {
			m.out.Send(from, Message{LeaderChange: &LeaderChange{Leader: m.member.leader}})
		}
		return
	}
	m.noteNewerView(now, hb.View, 0)
	if l.stored.record(hb.Number).Fenced {
		m.out.Send(from, Message{Ack: &Ack{Seq: hb.Seq, Nonce: hb.Nonce, Fenced: true}})
		return
	}
	if m.calls.failing {
		m.out.Send(from, Message{Ack: &Ack{StoreDown: true, LowestAppliedView: m.lowestApplied, LeaderView: m.head.Version}})
	}
	if hb.Seq <= l.inbox[hb.Number].Seq {
		return
	}
	l.inbox[hb.Number] = hb
	if hb.View > l.stored.record(hb.Number).Ack {
		l.nextWrite = min(l.nextWrite, l.writtenAt.Add(minWriteInterval))
	}
}

// composeBatch returns the next value of the batch's object and the heartbeats
// that it includes. It leaves out removed members, and fences those whose
// leases have expired.
func (m *Machine) composeBatch(now core.Instant, b HeartbeatBatch) (HeartbeatBatch, []Heartbeat) {
	l := &m.leadership
	next := HeartbeatBatch{Leader: m.Self(), MaxHeadVersion: m.head.Version}
	var included []Heartbeat
	for i := range l.members {
		e := &l.members[i]
		p := b.record(e.Number)
		hb, received := l.inbox[e.Number]
		switch {
		case p.Fenced:
		case received && hb.Seq > p.Seq:
			p.Seq, p.Ack = hb.Seq, max(p.Ack, hb.View)
			included = append(included, hb)
		case m.leaseExpired(now, e) && m.HasLease(now):
			p.Fenced = true
		}
		if p.Seq > 0 || p.Fenced {
			next.set(p)
		}
	}
	return next, included
}

// writeBatch writes the batch's object with this host as leader. A host whose
// head is older than one that a leader of the batch has used must read the
// newer head first: otherwise it could write heartbeats for a member that has
// been removed.
func (m *Machine) writeBatch(now core.Instant, b HeartbeatBatch, objectVersion uint64) {
	l := &m.leadership
	if b.MaxHeadVersion > m.head.Version {
		m.noteNewerView(now, b.MaxHeadVersion, 0)
		return
	}
	l.inbox[m.number] = m.newHeartbeat(now) // the own lease counts from just before this write
	l.pending, l.included = m.composeBatch(now, b)
	l.ownOnly = false
	m.issueBatchWrite(now, objectVersion)
}

// writeOwnHeartbeat writes only this host's heartbeat and keeps the leader.
func (m *Machine) writeOwnHeartbeat(now core.Instant, b HeartbeatBatch, objectVersion uint64) {
	l := &m.leadership
	hb := m.newHeartbeat(now)
	l.pending = b
	l.pending.Entries = slices.Clone(b.Entries)
	l.pending.set(HeartbeatRecord{Number: m.number, Seq: hb.Seq, Ack: hb.View})
	l.included = []Heartbeat{hb}
	l.ownOnly = true
	value, err := EncodeHeartbeatBatch(l.pending)
	if err == nil {
		m.call(now, callBatchWrite, core.ObjectCall{Op: core.ObjectUpdate, Key: m.ownBatchKey, Value: value, IfVersion: objectVersion})
	}
}

// issueBatchWrite starts the write of the pending batch under a new token.
func (m *Machine) issueBatchWrite(now core.Instant, objectVersion uint64) {
	l := &m.leadership
	const hashMultiplier = 0x9e3779b97f4a7c15
	l.pending.WriteToken = m.rng.Uint64() ^ uint64(now)*hashMultiplier
	l.recentTokens[l.writes%maxRecentTokens] = l.pending.WriteToken
	l.writes++
	l.writtenAt, l.nextWrite = now, now.Add(m.settings.RenewInterval)
	value, err := EncodeHeartbeatBatch(l.pending)
	if err != nil {
		return
	}
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: m.ownBatchKey, Value: value, IfVersion: objectVersion}
	if objectVersion == 0 {
		call = core.ObjectCall{Op: core.ObjectCreate, Key: m.ownBatchKey, Value: value}
	}
	m.call(now, callBatchWrite, call)
}

// takeOver writes the batch with this host as leader; the conditional update
// fails if another host took over first. A leaving host takes over only if the
// whole batch leaves.
func (m *Machine) takeOver(now core.Instant, b HeartbeatBatch, objectVersion uint64) {
	if m.leaving && !m.allLeaving() {
		return
	}
	m.member.takeOverNow = false
	m.writeBatch(now, b, objectVersion)
}

// allLeaving reports whether every host of the batch is leaving.
func (m *Machine) allLeaving() bool {
	for i := range m.leadership.members {
		if !m.leadership.members[i].Leaving {
			return false
		}
	}
	return true
}

// batchWriteDone handles the result of a write to this host's batch.
func (m *Machine) batchWriteDone(now core.Instant, r core.ObjectResult) {
	l := &m.leadership
	switch {
	case r.Status == core.ObjectOK && l.ownOnly:
		m.member.objectVersion, m.member.stored = r.Object.Version, l.pending
		m.extendLease(now, l.included[0].Seq, l.included[0].Nonce)
	case r.Status == core.ObjectOK:
		m.writeConfirmed(now, l.pending, r.Object.Version)
	case l.ownOnly:
		m.member.hasRead = false
	default:
		l.unresolved = true
	}
}

// writeConfirmed handles a write that has taken effect: it extends the own lease
// and acknowledges the heartbeats that the write included.
func (m *Machine) writeConfirmed(now core.Instant, b HeartbeatBatch, objectVersion uint64) {
	l := &m.leadership
	newLeader := !l.leading
	l.leading, l.unresolved = true, false
	l.stored, l.objectVersion, m.member.objectVersion = b, objectVersion, objectVersion
	m.member.leader = m.Self()
	for _, hb := range l.included {
		p := b.record(hb.Number)
		if p.Fenced {
			continue
		}
		if hb.Number == m.number {
			m.extendLease(now, hb.Seq, hb.Nonce)
			continue
		}
		if to, ok := m.batchHost(hb.Number); ok {
			m.out.Send(to, Message{Ack: &Ack{Seq: hb.Seq, Nonce: hb.Nonce, LowestAppliedView: m.lowestApplied, LeaderView: m.head.Version}})
		}
	}
	l.included = nil
	if newLeader {
		for i := range l.members {
			if l.members[i].Host != m.Self() {
				m.out.Send(l.members[i].Host, Message{LeaderChange: &LeaderChange{Leader: m.Self()}})
			}
		}
	}
}

// batchHost returns the host of a member of this host's batch by its number.
func (m *Machine) batchHost(number uint64) (core.HostID, bool) {
	for i := range m.leadership.members {
		if m.leadership.members[i].Number == number {
			return m.leadership.members[i].Host, true
		}
	}
	return "", false
}

// resolveWrite settles a write with an unknown result by what the object holds
// now.
func (m *Machine) resolveWrite(now core.Instant, b HeartbeatBatch, objectVersion uint64) {
	l := &m.leadership
	l.unresolved = false
	switch {
	case b.record(m.number).Fenced:
		m.loseIdentity()
	case b.Leader == m.Self() && b.WriteToken == l.pending.WriteToken:
		m.writeConfirmed(now, b, objectVersion)
	case b.Leader == m.Self() && slices.Contains(l.recentTokens[:], b.WriteToken):
		// An earlier write of this host; members may have been fenced since.
		l.leading = true
		l.stored, l.objectVersion, m.member.objectVersion = b, objectVersion, objectVersion
		m.member.leader = m.Self()
		l.nextWrite = now
	case b.Leader == m.Self():
		m.loseIdentity() // another process writes under this identity
	default:
		l.leading = false
		clear(l.inbox)
		m.member.hasRead = false
		m.member.leader, m.member.lastAck, m.member.nextHeartbeat = b.Leader, now, now
	}
}
