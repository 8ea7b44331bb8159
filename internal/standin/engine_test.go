package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// engineServer is an engine that is served over HTTP.
type engineServer struct {
	*Engine
	is  *is.I
	url string
}

func newEngineServer(t *testing.T, s EngineSettings) *engineServer {
	e := NewEngine(s)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &engineServer{Engine: e, is: is.New(t), url: server.URL}
}

func (b *engineServer) post(path, body string, headers ...string) (int, string) {
	r, err := http.NewRequest("POST", b.url+path, strings.NewReader(body))
	b.is.NoErr(err)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func (b *engineServer) loadAdapter(name string, headers ...string) int {
	status, _ := b.post("/v1/load_lora_adapter", `{"lora_name":"`+name+`"}`, headers...)
	return status
}

const completionBody = `{"model":"a@1","prompt":"p","max_tokens":2,"stream":true}`

func TestSlotsAndFencing(t *testing.T) {
	b := newEngineServer(t, EngineSettings{AdapterSlots: 1, CheckFence: true})
	b.is.Equal(b.loadAdapter("a@1", "X-Fence: 5"), 200)
	b.is.Equal(b.loadAdapter("b@1", "X-Fence: 5"), 409) // no slot
	b.is.Equal(b.loadAdapter("a@1", "X-Fence: 4"), 409) // outdated fencing number, as from a former owner
	status, _ := b.post("/v1/unload_lora_adapter", `{"lora_name":"a@1"}`, "X-Fence: 6")
	b.is.Equal(status, 200)
	b.is.Equal(b.Violations(), 0)
	status, _ = b.post("/v1/completions", completionBody)
	b.is.Equal(status, 404)
}

func TestAnswersNameAdapterAndAreTraced(t *testing.T) {
	b := newEngineServer(t, EngineSettings{})
	b.is.Equal(b.loadAdapter("a@1"), 200)
	status, text := b.post("/v1/completions", completionBody, "X-Request-Id: r1", "X-Adapter: a@1")
	b.is.Equal(status, 200)
	b.is.Equal(strings.Count(text, "a@1:"), 2)
	b.is.True(strings.HasSuffix(text, "data: [DONE]\n\n"))
	status, _ = b.post("/v1/completions", completionBody, "X-Adapter: a@2")
	b.is.Equal(status, 400) // model and X-Adapter must agree
	traces := b.Traces()
	b.is.Equal(len(traces), 1)
	b.is.Equal([]any{traces[0].Request, traces[0].Outcome, traces[0].Tokens}, []any{"r1", "done", 2})
}

func TestPoisonPromptRestartsEngineWithoutAdapters(t *testing.T) {
	b := newEngineServer(t, EngineSettings{Name: "e", PoisonPrompt: "poison"})
	b.is.Equal(b.loadAdapter("a@1"), 200)
	before := b.currentReport().Incarnation
	status, _ := b.post("/v1/completions", `{"model":"a@1","prompt":"poison","max_tokens":1}`)
	b.is.Equal(status, 0) // the connection was dropped
	b.is.Equal(len(b.Adapters()), 0)
	b.is.True(b.currentReport().Incarnation != before)
}

func TestBatchAdmitsByPriority(t *testing.T) {
	is := is.New(t)
	b := &batch{capacity: 1}
	is.True(b.acquire(context.Background(), 0))
	var order []int
	var mu sync.Mutex
	var all sync.WaitGroup
	for waiting, priority := range []int{2, 0, 1, 0} {
		all.Add(1)
		go func() {
			defer all.Done()
			_ = b.acquire(context.Background(), priority)
			mu.Lock()
			order = append(order, priority)
			mu.Unlock()
			b.release()
		}()
		for _, n := b.counts(); n <= waiting; _, n = b.counts() {
			time.Sleep(time.Millisecond)
		}
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(!b.acquire(cancelled, 0))
	b.release()
	all.Wait()
	is.Equal(order, []int{0, 0, 1, 2})
}

func TestWeightStoreSlowsOverTransitAndRefusesOverRate(t *testing.T) {
	is := is.New(t)
	w := NewWeightStore(WeightSettings{LoadTime: time.Second, FullSpeedLoads: 8, LoadsPerSecond: 1e-9, LoadBurst: 16})
	var times []time.Duration
	for range 16 {
		took, err := w.startLoad()
		is.NoErr(err)
		times = append(times, took)
	}
	is.Equal(times[7], time.Second)
	is.Equal(times[15], 2*time.Second)
	_, err := w.startLoad()
	is.True(WeightStoreError.Has(err))
	is.Equal(w.Counts(), WeightCounts{Started: 16, Refused: 1, MaxInTransit: 16})
}

func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	is := is.New(t)
	p := newPrefixCache(1, 0, 3)
	is.True(!p.lookupOrInsert("a", "x"))
	is.True(p.lookupOrInsert("a", "x"))
	is.True(!p.lookupOrInsert("a", "y")) // evicts x (event 2) and stores y (event 3, which is lost)
	events := p.eventsAfter(0)
	is.Equal(len(events), 2)
	is.Equal(events[1].Stored, false)
	is.Equal(len(newPrefixCache(1, time.Hour, 0).eventsAfter(0)), 0)
	late := newPrefixCache(1, time.Hour, 0)
	late.lookupOrInsert("a", "x")
	is.Equal(len(late.eventsAfter(0)), 0)
}

func TestServiceCountsEffectsByKey(t *testing.T) {
	is := is.New(t)
	s := NewService(ServiceSettings{Name: "dispatch"})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	call := func(f Faults) {
		s.SetFaults(f)
		r, err := http.NewRequest("POST", server.URL+"/bookings", strings.NewReader(`{"job":1}`))
		is.NoErr(err)
		r.Header.Set("Idempotency-Key", "k")
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}
	call(Faults{})
	call(Faults{DropAfterRun: true}) // the call takes effect, but its answer is lost
	call(Faults{Refuse: true})
	is.Equal(s.Effects(), map[string]int{"k": 2})
}
