package limit

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// listPrefix is where the object API keeps, for each workspace, who may hold
// shares of it.
const listPrefix = "limits/holders/"

// list is the value of one such object.
type list struct {
	Fence   core.Fence    `cbor:"1,keyasint"` // of the last owner
	Owner   core.HostID   `cbor:"2,keyasint"`
	Holders []core.HostID `cbor:"3,keyasint"`
}

// listCall is an object call under way.
type listCall struct {
	workspace core.WorkspaceID
	fence     core.Fence
	wrote     *list // of a write: the value
}

// takeOver starts to open a book under a new fencing number. Invariant
// Successor.
func (m *Machine) takeOver(now core.Instant, ws core.WorkspaceID, former *book, g core.Grant, r *Result) *book {
	if former != nil && former.phase != phaseOpen {
		former = former.former
	}
	if a := m.adopted[ws]; a != nil && (former == nil || former.fence < a.fence) {
		former = a
	}
	delete(m.adopted, ws)
	b := &book{
		workspace: ws, fence: g.Fence, phase: phaseReading, limit: m.limits[ws],
		pool: bucket{last: now, ppm: m.settings.DriftPPM, generation: m.generation()}, acted: g.Until, former: former,
	}
	m.books[ws] = b
	m.stats.Takeovers++
	m.bookAgain(now, b)
	m.readList(b, r)
	return b
}

// generation numbers a new pool: what was taken from an older one can't be
// settled into it.
func (m *Machine) generation() uint32 {
	m.pools++
	return m.pools
}

func (m *Machine) call(b *book, c core.ObjectCall, wrote *list, r *Result) {
	m.tag++
	c.Tag, c.Key = m.tag, listPrefix+string(b.workspace)
	m.calls[m.tag] = listCall{b.workspace, b.fence, wrote}
	b.writing = true
	r.Call(c)
}

func (m *Machine) readList(b *book, r *Result) {
	m.call(b, core.ObjectCall{Op: core.ObjectGet}, nil, r)
}

// writeList writes who may hold shares, on the condition that nobody wrote
// since it was read.
func (m *Machine) writeList(b *book, holders []core.HostID, r *Result) {
	l := list{Fence: b.fence, Owner: m.settings.Self, Holders: m.without(holders)}
	value, err := cbor.Marshal(l)
	if err != nil {
		return // a list of strings always encodes
	}
	op := core.ObjectUpdate
	if b.version == 0 {
		op = core.ObjectCreate
	}
	m.call(b, core.ObjectCall{Op: op, Value: value, IfVersion: b.version}, &l, r)
}

// Object handles the end of an object call.
func (m *Machine) Object(now core.Instant, own core.Ownership, res core.ObjectResult) Result {
	var r Result
	c, ok := m.calls[res.Tag]
	delete(m.calls, res.Tag)
	b := m.books[c.workspace]
	if !ok || b == nil || b.fence != c.fence {
		return r
	}
	b.writing = false
	switch res.Status {
	case core.ObjectOK:
		m.onObject(now, own, b, res.Object, c.wrote, &r)
	case core.ObjectNotFound:
		b.version = 0
		m.onRead(now, own, b, nil, &r)
	case core.ObjectConflict:
		m.readList(b, &r)
	default: // the book's next check reads again: a write may have taken effect
		b.unsure = c.wrote != nil
	}
	return r
}

// onObject handles a value that was read, or a write that took effect.
func (m *Machine) onObject(now core.Instant, own core.Ownership, b *book, o core.Object, wrote *list, r *Result) {
	b.version = o.Version
	if wrote != nil {
		m.onRead(now, own, b, wrote, r)
		return
	}
	var l list
	if cbor.Unmarshal(o.Value, &l) != nil {
		return // damaged: to open the book as if nobody held shares would be unsafe
	}
	m.onRead(now, own, b, &l, r)
}

// onRead goes on with what the object says; l is nil where there is none.
func (m *Machine) onRead(now core.Instant, own core.Ownership, b *book, l *list, r *Result) {
	mine := b.phase != phaseReading && l != nil && l.Fence == b.fence && l.Owner == m.settings.Self
	switch {
	case l != nil && l.Fence > b.fence:
		delete(m.books, b.workspace) // a later owner claimed it
	case mine:
		m.listWritten(now, own, b, l, r)
	case b.phase == phaseReading:
		m.claim(now, own, b, l, r)
	default:
		m.writeList(b, union(b.listed, b.wanted), r)
	}
}

// claim writes the fencing number over what the predecessor left.
func (m *Machine) claim(now core.Instant, own core.Ownership, b *book, l *list, r *Result) {
	b.phase = phaseClaiming
	switch {
	case l == nil: // nobody ever owned it: nothing is out
		b.former = nil
	case b.former != nil && b.former.fence == l.Fence:
		b.adopt(now, b.former)
		b.listed = l.Holders
	default:
		b.former = nil
		b.listed = l.Holders
		b.unheard = slices.Clone(l.Holders)
		b.heard(m.settings.Self)
		b.withheld = len(b.unheard) > 0
	}
	fresh := l == nil
	b.wanted = union(b.listed, m.homes(own, b.workspace))
	b.reslice(now)
	if fresh {
		b.pool.level = b.pool.burst
	}
	m.writeList(b, b.wanted, r)
}

// adopt takes over an older book's account.
func (b *book) adopt(now core.Instant, f *book) {
	b.entries, b.seq, b.prior = f.entries, f.seq, f.fence
	f.pool.advance(now)
	b.pool = f.pool
	b.withheld, b.unheard, b.withheldTo = f.withheld, f.unheard, f.withheldTo
	b.ownRate, b.ownBurst = f.ownRate, f.ownBurst
}

// listWritten: the object names this owner, so those listed may be granted to.
func (m *Machine) listWritten(now core.Instant, own core.Ownership, b *book, l *list, r *Result) {
	g, acting := own.Acting(now, shardOf(b.workspace))
	if !acting || g.Fence != b.fence {
		m.lateList(b)
		return
	}
	b.unsure = false
	was := b.listed
	b.listed = l.Holders
	b.wanted = slices.DeleteFunc(b.wanted, func(h core.HostID) bool {
		_, ok := slices.BinarySearch(b.listed, h)
		return ok || h == m.settings.Self
	})
	if b.phase == phaseOpen {
		m.listGrew(b, was, r)
		return
	}
	b.phase = phaseOpen
	b.former = nil
	b.stir = true
	if b.withheld && b.withheldTo == 0 {
		b.withheldTo = now.Add(longer(m.settings.Horizon, m.settings.DriftPPM))
		m.stats.Withheld++
	}
	m.absorb(now, b)
	if open := m.book(now, own, b.workspace, r); open == b {
		m.look(now, own, b, r)
		m.serveQueue(now, own, b, r)
	}
}

// lateList: the write ended when this host could not act any more. A successor
// may have read the list before, so nobody is granted on the strength of it.
func (m *Machine) lateList(b *book) {
	if b.phase != phaseOpen {
		delete(m.books, b.workspace)
		return
	}
	b.wanted = nil
}

// absorb moves this host's own share into the pool: an owner spends the pool.
func (m *Machine) absorb(now core.Instant, b *book) {
	h := m.holder(now, b.workspace)
	m.lapse(now, h)
	h.fence = max(h.fence, b.fence)
	h.slice.advance(now)
	level := h.slice.level
	b.ownRate += h.slice.rate
	b.ownBurst += h.slice.burst
	b.entries = slices.DeleteFunc(b.entries, func(e *entry) bool { return e.host == m.settings.Self })
	b.reslice(now)
	b.pool.level = min(b.pool.level+max(level, 0), b.pool.limit())
	m.fly(now, b.workspace, &b.pool, h.slice.held)
	h.slice.drop()
}

// list asks that a host be listed.
func (m *Machine) list(own core.Ownership, b *book, host core.HostID, r *Result) {
	if b.frozen || !isMember(own, host) || len(b.listed)+len(b.wanted) >= 2*m.settings.Homes {
		return
	}
	b.wanted = union(b.wanted, []core.HostID{host})
	if !b.writing {
		m.writeList(b, union(b.listed, b.wanted), r)
	}
}

// listHomes lists the homes that joined since the book was opened, so that each
// holds a part before the owner or the store is lost.
func (m *Machine) listHomes(own core.Ownership, b *book, r *Result) {
	for _, h := range m.homes(own, b.workspace) {
		_, listed := slices.BinarySearch(b.listed, h)
		if h != m.settings.Self && !listed && !slices.Contains(b.wanted, h) {
			m.list(own, b, h, r)
		}
	}
}

// listGrew asks the hosts that are newly listed, and lists those that came
// meanwhile.
func (m *Machine) listGrew(b *book, was []core.HostID, r *Result) {
	fresh := slices.DeleteFunc(slices.Clone(b.listed), func(h core.HostID) bool { return slices.Contains(was, h) })
	m.recall(b, fresh, r)
	if len(b.wanted) > 0 {
		m.writeList(b, union(b.listed, b.wanted), r)
	}
}

// settleList resolves a write that got no answer, else shortens the list.
func (m *Machine) settleList(own core.Ownership, b *book, r *Result) {
	switch {
	case b.writing:
	case b.unsure:
		m.readList(b, r)
	default:
		m.unlist(own, b, r)
	}
}

// unlist takes hosts off the list that are gone and hold nothing.
func (m *Machine) unlist(own core.Ownership, b *book, r *Result) {
	keep := slices.DeleteFunc(slices.Clone(b.listed), func(h core.HostID) bool {
		return !isMember(own, h) && b.entry(h) == nil && !slices.Contains(b.unheard, h)
	})
	if len(keep) < len(b.listed) {
		b.listed = keep
		m.writeList(b, keep, r)
	}
}

func isMember(own core.Ownership, host core.HostID) bool {
	return slices.ContainsFunc(own.Members(), func(x core.Member) bool { return x.Host == host })
}

// homes are the hosts that may hold shares of a workspace from the start.
func (m *Machine) homes(own core.Ownership, ws core.WorkspaceID) []core.HostID {
	return Homes(own.Members(), ws, m.settings.Homes)
}

// Homes are the hosts, sorted, that a workspace's callers are best told to use.
func Homes(members []core.Member, ws core.WorkspaceID, n int) []core.HostID {
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

func (m *Machine) without(hosts []core.HostID) []core.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h core.HostID) bool { return h == m.settings.Self })
}

// union merges two lists of hosts, sorted, each once.
func union(a, b []core.HostID) []core.HostID {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}
