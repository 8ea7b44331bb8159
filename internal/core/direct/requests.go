package direct

import (
	"slices"
	"strconv"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }

// stage is where a request stands.
type stage uint8

const (
	stageWaiting stage = iota + 1 // for a replica that holds its adapter
	stageRunning                  // an attempt is at a replica
)

// request is one caller request in the machine.
type request struct {
	arrive    Arrive
	route     *table.Route
	service   *table.Service
	workspace *table.Workspace // nil: charged to nobody
	cost      core.Tokens
	came      core.Instant
	deadline  core.Instant
	stage     stage
	since     core.Instant // of the stage

	attempt  int             // sends so far
	ran      int             // of them, those that may have run
	upstream core.UpstreamID // of the attempt that runs
	tried    []core.UpstreamID
	begun    bool // the running attempt has been answered in part
	passed   bool // the caller has been sent a part of the answer
	moving   bool // the attempt is cancelled to try elsewhere
	over     bool // the caller has its final answer, or needs none
	outcome  string
	first    core.Instant // when its answer began; 0: it has not
	last     string
	asked    core.Instant // when its adapter was last asked for
	look     core.Instant // when it is next looked after
}

func (r *request) id() core.RequestID { return r.arrive.ID }

// requests are those of this host that have no end yet.
type requests struct {
	byID map[core.RequestID]*request
}

func newRequests() *requests { return &requests{byID: map[core.RequestID]*request{}} }

func (t *requests) add(r *request) { t.byID[r.id()] = r }

func (t *requests) remove(r *request) { delete(t.byID, r.id()) }

// all returns the requests in the order in which they came.
func (t *requests) all() []*request {
	all := make([]*request, 0, len(t.byID))
	for _, r := range t.byID {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int {
		if a.came != b.came {
			return int(max(min(a.came-b.came, 1), -1))
		}
		if a.id() < b.id() {
			return -1
		}
		return 1
	})
	return all
}

// due returns those that may have to be looked after at a time, in the order in
// which they came.
func (t *requests) due(now core.Instant) []*request {
	for _, r := range t.byID {
		if now >= r.look {
			return t.all()
		}
	}
	return nil
}

// waiting returns those that wait, the most urgent first.
func (t *requests) waiting() []*request {
	all := slices.DeleteFunc(t.all(), func(r *request) bool { return r.stage != stageWaiting || r.over })
	slices.SortStableFunc(all, func(a, b *request) int { return a.priority() - b.priority() })
	return all
}

// priority is the request's rank, 0 being the most urgent: its workspace's
// first, then its route's.
func (r *request) priority() int {
	const priorities = 10
	if r.workspace == nil {
		return r.route.Priority
	}
	return r.workspace.Priority*priorities + r.route.Priority
}

// mayHaveRun tells what is known of whether a replica has run the request.
func (r *request) mayHaveRun() core.Ran {
	switch {
	case r.passed || r.begun:
		return core.RanYes
	case r.ran > 0 || r.stage == stageRunning:
		return core.RanUnknown
	}
	return core.RanNo
}
