package node

import (
	"container/list"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/placement"
)

// stage is how far a request has come. A request waits for one thing at a time.
type stage uint8

const (
	stageLimit   stage = iota + 1 // for tokens
	stageRecord                   // for its at-most-once record
	stagePlace                    // for a ticket
	stageClaim                    // for leave from its fingerprint's home
	stageRunning                  // for the end of its attempt
)

// request is one caller's request while this host answers for it.
type request struct {
	arrive    Arrive
	key       *config.Key // nil on a route open to all
	workspace *config.Workspace
	route     *config.Route
	adapter   core.AdapterRef
	base      core.BaseModel
	class     core.Class
	deadline  core.Instant
	stage     stage
	ticket    *placement.Ticket
	attempt   int         // of dispatches
	notRun    int         // attempts that surely did not run
	spent     core.Tokens // by all attempts
	tried     []core.UpstreamID
	record    bool // an at-most-once record is this request's to finish
	claim     bool // asked of, or granted by, the fingerprint's home
	answered  bool // the first byte has gone to the caller
	gone      bool // the caller hung up, or was given a final answer
	element   *list.Element
}

func (r *request) id() core.RequestID { return r.arrive.ID }

// mayHaveRun is what can truly be said of a request now.
func (r *request) mayHaveRun() core.Ran {
	if r.attempt > r.notRun {
		return core.RanUnknown
	}
	return core.RanNo
}

// table holds the requests in order of arrival.
type table struct {
	byID  map[core.RequestID]*request
	order *list.List
}

func newTable() *table {
	return &table{byID: map[core.RequestID]*request{}, order: list.New()}
}

func (t *table) add(r *request) {
	t.byID[r.id()] = r
	r.element = t.order.PushBack(r)
}

func (t *table) remove(r *request) {
	delete(t.byID, r.id())
	t.order.Remove(r.element)
}

// at returns the request that waits at a stage, or nil.
func (t *table) at(id core.RequestID, s stage) *request {
	r := t.byID[id]
	if r == nil || r.stage != s {
		return nil
	}
	return r
}

// all lists the requests in order of arrival.
func (t *table) all() []*request {
	out := make([]*request, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*request))
	}
	return out
}
