package suspect

import (
	"slices"

	"gentiancroft/internal/core"
)

// record is what a home knows of one fingerprint.
type record struct {
	strikes  int
	serial   uint64
	struckAt core.Instant
	cleared  core.Instant // until when a completed run speaks for it; 0: not
	active   []run
	deaths   []death // behind the strikes
	touched  core.Instant
}

// death is an upstream's death that counted against a fingerprint.
type death struct {
	upstream core.UpstreamID
	at       core.Instant
}

// run is one claim that a home has allowed.
type run struct {
	id       claimID
	entry    core.HostID
	upstream core.UpstreamID
	seen     core.Instant // claimed or renewed
	apart    bool         // its leave comes from the upstream's keeper
}

// handle takes a message as a home or as an entry host.
func (m *Machine) handle(now core.Instant, from core.HostID, msg Message) {
	switch {
	case msg.Claim != nil:
		m.claimed(now, from, *msg.Claim)
	case msg.Verdict != nil:
		m.verdict(now, from, *msg.Verdict)
	case msg.Release != nil:
		m.released(now, *msg.Release)
	case msg.Apart != nil:
		m.apart(now, *msg.Apart)
	case msg.Free != nil:
		m.freed(now, *msg.Free)
	}
}

// recordOf returns the home's record of a fingerprint, made if need be.
func (m *Machine) recordOf(now core.Instant, f uint64) *record {
	r := m.cases[f]
	if r == nil {
		r = &record{}
		if s, ok := m.learned[f]; ok && now.Before(s.until) {
			r.strikes, r.serial, r.struckAt = s.count, s.serial, now
		}
		m.cases[f] = r
		m.aged = append(m.aged, f)
	}
	r.touched = now
	return r
}

// claimed decides a claim at the fingerprint's home.
func (m *Machine) claimed(now core.Instant, from core.HostID, c ClaimMessage) {
	r := m.recordOf(now, c.Fingerprint)
	r.lapse(now)
	if i := slices.IndexFunc(r.active, func(x run) bool { return x.id == c.ID }); i >= 0 {
		// Invariant: a doubled claim never takes away what was allowed.
		r.active[i].seen = now
		if !c.Running && r.strikes == 0 && !r.active[i].apart {
			m.tell(now, from, Message{Verdict: &VerdictMessage{ID: c.ID, Allowed: true}})
		}
		return
	}
	x := run{id: c.ID, entry: from, upstream: c.Upstream, seen: now}
	if c.Running {
		r.active = append(r.active, x) // a fact, not a question
		return
	}
	if !r.allows(now, c) {
		v := VerdictMessage{ID: c.ID, Struck: r.strikes}
		if r.strikes == 0 {
			v.Use = r.upstreams()
		}
		m.tell(now, from, Message{Verdict: &v})
		return
	}
	x.apart = r.suspected(now, c.Upstream)
	use := r.upstreams()
	r.active = append(r.active, x)
	if x.apart {
		m.keepApart(now, x, use)
		return
	}
	m.tell(now, from, Message{Verdict: &VerdictMessage{ID: c.ID, Allowed: true}})
}

// allows is the rule that bounds the upstreams that a fingerprint can take:
// those it has taken and those it runs on never exceed Budget together. A
// second home, which does not know what the first has allowed, allows one.
func (r *record) allows(now core.Instant, c ClaimMessage) bool {
	if r.strikes >= Budget {
		return false
	}
	if r.strikes > 0 {
		return len(r.active) == 0 // a suspect runs one at a time
	}
	if now.Before(r.cleared) {
		return true
	}
	budget := Budget
	if c.Second {
		budget = 1
	}
	in := r.upstreams()
	return slices.Contains(in, c.Upstream) || len(in) < budget
}

// suspected tells whether a run must be kept apart: that of a suspect, and the
// first one on a second upstream, which may be a repeat that has come before the
// news of the first upstream's death.
func (r *record) suspected(now core.Instant, u core.UpstreamID) bool {
	if r.strikes > 0 {
		return true
	}
	in := r.upstreams()
	return !now.Before(r.cleared) && len(in) > 0 && !slices.Contains(in, u)
}

// upstreams are the distinct upstreams that a fingerprint runs on.
func (r *record) upstreams() []core.UpstreamID {
	var in []core.UpstreamID
	for _, x := range r.active {
		if !slices.Contains(in, x.upstream) {
			in = append(in, x.upstream)
		}
	}
	return in
}

func (r *record) drop(id claimID) {
	r.active = slices.DeleteFunc(r.active, func(x run) bool { return x.id == id })
}

// lapse forgets claims and suspicions that are too old.
func (r *record) lapse(now core.Instant) {
	r.active = slices.DeleteFunc(r.active, func(x run) bool { return now.Sub(x.seen) >= claimTerm })
	term := suspicionTerm
	if r.strikes >= Budget {
		term = ConvictionTerm
	}
	if r.strikes > 0 && now.Sub(r.struckAt) >= term {
		r.strikes = 0
		r.deaths = nil
	}
}

// released takes the end of a claim, or a death seen without one.
func (m *Machine) released(now core.Instant, e ReleaseMessage) {
	r := m.cases[e.Fingerprint]
	if r == nil && e.End != EndDied {
		return
	}
	if e.End == EndDied {
		r = m.recordOf(now, e.Fingerprint)
	}
	r.lapse(now)
	r.drop(e.ID)
	switch e.End {
	case EndDied:
		m.died(now, r, e)
	case EndOK:
		m.clear(now, e.Fingerprint, r)
	}
}

// died counts a death once, however many requests and hosts report it: a
// dispatch that was out when a counted death of its upstream happened was ended
// by that death.
func (m *Machine) died(now core.Instant, r *record, e ReleaseMessage) {
	dispatched := now.Add(-e.Age - deathSlack)
	for _, d := range r.deaths {
		if d.upstream == e.Upstream && !d.at.Before(dispatched) {
			return
		}
	}
	m.revoke(now, r, e.Upstream)
	r.deaths = append(r.deaths, death{upstream: e.Upstream, at: now})
	if over := len(r.deaths) - Budget; over > 0 {
		r.deaths = r.deaths[over:]
	}
	r.strikes = min(r.strikes+1, Budget)
	r.serial++
	r.struckAt = now
	r.cleared = 0
	m.publish(e.Fingerprint, r)
}

// revoke ends every claim on an upstream that died.
func (m *Machine) revoke(now core.Instant, r *record, u core.UpstreamID) {
	ended := slices.Clone(r.active)
	r.active = slices.DeleteFunc(r.active, func(x run) bool { return x.upstream == u })
	for _, x := range ended {
		if x.upstream == u {
			m.tell(now, x.entry, Message{Verdict: &VerdictMessage{ID: x.id, Revoked: true}})
		}
	}
}

// clear takes suspicion from a fingerprint that completed.
func (m *Machine) clear(now core.Instant, f uint64, r *record) {
	if r.strikes >= Budget {
		return
	}
	r.cleared = now.Add(clearedTerm)
	if r.strikes > 0 {
		r.strikes = 0
		r.deaths = nil
		r.serial++
		m.publish(f, r)
	}
}

func (m *Machine) publish(f uint64, r *record) {
	s := Strike{Fingerprint: f, Count: r.strikes, Serial: r.serial}
	delete(m.learned, f) // what others published is older
	m.out.Publish = append(m.out.Publish, s)
}

// expire bounds what a home keeps. It looks at some fingerprints a tick, in
// turn; those without strikes and claims go, sooner where there are too many.
func (m *Machine) expire(now core.Instant) {
	m.expireLanes(now)
	n := min(len(m.aged), expireStep)
	for _, f := range m.aged[:n] {
		r := m.cases[f]
		r.lapse(now)
		idle := r.strikes == 0 && len(r.active) == 0
		if idle && (len(m.cases) > maxCases || now.Sub(r.touched) >= clearedTerm) {
			delete(m.cases, f)
			continue
		}
		m.aged = append(m.aged, f)
	}
	m.aged = slices.Delete(m.aged, 0, n)
}
