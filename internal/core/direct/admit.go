package direct

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// When a refused caller should come back.
const (
	retryStarting = 500 * time.Millisecond
	retryLeaving  = 50 * time.Millisecond // at another host
	retrySuspect  = 2 * time.Second
	retryNoRoom   = 400 * time.Millisecond
	retryUnowned  = time.Second
)

// arrive checks a request against the configuration in force and begins it.
func (m *Machine) arrive(e Arrive) {
	m.arrivals.Add(m.now, 1, arrivalsHalf)
	r, refusal := m.admit(e)
	if refusal != nil {
		m.emit(Note{Name: "admission", Reason: string(refusal.Code), ID: e.ID, Detail: refusal.Message + "; " + e.Path + " under version " + utoa(m.configVersion())})
		m.emit(Refuse{ID: e.ID, Refusal: refusal})
		served := Served{Outcome: string(refusal.Code)}
		if r != nil {
			served.Route = r.route.Name
		}
		m.emit(served)
		return
	}
	m.emit(Note{Name: "admission", Reason: "admitted", ID: e.ID, Detail: r.route.Name, Quiet: true})
	m.requests.add(r)
	m.place(r)
}

func (m *Machine) admit(e Arrive) (*request, *core.Refusal) {
	if !m.informed() {
		return nil, core.Refuse(core.CodeCutOff, retryStarting, "this host has no configuration yet")
	}
	route := m.table.Route(e.Host, e.Path)
	if route == nil {
		return nil, core.Refuse(core.CodeUnknownRoute, 0, "no route for this host and path")
	}
	if m.closedTo(route) {
		return nil, core.Refuse(core.CodeLeaving, retryLeaving, "this host is leaving; ask for addresses again")
	}
	r := &request{arrive: e, route: route, came: m.now, last: e.LastEvent}
	if refusal := m.authorize(r); refusal != nil {
		return nil, refusal
	}
	r.service = m.table.Services[route.Target(e.Spread)]
	if r.service == nil {
		return nil, core.Refuse(core.CodeNoUpstream, retryNoRoom, "the route leads to no service")
	}
	if m.suspected(e.Fingerprint) {
		return nil, core.Refuse(core.CodeOverloaded, retrySuspect, "replicas were lost while they ran this request")
	}
	r.deadline = m.now.Add(r.patience())
	return r, m.charge(r)
}

// closedTo reports whether a leaving host takes no more requests of a route.
// Streams are closed to earlier: they must end before the host does.
func (m *Machine) closedTo(route *table.Route) bool {
	if m.leaving == 0 {
		return false
	}
	after := m.settings.LeaveAfter
	if route.Kind == table.Streaming {
		after = m.settings.LeaveStreams
	}
	return m.now.Sub(m.leaving) > after
}

// patience is how long the request may take at most.
func (r *request) patience() time.Duration {
	const unbounded = 10 * time.Minute
	d := r.arrive.Patience
	if d <= 0 {
		d = unbounded
	}
	if r.route.Timeout > 0 {
		d = min(d, r.route.Timeout)
	}
	return d
}

// authorize finds the workspace that a request runs for. Keeps: but on open
// routes, a request runs only for the workspace of its key.
func (m *Machine) authorize(r *request) *core.Refusal {
	if !m.table.Keyed || r.route.Open {
		return nil
	}
	if r.arrive.HasKey {
		r.workspace = m.table.Keys[r.arrive.Key]
	}
	if r.workspace == nil {
		return core.Refuse(core.CodeNoKey, 0, "the key is missing or not valid")
	}
	return nil
}

// charge takes the request's tokens from its workspace's rate.
func (m *Machine) charge(r *request) *core.Refusal {
	if r.workspace == nil {
		return nil
	}
	r.cost = cost(r.workspace, r.arrive.Tokens)
	ok, retryAfter := m.quota.Take(m.now, r.workspace.ID, r.cost)
	if !ok {
		level, part := m.quota.Level(m.now, r.workspace.ID)
		return core.Refuse(core.CodeRateLimited, retryAfter, fmt.Sprintf("workspace %s is over its rate: %d tokens left, %.2f of the fleet heard", r.workspace.ID, level, part))
	}
	return nil
}

func cost(w *table.Workspace, declared core.Tokens) core.Tokens {
	if declared > 0 {
		return declared
	}
	return w.Plain
}

// refund gives the tokens of a request back that surely has not run.
func (m *Machine) refund(r *request) {
	if r.workspace != nil && r.cost > 0 {
		m.quota.Return(m.now, r.workspace.ID, r.cost)
		r.cost = 0
	}
}
