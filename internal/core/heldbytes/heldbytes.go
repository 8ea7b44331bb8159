// Package heldbytes decides how much memory a host may hold for its callers: bodies that are being
// received or wait for a replica, and answers that are not yet taken. It also bounds the number of
// connections.
//
// A Ledger accounts what each connection holds against a budget. A connection that asks for more than
// is free waits, in order (backpressure). Meanwhile stalled connections are closed, those that hold
// most and have progressed least first.
// A part of the budget is reserved for connections that hold little, so that ordinary requests are
// served beside large bodies. A peer is the address of a caller here, not another host.
package heldbytes

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// ID identifies a connection.
type ID uint64

// Limits are the bounds of a Ledger. Bytes count bodies and answers; connections themselves are
// bounded by their number.
type Limits struct {
	Total           int64         // bytes of all connections
	Reserve         int64         // bytes of Total for connections that hold at most Small, and for answers to requests that run
	Small           int64         // bytes
	Connection      int64         // bytes of one connection
	Peer            int64         // bytes of all connections of one peer address
	Connections     int           // open at the same time
	PeerConnections int           // of one peer address
	StallAge        time.Duration // lag behind MinRate from which a connection may be closed for others
	IdleAge         time.Duration // time without a request, or lag, from which a connection may be closed for a new one
	MaxWait         time.Duration // for bytes
	MinRate         int64         // bytes a second that a connection should transfer
}

// Phase is what a connection does.
type Phase uint8

// Phases.
const (
	Idle      Phase = iota // no request has been received, or only a part of its head
	Receiving              // a body is received
	Running                // the request is complete and being served: closing could lose a request that runs
	Answering              // an answer is written
)

// Reason is why a connection is refused something or closed.
type Reason string

// Reasons.
const (
	TooManyConnections Reason = "connections"      // of the host
	TooManyOfPeer      Reason = "peer_connections" // of the peer address
	TooLarge           Reason = "connection_bytes" // more than one connection may hold
	NoRoom             Reason = "no_room"          // the wait for bytes took too long
	Stalled            Reason = "stalled"          // it held bytes that others needed, and did not progress
	IdleTooLong        Reason = "idle"             // another connection needed its place
)

// EffectKind tells what to do.
type EffectKind uint8

// Effects.
const (
	Grant  EffectKind = iota // the connection has what it wanted
	Refuse                   // it doesn't get it
	Close                    // it is to be closed; the ledger has forgotten it
)

// Effect is a decision on one connection.
type Effect struct {
	Kind   EffectKind
	ID     ID
	Reason Reason // of Refuse and Close
}

type connection struct {
	id          ID
	peer        string
	phase       Phase
	held        int64
	wanted      int64 // 0: it doesn't wait
	waitsSince  core.Instant
	phaseBegan  core.Instant
	progressed  core.Instant // when it last transferred bytes
	transferred int64        // bytes in this phase
}

// peer is what one peer address has.
type peer struct {
	connections int
	held        int64
}

// Ledger accounts connections and the bytes that they hold.
type Ledger struct {
	limits      Limits
	connections map[ID]*connection
	peers       map[string]*peer
	waiting     []*connection // in order of arrival
	held        int64
}

// New returns an empty ledger.
func New(l Limits) *Ledger {
	return &Ledger{limits: l, connections: map[ID]*connection{}, peers: map[string]*peer{}}
}

// Held returns the bytes that all connections hold.
func (l *Ledger) Held() int64 { return l.held }

// Connections returns the number of connections.
func (l *Ledger) Connections() int { return len(l.connections) }

// Waiting returns the number of connections that wait for bytes.
func (l *Ledger) Waiting() int { return len(l.waiting) }

// Open adds a connection. Where there are too many, the one that has been idle or has stalled longest is
// closed for it; if none has for long enough, the new one is refused.
func (l *Ledger) Open(now core.Instant, id ID, address string) []Effect {
	p := l.peer(address)
	var effects []Effect
	reason, full := l.full(p)
	if full {
		idle := l.longestIdle(now, address, reason == TooManyOfPeer)
		if idle == nil {
			l.dropEmpty(address)
			return []Effect{{Kind: Refuse, ID: id, Reason: reason}}
		}
		effects = l.evict(effects, idle, IdleTooLong)
		p = l.peer(address)
	}
	p.connections++
	l.connections[id] = &connection{id: id, peer: address, phaseBegan: now, progressed: now}
	return append(effects, Effect{Kind: Grant, ID: id})
}

func (l *Ledger) full(p *peer) (Reason, bool) {
	switch {
	case p.connections >= l.limits.PeerConnections:
		return TooManyOfPeer, true
	case len(l.connections) >= l.limits.Connections:
		return TooManyConnections, true
	}
	return "", false
}

// longestIdle returns the connection that has been unused longest, nil if none has been for IdleAge.
func (l *Ledger) longestIdle(now core.Instant, address string, ofPeer bool) *connection {
	var found *connection
	longest := l.limits.IdleAge
	for _, c := range l.connections {
		unused := l.unused(now, c)
		if unused < longest || ofPeer && c.peer != address {
			continue
		}
		if found == nil || unused > longest || c.id < found.id {
			found, longest = c, unused
		}
	}
	return found
}

// unused returns how long a connection has been idle or has stalled; -1 for one whose request runs.
func (l *Ledger) unused(now core.Instant, c *connection) time.Duration {
	switch {
	case c.phase == Idle:
		return now.Sub(c.phaseBegan)
	case c.phase == Running || c.wanted > 0:
		return -1
	}
	return l.lag(now, c)
}

// Acquire asks for bytes. The effects grant or refuse them; where they do neither, the connection
// waits until a later effect does. A connection that waits must not ask for more.
func (l *Ledger) Acquire(now core.Instant, id ID, bytes int64) []Effect {
	c := l.connections[id]
	if c == nil {
		return []Effect{{Kind: Refuse, ID: id, Reason: Stalled}} // it has been closed meanwhile
	}
	if c.held+bytes > l.limits.Connection {
		return []Effect{{Kind: Refuse, ID: id, Reason: TooLarge}}
	}
	c.wanted, c.waitsSince = bytes, now
	l.waiting = append(l.waiting, c)
	return l.serveWaiting(now, nil)
}

// Progress records that a connection has transferred bytes.
func (l *Ledger) Progress(now core.Instant, id ID, bytes int64) {
	if c := l.connections[id]; c != nil {
		c.progressed = now
		c.transferred += bytes
	}
}

// Release returns bytes that a connection holds.
func (l *Ledger) Release(now core.Instant, id ID, bytes int64) []Effect {
	c := l.connections[id]
	if c == nil {
		return nil
	}
	l.hold(c, -min(bytes, c.held))
	return l.serveWaiting(now, nil)
}

// SetPhase records what a connection does from now on. An idle one holds nothing.
func (l *Ledger) SetPhase(now core.Instant, id ID, p Phase) []Effect {
	c := l.connections[id]
	if c == nil {
		return nil
	}
	c.phase, c.phaseBegan, c.progressed, c.transferred = p, now, now, 0
	if p != Idle || c.held == 0 {
		return nil
	}
	l.hold(c, -c.held)
	return l.serveWaiting(now, nil)
}

// Closed removes a connection.
func (l *Ledger) Closed(now core.Instant, id ID) []Effect {
	c := l.connections[id]
	if c == nil {
		return nil
	}
	l.remove(c)
	return l.serveWaiting(now, nil)
}

// Tick closes connections that hold what others wait for, and ends waits that took too long. It is
// needed only while connections wait.
func (l *Ledger) Tick(now core.Instant) []Effect {
	var effects []Effect
	for len(l.waiting) > 0 && now.Sub(l.waiting[0].waitsSince) >= l.limits.MaxWait {
		c := l.waiting[0]
		l.stopWaiting(c)
		effects = append(effects, Effect{Kind: Refuse, ID: c.id, Reason: NoRoom})
	}
	return l.serveWaiting(now, effects)
}

// serveWaiting grants what fits, in order of arrival. For the first that doesn't fit, stalled
// connections are closed.
func (l *Ledger) serveWaiting(now core.Instant, effects []Effect) []Effect {
	triedEviction := false
	for i := 0; i < len(l.waiting); {
		c := l.waiting[i]
		if !l.fits(c) && !triedEviction {
			triedEviction = true
			effects = l.makeRoom(now, effects, c)
			i = slices.Index(l.waiting, c)
		}
		if !l.fits(c) {
			i++
			continue
		}
		bytes := c.wanted
		l.stopWaiting(c)
		l.hold(c, bytes)
		effects = append(effects, Effect{Kind: Grant, ID: c.id})
	}
	return effects
}

// fits reports whether a waiting connection can have what it wants.
func (l *Ledger) fits(c *connection) bool {
	// Requests that run can't be closed: if their answers waited for each other's bodies, none would end.
	if c.held+c.wanted <= l.limits.Small || c.phase == Running {
		return l.held+c.wanted <= l.limits.Total
	}
	return l.held+c.wanted <= l.limits.Total-l.limits.Reserve && l.peer(c.peer).held+c.wanted <= l.limits.Peer
}

// makeRoom closes stalled connections until what c wants fits, or none is left.
func (l *Ledger) makeRoom(now core.Instant, effects []Effect, c *connection) []Effect {
	for !l.fits(c) {
		worst := l.worst(now, c)
		if worst == nil {
			return effects
		}
		effects = l.evict(effects, worst, Stalled)
	}
	return effects
}

// worst returns the connection with the greatest product of bytes held and lag, among those whose
// lag is at least StallAge; nil if there is none.
func (l *Ledger) worst(now core.Instant, beneficiary *connection) *connection {
	var found *connection
	var most float64
	for _, c := range l.connections {
		lag := l.lag(now, c)
		if c == beneficiary || c.held == 0 || lag < l.limits.StallAge {
			continue
		}
		score := float64(c.held) * lag.Seconds()
		if found == nil || score > most || score == most && c.id < found.id {
			found, most = c, score
		}
	}
	return found
}

// lag returns how long a connection has not progressed, or has lagged behind the least rate. It is
// 0 for those that wait for this ledger or for a replica.
func (l *Ledger) lag(now core.Instant, c *connection) time.Duration {
	if c.wanted > 0 || c.phase != Receiving && c.phase != Answering {
		return 0
	}
	due := time.Duration(float64(c.transferred) / float64(l.limits.MinRate) * float64(time.Second))
	return max(now.Sub(c.progressed), now.Sub(c.phaseBegan)-due)
}

// evict removes a connection that is to be closed.
func (l *Ledger) evict(effects []Effect, c *connection, why Reason) []Effect {
	l.remove(c)
	return append(effects, Effect{Kind: Close, ID: c.id, Reason: why})
}

func (l *Ledger) remove(c *connection) {
	l.stopWaiting(c)
	l.hold(c, -c.held)
	delete(l.connections, c.id)
	l.peer(c.peer).connections--
	l.dropEmpty(c.peer)
}

func (l *Ledger) stopWaiting(c *connection) {
	if c.wanted == 0 {
		return
	}
	c.wanted = 0
	l.waiting = slices.DeleteFunc(l.waiting, func(w *connection) bool { return w == c })
}

// hold changes what a connection holds.
func (l *Ledger) hold(c *connection, change int64) {
	c.held += change
	l.held += change
	l.peer(c.peer).held += change
}

// peer returns the account of a peer address.
func (l *Ledger) peer(address string) *peer {
	p := l.peers[address]
	if p == nil {
		p = &peer{}
		l.peers[address] = p
	}
	return p
}

// dropEmpty forgets a peer address without connections.
func (l *Ledger) dropEmpty(address string) {
	if p := l.peers[address]; p != nil && p.connections == 0 {
		delete(l.peers, address)
	}
}
