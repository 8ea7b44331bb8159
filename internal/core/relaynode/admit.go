package relaynode

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/quota"
	"gentiancroft/internal/core/table"
)

// Retry-after times of refused requests.
const (
	retryAfterStarting  = 500 * time.Millisecond
	retryAfterLeaving   = 50 * time.Millisecond // the caller retries at another host
	retryAfterSuspect   = 2 * time.Second
	retryAfterSaturated = 400 * time.Millisecond
	retryAfterUnowned   = time.Second
)

// handleArrival checks a request against the configuration in force and places it on
// a replica or refuses it.
func (m *Machine) handleArrival(e RequestArrived) {
	m.arrivals.Add(m.now, 1, arrivalHalfLife)
	r, refusal := m.admit(e)
	if refusal != nil {
		m.emit(LogDecision{Name: "admission", Reason: string(refusal.Code), ID: e.ID, Detail: refusal.Message + "; " + e.Path + " under version " + utoa(m.configVersion())})
		m.emit(Refuse{ID: e.ID, Refusal: refusal})
		served := RequestEnded{Outcome: string(refusal.Code)}
		if r != nil {
			served.Route = r.route.Name
		}
		m.emit(served)
		return
	}
	m.emit(LogDecision{Name: "admission", Reason: "admitted", ID: e.ID, Detail: r.route.Name, MetricsOnly: true})
	m.requests.add(r)
	m.place(r)
}

func (m *Machine) admit(e RequestArrived) (*request, *core.Refusal) {
	if !m.initialized() {
		return nil, core.Refuse(core.CodeHostCutOff, retryAfterStarting, "this host has no configuration yet")
	}
	route := m.table.Route(e.Host, e.Path)
	if route == nil {
		return nil, refuseRoute()
	}
	r := &request{arrival: e, route: route, arrivedAt: m.now, lastEvent: e.LastEvent, owesEvent: m.owesEvent(&e)}
	if m.mayOutlastHost(r) {
		return nil, core.Refuse(core.CodeHostLeaving, retryAfterLeaving, "this host is leaving; ask for addresses again")
	}
	if refusal := m.authorize(r); refusal != nil {
		return nil, refusal
	}
	r.service = m.table.Services[route.Target(e.TargetHash)]
	if r.service == nil {
		return nil, core.Refuse(core.CodeNoUpstream, retryAfterSaturated, "the route leads to no service")
	}
	if refusal := m.bindToOrigin(r); refusal != nil {
		return r, refusal
	}
	if m.isSuspect(e.Fingerprint) {
		return nil, core.Refuse(core.CodeOverloaded, retryAfterSuspect, "replicas were lost while they ran this request")
	}
	r.deadline = m.now.Add(r.timeout())
	return r, m.charge(r)
}

// Screen returns the refusal of a request that no configuration like t would admit: it has no route,
// or no valid key. It returns nil for any other request. It needs no machine, so that it can decide
// before the request's body is received.
func Screen(t *table.Table, e RequestArrived) *core.Refusal {
	if t == nil {
		return nil // the machine refuses it
	}
	route := t.Route(e.Host, e.Path)
	if route == nil {
		return refuseRoute()
	}
	if t.KeysRequired && !route.KeyOptional && (!e.HasKey || t.Keys[e.Key] == nil) {
		return refuseKey()
	}
	return nil
}

func refuseRoute() *core.Refusal {
	return core.Refuse(core.CodeUnknownRoute, 0, "no route for this host and path")
}

func refuseKey() *core.Refusal {
	return core.Refuse(core.CodeInvalidKey, 0, "the key is missing or not valid")
}

// timeout returns the maximum duration of the request: the lower one of the caller's
// and the route's.
func (r *request) timeout() time.Duration {
	const unbounded = 10 * time.Minute
	d := r.arrival.Timeout
	if d <= 0 {
		d = unbounded
	}
	if r.route.Timeout > 0 {
		d = min(d, r.route.Timeout)
	}
	return d
}

// authorize sets the workspace that a request runs for. Invariant: except on open
// routes, a request runs only for the workspace of its key.
func (m *Machine) authorize(r *request) *core.Refusal {
	if !m.table.KeysRequired || r.route.KeyOptional {
		return nil
	}
	if r.arrival.HasKey {
		r.workspace = m.table.Keys[r.arrival.Key]
	}
	if r.workspace == nil {
		return refuseKey()
	}
	return nil
}

// charge takes the request's tokens from its workspace's bucket.
func (m *Machine) charge(r *request) *core.Refusal {
	if r.workspace == nil {
		return nil
	}
	r.cost = charged(r.workspace, r.arrival.Tokens)
	ok, retryAfter := m.quota.Admit(m.now, r.quotaRequest())
	if !ok {
		level, reachable := m.quota.Level(m.now, r.workspace.ID)
		text := fmt.Sprintf("workspace %s is over its rate: %d tokens left, %.2f of the fleet heard", r.workspace.ID, level, reachable)
		if pace, share, paced := m.quota.Pace(m.now, r.workspace.ID); paced {
			text += fmt.Sprintf(", %.0f tokens/s here for %.2f of the demand", pace, share)
		}
		return core.Refuse(core.CodeRateLimited, retryAfter, text)
	}
	return nil
}

// quotaRequest returns the request as its workspace's rate is charged for it.
func (r *request) quotaRequest() quota.Request {
	return quota.Request{
		Workspace: r.workspace.ID,
		Cost:      r.cost,
		Rank:      r.quotaRank(),
		Hash:      core.ShortHash(string(r.id())),
	}
}

// quotaRank returns the rank of a request within its workspace. Requests of plain services have the
// most urgent one: they are charged a small fixed amount, and refusing them would leave hardly more of
// the rate to generations.
func (r *request) quotaRank() int {
	if r.service.Engine == nil {
		return 0
	}
	return r.priorityAtReplica()
}

// charged returns the tokens that a request with a declared size is charged.
func charged(w *table.Workspace, declared core.Tokens) core.Tokens {
	if declared > 0 {
		return declared
	}
	return w.DefaultCost
}

// refund returns the tokens of a request that has not run.
func (m *Machine) refund(r *request) {
	if r.workspace != nil && r.cost > 0 {
		m.quota.Refund(m.now, r.quotaRequest())
		r.cost = 0
	}
}
