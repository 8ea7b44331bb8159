package node

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/placement"
)

// maxAttempts is how many upstreams one request is tried on.
const maxAttempts = 3

// maxMoves is how often a request is sent to another upstream before its
// first attempt.
const maxMoves = 4

// place asks for a ticket.
func (n *Node) place(r *request) {
	r.stage = stagePlace
	r.ticket = nil
	n.placementResult(n.placement.Ask(n.now, n.lease, placement.Ask{
		Request:   r.id(),
		Pool:      r.route.Pool,
		Adapter:   r.adapter,
		Base:      r.base,
		Workspace: r.workspace.ID,
		Weight:    r.workspace.Weight,
		Class:     r.class,
		Cost:      r.cost(),
		Deadline:  r.deadline,
		Prefix:    r.arrive.Prefix,
		Avoid:     r.tried,
	}))
}

func (n *Node) placed(d placement.Decision) {
	r := n.requests.at(d.Request, stagePlace)
	if r == nil {
		return
	}
	if d.Refusal != nil {
		n.refuse(r, d.Refusal)
		return
	}
	r.ticket = d.Ticket
	n.claimLeave(r)
}

// claimLeave asks the home of the request's fingerprint. Keeps: at most
// suspect.Budget upstreams are lost to one crashing request.
func (n *Node) claimLeave(r *request) {
	if r.arrive.Fingerprint == 0 {
		n.dispatch(r)
		return
	}
	r.stage = stageClaim
	r.claim = true
	n.suspectResult(n.suspect.Claim(n.now, n.lease, suspect.Request{ID: r.id(), Fingerprint: r.arrive.Fingerprint, Upstream: r.ticket.Upstream}))
}

func (n *Node) claimed(d suspect.Decision) {
	if d.Revoked { // of a leave that was used at once: the attempt ends by itself
		n.note("claim", "revoked", d.ID)
		return
	}
	r := n.requests.at(d.ID, stageClaim)
	if r == nil {
		return
	}
	if d.Allowed {
		n.emit(Note{Name: "claim", Reason: "allowed", Detail: d.Reason, ID: d.ID})
		n.dispatch(r)
		return
	}
	n.emit(Note{Name: "claim", Reason: "not_allowed", Detail: d.Reason, ID: d.ID})
	r.claim = false
	if len(d.Use) > 0 && len(r.tried) < maxMoves {
		n.move(r, d.Use)
		return
	}
	n.refuse(r, d.Refusal)
}

// move gives the ticket back and asks for one at the upstreams in use.
func (n *Node) move(r *request, use []core.UpstreamID) {
	n.placementResult(n.placement.Release(n.now, n.lease, r.id(), placement.End{NotReached: true}))
	for _, u := range n.snapshot.Pool(r.route.Pool) {
		if !slices.Contains(use, u.ID) && !slices.Contains(r.tried, u.ID) {
			r.tried = append(r.tried, u.ID)
		}
	}
	n.place(r)
}

// dispatch sends an attempt if its ticket still holds, and renews it otherwise.
func (n *Node) dispatch(r *request) {
	if !n.placement.Valid(n.now, r.id()) {
		n.releaseClaim(r, suspect.EndNotSent)
		r.stage = stagePlace
		n.placementResult(n.placement.Renew(n.now, n.lease, r.id()))
		return
	}
	n.placement.Dispatched(r.id())
	if r.attempt == 0 {
		n.retries.First(n.now)
	}
	r.attempt++
	r.stage = stageRunning
	n.note("dispatch", stalledReason(r.ticket), r.id())
	n.emit(Dispatch{
		ID:        r.id(),
		Attempt:   r.attempt,
		Upstream:  r.ticket.Upstream,
		Address:   r.ticket.Address,
		Adapter:   r.adapter,
		Fence:     r.ticket.Grant.Fence,
		Until:     r.ticket.Grant.Until,
		Workspace: r.workspace.ID,
		Class:     r.class,
		Record:    r.record,
	})
}

func stalledReason(t *placement.Ticket) string {
	if t.Stalled {
		return "after_load"
	}
	return "warm"
}

func (n *Node) releaseClaim(r *request, end suspect.End) {
	if !r.claim {
		return
	}
	r.claim = false
	n.suspectResult(n.suspect.Release(n.now, n.lease, r.id(), end))
}

// isService reports whether a request goes to a plain service.
func (r *request) isService() bool { return r.route.Kind == config.RouteService }
