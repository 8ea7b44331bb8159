package adapters

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// score is what one policy did with one trace, after the warm-up.
type score struct {
	requests int
	stalled  int // waited for a load
	stall    time.Duration
	refused  int // not served by their deadline
	cut      int // running on an engine that restarted
	first    *hdr.Histogram
	batch    float64 // mean requests in a batch that is not empty
	loads    float64 // a minute
	feed     float64 // bytes a second of residencies, as every host receives them
	faults   int     // ran without the adapter, or lost it while running
}

func newScore() *score {
	const maxFirst = int64(10 * time.Minute / time.Microsecond)
	return &score{first: hdr.New(1, maxFirst, 3)}
}

// served records a request that began to run at an engine.
func (s *score) served(c *call, at time.Duration, stalled bool, stall time.Duration) {
	if c.at < warmUp {
		return
	}
	s.requests++
	_ = s.first.RecordValue(int64((at - c.at + prefillTime) / time.Microsecond))
	if stalled {
		s.stalled++
		s.stall += stall
	}
}

// gaveUp records a request that was refused; all its waiting was a stall.
func (s *score) gaveUp(c *call, at time.Duration) {
	if c.at < warmUp {
		return
	}
	s.requests++
	s.refused++
	s.stalled++
	s.stall += at - c.at
	_ = s.first.RecordValue(int64((at - c.at) / time.Microsecond))
}

func (s *score) share() float64 { return float64(s.stalled) / float64(max(s.requests, 1)) }

func (s *score) p95() float64 {
	return float64(s.first.ValueAtQuantile(95)) / float64(time.Second/time.Microsecond)
}

func (s *score) collect(engines []*engine, st *store, loadsBefore int) {
	work, busy := 0.0, 0.0
	for _, e := range engines {
		e.advance()
		work += e.work
		busy += e.busy.Seconds()
	}
	s.batch = work / max(busy, 1e-9)
	s.loads = float64(st.loads-loadsBefore) / (runTime - warmUp).Minutes()
}
