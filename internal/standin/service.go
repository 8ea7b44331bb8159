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

// ServiceSettings shape a plain service.
type ServiceSettings struct {
	Name  string
	Delay time.Duration // of each call
}

// maxCall bounds what a call may send to a service, in bytes.
const maxCall = 1 << 20

// Service is a plain service whose POST calls have an effect, such as a
// booking, and whose GET calls have none, such as a job's status.
type Service struct {
	settings ServiceSettings

	mu      sync.Mutex
	faults  Faults
	effects map[string]int // by idempotency key, or by request where it has none
	bodies  []string
	traces  []Trace
}

// NewService returns a service without any effect so far.
func NewService(s ServiceSettings) *Service {
	return &Service{settings: s, effects: map[string]int{}}
}

// Set replaces the service's faults.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns how often each key's call took effect.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.effects))
	for k, n := range s.effects {
		out[k] = n
	}
	return out
}

// Traces returns the calls that the service saw.
func (s *Service) Traces() []Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Trace(nil), s.traces...)
}

// Handler serves the service and, under /admin/, its faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.poll)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) { setFaults(w, r, s.Set) })
	mux.HandleFunc("GET /admin/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Effects()) })
	mux.HandleFunc("GET /admin/trace", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Traces()) })
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) poll(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Mute {
		abort()
	}
	writeJSON(w, upstream.LoadReport{Incarnation: s.settings.Name, Leaving: faults.Leaving})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCall))
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
	effect := s.take(r, string(body))
	switch {
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.Drop:
		abort()
	}
	if !supervise.Sleep(r.Context(), faults.stretch(s.settings.Delay)) {
		return
	}
	if faults.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	writeJSON(w, effect)
}

// Effect is the answer of a service.
type Effect struct {
	Service string          `json:"service"`
	Path    string          `json:"path"`
	Number  int             `json:"number"` // of effects so far, this one among them
	Body    json.RawMessage `json:"body,omitempty"`
}

// take counts the call and, where it has one, its effect.
func (s *Service) take(r *http.Request, body string) Effect {
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
