// Package supervise runs a host's workers (long-running goroutines) under a supervisor,
// which counts and restarts those that panic or return, and provides the bounded queues
// between them. What to do about a full queue is left to the worker.
package supervise

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"
)

// Metric names.
const (
	MetricPanics   = "supervise.panics"
	MetricRestarts = "supervise.restarts"
	MetricBackoffs = "supervise.backoffs"
)

// Restart policy of workers that keep failing.
const (
	failureThreshold = 10              // decayed count of failures before restarts are delayed
	failureDecay     = 30.0            // seconds
	failureBackoff   = 2 * time.Second // wait before the next restart
	stopTimeout      = 5 * time.Second // for one worker to return
)

// Worker is the function of a worker. It returns when ctx ends; if it returns before, it is
// restarted.
type Worker func(ctx context.Context) error

// Tree supervises workers.
type Tree struct {
	root    *suture.Supervisor
	metrics metrics.Registry
	mu      sync.Mutex
	tokens  map[string]suture.ServiceToken
}

// NewTree returns a tree without workers that counts panics, restarts and backoffs in a
// registry.
func NewTree(name string, registry metrics.Registry) *Tree {
	t := &Tree{metrics: registry, tokens: map[string]suture.ServiceToken{}}
	t.root = suture.New(name, suture.Spec{
		EventHook:                t.handleEvent,
		FailureThreshold:         failureThreshold,
		FailureDecay:             failureDecay,
		FailureBackoff:           failureBackoff,
		Timeout:                  stopTimeout,
		DontPropagateTermination: true,
	})
	return t
}

// handleEvent counts and logs an event of the supervisor.
func (t *Tree) handleEvent(e suture.Event) {
	entry := log.WithField("event", e.String())
	switch e.(type) {
	case suture.EventServicePanic:
		metrics.GetOrRegisterCounter(MetricPanics, t.metrics).Inc(1)
		entry.Error("worker panicked; it is restarted")
	case suture.EventServiceTerminate:
		metrics.GetOrRegisterCounter(MetricRestarts, t.metrics).Inc(1)
		entry.Warn("worker returned; it is restarted")
	case suture.EventBackoff:
		metrics.GetOrRegisterCounter(MetricBackoffs, t.metrics).Inc(1)
		entry.Error("workers fail too often; restarts are delayed")
	}
}

// Add adds a worker, which runs while the tree does. It panics if name is in use: the
// worker that has it could no longer be removed.
func (t *Tree) Add(name string, w Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, used := t.tokens[name]; used {
		panic("supervise: two workers named " + name)
	}
	t.tokens[name] = t.root.Add(&service{name: name, run: w})
}

// Remove stops a worker and waits until it has returned, at most stopTimeout. It does
// nothing for an unknown name.
func (t *Tree) Remove(name string) error {
	t.mu.Lock()
	token, ok := t.tokens[name]
	delete(t.tokens, name)
	t.mu.Unlock()
	if !ok {
		return nil
	}
	return t.root.RemoveAndWait(token, stopTimeout)
}

// Serve runs the tree until ctx ends.
func (t *Tree) Serve(ctx context.Context) error { return t.root.Serve(ctx) }

// ServeBackground runs the tree until ctx ends. The channel receives the result.
func (t *Tree) ServeBackground(ctx context.Context) <-chan error { return t.root.ServeBackground(ctx) }

// service adapts a worker's function to suture.Service.
type service struct {
	name string
	run  Worker
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the worker's name, which suture shows in events.
func (s *service) String() string { return s.name }
