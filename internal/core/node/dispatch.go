package node

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/placement"
)

// maxAttempts is the maximum number of dispatches of one request.
const maxAttempts = 3

// maxExcluded bounds the moves of a request that may not run on the upstream of
// its ticket: with so many upstreams excluded it is refused.
const maxExcluded = 4

// place requests a ticket.
func (n *Node) place(r *request) {
	r.stage = stagePlace
	r.ticket = nil
	n.applyPlacementResult(n.placement.Place(n.now, n.lease, placement.PlacementRequest{
		Request:   r.id(),
		Pool:      r.route.Pool,
		Adapter:   r.adapter,
		Base:      r.base,
		Workspace: r.workspace.ID,
		Weight:    r.workspace.Weight,
		Class:     r.class,
		Cost:      r.cost(),
		Deadline:  r.deadline,
		Prefix:    r.arrival.PrefixHash,
		Avoid:     r.excluded,
	}))
}

func (n *Node) handlePlacementDecision(d placement.Decision) {
	r := n.requests.atStage(d.Request, stagePlace)
	if r == nil {
		return
	}
	if d.Refusal != nil {
		n.refuse(r, d.Refusal)
		return
	}
	r.ticket = d.Ticket
	n.requestClaim(r)
}

// requestClaim asks the home of the request's fingerprint for permission to run on the
// upstream of its ticket. Invariant: one crashing request crashes at most
// as many upstreams as package suspect allows.
func (n *Node) requestClaim(r *request) {
	if r.arrival.Fingerprint == 0 {
		n.dispatch(r)
		return
	}
	r.stage = stageClaim
	r.hasClaim = true
	n.applySuspectResult(n.suspect.Claim(n.now, n.lease, suspect.Request{ID: r.id(), Fingerprint: r.arrival.Fingerprint, Upstream: r.ticket.Upstream}))
}

func (n *Node) handleClaimDecision(d suspect.Decision) {
	if d.Revoked { // the claim was used already; the attempt runs to its end
		n.logDecision("claim", "revoked", d.ID)
		return
	}
	r := n.requests.atStage(d.ID, stageClaim)
	if r == nil {
		return
	}
	if d.Allowed {
		n.emit(LogDecision{Name: "claim", Reason: "allowed", Detail: d.Reason, ID: d.ID})
		n.dispatch(r)
		return
	}
	n.emit(LogDecision{Name: "claim", Reason: "not_allowed", Detail: d.Reason, ID: d.ID})
	r.hasClaim = false
	if len(d.Alternatives) > 0 && len(r.excluded) < maxExcluded {
		n.move(r, d.Alternatives)
		return
	}
	n.refuse(r, d.Refusal)
}

// move releases the ticket and requests one on the allowed upstreams; it excludes
// the other upstreams of the pool.
func (n *Node) move(r *request, allowed []core.UpstreamID) {
	n.applyPlacementResult(n.placement.Release(n.now, n.lease, r.id(), placement.TicketEnd{NotReached: true}))
	for _, u := range n.snapshot.Pool(r.route.Pool) {
		if !slices.Contains(allowed, u.ID) && !slices.Contains(r.excluded, u.ID) {
			r.excluded = append(r.excluded, u.ID)
		}
	}
	n.place(r)
}

// dispatch starts an attempt if its ticket is still valid, else it releases the
// claim and renews the ticket.
func (n *Node) dispatch(r *request) {
	if !n.placement.TicketValid(n.now, r.id()) {
		n.releaseClaim(r, suspect.EndNotSent)
		r.stage = stagePlace
		n.applyPlacementResult(n.placement.RenewTicket(n.now, n.lease, r.id()))
		return
	}
	n.placement.RecordDispatch(r.id())
	if r.attempt == 0 {
		n.retries.RecordAttempt(n.now)
	}
	r.attempt++
	r.stage = stageRunning
	n.logDecision("dispatch", dispatchReason(r.ticket), r.id())
	n.emit(Dispatch{
		ID:           r.id(),
		Attempt:      r.attempt,
		Upstream:     r.ticket.Upstream,
		Address:      r.ticket.Address,
		Adapter:      r.adapter,
		Fence:        r.ticket.Grant.Fence,
		Until:        r.ticket.Grant.Until,
		Workspace:    r.workspace.ID,
		Class:        r.class,
		BufferAnswer: r.hasRecord,
	})
}

func dispatchReason(t *placement.Ticket) string {
	if t.WaitedForLoad {
		return "after_load"
	}
	return "warm"
}

func (n *Node) releaseClaim(r *request, end suspect.End) {
	if !r.hasClaim {
		return
	}
	r.hasClaim = false
	n.applySuspectResult(n.suspect.Release(n.now, n.lease, r.id(), end))
}

// isService reports whether a request goes to a plain service.
func (r *request) isService() bool { return r.route.Kind == config.RouteService }
