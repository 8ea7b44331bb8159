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
	touched  core.Instant
}

// run is one claim that a home has allowed.
type run struct {
	id       core.RequestID
	entry    core.HostID
	upstream core.UpstreamID
	since    core.Instant
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
	if r.holds(c.ID) {
		r.drop(c.ID) // a doubled or repeated claim replaces the first
	}
	x := run{id: c.ID, entry: from, upstream: c.Upstream, since: now}
	if c.Running {
		r.active = append(r.active, x) // a fact, not a question
		return
	}
	if !r.allows(now, c.Upstream) {
		v := VerdictMessage{ID: c.ID, Struck: r.strikes}
		if r.strikes == 0 {
			v.Use = r.upstreams()
		}
		m.tell(now, from, Message{Verdict: &v})
		return
	}
	r.active = append(r.active, x)
	if r.strikes > 0 {
		m.keepApart(now, x)
		return
	}
	m.tell(now, from, Message{Verdict: &VerdictMessage{ID: c.ID, Allowed: true}})
}

// allows is the rule that bounds the upstreams that a fingerprint can take:
// those it has taken and those it runs on never exceed Budget together.
func (r *record) allows(now core.Instant, u core.UpstreamID) bool {
	if r.strikes >= Budget {
		return false
	}
	if r.strikes > 0 {
		return len(r.active) == 0 // a suspect runs one at a time
	}
	if now.Before(r.cleared) {
		return true
	}
	in := r.upstreams()
	return slices.Contains(in, u) || len(in) < Budget
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

func (r *record) holds(id core.RequestID) bool {
	return slices.ContainsFunc(r.active, func(x run) bool { return x.id == id })
}

func (r *record) drop(id core.RequestID) {
	r.active = slices.DeleteFunc(r.active, func(x run) bool { return x.id == id })
}

// lapse forgets claims and suspicions that are too old.
func (r *record) lapse(now core.Instant) {
	r.active = slices.DeleteFunc(r.active, func(x run) bool { return now.Sub(x.since) >= claimTerm })
	term := suspicionTerm
	if r.strikes >= Budget {
		term = ConvictionTerm
	}
	if r.strikes > 0 && now.Sub(r.struckAt) >= term {
		r.strikes = 0
	}
}

// released takes the end of a claim, or a death seen without one.
func (m *Machine) released(now core.Instant, e ReleaseMessage) {
	r := m.cases[e.Fingerprint]
	held := r != nil && r.holds(e.ID)
	switch e.End {
	case EndDied:
		r = m.recordOf(now, e.Fingerprint)
		m.died(now, r, e, held)
	case EndOK:
		if held {
			r.drop(e.ID)
			m.clear(now, e.Fingerprint, r)
		}
	default:
		if held {
			r.drop(e.ID)
		}
	}
}

// died counts a death once, however many requests and hosts report it: the
// first report ends every claim on the upstream, and later reports of those
// claims find nothing.
func (m *Machine) died(now core.Instant, r *record, e ReleaseMessage, held bool) {
	there := slices.ContainsFunc(r.active, func(x run) bool { return x.upstream == e.Upstream })
	if !held && !there && r.strikes > 0 {
		return
	}
	r.active = slices.DeleteFunc(r.active, func(x run) bool { return x.upstream == e.Upstream })
	r.strikes++
	r.serial++
	r.struckAt = now
	r.cleared = 0
	m.publish(e.Fingerprint, r)
}

// clear takes suspicion from a fingerprint that completed.
func (m *Machine) clear(now core.Instant, f uint64, r *record) {
	if r.strikes >= Budget {
		return
	}
	r.cleared = now.Add(clearedTerm)
	if r.strikes > 0 {
		r.strikes = 0
		r.serial++
		m.publish(f, r)
	}
}

func (m *Machine) publish(f uint64, r *record) {
	s := Strike{Fingerprint: f, Count: r.strikes, Serial: r.serial}
	m.out.Publish = append(m.out.Publish, s)
}

// expire bounds what a home keeps: the oldest fingerprints without strikes and
// claims go first.
func (m *Machine) expire(now core.Instant) {
	m.expireLanes(now)
	if len(m.aged) == 0 {
		return
	}
	kept := m.aged[:0]
	over := len(m.aged) - maxCases
	for _, f := range m.aged {
		r := m.cases[f]
		r.lapse(now)
		idle := r.strikes == 0 && len(r.active) == 0
		if idle && (over > 0 || (!now.Before(r.cleared) && now.Sub(r.touched) >= clearedTerm)) {
			over--
			delete(m.cases, f)
			continue
		}
		kept = append(kept, f)
	}
	m.aged = kept
}
