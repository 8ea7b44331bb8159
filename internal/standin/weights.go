package standin

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/supervise"
)

// StoreError is a load that the weight store refused.
var StoreError = errs.Class("weight store")

// WeightSettings shape a weight store.
type WeightSettings struct {
	LoadTime time.Duration // of one adapter at full speed
	Transit  int           // loads at once that go at full speed; 0: any number
	Rate     float64       // loads a second; over it a load is refused; 0: any rate
	Burst    int           // loads that may come at once under the rate
}

// WeightStore is what all engines of a deployment load adapters from.
type WeightStore struct {
	settings WeightSettings

	mu        sync.Mutex
	inTransit int
	most      int
	started   int
	refused   int
	allowance float64
	at        time.Time
}

// NewWeightStore returns an idle store.
func NewWeightStore(s WeightSettings) *WeightStore {
	if s.Burst == 0 {
		s.Burst = 1
	}
	return &WeightStore{settings: s, allowance: float64(s.Burst), at: time.Now()}
}

// Load fetches one adapter. Beyond the transit limit it takes proportionally
// longer.
func (w *WeightStore) Load(ctx context.Context) error {
	took, err := w.begin()
	if err != nil {
		return err
	}
	defer w.end()
	if !supervise.Sleep(ctx, took) {
		return StoreError.Wrap(ctx.Err())
	}
	return nil
}

func (w *WeightStore) begin() (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allowed() {
		w.refused++
		return 0, StoreError.New("over the rate of %g loads a second", w.settings.Rate)
	}
	w.started++
	w.inTransit++
	w.most = max(w.most, w.inTransit)
	took := w.settings.LoadTime
	if w.settings.Transit > 0 && w.inTransit > w.settings.Transit {
		took = took * time.Duration(w.inTransit) / time.Duration(w.settings.Transit)
	}
	return took, nil
}

func (w *WeightStore) allowed() bool {
	if w.settings.Rate == 0 {
		return true
	}
	now := time.Now()
	w.allowance = min(float64(w.settings.Burst), w.allowance+now.Sub(w.at).Seconds()*w.settings.Rate)
	w.at = now
	if w.allowance < 1 {
		return false
	}
	w.allowance--
	return true
}

func (w *WeightStore) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inTransit--
}

// WeightCounts is what a store has seen.
type WeightCounts struct {
	Started int `json:"started"`
	Refused int `json:"refused"`
	Most    int `json:"most_in_transit"`
}

// Counts returns what the store has seen so far.
func (w *WeightStore) Counts() WeightCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WeightCounts{Started: w.started, Refused: w.refused, Most: w.most}
}
