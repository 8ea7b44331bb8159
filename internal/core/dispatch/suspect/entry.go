package suspect

import (
	"slices"
	"strconv"

	"gentiancroft/internal/core"
)

// homes is how many homes an entry host asks before it decides alone.
const homes = 2

// ask sends a claim to a home that has not been asked yet.
func (m *Machine) ask(now core.Instant, c *claim) {
	if c.apart {
		m.noTurn(now, c)
		return
	}
	if n := len(c.asked); n > 0 {
		m.silent[c.asked[n-1]] = now.Add(silentTerm)
		m.epoch++
	}
	home, ok := m.home(now, c.req.Fingerprint)
	if !ok || c.tries == homes {
		m.alone(now, c)
		return
	}
	first := home
	if len(m.silent) > 0 {
		first, _ = core.Rendezvous(m.hosts, homeOfFingerprint, strconv.FormatUint(c.req.Fingerprint, 16))
	}
	c.tries++
	c.epoch = m.epoch
	c.asked = append(c.asked, home)
	c.due = now.Add(claimWait)
	m.tell(now, home, Message{Claim: &ClaimMessage{
		ID:          c.id,
		Fingerprint: c.req.Fingerprint,
		Upstream:    c.req.Upstream,
		Second:      home != first,
	}})
}

// end tells everybody who may know of a claim that it is over.
func (m *Machine) end(now core.Instant, c *claim, end End) {
	m.forget(c)
	if c.epoch != m.epoch {
		if home, ok := m.home(now, c.req.Fingerprint); ok && !slices.Contains(c.asked, home) {
			c.asked = append(c.asked, home)
		}
	}
	r := ReleaseMessage{ID: c.id, Fingerprint: c.req.Fingerprint, Upstream: c.req.Upstream, End: end, Age: now.Sub(c.since)}
	for _, home := range c.asked {
		m.tell(now, home, Message{Release: &r})
	}
	if !c.apart {
		return
	}
	if keeper, ok := m.keeper(now, c.req.Upstream); ok {
		m.tell(now, keeper, Message{Free: &FreeMessage{ID: c.id, Upstream: c.req.Upstream}})
	}
}

// alone decides a claim that no home has answered. A host that reaches no home
// is mostly cut off from the upstream's owner too; a fingerprint without
// strikes may run, so that lost homes do not stop serving.
func (m *Machine) alone(now core.Instant, c *claim) {
	if m.struck(now, c.req.Fingerprint) > 0 {
		m.refuse(c, core.Refuse(core.CodeSuspect, busyRetry, "a suspected request can't be checked now"), "suspect without a home")
		return
	}
	m.allow(now, c, false, "no home answers")
}

func (m *Machine) allow(now core.Instant, c *claim, apart bool, reason string) {
	c.decided = true
	c.apart = apart
	c.due = now.Add(renewEvery)
	m.decide(Decision{ID: c.req.ID, Allowed: true, Suspect: apart, Reason: reason})
}

func (m *Machine) refuse(c *claim, r *core.Refusal, reason string) {
	m.forget(c)
	m.decide(Decision{ID: c.req.ID, Refusal: r, Reason: reason})
}

// renew tells the present home about a request that runs.
func (m *Machine) renew(now core.Instant, c *claim) {
	c.due = now.Add(renewEvery)
	home, ok := m.home(now, c.req.Fingerprint)
	if !ok {
		return
	}
	if !slices.Contains(c.asked, home) {
		c.asked = append(c.asked, home)
	}
	c.epoch = m.epoch
	m.tell(now, home, Message{Claim: &ClaimMessage{
		ID:          c.id,
		Fingerprint: c.req.Fingerprint,
		Upstream:    c.req.Upstream,
		Running:     true,
		Age:         now.Sub(c.since),
	}})
	if !c.apart {
		return
	}
	if keeper, ok := m.keeper(now, c.req.Upstream); ok {
		m.tell(now, keeper, Message{Apart: &ApartMessage{ID: c.id, Entry: m.self, Upstream: c.req.Upstream}})
	}
}

// verdict takes a home's answer at the entry host. One for a claim that is
// over needs nothing: its release follows it to the home.
func (m *Machine) verdict(now core.Instant, from core.HostID, v VerdictMessage) {
	if _, silent := m.silent[from]; silent {
		m.epoch++
		delete(m.silent, from)
	}
	c := m.claims[v.ID]
	switch {
	case c == nil || c.cut:
	case v.Revoked:
		m.revoked(now, c)
	case c.decided:
	case v.Waiting:
		c.apart, c.use = true, v.Use
		c.due = now.Add(apartWait)
		if len(c.use) > 0 {
			c.due = now.Add(secondWait)
		}
	case v.Allowed:
		m.allow(now, c, v.Suspect, "home "+string(from))
	case v.Struck >= Budget:
		m.learn(now, Strike{Fingerprint: c.req.Fingerprint, Count: v.Struck})
		m.refuse(c, convicted(), "convicted")
	default:
		if c.apart {
			m.end(now, c, EndNotSent) // the keeper's queue is full: the home must hear of it
		}
		m.elsewhere(c, v.Use)
	}
}

// elsewhere refuses a claim and names where one would be allowed.
func (m *Machine) elsewhere(c *claim, use []core.UpstreamID) {
	m.refuse(c, core.Refuse(core.CodeOverloaded, busyRetry, "the same request is being tried elsewhere"), "budget in use")
	m.out.Decisions[len(m.out.Decisions)-1].Use = use
}

// noTurn ends the wait of a claim for its upstream's keeper.
func (m *Machine) noTurn(now core.Instant, c *claim) {
	m.end(now, c, EndNotSent)
	if len(c.use) > 0 {
		m.elsewhere(c, c.use)
		return
	}
	m.refuse(c, core.Refuse(core.CodeSuspect, busyRetry, "a suspected request got no turn"), "no turn")
}

// revoked takes back a leave whose upstream has died. One that waited for its
// batch place meanwhile must not run on the restarted upstream.
func (m *Machine) revoked(now core.Instant, c *claim) {
	refusal := core.Refuse(core.CodeSuspect, busyRetry, "the same request was running on an upstream that died")
	if !c.decided {
		m.end(now, c, EndNotSent) // the leave itself is still on its way, and void
		m.refuse(c, refusal, "upstream died")
		return
	}
	m.decide(Decision{ID: c.req.ID, Revoked: true, Refusal: refusal, Reason: "upstream died"})
}

func (m *Machine) forget(c *claim) {
	delete(m.claims, c.id)
	if m.present[c.req.ID] == c {
		delete(m.present, c.req.ID)
	}
}
