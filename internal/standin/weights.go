package standin

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/supervise"
)

// WeightStoreError is the class of loads that the weight store refused or that were
// cancelled.
var WeightStoreError = errs.Class("weight store")

// WeightSettings configure a weight store.
type WeightSettings struct {
	LoadTime       time.Duration // of one adapter at full speed
	FullSpeedLoads int           // concurrent loads at full speed; more slow each other down; 0: unlimited
	LoadsPerSecond float64       // loads per second; loads over the rate are refused; 0: unlimited
	LoadBurst      int           // maximum burst of loads within the rate; 0: 1
}

// WeightStore emulates the store from which all engines of a deployment load
// adapter weights. A token bucket limits the rate of loads.
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
	if s.LoadBurst == 0 {
		s.LoadBurst = 1
	}
	return &WeightStore{settings: s, tokens: float64(s.LoadBurst), refilledAt: time.Now()}
}

// Load waits for the duration of one load. With more than FullSpeedLoads
// concurrent loads it takes proportionally longer. It returns a WeightStoreError
// if the load is over the rate or ctx is done.
func (w *WeightStore) Load(ctx context.Context) error {
	duration, err := w.startLoad()
	if err != nil {
		return err
	}
	defer w.endLoad()
	if !supervise.Sleep(ctx, duration) {
		return WeightStoreError.Wrap(ctx.Err())
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
		return 0, WeightStoreError.New("the load exceeds the rate of %g loads per second", w.settings.LoadsPerSecond)
	}
	w.started++
	w.inTransit++
	w.maxInTransit = max(w.maxInTransit, w.inTransit)
	duration := w.settings.LoadTime
	if w.settings.FullSpeedLoads > 0 && w.inTransit > w.settings.FullSpeedLoads {
		duration = duration * time.Duration(w.inTransit) / time.Duration(w.settings.FullSpeedLoads)
	}
	return duration, nil
}

// takeToken refills the token bucket, takes one token and reports whether there
// was one. The caller holds mu.
func (w *WeightStore) takeToken() bool {
	if w.settings.LoadsPerSecond == 0 {
		return true
	}
	now := time.Now()
	w.tokens = min(float64(w.settings.LoadBurst), w.tokens+now.Sub(w.refilledAt).Seconds()*w.settings.LoadsPerSecond)
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
	Started      int `json:"started"`
	Refused      int `json:"refused"`
	MaxInTransit int `json:"most_in_transit"`
}

// Counts returns the loads started and refused, and the maximum number of
// concurrent loads so far.
func (w *WeightStore) Counts() WeightCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WeightCounts{Started: w.started, Refused: w.refused, MaxInTransit: w.maxInTransit}
}
