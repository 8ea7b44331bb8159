package host

import (
	"context"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/supervise"
)

// Bounds of what may be under way outside the node at once.
const (
	objectWorkers = 32
	orderWorkers  = 64
	pollWorkers   = 16
	workRing      = 1024
)

// Orders carries adapter orders to engines.
type Orders interface {
	// Do runs an order to its end; it is not sent from Grant.Until on.
	Do(ctx context.Context, o core.AdapterOrder) core.OrderDone
}

// Objects carries calls to the object API.
type Objects interface {
	Do(ctx context.Context, c core.ObjectCall) core.ObjectResult
}

// Polls asks an upstream for its report.
type Polls interface {
	Poll(ctx context.Context, u core.UpstreamID, address string) core.UpstreamReport
}

// Listing reads the platform's lagging list.
type Listing interface {
	List(ctx context.Context) ([]node.ListedHost, error)
}

// Links carries messages to other hosts. A message may be lost.
type Links interface {
	Send(to core.HostID, address string, m node.PeerMessage)
}

// Carriers are the ways out of a host.
type Carriers struct {
	Orders  Orders
	Objects Objects
	Polls   Polls
	Listing Listing
	Links   Links
}

// work is one job for a pool of workers.
type work func(ctx context.Context)

// pool runs jobs from a ring with a fixed number of workers.
type pool struct {
	name    string
	workers int
	ring    *supervise.Ring[work]
}

func newPool(name string, workers int) *pool {
	return &pool{name: name, workers: workers, ring: supervise.NewRing[work](name, workRing, supervise.Refuse)}
}

// submit reports whether the job was taken.
func (p *pool) submit(w work) bool { return p.ring.Push(w) == nil }

// register puts the pool's workers under supervision.
func (p *pool) register(t *supervise.Tree) {
	for i := range p.workers {
		t.Add(workerName(p.name, i), p.work)
	}
}

func (p *pool) work(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-p.ring.Items():
			w(ctx)
		}
	}
}
