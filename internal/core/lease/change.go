package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// syncHead reads the head where a newer version is known to exist or a change
// needs the current one, and writes the change that this host needs.
func (m *Machine) syncHead(now core.Instant) {
	changeNeeded := m.needsChange(now)
	behind := m.knownView > m.head.Version && now >= m.readHeadAt
	versionKnown := m.headObjectVersion != 0 || m.headAbsent
	if (behind || (changeNeeded && !versionKnown)) && m.calls.ready(now, callHead) {
		m.call(now, callHead, core.ObjectCall{Op: core.ObjectGet, Key: HeadKey})
		return
	}
	if changeNeeded && versionKnown && m.calls.ready(now, callHeadWrite) && !m.calls.byKind[callHead].busy {
		m.writeHead(now)
	}
}

// needsChange reports whether this host has to change the head. It compares the
// head with the intended result, so a write whose answer was lost is not
// repeated once its effect has been read.
func (m *Machine) needsChange(now core.Instant) bool {
	i, in := m.head.find(m.Self())
	switch {
	case m.releasing:
		return in
	case !in:
		return true
	case m.leaving && !m.head.Members[i].Leaving:
		return true
	}
	return len(m.poller.removable(m, now)) > 0
}

// writeHead writes the next version of the head, with all needed changes in one
// conditional update.
func (m *Machine) writeHead(now core.Instant) {
	next := m.head.clone()
	next.Version++
	switch {
	case m.releasing:
		next.remove(m.Self())
	case m.leaving:
		next.markLeaving(m.Self())
	default:
		next.join(m.settings.Self, m.settings.MaxBatchSize)
	}
	for _, id := range m.poller.removable(m, now) {
		next.remove(id)
	}
	next.trimLog(m.settings.MaxLogChanges)
	value, err := EncodeHead(next)
	if err != nil {
		return
	}
	m.pendingHead = next
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: HeadKey, Value: value, IfVersion: m.headObjectVersion}
	if m.headAbsent {
		call = core.ObjectCall{Op: core.ObjectCreate, Key: HeadKey, Value: value}
	}
	m.call(now, callHeadWrite, call)
}

// headWriteDone handles the result of a head write. If the write was not
// confirmed, the head is read again: it either holds the change, or the change
// is written again on top of the newer version.
func (m *Machine) headWriteDone(now core.Instant, r core.ObjectResult) {
	if r.Status == core.ObjectOK {
		value, err := EncodeHead(m.pendingHead)
		if err == nil {
			m.adopt(now, m.pendingHead, value, r.Object.Version)
		}
		return
	}
	m.headObjectVersion, m.headAbsent = 0, false
	if r.Status == core.ObjectConflict {
		m.delayRetry(now, callHead)
	}
}

// delayRetry delays the next call of a kind by a random time, so that hosts
// whose updates conflicted do not conflict again.
func (m *Machine) delayRetry(now core.Instant, k callKind) {
	wait := m.rng.Jitter(int64(m.settings.MinBackoff) / 4)
	m.calls.byKind[k].retryAt = now.Add(time.Duration(wait))
}

// headReadDone handles the result of reading the head.
func (m *Machine) headReadDone(now core.Instant, r core.ObjectResult) {
	switch r.Status {
	case core.ObjectOK:
		m.receiveHead(now, r.Object)
		if m.headObjectVersion == 0 || m.knownView > m.head.Version {
			m.delayRetry(now, callHead) // an outdated read
		}
	case core.ObjectNotFound:
		m.headAbsent = m.head.Version == 0
		m.delayRetry(now, callHead)
	}
}

// receiveHead handles a head object that came from the store. An outdated read
// is ignored.
func (m *Machine) receiveHead(now core.Instant, o core.Object) {
	if o.Key != HeadKey || o.Version < m.newestObjectVersion {
		return
	}
	h, err := DecodeHead(o.Value)
	if err != nil {
		return
	}
	m.newestObjectVersion = o.Version
	m.adopt(now, h, o.Value, o.Version)
}

// adopt moves this host to a newer view, one version at a time. A host's view
// never decreases, so the view in a heartbeat is a lasting lower bound. objectVersion
// is the head's version in the store, or 0 if it came through the feed.
func (m *Machine) adopt(now core.Instant, h Head, value []byte, objectVersion uint64) {
	if h.Version < m.head.Version {
		return
	}
	m.headAbsent = false
	m.newestObjectVersion = max(m.newestObjectVersion, objectVersion)
	if h.Version == m.head.Version {
		if objectVersion != 0 {
			m.headObjectVersion = objectVersion
		}
		return
	}
	i, in := h.find(m.Self())
	if m.number != 0 && (!in || h.Members[i].Number != m.number) {
		m.handleRemoval(&h)
		return
	}
	m.applyLog(now, &h)
	m.head, m.headBytes, m.headObjectVersion = h, value, objectVersion
	if in && m.number == 0 {
		m.number, m.ownBatchKey = h.Members[i].Number, h.Members[i].key()
		m.member.lastAck = now
	}
	m.assignRoles(now)
	m.claimPending(now)
	m.member.nextHeartbeat = now // acknowledge the new view immediately
	m.shards.dirty = true
}

// handleRemoval handles a head that no longer lists this host.
func (m *Machine) handleRemoval(h *Head) {
	m.head = *h
	if m.releasing {
		m.released = true
	} else {
		m.loseIdentity()
	}
	m.shards.dirty = true
}

// assignRoles derives the members of this host's batch, its rank there and the
// pollers from the membership.
func (m *Machine) assignRoles(now core.Instant) {
	m.leadership.members = m.leadership.members[:0]
	var batchHosts, domainHosts []core.HostID
	hostsByDomain := map[core.Domain][]core.HostID{}
	var domains []core.Domain
	for i := range m.head.Members {
		e := &m.head.Members[i]
		if m.number != 0 && e.key() == m.ownBatchKey {
			m.leadership.members = append(m.leadership.members, *e)
			if !e.Leaving {
				batchHosts = append(batchHosts, e.Host)
			}
		}
		if e.Leaving {
			continue
		}
		if e.Domain == m.settings.Self.Domain {
			domainHosts = append(domainHosts, e.Host)
		}
		if hostsByDomain[e.Domain] == nil {
			domains = append(domains, e.Domain)
		}
		hostsByDomain[e.Domain] = append(hostsByDomain[e.Domain], e.Host)
	}
	m.member.rank = rank(batchHosts, m.Self(), m.ownBatchKey)
	m.poller.assigned = m.settings.AlwaysPolls || len(m.head.Members) <= m.settings.MaxSmallFleet
	m.poller.assigned = m.poller.assigned || rank(domainHosts, m.Self(), HeartbeatsPrefix) < m.settings.PollersPerDomain
	m.poller.pollers = m.poller.pollers[:0]
	for _, d := range domains {
		const kindRank = 0xff
		m.poller.pollers = append(m.poller.pollers, core.RendezvousN(hostsByDomain[d], kindRank, HeartbeatsPrefix, m.settings.PollersPerDomain)...)
	}
	m.poller.syncMembers(&m.head, now)
}
