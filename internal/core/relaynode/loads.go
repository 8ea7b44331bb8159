package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// firstEventCheckInterval is how often the wait of a request for its first event is compared with the
// predicted time.
const firstEventCheckInterval = 100 * time.Millisecond

// hostLoad is what another host has at the replicas.
type hostLoad struct {
	requests []Load
	prompts  []Load
	promised []Load
}

func (m *Machine) ownLoads() (own hostLoad) {
	add := func(to *[]Load, x *replicas.Replica, n int) {
		if n > 0 {
			*to = append(*to, Load{Replica: core.ShortHash(string(x.ID)), Running: n})
		}
	}
	for _, x := range m.replicas.All() {
		add(&own.requests, x, x.OwnRequests)
		add(&own.prompts, x, int(x.OwnPrompts))
		add(&own.promised, x, int(x.OwnPromised))
	}
	return own
}

// expireLoads removes the loads of hosts that are no longer reachable.
func (m *Machine) expireLoads() {
	for h := range m.loads {
		if !m.fleet.Reachable(m.now, h) {
			m.applyLoads(h, hostLoad{})
			delete(m.loads, h)
		}
	}
}

// applyLoads replaces the load that a host has at the replicas.
func (m *Machine) applyLoads(from core.HostID, load hostLoad) {
	load.promised = m.promisedOrMean(load)
	before := m.loads[from]
	m.eachLoad(before.requests, func(x *replicas.Replica, n int) { x.OtherRequests = max(x.OtherRequests-n, 0) })
	m.eachLoad(before.prompts, func(x *replicas.Replica, n int) { x.OtherPrompts = max(x.OtherPrompts-core.Tokens(n), 0) })
	m.eachLoad(before.promised, func(x *replicas.Replica, n int) { x.OtherPromised = max(x.OtherPromised-core.Tokens(n), 0) })
	m.eachLoad(load.requests, func(x *replicas.Replica, n int) { x.OtherRequests += n })
	m.eachLoad(load.prompts, func(x *replicas.Replica, n int) { x.OtherPrompts += core.Tokens(n) })
	m.eachLoad(load.promised, func(x *replicas.Replica, n int) { x.OtherPromised += core.Tokens(n) })
	m.loads[from] = load
}

// eachLoad calls f for the replicas of loads that this host knows.
func (m *Machine) eachLoad(loads []Load, f func(*replicas.Replica, int)) {
	for _, l := range loads {
		if x := m.replicas.ByShortHash(l.Replica); x != nil {
			f(x, max(l.Running, 0))
		}
	}
}

// countPrompt counts the prompt of a request that is sent to a replica, and records what is predicted
// for it there.
func (m *Machine) countPrompt(r *request, x *replicas.Replica) {
	r.promptCounted = true
	x.OwnPrompts += r.arrival.Prompt
	m.promise(r, x)
	r.sentTo = loadOf(x)
	if r.service.Engine == nil {
		r.expected, r.predicted = 0, replicamodel.Prediction{}
		return
	}
	service := m.model(r.service.ID)
	r.expected = service.FirstEvent(r.sentTo)
	r.predicted = service.Predict(m.now, &x.Slowness, r.sentTo)
}

// loadOf returns the load at a replica.
func loadOf(x *replicas.Replica) replicamodel.Load {
	return replicamodel.Load{Requests: x.Load(), Batch: x.Batch, Prompts: x.QueuedPrompts()}
}

// loadWith returns the load at a replica with one more request.
func loadWith(x *replicas.Replica, prompt core.Tokens) replicamodel.Load {
	return replicamodel.Load{Requests: x.Load() + 1, Batch: x.Batch, Prompts: x.QueuedPrompts() + prompt}
}

// endPrompt stops counting the prompt of a request whose replica has sent the first event,
// or whose attempt has ended.
func (m *Machine) endPrompt(r *request) {
	if !r.promptCounted {
		return
	}
	r.promptCounted = false
	if x := m.sentReplica(r); x != nil {
		x.OwnPrompts = max(x.OwnPrompts-r.arrival.Prompt, 0)
	}
}

// model returns what is learned of the engines of a service.
func (m *Machine) model(id table.ServiceID) *replicamodel.Service {
	s := m.models[id]
	if s == nil {
		s = &replicamodel.Service{}
		m.models[id] = s
	}
	return s
}

// observeFirstEvent learns from the first event of a request.
func (m *Machine) observeFirstEvent(r *request) {
	if r.service.Engine == nil {
		return
	}
	took := m.now.Sub(r.stageSince)
	if x := m.sentReplica(r); x != nil {
		x.Slowness.Observe(m.now, r.expected, took)
	}
	m.model(r.service.ID).ObserveFirstEvent(r.sentTo, took)
	if r.predicted.FirstEvent > 0 {
		m.emit(FirstEventSeen{Service: r.service.ID, Predicted: r.predicted.FirstEvent, Took: took})
	}
}

// observeUnanswered learns from a request that waits for its first event for longer than
// predicted: a replica that has become slow shows it before it answers.
func (m *Machine) observeUnanswered(r *request) {
	if r.stage != stageRunning || r.answerStarted || r.service.Engine == nil || r.route.Kind != table.Streaming || m.now < r.nextEventCheck {
		return
	}
	r.nextEventCheck = m.now.Add(firstEventCheckInterval)
	if x := m.sentReplica(r); x != nil {
		x.Slowness.ObserveWaiting(m.now, r.expected, m.now.Sub(r.stageSince))
	}
}

// observeEvents learns from the events of an attempt that has ended.
func (m *Machine) observeEvents(r *request, e *AttemptEnded) {
	if r.service.Engine == nil {
		return
	}
	m.model(r.service.ID).ObserveStream(e.Stream)
	if e.Kind == EndOK && r.answerStarted && r.attempt == 1 && r.arrival.LastEvent == "" {
		m.costs.Observe(r.declared(), e.Stream.Events)
		m.model(r.service.ID).ObservePlace(m.now.Sub(r.answeringSince))
	}
}

// sentReplica returns the replica of a request's latest attempt, nil where another incarnation
// runs now.
func (m *Machine) sentReplica(r *request) *replicas.Replica {
	if x := m.replicas.Get(r.upstream); x != nil && x.Started == r.upstreamStarted {
		return x
	}
	return nil
}

// promptDelay is how long the first event of a request with a prompt takes at a replica.
func (m *Machine) promptDelay(x *replicas.Replica, prompt core.Tokens) time.Duration {
	return m.model(x.Service).Predict(m.now, &x.Slowness, loadWith(x, prompt)).FirstEvent
}
