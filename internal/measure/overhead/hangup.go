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

// reports is how many events of the engine may wait to be read.
const reports = 1024

// endless is an engine whose answers never end by themselves. It reports when
// a request begins and when it is cancelled.
type endless struct {
	inner     http.Handler
	began     chan struct{}
	cancelled chan time.Time
}

func newEndless() *endless {
	engine := standin.NewEngine(standin.EngineSettings{Name: "endless"})
	return &endless{inner: engine.Handler(), began: make(chan struct{}, reports), cancelled: make(chan time.Time, reports)}
}

// prefillMarker in a prompt keeps the engine from sending a first token.
const prefillMarker = "long prefill"

// ServeHTTP implements http.Handler.
func (e *endless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	e.began <- struct{}{}
	<-r.Context().Done()
	e.cancelled <- time.Now()
}

// hangUps measures from a caller's close to the engine's notice of it.
func hangUps(f *fleet, s sizes) ([]measure.Table, []measure.Target, error) {
	f.endless.settle()
	table := measure.Table{
		Title:   "from a caller's hang-up to the cancel seen by the engine",
		Columns: []string{"p50 µs", "p99 µs"},
	}
	for _, phase := range []struct{ name, prompt string }{{"during prefill", prefillMarker}, {"mid-stream", "level"}} {
		var took []time.Duration
		for range s.hangUps {
			d, err := f.hangUp(phase.prompt)
			if err != nil {
				return nil, nil, err
			}
			took = append(took, d)
		}
		self := func(d time.Duration) time.Duration { return d }
		table.Rows = append(table.Rows, measure.Row{Label: phase.name, Values: []float64{quantile(took, 0.50, self), quantile(took, 0.99, self)}})
	}
	return []measure.Table{table}, nil, nil
}

// settle forgets the requests of the warming up.
func (e *endless) settle() {
	for len(e.began) > 0 {
		<-e.began
		<-e.cancelled
	}
}

func (f *fleet) hangUp(prompt string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
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
	case <-f.endless.began:
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
