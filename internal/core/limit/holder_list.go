package limit

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// listPrefix is the object key prefix of the lists of hosts that may hold shares,
// one for each workspace.
const listPrefix = "limits/holders/"

// holderList is the value of one such object.
type holderList struct {
	Fence   core.Fence    `cbor:"1,keyasint"` // of the last owner
	Owner   core.HostID   `cbor:"2,keyasint"`
	Holders []core.HostID `cbor:"3,keyasint"`
}

// listCall is an object call in flight.
type listCall struct {
	workspace core.WorkspaceID
	fence     core.Fence
	written   *holderList // value of a write; nil for a read
}

// takeOver starts to open a ledger under a new fencing number. Invariant
// Successor.
func (m *Machine) takeOver(now core.Instant, ws core.WorkspaceID, previous *ledger, g core.Grant, r *Result) *ledger {
	if previous != nil && previous.phase != phaseOpen {
		previous = previous.previous
	}
	if a := m.adopted[ws]; a != nil && (previous == nil || previous.fence < a.fence) {
		previous = a
	}
	delete(m.adopted, ws)
	led := &ledger{
		workspace: ws, fence: g.Fence, phase: phaseReading, limit: m.limits[ws],
		pool: bucket{last: now, ppm: m.settings.DriftPPM, generation: m.newGeneration()}, actingUntil: g.Until, previous: previous,
	}
	m.ledgers[ws] = led
	m.stats.Takeovers++
	m.scheduleCheck(now, led)
	m.readList(led, r)
	return led
}

// newGeneration returns the generation of a new pool: what was taken from an older
// pool can't be settled into it.
func (m *Machine) newGeneration() uint32 {
	m.lastGeneration++
	return m.lastGeneration
}

func (m *Machine) sendCall(led *ledger, c core.ObjectCall, wrote *holderList, r *Result) {
	m.lastTag++
	c.Tag, c.Key = m.lastTag, listPrefix+string(led.workspace)
	m.calls[m.lastTag] = listCall{led.workspace, led.fence, wrote}
	led.callInFlight = true
	r.Call(c)
}

func (m *Machine) readList(led *ledger, r *Result) {
	m.sendCall(led, core.ObjectCall{Op: core.ObjectGet}, nil, r)
}

// writeList writes the hosts that may hold shares, on the condition that the object
// has not changed since it was read.
func (m *Machine) writeList(led *ledger, holders []core.HostID, r *Result) {
	l := holderList{Fence: led.fence, Owner: m.settings.Self, Holders: m.withoutSelf(holders)}
	value, err := cbor.Marshal(l)
	if err != nil {
		return // a list of strings always encodes
	}
	op := core.ObjectUpdate
	if led.objectVersion == 0 {
		op = core.ObjectCreate
	}
	m.sendCall(led, core.ObjectCall{Op: op, Value: value, IfVersion: led.objectVersion}, &l, r)
}

// HandleObject handles the result of an object call.
func (m *Machine) HandleObject(now core.Instant, own core.Ownership, res core.ObjectResult) Result {
	var r Result
	c, ok := m.calls[res.Tag]
	delete(m.calls, res.Tag)
	led := m.ledgers[c.workspace]
	if !ok || led == nil || led.fence != c.fence {
		return r
	}
	led.callInFlight = false
	switch res.Status {
	case core.ObjectOK:
		m.onObject(now, own, led, res.Object, c.written, &r)
	case core.ObjectNotFound:
		led.objectVersion = 0
		m.onListRead(now, own, led, nil, &r)
	case core.ObjectConflict:
		m.readList(led, &r)
	default: // the next check reads again: a write may have been applied
		led.unknownResult = c.written != nil
	}
	return r
}

// onObject handles a value that was read, or a write that was applied.
func (m *Machine) onObject(now core.Instant, own core.Ownership, led *ledger, o core.Object, wrote *holderList, r *Result) {
	led.objectVersion = o.Version
	if wrote != nil {
		m.onListRead(now, own, led, wrote, r)
		return
	}
	var l holderList
	if cbor.Unmarshal(o.Value, &l) != nil {
		return // damaged; opening the ledger as if nobody held shares would be unsafe
	}
	m.onListRead(now, own, led, &l, r)
}

// onListRead continues with the stored list; l is nil if there is none.
func (m *Machine) onListRead(now core.Instant, own core.Ownership, led *ledger, l *holderList, r *Result) {
	mine := led.phase != phaseReading && l != nil && l.Fence == led.fence && l.Owner == m.settings.Self
	switch {
	case l != nil && l.Fence > led.fence:
		delete(m.ledgers, led.workspace) // a later owner has claimed it
	case mine:
		m.onListWritten(now, own, led, l, r)
	case led.phase == phaseReading:
		m.claim(now, own, led, l, r)
	default:
		m.writeList(led, union(led.listed, led.toList), r)
	}
}

// claim writes this owner's fencing number over its predecessor's.
func (m *Machine) claim(now core.Instant, own core.Ownership, led *ledger, l *holderList, r *Result) {
	led.phase = phaseClaiming
	switch {
	case l == nil: // never owned: no shares are granted
		led.previous = nil
	case led.previous != nil && led.previous.fence == l.Fence:
		led.adopt(now, led.previous)
		led.listed = l.Holders
	default:
		led.previous = nil
		led.listed = l.Holders
		led.notRestated = slices.Clone(l.Holders)
		led.markRestated(m.settings.Self)
		led.markEnded(own)
		led.withheld = len(led.notRestated) > 0
	}
	fresh := l == nil
	led.toList = union(led.listed, m.homes(own, led.workspace))
	led.updatePool(now)
	if fresh {
		led.pool.level = led.pool.burst
	}
	m.writeList(led, led.toList, r)
}

// adopt takes over the entries and the pool of an older ledger.
func (led *ledger) adopt(now core.Instant, previous *ledger) {
	led.entries, led.lastSeq, led.priorFence = previous.entries, previous.lastSeq, previous.fence
	previous.pool.advance(now)
	led.pool = previous.pool
	led.withheld, led.notRestated, led.withheldUntil = previous.withheld, previous.notRestated, previous.withheldUntil
	led.ownRate, led.ownBurst = previous.ownRate, previous.ownBurst
}

// onListWritten opens the ledger, or permits shares for the listed hosts: the stored
// list names this owner.
func (m *Machine) onListWritten(now core.Instant, own core.Ownership, led *ledger, l *holderList, r *Result) {
	g, acting := own.Acting(now, shardOf(led.workspace))
	if !acting || g.Fence != led.fence {
		m.onLateListWrite(led)
		return
	}
	led.unknownResult = false
	was := led.listed
	led.listed = l.Holders
	led.toList = slices.DeleteFunc(led.toList, func(h core.HostID) bool {
		_, ok := slices.BinarySearch(led.listed, h)
		return ok || h == m.settings.Self
	})
	if led.phase == phaseOpen {
		m.onListGrown(led, was, r)
		return
	}
	led.phase = phaseOpen
	led.previous = nil
	led.queryAll = true
	if led.withheld && led.withheldUntil == 0 {
		led.withheldUntil = now.Add(extendedByDrift(m.settings.OutageHorizon, m.settings.DriftPPM))
		m.stats.Withheld++
	}
	m.absorbOwnShare(now, led)
	if open := m.openLedger(now, own, led.workspace, r); open == led {
		m.maintain(now, own, led, r)
		m.serveQueuedLoans(now, own, led, r)
	}
}

// onLateListWrite handles a write that ended when this host could not act any more.
// A successor may have read the list before the write, so no host is granted a share
// because of it.
func (m *Machine) onLateListWrite(led *ledger) {
	if led.phase != phaseOpen {
		delete(m.ledgers, led.workspace)
		return
	}
	led.toList = nil
}

// absorbOwnShare moves this host's own share into the pool, from which an owner
// spends.
func (m *Machine) absorbOwnShare(now core.Instant, led *ledger) {
	h := m.holderOf(now, led.workspace)
	m.dropExpired(now, h)
	h.promisedFence = max(h.promisedFence, led.fence)
	h.bucket.advance(now)
	level := h.bucket.level
	led.ownRate += h.bucket.rate
	led.ownBurst += h.bucket.burst
	led.entries = slices.DeleteFunc(led.entries, func(e *entry) bool { return e.host == m.settings.Self })
	led.updatePool(now)
	led.pool.level = min(led.pool.level+max(level, 0), led.pool.maxLevel())
	m.addInFlight(now, led.workspace, &led.pool, h.bucket.inFlight)
	h.bucket.reset()
}

// addToList adds a member host to the stored list, if there is room.
func (m *Machine) addToList(own core.Ownership, led *ledger, host core.HostID, r *Result) {
	if led.frozen || !isMember(own, host) || len(led.listed)+len(led.toList) >= 2*m.settings.MaxHomes {
		return
	}
	led.toList = union(led.toList, []core.HostID{host})
	if !led.callInFlight {
		m.writeList(led, union(led.listed, led.toList), r)
	}
}

// listHomes lists the homes that joined since the ledger was opened, so that each
// holds a share before the owner or the store fails.
func (m *Machine) listHomes(own core.Ownership, led *ledger, r *Result) {
	for _, h := range m.homes(own, led.workspace) {
		_, listed := slices.BinarySearch(led.listed, h)
		if h != m.settings.Self && !listed && !slices.Contains(led.toList, h) {
			m.addToList(own, led, h, r)
		}
	}
}

// onListGrown requests the state of newly listed hosts, and lists the hosts that
// were added during the write.
func (m *Machine) onListGrown(led *ledger, previous []core.HostID, r *Result) {
	fresh := slices.DeleteFunc(slices.Clone(led.listed), func(h core.HostID) bool { return slices.Contains(previous, h) })
	m.requestState(led, fresh, r)
	if len(led.toList) > 0 {
		m.writeList(led, union(led.listed, led.toList), r)
	}
}

// reconcileList reads the list again after a write with unknown result, otherwise
// prunes it.
func (m *Machine) reconcileList(own core.Ownership, led *ledger, r *Result) {
	switch {
	case led.callInFlight:
	case led.unknownResult:
		m.readList(led, r)
	default:
		m.pruneList(own, led, r)
	}
}

// pruneList removes hosts from the list that are no members and hold nothing.
func (m *Machine) pruneList(own core.Ownership, led *ledger, r *Result) {
	keep := slices.DeleteFunc(slices.Clone(led.listed), func(h core.HostID) bool {
		return !isMember(own, h) && led.entry(h) == nil && !slices.Contains(led.notRestated, h)
	})
	if len(keep) < len(led.listed) {
		led.listed = keep
		m.writeList(led, keep, r)
	}
}

// markEnded marks the hosts whose processes have ended as restated: they hold nothing.
func (led *ledger) markEnded(own core.Ownership) {
	led.notRestated = slices.DeleteFunc(led.notRestated, func(h core.HostID) bool { return hasEnded(own, h) })
}

// hasEnded reports whether a host's process has certainly ended: it is no member any more,
// and a later process of the same name is. Names are unique among running processes.
func hasEnded(own core.Ownership, host core.HostID) bool {
	return !isMember(own, host) && slices.ContainsFunc(own.Members(), func(x core.Member) bool { return x.Host.Name() == host.Name() })
}

func isMember(own core.Ownership, host core.HostID) bool {
	return slices.ContainsFunc(own.Members(), func(x core.Member) bool { return x.Host == host })
}

// homes returns the hosts that may hold shares of a workspace from the start.
func (m *Machine) homes(own core.Ownership, ws core.WorkspaceID) []core.HostID {
	return HomeHosts(own.Members(), ws, m.settings.MaxHomes)
}

// HomeHosts returns up to n hosts, sorted, that a workspace's callers should use. Hosts
// that are leaving are left out.
func HomeHosts(members []core.Member, ws core.WorkspaceID, n int) []core.HostID {
	hosts := make([]core.HostID, 0, len(members))
	for _, x := range members {
		if !x.Leaving {
			hosts = append(hosts, x.Host)
		}
	}
	out := core.RendezvousN(hosts, uint8(core.ShardWorkspace), string(ws), n)
	slices.Sort(out)
	return out
}

func (m *Machine) withoutSelf(hosts []core.HostID) []core.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h core.HostID) bool { return h == m.settings.Self })
}

// union merges two lists of hosts into one that is sorted and without duplicates.
func union(a, b []core.HostID) []core.HostID {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}
