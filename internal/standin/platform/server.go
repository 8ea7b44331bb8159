package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/platform"
)

// watchTerm is how long a watch waits before it answers with nothing.
const watchTerm = 10 * time.Second

// Server answers the platform's HTTP interface from a store.
type Server struct {
	Store *Store

	mu    sync.Mutex
	hosts []listed
	lag   time.Duration
}

// listed is a host with the moment from which the list shows it so.
type listed struct {
	platform.ListEntry
	shown   time.Time
	removed bool
}

// NewServer returns a server over a store.
func NewServer(s *Store) *Server { return &Server{Store: s} }

// SetLag sets how late the host list follows.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// List puts a host or upstream on the list, after the lag.
func (s *Server) List(name string, leaving bool) {
	s.record(listed{ListEntry: platform.ListEntry{Name: name, Leaving: leaving}})
}

// Unlist takes a name off the list, after the lag.
func (s *Server) Unlist(name string) {
	s.record(listed{ListEntry: platform.ListEntry{Name: name}, removed: true})
}

func (s *Server) record(l listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.shown = time.Now().Add(s.lag)
	s.hosts = append(s.hosts, l)
}

// shownHosts is the list as of now: of each name the latest entry that shows.
func (s *Server) shownHosts() []platform.ListEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	latest := map[string]listed{}
	for _, l := range s.hosts {
		if !l.shown.After(now) {
			latest[l.Name] = l
		}
	}
	out := []platform.ListEntry{}
	for _, l := range latest {
		if !l.removed {
			out = append(out, l.ListEntry)
		}
	}
	slices.SortFunc(out, func(a, b platform.ListEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathObject, s.object)
	mux.HandleFunc(platform.PathObjects, s.objects)
	mux.HandleFunc(platform.PathWatch, s.watch)
	mux.HandleFunc(platform.PathHosts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.shownHosts()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// object answers GET, PUT and DELETE of one object.
func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	call := core.ObjectCall{Key: r.URL.Query().Get("key")}
	match := r.Header.Get(platform.HeaderIfMatch)
	if match != "" {
		version, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			http.Error(w, "bad version", http.StatusBadRequest)
			return
		}
		call.IfVersion = version
	}
	switch r.Method {
	case http.MethodGet:
		call.Op = core.ObjectGet
	case http.MethodDelete:
		call.Op = core.ObjectDelete
	case http.MethodPut:
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
		if err != nil {
			http.Error(w, "too large", http.StatusRequestEntityTooLarge)
			return
		}
		call.Value = value
		call.Op = core.ObjectUpdate
		if r.Header.Get(platform.HeaderIfNoneMatch) == "*" {
			call.Op = core.ObjectCreate
		}
	default:
		http.Error(w, "bad method", http.StatusMethodNotAllowed)
		return
	}
	s.answer(w, r, s.do(call))
}

// do applies a call after the injected delay.
func (s *Server) do(call core.ObjectCall) core.ObjectResult {
	s.Store.mu.Lock()
	delay := s.Store.delay
	s.Store.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return s.Store.Do(call)
}

// answer writes a result. A lost answer ends the connection without one.
func (s *Server) answer(w http.ResponseWriter, _ *http.Request, result core.ObjectResult) {
	switch result.Status {
	case core.ObjectUnknown:
		panic(http.ErrAbortHandler)
	case core.ObjectUnavailable:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	case core.ObjectNotFound:
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	if result.Object.Version > 0 {
		w.Header().Set(platform.HeaderVersion, strconv.FormatUint(result.Object.Version, 10))
	}
	if result.Status == core.ObjectConflict {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_, _ = w.Write(result.Object.Value)
}

func (s *Server) objects(w http.ResponseWriter, r *http.Request) {
	result := s.do(core.ObjectCall{Op: core.ObjectList, Key: r.URL.Query().Get("prefix")})
	s.listing(w, r, result)
}

func (s *Server) listing(w http.ResponseWriter, r *http.Request, result core.ObjectResult) {
	if result.Status != core.ObjectOK {
		s.answer(w, r, result)
		return
	}
	writeJSON(w, platform.Listing{Version: result.Version, Objects: result.Objects})
}

// watch waits until something is newer than the caller's version.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	call := core.ObjectCall{Op: core.ObjectWatch, Key: r.URL.Query().Get("prefix"), IfVersion: after}
	end := time.NewTimer(watchTerm)
	defer end.Stop()
	changed := s.Store.waiter()
	result := s.do(call)
	for result.Status == core.ObjectOK && len(result.Objects) == 0 {
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			s.listing(w, r, result)
			return
		case <-changed:
		}
		changed = s.Store.waiter()
		result = s.Store.peek(call)
	}
	s.listing(w, r, result)
}

// peek repeats a waiting watch without counting it again.
func (s *Store) peek(c core.ObjectCall) core.ObjectResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := core.ObjectResult{Tag: c.Tag}
	if s.down {
		r.Status = core.ObjectUnavailable
		return r
	}
	s.apply(c, &r)
	return r
}
