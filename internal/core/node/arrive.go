package node

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/once"
	"gentiancroft/internal/core/limit"
)

// When a refused caller should come back.
const (
	retryNoUpstream = time.Second
	retryCutOff     = 2 * time.Second
	retryLeaving    = 100 * time.Millisecond // at another host
	retryDeadline   = time.Second
)

// arrive checks a request against the configuration in force and begins it.
func (n *Node) arrive(e Arrive) {
	r, refusal := n.admit(e)
	if refusal != nil {
		n.note("admission", string(refusal.Code), e.ID)
		n.emit(Refuse{ID: e.ID, Refusal: refusal})
		return
	}
	n.note("admission", "admitted", e.ID)
	n.requests.add(r)
	n.reserve(r)
}

// admit turns an arrival into a request, or says why not.
func (n *Node) admit(e Arrive) (*request, *core.Refusal) {
	if n.leaving.closed {
		return nil, core.Refuse(core.CodeLeaving, retryLeaving, "this host is leaving; ask for entries again")
	}
	if n.snapshot == nil {
		return nil, core.Refuse(core.CodeCutOff, retryCutOff, "this host has no configuration yet")
	}
	route := n.snapshot.Route(e.Path)
	if route == nil {
		return nil, core.Refuse(core.CodeUnknownRoute, 0, "no route "+e.Path)
	}
	r := &request{arrive: e, route: route, deadline: n.now.Add(e.Timeout)}
	if refusal := n.authorize(r); refusal != nil {
		return nil, refusal
	}
	if refusal := n.resolve(r); refusal != nil {
		return nil, refusal
	}
	if !route.Idempotent && e.IdempotencyKey == "" {
		return nil, core.Refuse(core.CodeKeyNeeded, 0, "this route needs an Idempotency-Key header")
	}
	return r, nil
}

// authorize finds the workspace that a request runs for. Keeps: except on
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
		return core.Refuse(core.CodeCutOff, retryCutOff, "this host can't tell whether keys are still valid")
	}
	key := n.snapshot.Key(r.arrive.KeyHash)
	if key == nil {
		return core.Refuse(core.CodeNoKey, 0, "the key is missing or not valid")
	}
	if key.Withdrawn {
		return core.Refuse(core.CodeKeyWithdrawn, 0, "the key has been withdrawn")
	}
	if !permitted(r.route.Workspaces, key.Workspace) {
		return core.Refuse(core.CodeRouteForbidden, 0, "this workspace may not use the route")
	}
	r.key = key
	r.workspace = n.snapshot.Workspace(key.Workspace)
	if r.workspace == nil {
		return core.Refuse(core.CodeNoKey, 0, "the key's workspace does not exist")
	}
	return nil
}

// permitted reports whether a list of workspaces, empty for all, has one.
func permitted(list []core.WorkspaceID, ws core.WorkspaceID) bool {
	return len(list) == 0 || slices.Contains(list, ws)
}

// resolve fixes the exact adapter version once. Keeps: a request runs on the
// version it named, or on the one that was in force when it came.
func (n *Node) resolve(r *request) *core.Refusal {
	class, ok := config.ParseClass(r.route.Class)
	if !ok {
		return core.Refuse(core.CodeInternal, 0, "the route has no valid class")
	}
	r.class = class
	if r.route.Kind == config.RouteService {
		return nil
	}
	ref, adapter, refusal := n.snapshot.Resolve(r.arrive.Model, r.workspace.ID)
	if refusal != nil {
		return refusal
	}
	r.adapter = ref
	r.base = adapter.Base
	return nil
}

// cost is what a request may use at most.
func (r *request) cost() core.Tokens {
	if r.route.Kind == config.RouteService {
		return core.Tokens(r.route.Cost)
	}
	return r.arrive.Prompt + r.arrive.MaxTokens
}

// reserve sets tokens aside before anything else is spent on a request.
func (n *Node) reserve(r *request) {
	r.stage = stageLimit
	n.limitResult(n.limit.Reserve(n.now, n.lease, r.id(), r.workspace.ID, r.cost()))
}

func (n *Node) limited(d limit.Decision) {
	r := n.requests.at(d.ID, stageLimit)
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
	n.onceResult(n.once.Begin(n.now, once.Request{ID: r.id(), Workspace: r.workspace.ID, Key: r.arrive.IdempotencyKey, Body: r.arrive.Body}))
}

// recorded goes on with a non-idempotent request. Keeps: it is dispatched only
// after its record stands.
func (n *Node) recorded(d once.Decision) {
	r := n.requests.at(d.ID, stageRecord)
	if r == nil {
		return
	}
	n.note("once", onceReasons[d.Kind], d.ID)
	switch d.Kind {
	case once.Run:
		r.record = true
		n.place(r)
	case once.Replay:
		n.end(r, core.RanNo)
		n.emit(Replay{ID: d.ID, Outcome: d.Outcome})
	case once.Refuse:
		n.refuse(r, d.Refusal)
	}
}

var onceReasons = map[once.Kind]string{once.Run: "run", once.Replay: "replay", once.Refuse: "refuse"}
