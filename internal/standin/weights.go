package standin

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/supervise"
)

// StoreError is the class of loads that the weight store refused or that were
// cancelled.
var StoreError = errs.Class("weight store")

// WeightSettings configure a weight store.
type WeightSettings struct {
	LoadTime time.Duration // of one adapter at full speed
	Transit  int           // concurrent loads at full speed; more slow each other down; 0: unlimited
	Rate     float64       // loads per second; loads over the rate are refused; 0: unlimited
	Burst    int           // loads that may start at once within the rate; 0: 1
}

// WeightStore emulates the store from which all engines of a deployment load
// adapter weights. It limits the rate of loads by a token bucket.
type WeightStore struct {
	settings WeightSettings

	mu           sync.Mutex
	inTransit    int
	maxInTransit int
	started      int
	refused      int
	tokens       float64
	refilledAt   time.Time
}

// NewWeightStore returns an idle store.
func NewWeightStore(s WeightSettings) *WeightStore {
	if s.Burst == 0 {
		s.Burst = 1
	}
	return &WeightStore{settings: s, tokens: float64(s.Burst), refilledAt: time.Now()}
}

// Load waits for the duration of one load. With more than Transit concurrent
// loads it takes proportionally longer. It returns a StoreError if the load is
// over the rate or ctx is done.
func (w *WeightStore) Load(ctx context.Context) error {
	duration, err := w.startLoad()
	if err != nil {
		return err
	}
	defer w.endLoad()
	if !supervise.Sleep(ctx, duration) {
		return StoreError.Wrap(ctx.Err())
	}
	return nil
}

// startLoad counts a load and returns its duration, or an error if the load is
// over the rate.
func (w *WeightStore) startLoad() (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.takeToken() {
		w.refused++
		return 0, StoreError.New("the load exceeds the rate of %g loads per second", w.settings.Rate)
	}
	w.started++
	w.inTransit++
	w.maxInTransit = max(w.maxInTransit, w.inTransit)
	duration := w.settings.LoadTime
	if w.settings.Transit > 0 && w.inTransit > w.settings.Transit {
		duration = duration * time.Duration(w.inTransit) / time.Duration(w.settings.Transit)
	}
	return duration, nil
}

// takeToken refills the token bucket, takes one token and reports whether there
// was one. The caller holds mu.
func (w *WeightStore) takeToken() bool {
	if w.settings.Rate == 0 {
		return true
	}
	now := time.Now()
	w.tokens = min(float64(w.settings.Burst), w.tokens+now.Sub(w.refilledAt).Seconds()*w.settings.Rate)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *WeightStore) endLoad() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inTransit--
}

// WeightCounts are the counters of a weight store.
type WeightCounts struct {
	Started int `json:"started"`
	Refused int `json:"refused"`
	Most    int `json:"most_in_transit"`
}

// Counts returns the loads started and refused, and the maximum number of
// concurrent loads so far.
func (w *WeightStore) Counts() WeightCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WeightCounts{Started: w.started, Refused: w.refused, Most: w.maxInTransit}
}
