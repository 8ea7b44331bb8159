package suspect

import (
	"slices"
	"strconv"

	"gentiancroft/internal/core"
)

// maxHomesTried is the number of homes that an entry host sends a claim to before
// it decides without a verdict.
const maxHomesTried = 2

// sendClaim sends a claim to a home that has not received it yet. The previous home
// did not answer in time and is marked unresponsive.
func (m *Machine) sendClaim(now core.Instant, c *claim) {
	if c.isolated {
		m.isolationTimedOut(now, c)
		return
	}
	if n := len(c.homes); n > 0 {
		m.unresponsive[c.homes[n-1]] = now.Add(unresponsiveTTL)
		m.epoch++
	}
	home, ok := m.home(now, c.req.Fingerprint)
	if !ok || c.attempts == maxHomesTried {
		m.decideWithoutHome(now, c)
		return
	}
	first := home
	if len(m.unresponsive) > 0 {
		first, _ = core.Rendezvous(m.hosts, homeOfFingerprint, strconv.FormatUint(c.req.Fingerprint, 16))
	}
	c.attempts++
	c.epoch = m.epoch
	c.homes = append(c.homes, home)
	c.due = now.Add(claimTimeout)
	m.send(now, home, Message{Claim: &ClaimMessage{
		ID:          c.id,
		Fingerprint: c.req.Fingerprint,
		Upstream:    c.req.Upstream,
		SecondHome:  home != first,
	}})
}

// endClaim removes a claim and sends its release to every host that may have a
// record of it.
func (m *Machine) endClaim(now core.Instant, c *claim, end End) {
	m.removeClaim(c)
	if c.epoch != m.epoch {
		if home, ok := m.home(now, c.req.Fingerprint); ok && !slices.Contains(c.homes, home) {
			c.homes = append(c.homes, home)
		}
	}
	r := ReleaseMessage{ID: c.id, Fingerprint: c.req.Fingerprint, Upstream: c.req.Upstream, End: end, Age: now.Sub(c.createdAt)}
	for _, home := range c.homes {
		m.send(now, home, Message{Release: &r})
	}
	if !c.isolated {
		return
	}
	if host, ok := m.isolationHost(now, c.req.Upstream); ok {
		m.send(now, host, Message{FreeSlot: &FreeSlotMessage{ID: c.id, Upstream: c.req.Upstream}})
	}
}

// decideWithoutHome decides a claim that no home has answered. A host that
// reaches no home is usually cut off from the upstream's owner too, so running is
// a small risk: a fingerprint without a crash count is allowed, which keeps
// serving when homes are lost.
func (m *Machine) decideWithoutHome(now core.Instant, c *claim) {
	if m.crashCountOf(now, c.req.Fingerprint) > 0 {
		m.refuse(c, core.Refuse(core.CodeSuspect, busyRetryAfter, "a suspected request can't be checked now"), "suspect without a home")
		return
	}
	m.allow(now, c, false, "no home answers")
}

func (m *Machine) allow(now core.Instant, c *claim, isolated bool, reason string) {
	c.decided = true
	c.isolated = isolated
	c.due = now.Add(renewInterval)
	m.decide(Decision{ID: c.req.ID, Allowed: true, Isolate: isolated, Reason: reason})
}

func (m *Machine) refuse(c *claim, r *core.Refusal, reason string) {
	m.removeClaim(c)
	m.decide(Decision{ID: c.req.ID, Refusal: r, Reason: reason})
}

// renew reports a running request to its current home, and to the host that
// isolates it if it is a suspect.
func (m *Machine) renew(now core.Instant, c *claim) {
	c.due = now.Add(renewInterval)
	home, ok := m.home(now, c.req.Fingerprint)
	if !ok {
		return
	}
	if !slices.Contains(c.homes, home) {
		c.homes = append(c.homes, home)
	}
	c.epoch = m.epoch
	m.send(now, home, Message{Claim: &ClaimMessage{
		ID:          c.id,
		Fingerprint: c.req.Fingerprint,
		Upstream:    c.req.Upstream,
		Running:     true,
		Age:         now.Sub(c.createdAt),
	}})
	if !c.isolated {
		return
	}
	if host, ok := m.isolationHost(now, c.req.Upstream); ok {
		m.send(now, host, Message{Isolate: &IsolateMessage{ID: c.id, Entry: m.self, Upstream: c.req.Upstream}})
	}
}

// handleVerdict applies a home's answer at the entry host. One for a claim that
// has ended is ignored: the home receives the release anyway.
func (m *Machine) handleVerdict(now core.Instant, from core.HostID, v VerdictMessage) {
	if _, marked := m.unresponsive[from]; marked {
		m.epoch++
		delete(m.unresponsive, from)
	}
	c := m.claims[v.ID]
	switch {
	case c == nil || c.aborted:
	case v.Revoked:
		m.handleRevocation(now, c)
	case c.decided:
	case v.Waiting:
		c.isolated, c.alternatives = true, v.Alternatives
		c.due = now.Add(isolationTimeout)
		if len(c.alternatives) > 0 {
			c.due = now.Add(secondUpstreamTimeout)
		}
	case v.Allowed:
		m.allow(now, c, v.Isolated, "home "+string(from))
	case v.CrashCount >= MaxCrashes:
		m.mergeCount(now, CrashCount{Fingerprint: c.req.Fingerprint, Count: v.CrashCount})
		m.refuse(c, blockedRefusal(), "convicted")
	default:
		if c.isolated {
			m.endClaim(now, c, EndNotSent) // the slot's queue is full: release the claim at the home
		}
		m.refuseOverBudget(c, v.Alternatives)
	}
}

// refuseOverBudget refuses a claim because its fingerprint runs on as many
// upstreams as it may, and returns those where a claim would be allowed.
func (m *Machine) refuseOverBudget(c *claim, alternatives []core.UpstreamID) {
	m.refuse(c, core.Refuse(core.CodeOverloaded, busyRetryAfter, "the same request is being tried elsewhere"), "budget in use")
	m.out.Decisions[len(m.out.Decisions)-1].Alternatives = alternatives
}

// isolationTimedOut ends the wait of a claim for its isolation slot.
func (m *Machine) isolationTimedOut(now core.Instant, c *claim) {
	m.endClaim(now, c, EndNotSent)
	if len(c.alternatives) > 0 {
		m.refuseOverBudget(c, c.alternatives)
		return
	}
	m.refuse(c, core.Refuse(core.CodeSuspect, busyRetryAfter, "a suspected request got no turn"), "no turn")
}

// handleRevocation withdraws the permission to run on an upstream that crashed. A
// request that still waits for a place in the batch must not run on the restarted
// upstream.
func (m *Machine) handleRevocation(now core.Instant, c *claim) {
	refusal := core.Refuse(core.CodeSuspect, busyRetryAfter, "the same request was running on an upstream that died")
	if !c.decided {
		m.endClaim(now, c, EndNotSent) // the permission may still arrive, and is void
		m.refuse(c, refusal, "upstream died")
		return
	}
	m.decide(Decision{ID: c.req.ID, Revoked: true, Refusal: refusal, Reason: "upstream died"})
}

func (m *Machine) removeClaim(c *claim) {
	delete(m.claims, c.id)
	if m.byRequest[c.req.ID] == c {
		delete(m.byRequest, c.req.ID)
	}
}
