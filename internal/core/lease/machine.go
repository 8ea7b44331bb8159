package lease

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Machine is the state machine of one host's membership, lease and shard
// ownership. It serves one process under one identity.
type Machine struct {
	settings Settings
	rng      *core.Rand
	calls    calls
	out      Output

	head                Head
	headBytes           []byte
	headObjectVersion   uint64 // store version of exactly this head; 0 if unknown
	newestObjectVersion uint64 // highest store version of a head that was read
	headAbsent          bool   // the store holds no head
	pendingHead         Head   // the head being written
	knownView           uint64 // newest view known to exist
	readHeadAt          core.Instant

	number        uint64 // 0 until this host is a member
	ownBatchKey   string
	lowestApplied uint64
	leaving       bool // Leave was called
	releasing     bool // Release was called
	released      bool
	identityLost  bool // this host was fenced, or another process uses its identity

	member     member
	leadership leadership
	poller     poller
	shards     shardTable
	handoffs   handoffs
}

// New returns the machine of a host that is not a member yet; it requests
// membership at the first Tick.
func New(s Settings, rng *core.Rand) *Machine {
	m := &Machine{settings: s.withDefaults(), rng: rng}
	m.shards.index = map[core.Shard]*shard{}
	m.poller.heartbeats = map[uint64]*memberHeartbeat{}
	m.poller.objects = map[string]batchObject{}
	m.leadership.inbox = map[uint64]Heartbeat{}
	return m
}

// Tick does the work that is due and times out object calls. Call it every 50
// to 250 ms.
func (m *Machine) Tick(now core.Instant) Output {
	for {
		tag, ok := m.calls.overdue(now, &m.settings)
		if !ok {
			break
		}
		m.result(now, core.ObjectResult{Tag: tag, Status: core.ObjectUnknown})
	}
	return m.finish(now)
}

// HandleObject handles the result of an object call.
func (m *Machine) HandleObject(now core.Instant, r core.ObjectResult) Output {
	m.result(now, r)
	return m.finish(now)
}

// HandleMessage handles a message from another host. Messages may be late, duplicated or
// out of order.
func (m *Machine) HandleMessage(now core.Instant, from core.HostID, msg Message) Output {
	switch {
	case msg.Heartbeat != nil:
		m.receiveHeartbeat(now, from, *msg.Heartbeat)
	case msg.Ack != nil:
		m.receiveAck(now, from, *msg.Ack)
	case msg.LeaderChange != nil:
		m.receiveLeaderChange(now, from, *msg.LeaderChange)
	case msg.Handoff != nil:
		m.receiveHandoff(now, from, *msg.Handoff)
	case msg.HandoffAck != nil:
		m.handoffs.acknowledge(msg.HandoffAck.Shard, msg.HandoffAck.View)
	}
	return m.finish(now)
}

// ApplyHead applies a head and a lowest applied view received through the feed.
// Older ones change nothing.
func (m *Machine) ApplyHead(now core.Instant, head []byte, lowestApplied uint64) Output {
	if h, err := DecodeHead(head); err == nil && h.Version > m.head.Version {
		m.adopt(now, h, head, 0)
	}
	m.raiseLowestApplied(lowestApplied)
	return m.finish(now)
}

// Leave marks this host as leaving: it owns no shards from the next view on,
// and Changes reports those it acted on as HandoffNeeded. It keeps its lease until
// Release.
func (m *Machine) Leave(now core.Instant) Output {
	m.leaving = true
	return m.finish(now)
}

// Release gives up the membership. Call it once nothing is in flight and every
// shard has been handed over; Released reports when it is done.
func (m *Machine) Release(now core.Instant) Output {
	m.leaving, m.releasing = true, true
	return m.finish(now)
}

// finish does the work that is due after an event and returns the effects.
func (m *Machine) finish(now core.Instant) Output {
	if !m.released && !m.identityLost {
		m.syncHead(now)
		m.syncLease(now)
		m.writeDueBatch(now)
		m.readHeartbeats(now)
		m.sendHandoffs(now)
	}
	m.updateRights(now)
	out := m.out
	m.out = Output{}
	return out
}

// result passes an object result to the handler of its call.
func (m *Machine) result(now core.Instant, r core.ObjectResult) {
	k, ok := m.calls.end(now, r, &m.settings, m.rng)
	if !ok || m.released || m.identityLost {
		return
	}
	switch k {
	case callHead:
		m.headReadDone(now, r)
	case callHeadWrite:
		m.headWriteDone(now, r)
	case callWatch:
		for _, o := range r.Objects {
			m.receiveHead(now, o)
		}
	case callBatch:
		m.batchReadDone(now, r)
	case callBatchWrite:
		m.batchWriteDone(now, r)
	case callBatchList:
		m.batchListDone(now, r)
	case callFence:
		m.fenceWriteDone(now, r)
	}
}

// call starts an object call.
func (m *Machine) call(now core.Instant, k callKind, c core.ObjectCall) {
	m.out.Call(m.calls.start(now, k, c))
}

// Self implements core.Ownership.
func (m *Machine) Self() core.HostID { return m.settings.Self.Host }

// Members implements core.Ownership.
func (m *Machine) Members() []core.Member {
	members := make([]core.Member, 0, len(m.head.Members))
	for _, e := range m.head.Members {
		members = append(members, e.Member)
	}
	return members
}

// View returns the version of the membership that this host acts under.
func (m *Machine) View() uint64 { return m.head.Version }

// LowestAppliedView returns the lowest applied view: no live host acts under an older
// one.
func (m *Machine) LowestAppliedView() uint64 { return m.lowestApplied }

// Head returns the stored form of the current membership, for the feed.
func (m *Machine) Head() []byte { return m.headBytes }

// Joined reports whether this host is a member.
func (m *Machine) Joined() bool { return m.number != 0 && !m.released && !m.identityLost }

// Released reports whether the store has confirmed that this host is no longer a
// member, after Release.
func (m *Machine) Released() bool { return m.released }

// IdentityLost reports whether this identity has been fenced or is used by another
// process too. It can never act again; the process must join under a new one.
func (m *Machine) IdentityLost() bool { return m.identityLost }

// IsPoller reports whether this host reads the heartbeats of all batches.
func (m *Machine) IsPoller() bool { return m.poller.polls }

// IsBatchLeader reports whether this host writes its batch's heartbeats.
func (m *Machine) IsBatchLeader() bool { return m.leadership.leading }

// HasLease reports whether this host's lease is valid at now.
func (m *Machine) HasLease(now core.Instant) bool {
	return m.Joined() && !m.releasing && m.member.leased && now < m.leaseEnd()
}

// leaseEnd returns when the lease expires unless it is renewed.
func (m *Machine) leaseEnd() core.Instant { return m.member.leaseStart.Add(m.settings.Term) }

// StoreOutage reports whether the store doesn't answer this host, or didn't answer
// its batch leader in the last few seconds.
func (m *Machine) StoreOutage(now core.Instant) bool {
	const maxAge = 3 * time.Second
	return m.calls.failing || (m.member.storeDown && now.Sub(m.member.storeDownAt) < maxAge)
}

// Suspected returns the members whose heartbeats have stopped, as read by this
// host. It is nil if the host doesn't poll or its latest poll failed.
func (m *Machine) Suspected(now core.Instant) []core.HostID {
	var hosts []core.HostID
	if !m.poller.polls || m.poller.readFailed {
		return nil
	}
	for i := range m.head.Members {
		e := &m.head.Members[i]
		s := m.poller.heartbeats[e.Number]
		if s != nil && e.Host != m.Self() && (s.fenced || m.poller.unchangedFor(now, s) > m.settings.SuspectAfter) {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts
}

// raiseLowestApplied raises the lowest applied view. Hosts' views never
// decrease, so a computed value stays a valid lower bound and the highest one
// counts.
func (m *Machine) raiseLowestApplied(v uint64) {
	if v > m.lowestApplied {
		m.lowestApplied = v
		m.shards.dirty = true
	}
}

// noteNewerView records that a newer view exists. With a delay, the feed has
// that long to deliver it before the head is read from the store.
func (m *Machine) noteNewerView(now core.Instant, view uint64, delay time.Duration) {
	if view <= m.head.Version {
		return
	}
	at := now.Add(delay)
	if m.knownView <= m.head.Version || at < m.readHeadAt {
		m.readHeadAt = at
	}
	m.knownView = max(m.knownView, view)
}

// loseIdentity ends this identity; the machine never acts again.
func (m *Machine) loseIdentity() {
	m.identityLost = true
	m.leadership.leading = false
	m.shards.dirty = true
}

// rank returns self's position in a rendezvous order, the same on every host,
// or the number of hosts if self is not one of them.
func rank(hosts []core.HostID, self core.HostID, name string) int {
	const kindRank = 0xff
	ordered := core.RendezvousN(hosts, kindRank, name, len(hosts))
	if i := slices.Index(ordered, self); i >= 0 {
		return i
	}
	return len(hosts)
}
