package relaynode

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/cost"
	"gentiancroft/internal/core/replicas"
)

// Engines preempt requests when their memory is full. So that several hosts don't count on the same
// free memory, each reports to the others how much its requests are estimated to hold.

// promiseLearningRate is the weight of one request in the mean promise of its service.
const promiseLearningRate = 0.05

// declared returns what a request's caller has declared of its size.
func (r *request) declared() cost.Request {
	return cost.Request{
		Route: r.route.Name, Service: r.service.ID, Prompt: r.arrival.Prompt,
		MaxOutput: max(r.arrival.Tokens-r.arrival.Prompt, 0), Hint: r.arrival.OutputHint,
	}
}

func (m *Machine) estimate(r *request) cost.Estimate { return m.costs.Estimate(r.declared(), 0) }

// promise counts what a request that is sent to a replica will generate and hold there.
func (m *Machine) promise(r *request, x *replicas.Replica) {
	if r.service.Engine == nil {
		return
	}
	r.promised = m.estimate(r)
	x.OwnPromised += r.promised.Peak
	mean, known := m.meanPromises[r.service.ID]
	if !known {
		mean = float64(r.promised.Peak)
	}
	m.meanPromises[r.service.ID] = mean + promiseLearningRate*(float64(r.promised.Peak)-mean)
}

// endPromise stops counting what a request was to hold.
func (m *Machine) endPromise(r *request) {
	if x := m.sentReplica(r); x != nil {
		x.OwnPromised = max(x.OwnPromised-r.promised.Peak, 0)
	}
	r.promised = cost.Estimate{}
}

// promisedOrMean returns the memory that a host has promised. A host of the previous build
// doesn't report it: its requests count as the mean of this host's.
func (m *Machine) promisedOrMean(load hostLoad) []Load {
	if len(load.promised) > 0 {
		return load.promised
	}
	var mean []Load
	m.eachLoad(load.requests, func(x *replicas.Replica, n int) {
		if tokens := int(m.meanPromises[x.Service] * float64(n)); tokens > 0 {
			mean = append(mean, Load{Replica: core.ShortHash(string(x.ID)), Running: tokens})
		}
	})
	return mean
}
