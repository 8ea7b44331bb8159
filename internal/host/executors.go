package host

import (
	"context"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/supervise"
)

// Concurrent executions per kind of effect, and the queue size of each kind.
const (
	objectWorkers = 32
	orderWorkers  = 64
	pollWorkers   = 16
	workQueueSize = 1024
)

// Orders sends adapter orders to engines.
type Orders interface {
	// Do sends an order, but not from Grant.Until on, and returns its result.
	Do(ctx context.Context, o core.AdapterOrder) core.OrderDone
}

// Objects makes calls to the object API.
type Objects interface {
	Do(ctx context.Context, c core.ObjectCall) core.ObjectResult
}

// LoadReporter requests the load reports of upstreams.
type LoadReporter interface {
	Poll(ctx context.Context, u core.UpstreamID, address string) core.UpstreamReport
}

// HostLister reads the platform's host list, which lags behind.
type HostLister interface {
	List(ctx context.Context) ([]node.ListedHost, error)
}

// Links sends messages to other hosts. A message may be lost.
type Links interface {
	Send(to core.HostID, address string, m node.PeerMessage)
}

// Executors are the executors of a node's effects.
type Executors struct {
	Orders      Orders
	Objects     Objects
	LoadReports LoadReporter
	Hosts       HostLister
	Links       Links
}

// job is a unit of work for a pool.
type job func(ctx context.Context)

// pool runs jobs from a bounded queue with a fixed number of workers.
type pool struct {
	name    string
	workers int
	ring    *supervise.Ring[job]
}

func newPool(name string, workers int) *pool {
	return &pool{name: name, workers: workers, ring: supervise.NewRing[job](name, workQueueSize, supervise.Refuse)}
}

// submit enqueues a job. It returns false if the queue is full.
func (p *pool) submit(j job) bool { return p.ring.Push(j) == nil }

// register adds the pool's workers to the supervisor tree.
func (p *pool) register(tree *supervise.Tree) {
	for i := range p.workers {
		tree.Add(workerName(p.name, i), p.runJobs)
	}
}

func (p *pool) runJobs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case j := <-p.ring.Items():
			j(ctx)
		}
	}
}
