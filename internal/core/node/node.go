package node

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Retry hints given to callers.
const (
	retryNoUpstream = time.Second
	retryCutOff     = 2 * time.Second
)

// Settings of one node.
type Settings struct {
	Self core.Member
	Seed uint64
}

// Node is one host's decisions.
type Node struct {
	settings Settings
	rng      *core.Rand
	snapshot *config.Snapshot
	requests map[core.RequestID]*request
	resident map[core.UpstreamID]map[core.AdapterRef]bool
	orders   map[uint64]order
	order    uint64
	out      []Effect
}

type request struct {
	arrive   Arrive
	key      *config.Key
	adapter  core.AdapterRef
	pool     string
	upstream core.UpstreamID
	attempt  int
	answered bool
}

type order struct {
	upstream core.UpstreamID
	adapter  core.AdapterRef
}

// New returns a node without a configuration.
func New(s Settings) *Node {
	return &Node{
		settings: s,
		rng:      core.NewRand(s.Seed),
		requests: map[core.RequestID]*request{},
		resident: map[core.UpstreamID]map[core.AdapterRef]bool{},
		orders:   map[uint64]order{},
	}
}

// SetSnapshot puts a configuration in force unless it is older than the present one.
func (n *Node) SetSnapshot(s *config.Snapshot) {
	if n.snapshot == nil || s.Version > n.snapshot.Version {
		n.snapshot = s
	}
}

// Step handles one event and returns what to do.
func (n *Node) Step(now core.Instant, event Event) []Effect {
	n.out = nil
	switch e := event.(type) {
	case Arrive:
		n.arrive(e)
	case Gone:
		n.gone(e)
	case FirstByte:
		if r := n.requests[e.ID]; r != nil {
			r.answered = true
		}
	case Ended:
		n.ended(e)
	case OrderDone:
		n.orderDone(e)
	}
	return n.out
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) refuse(id core.RequestID, r *core.Refusal) {
	delete(n.requests, id)
	n.emit(Refuse{ID: id, Refusal: r})
}

func (n *Node) arrive(e Arrive) {
	if n.snapshot == nil {
		n.refuse(e.ID, core.Refuse(core.CodeCutOff, retryCutOff, "no configuration yet"))
		return
	}
	route := n.snapshot.Route(e.Path)
	if route == nil {
		n.refuse(e.ID, core.Refuse(core.CodeUnknownRoute, 0, "no route "+e.Path))
		return
	}
	key := n.snapshot.Key(e.KeyHash)
	if key == nil || key.Withdrawn {
		n.refuse(e.ID, core.Refuse(core.CodeNoKey, 0, "the key is missing or not valid"))
		return
	}
	r := &request{arrive: e, key: key, pool: route.Pool}
	if route.Kind != config.RouteService {
		ref, _, refusal := n.snapshot.Resolve(e.Model, key.Workspace)
		if refusal != nil {
			n.refuse(e.ID, refusal)
			return
		}
		r.adapter = ref
	}
	n.requests[e.ID] = r
	n.place(r)
}

// place dispatches a request to an upstream that holds its adapter, or orders
// the load that it waits for.
func (n *Node) place(r *request) {
	pool := n.snapshot.Pool(r.pool)
	if len(pool) == 0 {
		n.refuse(r.arrive.ID, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "no upstream serves this route"))
		return
	}
	for _, u := range pool {
		if r.adapter == (core.AdapterRef{}) || n.resident[u.ID][r.adapter] {
			n.dispatch(r, u)
			return
		}
	}
	for _, o := range n.orders {
		if o.adapter == r.adapter {
			return
		}
	}
	u := pool[n.rng.IntN(len(pool))]
	n.order++
	n.orders[n.order] = order{upstream: u.ID, adapter: r.adapter}
	n.emit(Order{core.AdapterOrder{ID: n.order, Upstream: u.ID, Address: u.Address, Load: true, Adapter: r.adapter, Timeout: 10 * time.Second}})
}

func (n *Node) dispatch(r *request, u *config.Upstream) {
	r.attempt++
	r.upstream = u.ID
	n.emit(Dispatch{ID: r.arrive.ID, Attempt: r.attempt, Upstream: u.ID, Address: u.Address, Adapter: r.adapter, Workspace: r.key.Workspace})
}

func (n *Node) orderDone(e OrderDone) {
	o, ok := n.orders[e.ID]
	if !ok {
		return
	}
	delete(n.orders, e.ID)
	if e.OK {
		if n.resident[o.upstream] == nil {
			n.resident[o.upstream] = map[core.AdapterRef]bool{}
		}
		n.resident[o.upstream][o.adapter] = true
	}
	for id, r := range n.requests {
		if r.adapter != o.adapter || r.upstream != "" {
			continue
		}
		if e.OK {
			n.place(r)
			continue
		}
		n.refuse(id, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "the adapter could not be loaded"))
	}
}

func (n *Node) gone(e Gone) {
	r := n.requests[e.ID]
	if r == nil {
		return
	}
	delete(n.requests, e.ID)
	if r.upstream != "" {
		n.emit(Cancel{ID: e.ID, Attempt: r.attempt})
	}
}

func (n *Node) ended(e Ended) {
	r := n.requests[e.ID]
	if r == nil || r.attempt != e.Attempt {
		return
	}
	delete(n.requests, e.ID)
	switch e.Kind {
	case EndOK, EndCancelled:
	case EndNotRun, EndMissing:
		n.refuse(e.ID, core.Refuse(core.CodeNoUpstream, retryNoUpstream, "the upstream did not take the request"))
	case EndFailed:
		n.emit(Refuse{ID: e.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the upstream failed", Ran: core.RanUnknown, RetryAfter: retryNoUpstream}})
	case EndBroken:
		n.emit(Cut{ID: e.ID, Refusal: &core.Refusal{Code: core.CodeStreamBroken, Message: "the upstream broke off", Ran: core.RanYes, RetryAfter: retryNoUpstream}})
	}
}
