package entry

import (
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

// requestLog collects the fields of a request's log line. It must not contain a key or a
// prompt.
type requestLog struct {
	server          *Server
	id              core.RequestID
	model           string // as the caller gave it
	started         time.Time
	timeToFirstByte time.Duration // 0: no streamed answer
	workspace       core.WorkspaceID
	adapter         core.AdapterRef
	upstream        core.UpstreamID
	attempts        int
	usedTokens      core.Tokens
}

func newRequestLog(s *Server, id core.RequestID) requestLog {
	s.metrics.open.Inc(1)
	return requestLog{server: s, id: id, started: time.Now()}
}

func (l *requestLog) addDispatch(d node.Dispatch) {
	l.workspace = d.Workspace
	l.adapter = d.Adapter
	l.upstream = d.Upstream
	l.attempts++
}

func (l *requestLog) recordFirstByte() {
	l.timeToFirstByte = time.Since(l.started)
	l.server.metrics.firstByte.Update(l.timeToFirstByte.Microseconds())
}

// write writes the log line and counts the outcome.
func (l *requestLog) write(outcome core.Code) {
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
		"tokens":    int64(l.usedTokens),
		"first_ms":  l.timeToFirstByte.Milliseconds(),
		"total_ms":  total.Milliseconds(),
	}).Info("request")
}

// counters are the metrics of the callers' interface.
type counters struct {
	registry   metrics.Registry
	requests   metrics.Counter
	open       metrics.Counter   // requests in progress
	hungUp     metrics.Counter   // requests whose caller hung up
	unreadable metrics.Counter   // requests that could not be read
	firstByte  metrics.Histogram // microseconds
	total      metrics.Histogram // microseconds
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry:   r,
		requests:   metrics.GetOrRegisterCounter("entry.requests", r),
		open:       metrics.GetOrRegisterCounter("entry.open", r),
		hungUp:     metrics.GetOrRegisterCounter("entry.hung_up", r),
		unreadable: metrics.GetOrRegisterCounter("entry.unreadable", r),
		firstByte:  histogram("entry.first_byte_us", r),
		total:      histogram("entry.total_us", r),
	}
}

// histogram returns a histogram over a bounded sample of about the last five minutes.
func histogram(name string, r metrics.Registry) metrics.Histogram {
	const reservoir, decay = 1028, 0.015
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoir, decay))
}
