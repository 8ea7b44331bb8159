package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"gentiancroft/internal/upstream"

	"gentiancroft/internal/supervise"
)

// ServiceSettings configure an emulated plain service.
type ServiceSettings struct {
	Name        string
	AnswerDelay time.Duration // of the answer to each call
}

// maxCallBytes is the size at which the body of a call is truncated.
const maxCallBytes = 1 << 20

// Service emulates a plain service. GET calls, such as reading a job's status,
// have no effect; calls by other methods, such as a booking, have one, even if
// their idempotency key was used before.
type Service struct {
	settings ServiceSettings

	mu      sync.Mutex
	faults  Faults
	effects map[string]int // number of effects by Idempotency-Key, or by X-Request-Id without one
	bodies  []string
	traces  []Trace
}

// NewService returns a service without effects.
func NewService(s ServiceSettings) *Service {
	return &Service{settings: s, effects: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns how often a call took effect, by Idempotency-Key, or by
// X-Request-Id for calls without one.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.effects))
	for k, n := range s.effects {
		out[k] = n
	}
	return out
}

// Traces returns the calls that the service accepted, in order of arrival.
func (s *Service) Traces() []Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Trace(nil), s.traces...)
}

// Handler serves the service and, under /admin/, fault injection, effects and
// traces.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoadReport)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) { setFaults(w, r, s.SetFaults) })
	mux.HandleFunc("GET /admin/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Effects()) })
	mux.HandleFunc("GET /admin/trace", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Traces()) })
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) serveLoadReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.DropPolls {
		dropConnection()
	}
	writeJSON(w, upstream.LoadReport{Incarnation: s.settings.Name, Leaving: faults.Leaving})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Refuse {
		w.Header().Set("X-Ran", "no")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	effect := s.recordCall(r, string(body))
	switch {
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.DropAfterRun:
		dropConnection()
	}
	if !supervise.Sleep(r.Context(), faults.slowed(s.settings.AnswerDelay)) {
		return
	}
	if faults.FailAfterRun {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	writeJSON(w, effect)
}

// Effect is the answer of a service to a call.
type Effect struct {
	Service string          `json:"service"`
	Path    string          `json:"path"`
	Number  int             `json:"number"` // of effects so far, including this one
	Body    json.RawMessage `json:"body,omitempty"`
}

// recordCall records the call and its effect, if any, and returns the answer.
func (s *Service) recordCall(r *http.Request, body string) Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.traces = append(s.traces, Trace{Request: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Header: r.Header.Clone(), Started: now, Ended: now, Outcome: "done"})
	if r.Method != http.MethodGet {
		key := r.Header.Get("Idempotency-Key")
		if key == "" {
			key = r.Header.Get("X-Request-Id")
		}
		s.effects[key]++
		s.bodies = append(s.bodies, body)
	}
	e := Effect{Service: s.settings.Name, Path: r.URL.Path, Number: len(s.bodies)}
	if json.Valid([]byte(body)) {
		e.Body = json.RawMessage(body)
	}
	return e
}
