package overhead

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"gentiancroft/internal/measure"
	"gentiancroft/internal/standin"
)

// eventBuffer is the buffer size of each channel of an endless engine.
const eventBuffer = 1024

// endlessEngine is an engine whose answers end only when the request is
// cancelled. It signals the start and the cancellation of each request.
type endlessEngine struct {
	inner     http.Handler
	started   chan struct{}
	cancelled chan time.Time
}

func newEndless() *endlessEngine {
	engine := standin.NewEngine(standin.EngineSettings{Name: "endless"})
	return &endlessEngine{inner: engine.Handler(), started: make(chan struct{}, eventBuffer), cancelled: make(chan time.Time, eventBuffer)}
}

// prefillMarker in a prompt makes the engine send no token at all.
const prefillMarker = "long prefill"

// ServeHTTP implements http.Handler.
func (e *endlessEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/completions") {
		e.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !strings.Contains(string(body), prefillMarker) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"a\"}]}\n\n")
		w.(http.Flusher).Flush()
	}
	e.started <- struct{}{}
	<-r.Context().Done()
	e.cancelled <- time.Now()
}

// measureHangUps measures the time from a caller's hang-up until the engine
// sees the cancellation.
func measureHangUps(f *testbed, s sizes) ([]measure.Table, []measure.Target, error) {
	f.endless.drainSignals()
	table := measure.Table{
		Title:   "from a caller's hang-up to the cancel seen by the engine",
		Columns: []string{"p50 µs", "p99 µs"},
	}
	for _, phase := range []struct{ name, prompt string }{{"during prefill", prefillMarker}, {"mid-stream", "level"}} {
		var delays []time.Duration
		for range s.hangUps {
			d, err := f.hangUp(phase.prompt)
			if err != nil {
				return nil, nil, err
			}
			delays = append(delays, d)
		}
		self := func(d time.Duration) time.Duration { return d }
		table.Rows = append(table.Rows, measure.Row{Label: phase.name, Values: []float64{quantile(delays, 0.50, self), quantile(delays, 0.99, self)}})
	}
	return []measure.Table{table}, nil, nil
}

// drainSignals drains the signals of the warm-up requests.
func (e *endlessEngine) drainSignals() {
	for len(e.started) > 0 {
		<-e.started
		<-e.cancelled
	}
}

// hangUp starts a request, hangs up once the engine runs it, and returns the
// time until the engine sees the cancellation.
func (f *testbed) hangUp(prompt string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	c, err := net.Dial("tcp", f.host)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true}`, adapterName, prompt)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", pathEndless, callerKey, len(body), body)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if prompt != prefillMarker {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	select {
	case <-f.endless.started:
	case <-ctx.Done():
		return 0, Error.New("the engine did not see the request")
	}
	closed := time.Now()
	_ = c.Close()
	select {
	case at := <-f.endless.cancelled:
		return at.Sub(closed), nil
	case <-ctx.Done():
		return 0, Error.New("the engine did not see the cancel")
	}
}
