package relaynode

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/window"
)

// A brittle replica gets no more requests of this host at once than its window for it. Requests go to
// other replicas first. Where all are brittle and have no room, a request waits for a moment, the
// most urgent is placed first, and what finds no place is refused.

const (
	// windowKind separates the ranks of hosts at brittle replicas from other scores.
	windowKind = 43
	// roomWaitFraction is the fraction of the route's objective that a request may wait for room.
	roomWaitFraction = 0.125
)

// applyBrittleNotice applies what an answer of an incarnation says about its brittleness. held is the
// time since its request was sent.
func (m *Machine) applyBrittleNotice(id core.UpstreamID, started int64, b replicas.Brittleness, held time.Duration) {
	x := m.replicas.Get(id)
	if x == nil || x.Started != started {
		return
	}
	if b.Malformed {
		m.emit(LogDecision{Name: "replica", Reason: "brittle_malformed", Upstream: id})
		if !b.Named {
			return
		}
	}
	if !m.windows.Observe(m.now, keyOf(x), x.Service, b, held) {
		return
	}
	if !b.Named {
		m.emit(LogDecision{Name: "replica", Reason: "brittle_ended", Upstream: id})
		m.placementDue = true
		return
	}
	m.emit(LogDecision{Name: "replica", Reason: "brittle", Upstream: id, Detail: strconv.Itoa(b.Rejections) + " rejections a second"})
}

// brittle reports whether a replica counts as brittle.
func (m *Machine) brittle(x *replicas.Replica) bool {
	_, brittle := m.windows.Rejections(m.now, keyOf(x), x.Service)
	return brittle
}

// hasRoom reports whether a replica isn't brittle, or may be sent another request.
func (m *Machine) hasRoom(x *replicas.Replica) bool {
	if !m.brittle(x) {
		return true
	}
	return m.windows.Room(m.now, keyOf(x), x.Service, x.Batch, x.OwnRequests, func() window.Fleet { return m.shareOf(x) })
}

// shareOf returns what this host's share of a replica's room depends on.
func (m *Machine) shareOf(x *replicas.Replica) window.Fleet {
	members := m.fleet.Members(m.now)
	order := core.RendezvousN(members, windowKind, string(x.ID), len(members))
	rank := slices.Index(order, core.HostID(m.settings.Self.Name))
	if rank < 0 {
		rank = len(members)
	}
	return window.Fleet{Hosts: max(len(members), 1), Rank: rank}
}

// observeRejection applies that a replica has rejected a request, which no longer counts as its
// load.
func (m *Machine) observeRejection(x *replicas.Replica) {
	if m.brittle(x) {
		m.windows.Rejected(m.now, keyOf(x), x.Service, x.OwnRequests, m.shareOf(x))
	}
}

// awaitRoom lets a request wait for a moment for room at a brittle replica. It returns false where it
// has waited long enough.
func (m *Machine) awaitRoom(r *request) bool {
	if r.roomAwaitedSince == 0 {
		r.roomAwaitedSince = m.now
		m.emit(LogDecision{Name: "wait", Reason: "room", ID: r.id()})
	}
	if m.now.Sub(r.roomAwaitedSince) >= r.maxRoomWait() {
		return false
	}
	if r.stage != stageWaiting {
		r.stage, r.stageSince = stageWaiting, m.now
	}
	r.awaitsRoom = true
	return true
}

func (r *request) maxRoomWait() time.Duration {
	return time.Duration(roomWaitFraction * float64(r.route.LatencyTarget))
}

// refuseRoomless refuses a request for which no brittle replica has had room.
func (m *Machine) refuseRoomless(r *request) {
	m.refuse(r, core.Refuse(core.CodeOverloaded, retryAfterSaturated, "the replicas that could run it are brittle and have no room"))
}
