package suspect

import "gentiancroft/internal/core"

// homes is how many homes an entry host asks before it decides alone.
const homes = 2

// ask sends a claim to the next home that has not been asked.
func (m *Machine) ask(now core.Instant, c *claim) {
	home, ok := core.HostID(""), false
	if c.tries < homes {
		home, ok = m.home(c.req.Fingerprint, c.tries)
	}
	if !ok {
		m.alone(now, c)
		return
	}
	c.tries++
	c.home = home
	c.due = now.Add(claimWait)
	m.tell(now, home, Message{Claim: &ClaimMessage{ID: c.req.ID, Fingerprint: c.req.Fingerprint, Upstream: c.req.Upstream}})
}

// alone decides a claim that no home has answered. A host without any home is
// mostly cut off from the upstream's owner too; a fingerprint without strikes
// may run, so that a lost home does not stop serving.
func (m *Machine) alone(now core.Instant, c *claim) {
	c.decided = true
	c.home = ""
	if m.struck(now, c.req.Fingerprint) > 0 {
		m.forget(c.req.ID)
		m.decide(Decision{ID: c.req.ID, Refusal: core.Refuse(core.CodeSuspect, busyRetry, "a suspected request can't be checked now"), Reason: "suspect without a home"})
		return
	}
	c.allowed = true
	m.decide(Decision{ID: c.req.ID, Allowed: true, Reason: "no home answers"})
}

// follow tells a new home about a request that runs.
func (m *Machine) follow(now core.Instant, c *claim) {
	home, ok := m.home(c.req.Fingerprint, 0)
	if !ok || home == c.home {
		return
	}
	c.home = home
	m.tell(now, home, Message{Claim: &ClaimMessage{ID: c.req.ID, Fingerprint: c.req.Fingerprint, Upstream: c.req.Upstream, Running: true}})
}

// verdict takes a home's answer at the entry host.
func (m *Machine) verdict(now core.Instant, from core.HostID, v VerdictMessage) {
	c := m.claims[v.ID]
	if c == nil {
		return // released before; the release follows the claim to its home
	}
	if c.decided {
		return
	}
	c.decided = true
	if v.Allowed {
		c.allowed, c.apart = true, v.Suspect
		m.decide(Decision{ID: v.ID, Allowed: true, Suspect: v.Suspect, Reason: "home " + string(from)})
		return
	}
	m.forget(v.ID)
	if v.Struck >= Budget {
		m.learn(now, Strike{Fingerprint: c.req.Fingerprint, Count: v.Struck})
		m.decide(Decision{ID: v.ID, Refusal: convicted(), Reason: "convicted"})
		return
	}
	m.decide(Decision{
		ID:      v.ID,
		Use:     v.Use,
		Refusal: core.Refuse(core.CodeOverloaded, busyRetry, "the same request is being tried elsewhere"),
		Reason:  "budget in use",
	})
}

// free ends a suspect's hold on its upstream, or its wait.
func (m *Machine) free(now core.Instant, r Request) {
	if host, ok := m.nth(homeOfUpstream, string(r.Upstream), 0); ok {
		m.tell(now, host, Message{Free: &FreeMessage{ID: r.ID, Upstream: r.Upstream}})
	}
}
