package node

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/once"
	"gentiancroft/internal/core/limit"
)

// Delays after which a refused caller may retry.
const (
	retryAfterNoUpstream = time.Second
	retryAfterCutOff     = 2 * time.Second
	retryAfterLeaving    = 100 * time.Millisecond // short: the caller retries at another host
	retryAfterDeadline   = time.Second
)

// handleArrival admits a request under the configuration in force and starts it,
// or refuses it.
func (n *Node) handleArrival(e RequestArrived) {
	r, refusal := n.admit(e)
	if refusal != nil {
		n.logDecision("admission", string(refusal.Code), e.ID)
		n.emit(Refuse{ID: e.ID, Refusal: refusal})
		return
	}
	n.logDecision("admission", "admitted", e.ID)
	n.requests.add(r)
	n.reserve(r)
}

// admit returns the request for an arrival, or the refusal.
func (n *Node) admit(e RequestArrived) (*request, *core.Refusal) {
	if n.leaving.closed {
		return nil, core.Refuse(core.CodeHostLeaving, retryAfterLeaving, "this host is leaving; ask for entries again")
	}
	if n.snapshot == nil {
		return nil, core.Refuse(core.CodeHostCutOff, retryAfterCutOff, "this host has no configuration yet")
	}
	route := n.snapshot.Route(e.Path)
	if route == nil {
		return nil, core.Refuse(core.CodeUnknownRoute, 0, "no route "+e.Path)
	}
	r := &request{arrival: e, route: route, deadline: n.now.Add(e.Timeout)}
	if refusal := n.authorize(r); refusal != nil {
		return nil, refusal
	}
	if refusal := n.resolve(r); refusal != nil {
		return nil, refusal
	}
	if !route.Idempotent && e.IdempotencyKey == "" {
		return nil, core.Refuse(core.CodeIdempotencyKeyRequired, 0, "this route needs an Idempotency-Key header")
	}
	return r, nil
}

// authorize sets the workspace that a request runs for. Invariant: except on
// routes open to all, a request runs only for the workspace of its key.
func (n *Node) authorize(r *request) *core.Refusal {
	if r.route.Open {
		r.workspace = n.snapshot.Workspace(r.route.Charged)
		if r.workspace == nil {
			return core.Refuse(core.CodeInternal, 0, "the route has no workspace to charge")
		}
		return nil
	}
	if n.feed.CutOff(n.now) {
		return core.Refuse(core.CodeHostCutOff, retryAfterCutOff, "this host can't tell whether keys are still valid")
	}
	key := n.snapshot.Key(r.arrival.KeyHash)
	if key == nil {
		return core.Refuse(core.CodeInvalidKey, 0, "the key is missing or not valid")
	}
	if key.Withdrawn {
		return core.Refuse(core.CodeKeyWithdrawn, 0, "the key has been withdrawn")
	}
	if !workspacePermitted(r.route.Workspaces, key.Workspace) {
		return core.Refuse(core.CodeRouteForbidden, 0, "this workspace may not use the route")
	}
	r.key = key
	r.workspace = n.snapshot.Workspace(key.Workspace)
	if r.workspace == nil {
		return core.Refuse(core.CodeInvalidKey, 0, "the key's workspace does not exist")
	}
	return nil
}

// workspacePermitted reports whether a list of workspaces contains ws. An empty
// list permits all.
func workspacePermitted(list []core.WorkspaceID, ws core.WorkspaceID) bool {
	return len(list) == 0 || slices.Contains(list, ws)
}

// resolve sets the exact adapter version, once per request. Invariant: a request
// runs on the version that it names, else on the adapter's default at its arrival.
func (n *Node) resolve(r *request) *core.Refusal {
	class, ok := config.ParseClass(r.route.Class)
	if !ok {
		return core.Refuse(core.CodeInternal, 0, "the route has no valid class")
	}
	r.class = class
	if r.route.Kind == config.RouteService {
		return nil
	}
	ref, adapter, refusal := n.snapshot.ResolveModel(r.arrival.Model, r.workspace.ID)
	if refusal != nil {
		return refusal
	}
	r.adapter = ref
	r.base = adapter.Base
	return nil
}

// cost is the maximum of tokens that a request may use.
func (r *request) cost() core.Tokens {
	if r.route.Kind == config.RouteService {
		return core.Tokens(r.route.Cost)
	}
	return r.arrival.PromptTokens + r.arrival.MaxTokens
}

// reserve requests the reservation of the tokens that a request may use; it comes
// before any other work on the request.
func (n *Node) reserve(r *request) {
	r.stage = stageLimit
	n.applyLimitResult(n.limit.Reserve(n.now, n.lease, r.id(), r.workspace.ID, r.cost()))
}

// handleLimitDecision continues a request whose tokens are reserved, or refuses it.
func (n *Node) handleLimitDecision(d limit.Decision) {
	r := n.requests.atStage(d.ID, stageLimit)
	if r == nil {
		return
	}
	if !d.Granted {
		n.refuse(r, d.Refusal)
		return
	}
	if r.route.Idempotent {
		n.place(r)
		return
	}
	r.stage = stageRecord
	n.applyOnceResult(n.once.Begin(n.now, once.Request{ID: r.id(), Workspace: r.workspace.ID, Key: r.arrival.IdempotencyKey, BodyHash: r.arrival.BodyHash}))
}

// handleOnceDecision places, replays or refuses a non-idempotent request.
// Invariant: it is dispatched only after its at-most-once record is stored.
func (n *Node) handleOnceDecision(d once.Decision) {
	r := n.requests.atStage(d.ID, stageRecord)
	if r == nil {
		return
	}
	n.logDecision("once", onceReasons[d.Kind], d.ID)
	switch d.Kind {
	case once.Run:
		r.hasRecord = true
		n.place(r)
	case once.Replay:
		n.abandon(r, core.RanNo)
		n.emit(ReplayOutcome{ID: d.ID, Outcome: d.Outcome})
	case once.Refuse:
		n.refuse(r, d.Refusal)
	}
}

var onceReasons = map[once.Kind]string{once.Run: "run", once.Replay: "replay", once.Refuse: "refuse"}
