package lease

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Machine is one host's part in membership and ownership. It lives for one
// process lifetime under one identity.
type Machine struct {
	set   Settings
	rng   *core.Rand
	calls calls
	out   Output

	head       Head
	headBytes  []byte
	headObject uint64 // store version of exactly this head; 0: not known
	headSeen   uint64 // highest store version of a head seen
	headAbsent bool   // the store holds no head
	writing    Head   // the head in flight
	wanted     uint64 // a newer view is known to exist
	wantedAt   core.Instant

	number  uint64 // 0: not a member yet
	batch   string
	settled uint64
	leaving bool // asked to leave
	release bool // asked to give the membership up
	left    bool
	lost    bool // fenced, or another process has this identity

	member member
	lead   leader
	watch  watcher
	shards table
	hand   hands
}

// New returns the machine of a host that is not a member yet; it asks to join
// at its first Tick.
func New(s Settings, rng *core.Rand) *Machine {
	m := &Machine{set: s.withDefaults(), rng: rng}
	m.shards.index = map[core.Shard]*shard{}
	m.watch.seen = map[uint64]*seen{}
	m.watch.objects = map[string]observed{}
	m.lead.inbox = map[uint64]Heartbeat{}
	return m
}

// Tick does what has become due. Call it every 50 to 250 ms.
func (m *Machine) Tick(now core.Instant) Output {
	for {
		tag, ok := m.calls.overdue(now, &m.set)
		if !ok {
			break
		}
		m.result(now, core.ObjectResult{Tag: tag, Status: core.ObjectUnknown})
	}
	return m.finish(now)
}

// Object takes the end of an object call.
func (m *Machine) Object(now core.Instant, r core.ObjectResult) Output {
	m.result(now, r)
	return m.finish(now)
}

// Peer takes a message from another host. A message may come late, twice or
// out of order.
func (m *Machine) Peer(now core.Instant, from core.HostID, msg Message) Output {
	switch {
	case msg.Heartbeat != nil:
		m.heartbeatFrom(now, from, *msg.Heartbeat)
	case msg.Ack != nil:
		m.ackFrom(now, from, *msg.Ack)
	case msg.Leading != nil:
		m.leadingFrom(now, from, *msg.Leading)
	case msg.HandOver != nil:
		m.handOverFrom(now, from, *msg.HandOver)
	case msg.Received != nil:
		m.hand.received(msg.Received.Shard, msg.Received.View)
	}
	return m.finish(now)
}

// Learn takes a head and a settled view that came through the feed. Older ones
// change nothing.
func (m *Machine) Learn(now core.Instant, head []byte, settled uint64) Output {
	if h, err := DecodeHead(head); err == nil && h.Version > m.head.Version {
		m.adopt(now, h, head, 0)
	}
	m.settle(settled)
	return m.finish(now)
}

// Leave marks this host as leaving: it will own nothing, and its shards come
// out of Changes as Departing. Its lease goes on until Release.
func (m *Machine) Leave(now core.Instant) Output {
	m.leaving = true
	return m.finish(now)
}

// Release gives the membership up. Call it once nothing is in flight and all is
// handed over; Left reports when it is done.
func (m *Machine) Release(now core.Instant) Output {
	m.leaving, m.release = true, true
	return m.finish(now)
}

// finish does due work after any event and collects the effects.
func (m *Machine) finish(now core.Instant) Output {
	if !m.left && !m.lost {
		m.workHead(now)
		m.workMember(now)
		m.workLeader(now)
		m.workWatch(now)
		m.workHands(now)
	}
	m.refresh(now)
	out := m.out
	m.out = Output{}
	return out
}

// result hands an object result to the call's part of the machine.
func (m *Machine) result(now core.Instant, r core.ObjectResult) {
	k, ok := m.calls.end(now, r, &m.set, m.rng)
	if !ok || m.left || m.lost {
		return
	}
	switch k {
	case callHead:
		m.headRead(now, r)
	case callHeadWrite:
		m.headWritten(now, r)
	case callWatch:
		for _, o := range r.Objects {
			m.headObjectSeen(now, o)
		}
	case callBeat:
		m.beatRead(now, r)
	case callBeatWrite:
		m.beatWritten(now, r)
	case callBeats:
		m.beatsListed(now, r)
	case callFence:
		m.fenceWritten(now, r)
	}
}

// call makes an object call.
func (m *Machine) call(now core.Instant, k callKind, c core.ObjectCall) {
	m.out.Call(m.calls.start(now, k, c))
}

// Self implements core.Ownership.
func (m *Machine) Self() core.HostID { return m.set.Self.Host }

// Members implements core.Ownership.
func (m *Machine) Members() []core.Member {
	members := make([]core.Member, 0, len(m.head.Members))
	for _, e := range m.head.Members {
		members = append(members, e.Member)
	}
	return members
}

// View is the version of the membership that this host acts under.
func (m *Machine) View() uint64 { return m.head.Version }

// Settled is a view that no live host acts before.
func (m *Machine) Settled() uint64 { return m.settled }

// Head is the stored form of the membership in force, for the feed.
func (m *Machine) Head() []byte { return m.headBytes }

// Joined reports whether this host is a member.
func (m *Machine) Joined() bool { return m.number != 0 && !m.left && !m.lost }

// Left reports whether the membership has been given up, surely.
func (m *Machine) Left() bool { return m.left }

// Lost reports that this identity has been fenced or is used by another
// process too. It never acts again; the process must join under a new one.
func (m *Machine) Lost() bool { return m.lost }

// Polls reports whether this host reads the heartbeats itself.
func (m *Machine) Polls() bool { return m.watch.polls }

// Leads reports whether this host writes its batch's heartbeats.
func (m *Machine) Leads() bool { return m.lead.leading }

// Holding reports whether the lease runs at now.
func (m *Machine) Holding(now core.Instant) bool {
	return m.Joined() && !m.release && m.member.leased && now < m.leaseEnd()
}

// leaseEnd is when the lease ends unless renewed.
func (m *Machine) leaseEnd() core.Instant { return m.member.leaseFrom.Add(m.set.Term) }

// Outage reports whether the store does not answer this host, nor its leader.
func (m *Machine) Outage(now core.Instant) bool {
	const fresh = 3 * time.Second
	return m.calls.failing || (m.member.down && now.Sub(m.member.downAt) < fresh)
}

// Suspected lists members whose heartbeats have stopped, as far as this host
// reads them itself.
func (m *Machine) Suspected(now core.Instant) []core.HostID {
	var hosts []core.HostID
	if !m.watch.polls || m.watch.broken {
		return nil
	}
	for i := range m.head.Members {
		e := &m.head.Members[i]
		s := m.watch.seen[e.Number]
		if s != nil && e.Host != m.Self() && (s.fenced || m.watch.silence(now, s) > m.set.SuspectAfter) {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts
}

// settle raises the settled view. Each value was true when it was computed and
// stays true, so the highest counts.
func (m *Machine) settle(v uint64) {
	if v > m.settled {
		m.settled = v
		m.shards.dirty = true
	}
}

// hint says that a newer view exists. A patient host leaves the feed time to
// bring it.
func (m *Machine) hint(now core.Instant, view uint64, patience time.Duration) {
	if view <= m.head.Version {
		return
	}
	at := now.Add(patience)
	if m.wanted <= m.head.Version || at < m.wantedAt {
		m.wantedAt = at
	}
	m.wanted = max(m.wanted, view)
}

// lose ends this identity.
func (m *Machine) lose() {
	m.lost = true
	m.lead.leading = false
	m.shards.dirty = true
}

// rank is this host's place in an order that all hosts compute alike.
func rank(hosts []core.HostID, self core.HostID, name string) int {
	const kindRank = 0xff
	ordered := core.RendezvousN(hosts, kindRank, name, len(hosts))
	if i := slices.Index(ordered, self); i >= 0 {
		return i
	}
	return len(hosts)
}
