// Package supervise runs a host's duties under a supervisor tree, joins them
// with bounded rings, and restarts and counts the ones that panic.
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

// Backoff of a duty that keeps failing.
const (
	failureThreshold = 10              // failures, decayed
	failureDecay     = 30.0            // seconds
	failureBackoff   = 2 * time.Second // wait before the next restart
	stopTimeout      = 5 * time.Second // for one duty to end
)

// Duty is one long-running job. It returns when ctx ends.
type Duty func(ctx context.Context) error

// Tree supervises duties.
type Tree struct {
	root    *suture.Supervisor
	metrics metrics.Registry
	mu      sync.Mutex
	tokens  map[string]suture.ServiceToken
}

// NewTree returns a tree that counts into a registry.
func NewTree(name string, registry metrics.Registry) *Tree {
	t := &Tree{metrics: registry, tokens: map[string]suture.ServiceToken{}}
	t.root = suture.New(name, suture.Spec{
		EventHook:                t.event,
		FailureThreshold:         failureThreshold,
		FailureDecay:             failureDecay,
		FailureBackoff:           failureBackoff,
		Timeout:                  stopTimeout,
		DontPropagateTermination: true,
	})
	return t
}

// event counts and logs what the supervisor saw.
func (t *Tree) event(e suture.Event) {
	entry := log.WithField("event", e.String())
	switch e.(type) {
	case suture.EventServicePanic:
		metrics.GetOrRegisterCounter(MetricPanics, t.metrics).Inc(1)
		entry.Error("duty panicked")
	case suture.EventServiceTerminate:
		metrics.GetOrRegisterCounter(MetricRestarts, t.metrics).Inc(1)
		entry.Warn("duty ended and is restarted")
	case suture.EventBackoff:
		metrics.GetOrRegisterCounter(MetricBackoffs, t.metrics).Inc(1)
		entry.Error("duties fail too often")
	}
}

// Add puts a duty under supervision.
func (t *Tree) Add(name string, d Duty) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens[name] = t.root.Add(&duty{name: name, run: d})
}

// Remove stops a duty and waits for its end, at most stopTimeout.
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

// ServeBackground runs the tree until ctx ends; its end comes over the channel.
func (t *Tree) ServeBackground(ctx context.Context) <-chan error { return t.root.ServeBackground(ctx) }

// duty adapts a Duty to the supervisor.
type duty struct {
	name string
	run  Duty
}

// Serve implements suture.Service.
func (d *duty) Serve(ctx context.Context) error { return d.run(ctx) }

// String names the duty in events.
func (d *duty) String() string { return d.name }
