package adapters

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// score is the result of one policy on one trace, after the warm-up.
type score struct {
	requests           int
	stalled            int            // requests that waited for a load
	stallTime          time.Duration  // total wait for loads
	refused            int            // requests not started by their deadline
	aborted            int            // requests running on an engine that restarted
	firstToken         *hdr.Histogram // time to the first token, microseconds
	meanBatch          float64        // mean size of the batches that are not empty
	loadsPerMinute     float64
	feedBytesPerSecond float64 // bytes per second of residencies that each host receives
	faults             int     // requests that ran without their adapter or lost it while running
}

func newScore() *score {
	const maxFirst = int64(10 * time.Minute / time.Microsecond)
	return &score{firstToken: hdr.New(1, maxFirst, 3)}
}

// recordServed records a request that starts to run on an engine.
func (s *score) recordServed(c *call, at time.Duration, stalled bool, stall time.Duration) {
	if c.at < warmUp {
		return
	}
	s.requests++
	_ = s.firstToken.RecordValue(int64((at - c.at + prefillTime) / time.Microsecond))
	if stalled {
		s.stalled++
		s.stallTime += stall
	}
}

// recordRefused records a refused request; its whole wait counts as a stall.
func (s *score) recordRefused(c *call, at time.Duration) {
	if c.at < warmUp {
		return
	}
	s.requests++
	s.refused++
	s.stalled++
	s.stallTime += at - c.at
	_ = s.firstToken.RecordValue(int64((at - c.at) / time.Microsecond))
}

// stalledFraction returns the fraction of requests that stalled.
func (s *score) stalledFraction() float64 { return float64(s.stalled) / float64(max(s.requests, 1)) }

// firstTokenP95 returns the 95th percentile of the time to the first token, in
// seconds.
func (s *score) firstTokenP95() float64 {
	return float64(s.firstToken.ValueAtQuantile(95)) / float64(time.Second/time.Microsecond)
}

// collect takes the batch sizes and loads from the engines and the store.
func (s *score) collect(engines []*engine, st *weightStore, loadsBefore int) {
	work, busy := 0.0, 0.0
	for _, e := range engines {
		e.advance()
		work += e.work
		busy += e.busy.Seconds()
	}
	s.meanBatch = work / max(busy, 1e-9)
	s.loadsPerMinute = float64(st.loads-loadsBefore) / (runTime - warmUp).Minutes()
}
