package feed

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiancroft/internal/core"
)

// bucketCount is the number of buckets that keys are split into for a repair.
const bucketCount = 64

// repairDelay is how long the sums of two hosts may differ because values are
// still in transit.
const repairDelay = 3 * time.Second

// keyID returns the hash of a key that digests use.
func keyID(k Key) uint64 { return xxhash.Sum64String(string(rune(k.Topic)) + k.Name) }

// digest returns the contribution of a key and its stamp to the sums; never 0.
func digest(id uint64, s Stamp) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], id)
	binary.LittleEndian.PutUint64(b[8:], uint64(s.Fence))
	binary.LittleEndian.PutUint64(b[16:], s.Seq)
	return max(xxhash.Sum64(b[:]), 1)
}

// receivePing makes the sender a child and answers it.
func (m *Machine) receivePing(now core.Instant, from core.HostID, p Ping) {
	l := m.ensureLink(now, from)
	l.child, l.lastPing = true, now
	pong := Pong{Echo: p.Echo, Sum: m.valuesSum, VersionKnown: m.freshness.known}
	if m.freshness.known {
		pong.NewestVersion, pong.VersionAge = m.freshness.version, now.Sub(m.freshness.asOf)
	}
	m.out.Send(from, Message{Pong: &pong})
	m.requestHead(from, p.ConfigVersion)
}

// requestHead requests the configuration's head from a neighbour that has a
// newer one.
func (m *Machine) requestHead(from core.HostID, version uint64) {
	if version > m.conf.target.Version {
		m.out.Send(from, Message{ValuesRequest: &ValuesRequest{IDs: []uint64{keyID(headKey)}}})
	}
}

// receivePong handles a parent's answer. What it reports about freshness counts
// from when this host sent the ping, so the transit time makes nothing appear
// fresher.
func (m *Machine) receivePong(now core.Instant, from core.HostID, p Pong) {
	l := m.findLink(from)
	if l == nil || !l.parent {
		return
	}
	sentAt := core.Instant(p.Echo)
	if sentAt <= now && now.Sub(sentAt) <= maxPongDelay {
		l.lastPong = now // a parent that answers late is replaced like an unresponsive one
	}
	if p.VersionKnown && p.VersionAge >= 0 && sentAt <= now {
		m.recordNewest(p.NewestVersion, sentAt.Add(-p.VersionAge))
	}
	if p.VersionKnown {
		m.requestHead(from, p.NewestVersion)
	}
	m.compareSums(now, l, p.Sum)
}

// compareSums starts a repair if the sums differ at the first contact with a
// parent, or for longer than values in transit explain.
func (m *Machine) compareSums(now core.Instant, l *link, sum uint64) {
	if sum == m.valuesSum {
		l.compared, l.differsSince = true, 0
		return
	}
	if l.differsSince == 0 {
		l.differsSince = now
	}
	overdue := now.Sub(l.differsSince) > repairDelay && now.Sub(l.lastRepair) > m.settings.RepairInterval
	if l.compared && !overdue {
		return
	}
	l.compared, l.lastRepair, l.differsSince = true, now, now
	m.out.Send(l.host, Message{BucketSums: &BucketSums{Sums: slices.Clone(m.bucketSums[:])}})
}

// receiveBucketSums answers with the keys and stamps in the buckets that differ.
func (m *Machine) receiveBucketSums(_ core.Instant, from core.HostID, b BucketSums) {
	if len(b.Sums) != bucketCount {
		return
	}
	var d Digests
	for i := range b.Sums {
		if b.Sums[i] != m.bucketSums[i] {
			d.BucketBits |= 1 << i
		}
	}
	for _, v := range m.valuesIn(d.BucketBits) {
		d.Items = append(d.Items, Digest{ID: v.keyHash, Fence: v.entry.Stamp.Fence, Seq: v.entry.Stamp.Seq})
	}
	m.out.Send(from, Message{Digests: &d})
}

// valuesIn returns the values in the buckets of a bit set, sorted by key hash.
func (m *Machine) valuesIn(buckets uint64) []*value {
	var list []*value
	for k, v := range m.values {
		if k.Topic != TopicStatus && buckets&(1<<(v.keyHash%bucketCount)) != 0 {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *value) int {
		if a.keyHash < b.keyHash {
			return -1
		}
		return 1
	})
	return list
}

// receiveDigests sends the values that are newer here and requests those that
// are newer there.
func (m *Machine) receiveDigests(now core.Instant, from core.HostID, d Digests) {
	l := m.findLink(from)
	if l == nil {
		return
	}
	theirs := make(map[uint64]Stamp, len(d.Items))
	for _, i := range d.Items {
		theirs[i.ID] = Stamp{Fence: i.Fence, Seq: i.Seq}
	}
	var need ValuesRequest
	for _, v := range m.valuesIn(d.BucketBits) {
		s, has := theirs[v.keyHash]
		switch {
		case !has || s.Before(v.entry.Stamp):
			l.mark(now, v.entry.Key)
		case v.entry.Stamp.Before(s):
			need.IDs = append(need.IDs, v.keyHash)
		}
		delete(theirs, v.keyHash)
	}
	for _, i := range d.Items {
		if _, missing := theirs[i.ID]; missing {
			need.IDs = append(need.IDs, i.ID)
		}
	}
	if len(need.IDs) > 0 {
		m.out.Send(from, Message{ValuesRequest: &need})
	}
}

// receiveValuesRequest marks the requested values as changed on the link to the sender.
func (m *Machine) receiveValuesRequest(now core.Instant, from core.HostID, req ValuesRequest) {
	l := m.findLink(from)
	if l == nil {
		return
	}
	requested := make(map[uint64]bool, len(req.IDs))
	for _, id := range req.IDs {
		requested[id] = true
	}
	const allBuckets = ^uint64(0)
	for _, v := range m.valuesIn(allBuckets) {
		if requested[v.keyHash] {
			l.mark(now, v.entry.Key)
		}
	}
}
