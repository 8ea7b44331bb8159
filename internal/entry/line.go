package entry

import (
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

// line is the one log line of a request. It never holds a key or a prompt.
type line struct {
	server    *Server
	id        core.RequestID
	model     string
	started   time.Time
	first     time.Duration
	workspace core.WorkspaceID
	adapter   core.AdapterRef
	upstream  core.UpstreamID
	attempts  int
	used      core.Tokens
}

func newLine(s *Server, id core.RequestID) line {
	s.metrics.open.Inc(1)
	return line{server: s, id: id, started: time.Now()}
}

func (l *line) dispatched(d node.Dispatch) {
	l.workspace = d.Workspace
	l.adapter = d.Adapter
	l.upstream = d.Upstream
	l.attempts++
}

func (l *line) firstByte() {
	l.first = time.Since(l.started)
	l.server.metrics.firstByte.Update(l.first.Microseconds())
}

// end writes the line and counts the outcome.
func (l *line) end(outcome core.Code) {
	s := l.server
	total := time.Since(l.started)
	s.metrics.open.Dec(1)
	s.metrics.total.Update(total.Microseconds())
	metrics.GetOrRegisterCounter("entry.outcome."+string(outcome), s.metrics.registry).Inc(1)
	adapter := l.model
	if l.adapter != (core.AdapterRef{}) {
		adapter = l.adapter.String()
	}
	s.logger.WithFields(log.Fields{
		"request":   l.id,
		"workspace": l.workspace,
		"adapter":   adapter,
		"host":      s.self,
		"upstream":  l.upstream,
		"attempts":  l.attempts,
		"outcome":   outcome,
		"tokens":    int64(l.used),
		"first_ms":  l.first.Milliseconds(),
		"total_ms":  total.Milliseconds(),
	}).Info("request")
}

// counters are the metrics of the callers' interface.
type counters struct {
	registry   metrics.Registry
	requests   metrics.Counter
	open       metrics.Counter // requests being served now
	gone       metrics.Counter // callers that hung up
	unreadable metrics.Counter
	firstByte  metrics.Histogram // microseconds
	total      metrics.Histogram // microseconds
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry:   r,
		requests:   metrics.GetOrRegisterCounter("entry.requests", r),
		open:       metrics.GetOrRegisterCounter("entry.open", r),
		gone:       metrics.GetOrRegisterCounter("entry.hung_up", r),
		unreadable: metrics.GetOrRegisterCounter("entry.unreadable", r),
		firstByte:  histogram("entry.first_byte_us", r),
		total:      histogram("entry.total_us", r),
	}
}

// histogram samples the last minutes with a bounded reservoir.
func histogram(name string, r metrics.Registry) metrics.Histogram {
	const reservoir, decay = 1028, 0.015
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoir, decay))
}
