package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// sentBeats is how many heartbeats may wait for their acknowledgement.
const sentBeats = 8

// member is a host's own lease and its search for a leader.
type member struct {
	seq       uint64
	sent      [sentBeats]sentBeat
	leased    bool
	leaseFrom core.Instant // just before the acknowledged heartbeat was sent
	next      core.Instant // of the next heartbeat
	ackAt     core.Instant // of the latest acknowledgement, or of the latest change of leader
	leader    core.HostID
	rank      int // in the batch
	down      bool
	downAt    core.Instant

	object uint64 // the batch's object as last read
	since  core.Instant
	beat   Beat
	known  bool // object and beat have been read
	absent bool // there is no such object
	direct bool // the leader asked this host to take over at once
}

type sentBeat struct {
	seq, nonce uint64
	at         core.Instant
}

// workMember sends the heartbeat that is due, and looks for a leader where
// acknowledgements stop.
func (m *Machine) workMember(now core.Instant) {
	if m.number == 0 {
		return
	}
	if now >= m.member.next && !m.lead.leading {
		hb := m.beatNow(now)
		if m.member.leader != "" && m.member.leader != m.Self() {
			m.out.Send(m.member.leader, Message{Heartbeat: &hb})
		}
	}
	if m.lead.leading || m.calls.flights[callBeatWrite].busy {
		return
	}
	if m.searching(now) && m.calls.ready(now, callBeat) {
		m.call(now, callBeat, core.ObjectCall{Op: core.ObjectGet, Key: m.batch})
	}
}

// beatNow makes a heartbeat. The lease that it may bring counts from now.
func (m *Machine) beatNow(now core.Instant) Heartbeat {
	m.member.seq++
	m.member.next = now.Add(m.set.Renew)
	const odd = 0x9e3779b97f4a7c15
	nonce := m.rng.Uint64() ^ uint64(now)*odd
	m.member.sent[m.member.seq%sentBeats] = sentBeat{seq: m.member.seq, nonce: nonce, at: now}
	return Heartbeat{Number: m.number, Seq: m.member.seq, Nonce: nonce, View: m.head.Version}
}

// searching reports whether this host should read its batch's object: it knows
// no leader, or has heard nothing from it. The first in rank goes first.
func (m *Machine) searching(now core.Instant) bool {
	if m.member.direct || m.member.leader == "" || m.lead.resolve {
		return true
	}
	patience := m.set.Renew*3/2 + time.Duration(m.member.rank)*m.set.Stagger
	return now.Sub(m.member.ackAt) > min(patience, m.set.Term/2)
}

// renewed extends the lease by an acknowledged heartbeat. A nonce that is not
// this process's own means that another one has its identity.
func (m *Machine) renewed(now core.Instant, seq, nonce uint64) {
	s := &m.member.sent[seq%sentBeats]
	if s.seq != seq {
		return
	}
	if s.nonce != nonce {
		m.lose()
		return
	}
	m.member.ackAt, m.member.down = now, false
	if !m.member.leased || s.at > m.member.leaseFrom {
		m.member.leased, m.member.leaseFrom = true, s.at
		m.shards.dirty = true
	}
}

// ackFrom takes the leader's answer.
func (m *Machine) ackFrom(now core.Instant, from core.HostID, a Ack) {
	m.settle(a.Settled)
	const patience = 3 * time.Second // the feed brings the head sooner
	m.hint(now, a.Head, patience+time.Duration(m.rng.Int64N(int64(patience))))
	switch {
	case a.Fenced:
		if s := m.member.sent[a.Seq%sentBeats]; s.seq == a.Seq && s.nonce == a.Nonce {
			m.lose()
		}
	case a.Down:
		m.member.down, m.member.downAt = true, now
	default:
		m.renewed(now, a.Seq, a.Nonce)
		m.member.leader = from
		// The next heartbeat comes just before the leader's next write.
		m.member.next = now.Add(m.set.Renew * 4 / 5)
	}
}

// leadingFrom takes a new leader's announcement, or a resignation.
func (m *Machine) leadingFrom(now core.Instant, from core.HostID, l Leading) {
	if l.Next == m.Self() {
		m.member.direct = m.number != 0 && !m.leaving && !m.lead.leading
		return
	}
	if l.Leader == from && !m.lead.leading && from != m.member.leader {
		m.member.leader, m.member.ackAt, m.member.next = from, now, now
		m.member.known = false
	}
}

// beatRead takes the batch's object, read because this host leads it and must
// settle a doubtful write, or because it looks for a leader.
func (m *Machine) beatRead(now core.Instant, r core.ObjectResult) {
	if m.number == 0 {
		return
	}
	switch r.Status {
	case core.ObjectNotFound:
		m.member.absent = m.member.object == 0
		if m.member.absent {
			m.takeOver(now, Beat{}, 0)
		}
	case core.ObjectOK:
		b, err := DecodeBeat(r.Object.Value)
		if err != nil || r.Object.Version < m.member.object {
			m.spread(now, callBeat) // an old read
			return
		}
		m.hint(now, b.Head, 0)
		if m.lead.resolve || m.lead.leading {
			m.resolve(now, b, r.Object.Version)
			return
		}
		m.consider(now, b, r.Object.Version)
	}
}

// consider decides what a member does about the leader that it reads: trust a
// new one, take over from one whose object stands still, or, where the leader
// is alive but does not answer this host, write its own heartbeat beside it.
func (m *Machine) consider(now core.Instant, b Beat, object uint64) {
	if b.pulse(m.number).Fenced {
		m.lose()
		return
	}
	moved := !m.member.known || m.member.object != object
	if moved {
		m.member.known, m.member.since = true, now
	}
	m.member.object, m.member.beat = object, b
	m.calls.flights[callBeat].after = now.Add(m.set.Renew / 2)
	switch {
	case b.Leader != m.member.leader && b.Leader != "" && b.Leader != m.Self() && !m.gone(b.Leader):
		m.member.leader, m.member.ackAt, m.member.next = b.Leader, now, now
	case m.member.direct || m.gone(b.Leader) || now.Sub(m.member.since) >= m.set.Renew*3/2:
		m.takeOver(now, b, object)
	case now.Sub(m.member.ackAt) > m.set.Term/3:
		m.writeBeside(now, b, object)
	}
}

// gone reports that a host is no member of this host's batch, or leaves.
func (m *Machine) gone(id core.HostID) bool {
	i, ok := m.head.find(id)
	return !ok || m.head.Members[i].key() != m.batch
}
