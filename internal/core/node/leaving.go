package node

import (
	"time"

	"gentiancroft/internal/core"
)

// releaseTimeout is how long a drained host waits for the store to record that it
// leaves; then it exits without the record.
const releaseTimeout = 10 * time.Second

// leaveState is the progress of a graceful shutdown.
type leaveState struct {
	started   bool
	closed    bool // new requests are refused
	released  bool
	completed bool
	startedAt core.Instant
	drainedAt core.Instant
}

// startLeave starts a graceful shutdown. The host is first removed from the
// directory; callers that cached its address are still served for the keep time.
func (n *Node) startLeave() {
	if n.leaving.started {
		return
	}
	n.leaving.started = true
	n.leaving.startedAt = n.now
	n.logDecision("leave", "begun", "")
	n.applyLeaseOutput(n.lease.Leave(n.now))
}

// advanceLeave takes the steps of a shutdown that are due. Invariant: a graceful
// shutdown aborts no request in flight before the drain time is over.
func (n *Node) advanceLeave() {
	l := &n.leaving
	if n.lease.IdentityLost() && !l.closed {
		n.logDecision("leave", "fenced", "")
		l.started, l.closed, l.startedAt = true, true, n.now
	}
	if !l.started || l.completed {
		return
	}
	waited := n.now.Sub(l.startedAt)
	if !l.closed && waited >= n.settings.RequestRefusalDelay {
		n.logDecision("leave", "closed", "")
		l.closed = true
	}
	if waited >= n.settings.DrainTimeout {
		n.refuseRemaining()
	}
	if l.closed && n.idle() {
		n.releaseLease()
	}
}

// idle reports whether no request and no write of a record is pending.
func (n *Node) idle() bool {
	return n.requests.byArrival.Len() == 0 && n.once.Pending() == 0
}

// releaseLease returns the shares and the lease, and reports the end of the
// shutdown once the store has recorded it, the lease is lost or releaseTimeout is
// over. The lease is released after all shards are handed off.
func (n *Node) releaseLease() {
	l := &n.leaving
	if !l.released {
		l.released = true
		l.drainedAt = n.now
		n.applyLimitResult(n.limit.Leave(n.now, n.lease))
	}
	timedOut := n.now.Sub(l.drainedAt) >= releaseTimeout
	if n.lease.PendingHandoffs() == 0 && !n.lease.IdentityLost() && !n.lease.Released() {
		n.applyLeaseOutput(n.lease.Release(n.now))
	}
	if n.lease.Released() || n.lease.IdentityLost() || timedOut {
		l.completed = true
		n.logDecision("leave", "left", "")
		n.emit(LeaveCompleted{Fenced: n.lease.IdentityLost()})
	}
}

// refuseRemaining ends the requests in flight when the drain time is over.
func (n *Node) refuseRemaining() {
	for _, r := range n.requests.all() {
		if !r.callerDone {
			n.refuse(r, core.Refuse(core.CodeHostLeaving, retryAfterLeaving, "this host has left"))
		}
	}
}
