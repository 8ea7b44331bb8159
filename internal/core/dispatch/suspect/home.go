package suspect

import (
	"slices"

	"gentiancroft/internal/core"
)

// fingerprintRecord is a home's state of one fingerprint.
type fingerprintRecord struct {
	crashCount   int
	serial       uint64
	lastCrash    core.Instant
	clearedUntil core.Instant // it completed recently and may run anywhere until then; 0: not cleared
	runs         []run
	crashes      []crash // counted in crashCount
	lastUsed     core.Instant
}

// crash is an upstream crash that was counted against a fingerprint.
type crash struct {
	upstream core.UpstreamID
	at       core.Instant
}

// run is one claim that a home has allowed.
type run struct {
	id        claimID
	entry     core.HostID
	upstream  core.UpstreamID
	renewedAt core.Instant // last claim or renewal
	isolated  bool         // its permission comes from the upstream's isolation host
}

// handle applies a message as a home, an isolation host or an entry host.
func (m *Machine) handle(now core.Instant, from core.HostID, msg Message) {
	switch {
	case msg.Claim != nil:
		m.handleClaim(now, from, *msg.Claim)
	case msg.Verdict != nil:
		m.handleVerdict(now, from, *msg.Verdict)
	case msg.Release != nil:
		m.handleRelease(now, *msg.Release)
	case msg.Isolate != nil:
		m.handleIsolate(now, *msg.Isolate)
	case msg.FreeSlot != nil:
		m.handleFree(now, *msg.FreeSlot)
	}
}

// recordOf returns the home's record of a fingerprint, creating it if needed.
func (m *Machine) recordOf(now core.Instant, f uint64) *fingerprintRecord {
	r := m.records[f]
	if r == nil {
		r = &fingerprintRecord{}
		if s, ok := m.learned[f]; ok && now.Before(s.until) {
			r.crashCount, r.serial, r.lastCrash = s.count, s.serial, now
		}
		m.records[f] = r
		m.expiryOrder = append(m.expiryOrder, f)
	}
	r.lastUsed = now
	return r
}

// handleClaim decides a claim at the fingerprint's home.
func (m *Machine) handleClaim(now core.Instant, from core.HostID, c ClaimMessage) {
	r := m.recordOf(now, c.Fingerprint)
	r.expire(now)
	if i := slices.IndexFunc(r.runs, func(x run) bool { return x.id == c.ID }); i >= 0 {
		// Invariant: a duplicate claim never revokes what was allowed.
		r.runs[i].renewedAt = now
		if !c.Running && r.crashCount == 0 && !r.runs[i].isolated {
			m.send(now, from, Message{Verdict: &VerdictMessage{ID: c.ID, Allowed: true}})
		}
		return
	}
	x := run{id: c.ID, entry: from, upstream: c.Upstream, renewedAt: now}
	if c.Running {
		r.runs = append(r.runs, x) // it is already running: record it without a decision
		return
	}
	if !r.allows(now, c) {
		v := VerdictMessage{ID: c.ID, CrashCount: r.crashCount}
		if r.crashCount == 0 {
			v.Alternatives = r.upstreams()
		}
		m.send(now, from, Message{Verdict: &v})
		return
	}
	x.isolated = r.mustIsolate(now, c.Upstream)
	use := r.upstreams()
	r.runs = append(r.runs, x)
	if x.isolated {
		m.isolate(now, x, use)
		return
	}
	m.send(now, from, Message{Verdict: &VerdictMessage{ID: c.ID, Allowed: true}})
}

// allows bounds the upstreams that a fingerprint can crash: those it has crashed
// and those it runs on together never exceed the budget. The second home has
// no record of what the first one allowed, so it allows one upstream only.
func (r *fingerprintRecord) allows(now core.Instant, c ClaimMessage) bool {
	if r.crashCount >= MaxCrashes {
		return false
	}
	if r.crashCount > 0 {
		return len(r.runs) == 0 // a suspect runs one at a time
	}
	if now.Before(r.clearedUntil) {
		return true
	}
	budget := MaxCrashes
	if c.SecondHome {
		budget = 1
	}
	used := r.upstreams()
	return slices.Contains(used, c.Upstream) || len(used) < budget
}

// mustIsolate reports whether a run needs an isolation slot: that of a suspect,
// and the first one on a second upstream, which may be a retry that arrives
// before the report that the first upstream crashed.
func (r *fingerprintRecord) mustIsolate(now core.Instant, u core.UpstreamID) bool {
	if r.crashCount > 0 {
		return true
	}
	used := r.upstreams()
	return !now.Before(r.clearedUntil) && len(used) > 0 && !slices.Contains(used, u)
}

// upstreams returns the distinct upstreams that a fingerprint runs on.
func (r *fingerprintRecord) upstreams() []core.UpstreamID {
	var distinct []core.UpstreamID
	for _, x := range r.runs {
		if !slices.Contains(distinct, x.upstream) {
			distinct = append(distinct, x.upstream)
		}
	}
	return distinct
}

func (r *fingerprintRecord) removeRun(id claimID) {
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return x.id == id })
}

// expire removes runs that were not renewed in time and resets an expired crash
// count.
func (r *fingerprintRecord) expire(now core.Instant) {
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return now.Sub(x.renewedAt) >= claimTTL })
	ttl := suspicionTTL
	if r.crashCount >= MaxCrashes {
		ttl = BlockTTL
	}
	if r.crashCount > 0 && now.Sub(r.lastCrash) >= ttl {
		r.crashCount = 0
		r.crashes = nil
	}
}

// handleRelease applies the end of a claim, or a crash reported without one.
func (m *Machine) handleRelease(now core.Instant, msg ReleaseMessage) {
	r := m.records[msg.Fingerprint]
	if r == nil && msg.End != EndCrashed {
		return
	}
	if msg.End == EndCrashed {
		r = m.recordOf(now, msg.Fingerprint)
	}
	r.expire(now)
	r.removeRun(msg.ID)
	switch msg.End {
	case EndCrashed:
		m.countCrash(now, r, msg)
	case EndOK:
		m.clear(now, msg.Fingerprint, r)
	}
}

// countCrash counts a crash once, however many requests and hosts report it: a
// dispatch that started before an already counted crash of its upstream was ended
// by that crash.
func (m *Machine) countCrash(now core.Instant, r *fingerprintRecord, msg ReleaseMessage) {
	dispatched := now.Add(-msg.Age - crashReportSlack)
	for _, d := range r.crashes {
		if d.upstream == msg.Upstream && !d.at.Before(dispatched) {
			return
		}
	}
	m.revokeRuns(now, r, msg.Upstream)
	r.crashes = append(r.crashes, crash{upstream: msg.Upstream, at: now})
	if over := len(r.crashes) - MaxCrashes; over > 0 {
		r.crashes = r.crashes[over:]
	}
	r.crashCount = min(r.crashCount+1, MaxCrashes)
	r.serial++
	r.lastCrash = now
	r.clearedUntil = 0
	m.publish(msg.Fingerprint, r)
}

// revokeRuns ends every run on an upstream that crashed.
func (m *Machine) revokeRuns(now core.Instant, r *fingerprintRecord, u core.UpstreamID) {
	ended := slices.Clone(r.runs)
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return x.upstream == u })
	for _, x := range ended {
		if x.upstream == u {
			m.send(now, x.entry, Message{Verdict: &VerdictMessage{ID: x.id, Revoked: true}})
		}
	}
}

// clear resets the crash count of a fingerprint that completed, unless it is
// blocked.
func (m *Machine) clear(now core.Instant, f uint64, r *fingerprintRecord) {
	if r.crashCount >= MaxCrashes {
		return
	}
	r.clearedUntil = now.Add(clearedTTL)
	if r.crashCount > 0 {
		r.crashCount = 0
		r.crashes = nil
		r.serial++
		m.publish(f, r)
	}
}

func (m *Machine) publish(f uint64, r *fingerprintRecord) {
	s := CrashCount{Fingerprint: f, Count: r.crashCount, Serial: r.serial}
	delete(m.learned, f) // older than this home's count
	m.out.Publish = append(m.out.Publish, s)
}

// expireRecords bounds a home's records. Each call checks the next few
// fingerprints in turn; those without crashes and runs are deleted, sooner when
// there are too many.
func (m *Machine) expireRecords(now core.Instant) {
	m.expireSlots(now)
	n := min(len(m.expiryOrder), expiryBatch)
	for _, f := range m.expiryOrder[:n] {
		r := m.records[f]
		r.expire(now)
		idle := r.crashCount == 0 && len(r.runs) == 0
		if idle && (len(m.records) > maxRecords || now.Sub(r.lastUsed) >= clearedTTL) {
			delete(m.records, f)
			continue
		}
		m.expiryOrder = append(m.expiryOrder, f)
	}
	m.expiryOrder = slices.Delete(m.expiryOrder, 0, n)
}
