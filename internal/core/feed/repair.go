package feed

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiancroft/internal/core"
)

// buckets is how many parts the keys are split into for a repair.
const buckets = 64

// patience is how long sums may differ while values are on their way.
const patience = 3 * time.Second

// keyID names a key in digests.
func keyID(k Key) uint64 { return xxhash.Sum64String(string(rune(k.Topic)) + k.Name) }

// digest is a key's and its stamp's part of the sums.
func digest(id uint64, s Stamp) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], id)
	binary.LittleEndian.PutUint64(b[8:], uint64(s.Fence))
	binary.LittleEndian.PutUint64(b[16:], s.Seq)
	return max(xxhash.Sum64(b[:]), 1)
}

// pingFrom makes the sender a child and answers it.
func (m *Machine) pingFrom(now core.Instant, from core.HostID, p Ping) {
	l := m.link(now, from)
	l.child, l.pinged = true, now
	pong := Pong{Echo: p.Echo, Sum: m.sum, Known: m.fresh.known}
	if m.fresh.known {
		pong.Version, pong.Age = m.fresh.version, now.Sub(m.fresh.at)
	}
	m.out.Send(from, Message{Pong: &pong})
	m.askHead(from, p.Version)
}

// askHead asks a neighbour that knows a newer configuration for its head.
func (m *Machine) askHead(from core.HostID, version uint64) {
	if version > m.conf.target.Version {
		m.out.Send(from, Message{Need: &Need{IDs: []uint64{keyID(headKey)}}})
	}
}

// pongFrom takes a parent's answer. What it says of freshness counts from
// before this host's ping was sent, so its way back makes nothing fresher.
func (m *Machine) pongFrom(now core.Instant, from core.HostID, p Pong) {
	l := m.find(from)
	if l == nil || !l.parent {
		return
	}
	asked := core.Instant(p.Echo)
	if asked <= now && now.Sub(asked) <= slowAnswer {
		l.heard = now // a parent that answers late is left like a silent one
	}
	if p.Known && p.Age >= 0 && asked <= now {
		m.newest(p.Version, asked.Add(-p.Age))
	}
	if p.Known {
		m.askHead(from, p.Version)
	}
	m.compare(now, l, p.Sum)
}

// compare starts a repair where sums differ at the first contact, or for too
// long to be explained by values on their way.
func (m *Machine) compare(now core.Instant, l *link, sum uint64) {
	if sum == m.sum {
		l.attached, l.differs = true, 0
		return
	}
	if l.differs == 0 {
		l.differs = now
	}
	long := now.Sub(l.differs) > patience && now.Sub(l.repaired) > m.set.Repair
	if l.attached && !long {
		return
	}
	l.attached, l.repaired, l.differs = true, now, now
	m.out.Send(l.host, Message{Buckets: &Buckets{Sums: slices.Clone(m.buckets[:])}})
}

// bucketsFrom answers with the stamps of what differs.
func (m *Machine) bucketsFrom(_ core.Instant, from core.HostID, b Buckets) {
	if len(b.Sums) != buckets {
		return
	}
	var d Digests
	for i := range b.Sums {
		if b.Sums[i] != m.buckets[i] {
			d.Buckets |= 1 << i
		}
	}
	for _, v := range m.within(d.Buckets) {
		d.Items = append(d.Items, Digest{ID: v.id, Fence: v.entry.Stamp.Fence, Seq: v.entry.Stamp.Seq})
	}
	m.out.Send(from, Message{Digests: &d})
}

// within lists the values of some buckets in an order of their own.
func (m *Machine) within(bits uint64) []*value {
	var list []*value
	for k, v := range m.values {
		if k.Topic != TopicStatus && bits&(1<<(v.id%buckets)) != 0 {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *value) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return list
}

// digestsFrom sends what is newer here and asks for what is newer there.
func (m *Machine) digestsFrom(now core.Instant, from core.HostID, d Digests) {
	l := m.find(from)
	if l == nil {
		return
	}
	theirs := make(map[uint64]Stamp, len(d.Items))
	for _, i := range d.Items {
		theirs[i.ID] = Stamp{Fence: i.Fence, Seq: i.Seq}
	}
	var need Need
	for _, v := range m.within(d.Buckets) {
		s, has := theirs[v.id]
		switch {
		case !has || s.Before(v.entry.Stamp):
			l.mark(now, v.entry.Key)
		case v.entry.Stamp.Before(s):
			need.IDs = append(need.IDs, v.id)
		}
		delete(theirs, v.id)
	}
	for _, i := range d.Items {
		if _, missing := theirs[i.ID]; missing {
			need.IDs = append(need.IDs, i.ID)
		}
	}
	if len(need.IDs) > 0 {
		m.out.Send(from, Message{Need: &need})
	}
}

// needFrom sends what another host lacks.
func (m *Machine) needFrom(now core.Instant, from core.HostID, n Need) {
	l := m.find(from)
	if l == nil {
		return
	}
	wanted := make(map[uint64]bool, len(n.IDs))
	for _, id := range n.IDs {
		wanted[id] = true
	}
	const all = ^uint64(0)
	for _, v := range m.within(all) {
		if wanted[v.id] {
			l.mark(now, v.entry.Key)
		}
	}
}
