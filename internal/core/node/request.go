package node

import (
	"container/list"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/placement"
)

// stage is what a request waits for; it waits for one thing at a time.
type stage uint8

const (
	stageLimit   stage = iota + 1 // for tokens
	stageRecord                   // for its at-most-once record
	stagePlace                    // for a ticket
	stageClaim                    // for the permission of its fingerprint's home
	stageRunning                  // for the end of its attempt
)

// request is a caller's request that this host has admitted and not completed.
type request struct {
	arrival       RequestArrived
	key           *config.Key // nil on a route open to all
	workspace     *config.Workspace
	route         *config.Route
	adapter       core.AdapterRef
	base          core.BaseModel
	class         core.Class
	deadline      core.Instant
	stage         stage
	ticket        *placement.Ticket
	attempt       int         // number of the last dispatch, 0 before the first
	notRun        int         // attempts that certainly did not run
	tokensUsed    core.Tokens // of all attempts
	excluded      []core.UpstreamID
	hasRecord     bool // this request must finish its at-most-once record
	hasClaim      bool // a claim is requested or granted
	firstByteSent bool // the first byte of the answer was sent to the caller
	callerDone    bool // the caller hung up or has its final answer
	element       *list.Element
}

func (r *request) id() core.RequestID { return r.arrival.ID }

// mayHaveRun returns RanNo if no attempt can have run, else RanUnknown.
func (r *request) mayHaveRun() core.Ran {
	if r.attempt > r.notRun {
		return core.RanUnknown
	}
	return core.RanNo
}

// requestTable holds the requests by id and in order of arrival.
type requestTable struct {
	byID      map[core.RequestID]*request
	byArrival *list.List
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[core.RequestID]*request{}, byArrival: list.New()}
}

func (t *requestTable) add(r *request) {
	t.byID[r.id()] = r
	r.element = t.byArrival.PushBack(r)
}

func (t *requestTable) remove(r *request) {
	delete(t.byID, r.id())
	t.byArrival.Remove(r.element)
}

// atStage returns the request if it waits at stage s, else nil.
func (t *requestTable) atStage(id core.RequestID, s stage) *request {
	r := t.byID[id]
	if r == nil || r.stage != s {
		return nil
	}
	return r
}

// all returns the requests in order of arrival. They may be removed during the iteration.
func (t *requestTable) all() []*request {
	out := make([]*request, 0, t.byArrival.Len())
	for e := t.byArrival.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*request))
	}
	return out
}
