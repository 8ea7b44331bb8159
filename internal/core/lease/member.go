package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// maxUnacknowledged is the number of heartbeats that may wait for an
// acknowledgement.
const maxUnacknowledged = 8

// member is the state of a host's own lease and of its search for a leader.
type member struct {
	seq           uint64
	sent          [maxUnacknowledged]sentHeartbeat
	leased        bool
	leaseStart    core.Instant // when the acknowledged heartbeat was made
	nextHeartbeat core.Instant
	lastAck       core.Instant // latest acknowledgement or change of leader
	leader        core.HostID
	rank          int // in the batch
	storeDown     bool
	storeDownAt   core.Instant

	objectVersion  uint64 // store version of the batch's object as last read
	unchangedSince core.Instant
	stored         HeartbeatBatch
	hasRead        bool // objectVersion and stored have been read
	objectAbsent   bool // the batch's object doesn't exist
	takeOverNow    bool // the leader has requested that this host take over immediately
}

// sentHeartbeat is a heartbeat that waits for its acknowledgement.
type sentHeartbeat struct {
	seq, nonce uint64
	at         core.Instant
}

// syncLease sends the heartbeat that is due, and reads the batch's object to
// find a leader if acknowledgements have stopped.
func (m *Machine) syncLease(now core.Instant) {
	if m.number == 0 {
		return
	}
	if now >= m.member.nextHeartbeat && !m.leadership.leading {
		hb := m.newHeartbeat(now)
		if m.member.leader != "" && m.member.leader != m.Self() {
			m.out.Send(m.member.leader, Message{Heartbeat: &hb})
		}
	}
	if m.leadership.leading || m.calls.byKind[callBatchWrite].busy {
		return
	}
	if m.needsBatchRead(now) && m.calls.ready(now, callBatch) {
		m.call(now, callBatch, core.ObjectCall{Op: core.ObjectGet, Key: m.ownBatchKey})
	}
}

// newHeartbeat returns the next heartbeat. A lease that it renews counts from
// now.
func (m *Machine) newHeartbeat(now core.Instant) Heartbeat {
	m.member.seq++
	m.member.nextHeartbeat = now.Add(m.settings.RenewInterval)
	const hashMultiplier = 0x9e3779b97f4a7c15
	nonce := m.rng.Uint64() ^ uint64(now)*hashMultiplier
	m.member.sent[m.member.seq%maxUnacknowledged] = sentHeartbeat{seq: m.member.seq, nonce: nonce, at: now}
	return Heartbeat{Number: m.number, Seq: m.member.seq, Nonce: nonce, View: m.head.Version}
}

// needsBatchRead reports whether this host should read its batch's object: its
// leader is unknown, or acknowledgements have stopped for too long. The wait grows
// with the rank, so that not all members try to take over at once.
func (m *Machine) needsBatchRead(now core.Instant) bool {
	if m.member.takeOverNow || m.member.leader == "" || m.leadership.unresolved {
		return true
	}
	timeout := m.settings.RenewInterval*3/2 + time.Duration(m.member.rank)*m.settings.Stagger
	return now.Sub(m.member.lastAck) > min(timeout, m.settings.Term/2)
}

// extendLease renews the lease by an acknowledged heartbeat. A nonce that this
// process did not send means that another process has its identity.
func (m *Machine) extendLease(now core.Instant, seq, nonce uint64) {
	s := &m.member.sent[seq%maxUnacknowledged]
	if s.seq != seq {
		return
	}
	if s.nonce != nonce {
		m.loseIdentity()
		return
	}
	m.member.lastAck, m.member.storeDown = now, false
	if !m.member.leased || s.at > m.member.leaseStart {
		m.member.leased, m.member.leaseStart = true, s.at
		m.shards.dirty = true
	}
}

// receiveAck handles the leader's answer to a heartbeat.
func (m *Machine) receiveAck(now core.Instant, from core.HostID, a Ack) {
	m.raiseLowestApplied(a.LowestAppliedView)
	const feedDelay = 3 * time.Second // the feed usually delivers the head sooner
	m.noteNewerView(now, a.LeaderView, feedDelay+time.Duration(m.rng.Int64N(int64(feedDelay))))
	switch {
	case a.Fenced:
		if s := m.member.sent[a.Seq%maxUnacknowledged]; s.seq == a.Seq && s.nonce == a.Nonce {
			m.loseIdentity()
		}
	case a.StoreDown:
		m.member.storeDown, m.member.storeDownAt = true, now
	default:
		m.extendLease(now, a.Seq, a.Nonce)
		m.member.leader = from
		// Send the next heartbeat just before the leader's next write.
		m.member.nextHeartbeat = now.Add(m.settings.RenewInterval * 4 / 5)
	}
}

// receiveLeaderChange handles the announcement of a new leader, or a leader's
// request to take over from it.
func (m *Machine) receiveLeaderChange(now core.Instant, from core.HostID, l LeaderChange) {
	if l.Next == m.Self() {
		m.member.takeOverNow = m.number != 0 && !m.leaving && !m.leadership.leading
		return
	}
	if l.Leader == from && !m.leadership.leading && from != m.member.leader {
		m.member.leader, m.member.lastAck, m.member.nextHeartbeat = from, now, now
		m.member.hasRead = false
	}
}

// batchReadDone handles the result of reading the batch's object. It was read
// to settle a write with an unknown result, or to find the leader.
func (m *Machine) batchReadDone(now core.Instant, r core.ObjectResult) {
	if m.number == 0 {
		return
	}
	switch r.Status {
	case core.ObjectNotFound:
		m.member.objectAbsent = m.member.objectVersion == 0
		if m.member.objectAbsent {
			m.takeOver(now, HeartbeatBatch{}, 0)
		}
	case core.ObjectOK:
		b, err := DecodeHeartbeatBatch(r.Object.Value)
		if err != nil || r.Object.Version < m.member.objectVersion {
			m.delayRetry(now, callBatch) // an outdated read
			return
		}
		m.noteNewerView(now, b.MaxHeadVersion, 0)
		if m.leadership.unresolved || m.leadership.leading {
			m.resolveWrite(now, b, r.Object.Version)
			return
		}
		m.reviewLeader(now, b, r.Object.Version)
	}
}

// reviewLeader acts on the leader named in the batch's object: it follows a new
// leader, takes over from one that no longer writes the object, or writes its
// own heartbeat if the leader writes but doesn't acknowledge this host.
func (m *Machine) reviewLeader(now core.Instant, b HeartbeatBatch, objectVersion uint64) {
	if b.record(m.number).Fenced {
		m.loseIdentity()
		return
	}
	changed := !m.member.hasRead || m.member.objectVersion != objectVersion
	if changed {
		m.member.hasRead, m.member.unchangedSince = true, now
	}
	m.member.objectVersion, m.member.stored = objectVersion, b
	m.calls.byKind[callBatch].retryAt = now.Add(m.settings.RenewInterval / 2)
	switch {
	case b.Leader != m.member.leader && b.Leader != "" && b.Leader != m.Self() && !m.notInBatch(b.Leader):
		m.member.leader, m.member.lastAck, m.member.nextHeartbeat = b.Leader, now, now
	case m.member.takeOverNow || m.notInBatch(b.Leader) || now.Sub(m.member.unchangedSince) >= m.settings.RenewInterval*3/2:
		m.takeOver(now, b, objectVersion)
	case now.Sub(m.member.lastAck) > m.settings.Term/3:
		m.writeOwnHeartbeat(now, b, objectVersion)
	}
}

// notInBatch reports whether a host is not a member of this host's batch.
func (m *Machine) notInBatch(id core.HostID) bool {
	i, ok := m.head.find(id)
	return !ok || m.head.Members[i].key() != m.ownBatchKey
}
