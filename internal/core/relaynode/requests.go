package relaynode

import (
	"slices"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/cost"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/origin"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/table"
)

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }

// stage is the stage of a request.
type stage uint8

const (
	stageWaiting stage = iota + 1 // for a replica that has its adapter loaded
	stageRunning                  // an attempt is at a replica
)

// request is a caller's request and its progress.
type request struct {
	arrival    RequestArrived
	route      *table.Route
	service    *table.Service
	workspace  *table.Workspace // nil: no workspace is charged
	cost       core.Tokens
	arrivedAt  core.Instant
	deadline   core.Instant
	stage      stage
	stageSince core.Instant // start of the stage

	attempt          int                     // attempts sent
	sentTo           replicamodel.Load       // at the replica when the latest attempt was sent, the request included
	expected         time.Duration           // from its dispatch to its first event, at an average replica
	predicted        replicamodel.Prediction // of the latest attempt
	promised         cost.Estimate           // at its replica; zero: nothing is
	nextEventCheck   core.Instant            // when the wait for its first event is next compared with that
	promptCounted    bool                    // its prompt counts as queued at the replica
	possibleRuns     int                     // ended attempts that may have run
	notReached       int                     // ended attempts for which no connection could be opened
	upstream         core.UpstreamID         // of the latest attempt
	carrier          core.Carrier            // that carries it; the zero value: none does
	upstreamStarted  int64                   // start of its incarnation at that time
	version          int                     // of its adapter there at that time; 0: unknown, or no adapter
	sentSoftware     origin.Software         // of its replica at that time
	software         origin.Software         // at which alone the request may run, since it goes on with a stream; 0: any
	tried            []core.UpstreamID
	answerStarted    bool          // the replica has started to answer the latest attempt
	answeringSince   core.Instant  // when it did
	partDelivered    bool          // a part of the answer has been sent to the caller
	moving           bool          // the attempt is being cancelled, to be retried on another replica
	retryTaken       bool          // its next retry has been taken from the budget
	withdrawn        bool          // it is being cancelled because a part of its prompt was blocked
	awaitsRoom       bool          // it waits for room at a brittle replica
	awaitsCopy       bool          // it waits for another copy of its adapter
	awaitsPermit     bool          // it waits for a permit for a limited replica
	permit           intake.Permit // that the latest attempt has used; the zero value: none
	trial            bool          // it has blocked parts and is tried all the same
	closed           bool          // the caller has its final answer or has hung up
	outcome          string
	answerStartedAt  core.Instant // 0: no answer yet
	lastEvent        string
	owesEvent        bool         // the event after it has begun, and has not been complete
	roomAwaitedSince core.Instant // when it first waited for room at a brittle replica; 0: it hasn't
	copyAwaitedSince core.Instant // when it first waited for another copy of its adapter; 0: it hasn't
	lastDemand       core.Instant // when its adapter was last demanded
	nextCheck        core.Instant // when its timeouts are next checked
}

func (r *request) id() core.RequestID { return r.arrival.ID }

// usesAdapter reports whether a request needs an adapter of an engine.
func (r *request) usesAdapter() bool { return r.arrival.Adapter != "" && r.service.Engine != nil }

// requests holds the requests of this host that have not ended.
type requests struct {
	byID map[core.RequestID]*request
}

func newRequests() *requests { return &requests{byID: map[core.RequestID]*request{}} }

func (t *requests) add(r *request) { t.byID[r.id()] = r }

func (t *requests) remove(r *request) { delete(t.byID, r.id()) }

// all returns the requests in order of arrival.
func (t *requests) all() []*request {
	all := make([]*request, 0, len(t.byID))
	for _, r := range t.byID {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int {
		if a.arrivedAt != b.arrivedAt {
			return int(max(min(a.arrivedAt-b.arrivedAt, 1), -1))
		}
		if a.id() < b.id() {
			return -1
		}
		return 1
	})
	return all
}

// due returns all requests, in order of arrival, if one of them is due for a check,
// otherwise nil.
func (t *requests) due(now core.Instant) []*request {
	for _, r := range t.byID {
		if now >= r.nextCheck {
			return t.all()
		}
	}
	return nil
}

// anyWaiting reports whether a request waits for a replica.
func (t *requests) anyWaiting() bool {
	for _, r := range t.byID {
		if r.stage == stageWaiting && !r.closed {
			return true
		}
	}
	return false
}

// waiting returns the waiting requests, the most urgent first.
func (t *requests) waiting() []*request {
	all := slices.DeleteFunc(t.all(), func(r *request) bool { return r.stage != stageWaiting || r.closed })
	slices.SortStableFunc(all, func(a, b *request) int { return a.priority() - b.priority() })
	return all
}

// priority returns the request's rank; the lowest is the most urgent. Streams that go on are
// before all others; the workspace's priority goes before the route's.
func (r *request) priority() int {
	const priorities = 10
	if r.software != 0 {
		return -1
	}
	if r.workspace == nil {
		return r.route.Priority
	}
	return r.workspace.Priority*priorities + r.route.Priority
}

// priorityAtReplica returns the request's rank among those that wait at its replica. A stream
// that goes on is before all others: its caller has a part of the answer.
func (r *request) priorityAtReplica() int {
	if r.software != 0 {
		return 0
	}
	return r.route.Priority
}

// ranState returns whether a replica has run the request, as far as that is certain.
func (r *request) ranState() core.Ran {
	switch {
	case r.partDelivered || r.answerStarted:
		return core.RanYes
	case r.possibleRuns > 0 || r.stage == stageRunning:
		return core.RanUnknown
	}
	return core.RanNo
}
