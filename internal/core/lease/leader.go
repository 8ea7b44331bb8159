package lease

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Limits of a leader.
const (
	ownTokens    = 16                     // of its latest writes, to know them again
	writeSpacing = 250 * time.Millisecond // between writes when views change
)

// leader is the part of a host that writes its batch's heartbeats.
type leader struct {
	leading  bool
	resolve  bool // a write is in doubt: read before anything else
	beside   bool // the write in flight leaves the leader as it is
	object   uint64
	beat     Beat // as last read or written
	inbox    map[uint64]Heartbeat
	batch    []Entry
	writing  Beat
	included []Heartbeat
	tokens   [ownTokens]uint64
	writes   int
	next     core.Instant
	written  core.Instant
	resignAt core.Instant
}

// workLeader writes the batch's heartbeats when due.
func (m *Machine) workLeader(now core.Instant) {
	l := &m.lead
	if !l.leading || !m.calls.ready(now, callBeatWrite) {
		return
	}
	if l.resolve {
		if m.calls.ready(now, callBeat) {
			m.call(now, callBeat, core.ObjectCall{Op: core.ObjectGet, Key: m.batch})
		}
		return
	}
	if m.calls.flights[callBeat].busy || now < l.next {
		return
	}
	if m.leaving {
		m.resign(now)
	}
	m.writeBeat(now, l.beat, l.object)
}

// resign asks another host of the batch to take over at once.
func (m *Machine) resign(now core.Instant) {
	const again = 2 * time.Second
	if now < m.lead.resignAt {
		return
	}
	m.lead.resignAt = now.Add(again)
	var stay []core.HostID
	for i := range m.lead.batch {
		if !m.lead.batch[i].Leaving {
			stay = append(stay, m.lead.batch[i].Host)
		}
	}
	const kindRank = 0xff
	if next := core.RendezvousN(stay, kindRank, m.batch, 1); len(next) == 1 && next[0] != m.Self() {
		m.out.Send(next[0], Message{Leading: &Leading{Leader: m.Self(), Next: next[0]}})
	}
}

// heartbeatFrom takes a member's heartbeat.
func (m *Machine) heartbeatFrom(now core.Instant, from core.HostID, hb Heartbeat) {
	l := &m.lead
	if !l.leading {
		if m.member.leader != "" && m.member.leader != m.Self() && m.member.leader != from {
			m.out.Send(from, Message{Leading: &Leading{Leader: m.member.leader}})
		}
		return
	}
	m.hint(now, hb.View, 0)
	if l.beat.pulse(hb.Number).Fenced {
		m.out.Send(from, Message{Ack: &Ack{Seq: hb.Seq, Nonce: hb.Nonce, Fenced: true}})
		return
	}
	if m.calls.failing {
		m.out.Send(from, Message{Ack: &Ack{Down: true, Settled: m.settled, Head: m.head.Version}})
	}
	if hb.Seq <= l.inbox[hb.Number].Seq {
		return
	}
	l.inbox[hb.Number] = hb
	if hb.View > l.beat.pulse(hb.Number).Ack {
		l.next = min(l.next, l.written.Add(writeSpacing))
	}
}

// compose is the batch's next value: new heartbeats, members gone left out,
// and those silent for too long fenced.
func (m *Machine) compose(now core.Instant, b Beat) (Beat, []Heartbeat) {
	l := &m.lead
	next := Beat{Leader: m.Self(), Head: m.head.Version}
	var included []Heartbeat
	for i := range l.batch {
		e := &l.batch[i]
		p := b.pulse(e.Number)
		hb, fresh := l.inbox[e.Number]
		switch {
		case p.Fenced:
		case fresh && hb.Seq > p.Seq:
			p.Seq, p.Ack = hb.Seq, max(p.Ack, hb.View)
			included = append(included, hb)
		case m.overdue(now, e) && m.Holding(now):
			p.Fenced = true
		}
		if p.Seq > 0 || p.Fenced {
			next.put(p)
		}
	}
	return next, included
}

// writeBeat writes the batch with this host as its leader. A host whose head
// is older than one that a leader of the batch has used must read it first:
// else it could revive a member that has been removed.
func (m *Machine) writeBeat(now core.Instant, b Beat, object uint64) {
	l := &m.lead
	if b.Head > m.head.Version {
		m.hint(now, b.Head, 0)
		return
	}
	l.inbox[m.number] = m.beatNow(now) // own lease: from just before this write
	l.writing, l.included = m.compose(now, b)
	l.beside = false
	m.send(now, object)
}

// writeBeside writes only the own heartbeat and leaves the leader in place.
func (m *Machine) writeBeside(now core.Instant, b Beat, object uint64) {
	l := &m.lead
	hb := m.beatNow(now)
	l.writing = b
	l.writing.Entries = slices.Clone(b.Entries)
	l.writing.put(Pulse{Number: m.number, Seq: hb.Seq, Ack: hb.View})
	l.included = []Heartbeat{hb}
	l.beside = true
	value, err := EncodeBeat(l.writing)
	if err == nil {
		m.call(now, callBeatWrite, core.ObjectCall{Op: core.ObjectUpdate, Key: m.batch, Value: value, IfVersion: object})
	}
}

// send issues the write of l.writing under a new token.
func (m *Machine) send(now core.Instant, object uint64) {
	l := &m.lead
	const odd = 0x9e3779b97f4a7c15
	l.writing.Token = m.rng.Uint64() ^ uint64(now)*odd
	l.tokens[l.writes%ownTokens] = l.writing.Token
	l.writes++
	l.written, l.next = now, now.Add(m.set.Renew)
	value, err := EncodeBeat(l.writing)
	if err != nil {
		return
	}
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: m.batch, Value: value, IfVersion: object}
	if object == 0 {
		call = core.ObjectCall{Op: core.ObjectCreate, Key: m.batch, Value: value}
	}
	m.call(now, callBeatWrite, call)
}

// takeOver makes this host the leader of its batch if nobody else is quicker.
func (m *Machine) takeOver(now core.Instant, b Beat, object uint64) {
	if m.leaving && !m.alone() {
		return
	}
	m.member.direct = false
	m.writeBeat(now, b, object)
}

// alone reports that no host of the batch stays.
func (m *Machine) alone() bool {
	for i := range m.lead.batch {
		if !m.lead.batch[i].Leaving {
			return false
		}
	}
	return true
}

// beatWritten takes the end of a write of the own batch.
func (m *Machine) beatWritten(now core.Instant, r core.ObjectResult) {
	l := &m.lead
	switch {
	case r.Status == core.ObjectOK && l.beside:
		m.member.object, m.member.beat = r.Object.Version, l.writing
		m.renewed(now, l.included[0].Seq, l.included[0].Nonce)
	case r.Status == core.ObjectOK:
		m.confirmed(now, l.writing, r.Object.Version)
	case l.beside:
		m.member.known = false
	default:
		l.resolve = true
	}
}

// confirmed takes a write that surely took effect, and acknowledges it.
func (m *Machine) confirmed(now core.Instant, b Beat, object uint64) {
	l := &m.lead
	began := !l.leading
	l.leading, l.resolve = true, false
	l.beat, l.object, m.member.object = b, object, object
	m.member.leader = m.Self()
	for _, hb := range l.included {
		p := b.pulse(hb.Number)
		if p.Fenced {
			continue
		}
		if hb.Number == m.number {
			m.renewed(now, hb.Seq, hb.Nonce)
			continue
		}
		if to, ok := m.batchHost(hb.Number); ok {
			m.out.Send(to, Message{Ack: &Ack{Seq: hb.Seq, Nonce: hb.Nonce, Settled: m.settled, Head: m.head.Version}})
		}
	}
	l.included = nil
	if began {
		for i := range l.batch {
			if l.batch[i].Host != m.Self() {
				m.out.Send(l.batch[i].Host, Message{Leading: &Leading{Leader: m.Self()}})
			}
		}
	}
}

func (m *Machine) batchHost(number uint64) (core.HostID, bool) {
	for i := range m.lead.batch {
		if m.lead.batch[i].Number == number {
			return m.lead.batch[i].Host, true
		}
	}
	return "", false
}

// resolve settles a write in doubt by what the object holds now.
func (m *Machine) resolve(now core.Instant, b Beat, object uint64) {
	l := &m.lead
	l.resolve = false
	switch {
	case b.pulse(m.number).Fenced:
		m.lose()
	case b.Leader == m.Self() && b.Token == l.writing.Token:
		m.confirmed(now, b, object)
	case b.Leader == m.Self() && slices.Contains(l.tokens[:], b.Token):
		// An earlier write of this host, perhaps with members fenced since.
		l.leading = true
		l.beat, l.object, m.member.object = b, object, object
		m.member.leader = m.Self()
		l.next = now
	case b.Leader == m.Self():
		m.lose() // another process writes under this identity
	default:
		l.leading = false
		clear(l.inbox)
		m.member.known = false
		m.member.leader, m.member.ackAt, m.member.next = b.Leader, now, now
	}
}
