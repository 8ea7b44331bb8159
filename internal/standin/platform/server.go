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

// watchTimeout is the time after which a watch without changes is answered with
// an empty list.
const watchTimeout = 10 * time.Second

// Server serves the platform's HTTP interface: the objects of a store, and a
// host list that changes with a delay.
type Server struct {
	Store *Store

	mu      sync.Mutex
	changes []listChange
	lag     time.Duration
}

// listChange is a change of the host list with the time at which it becomes
// visible.
type listChange struct {
	platform.ListEntry
	visibleAt time.Time
	removed   bool
}

// NewServer returns a server for the objects of s, with an empty host list.
func NewServer(s *Store) *Server { return &Server{Store: s} }

// SetHostListLag sets the delay until later changes of the host list become visible.
func (s *Server) SetHostListLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetHost adds a host or upstream to the list, or changes its entry, after the
// lag.
func (s *Server) SetHost(name string, leaving bool) {
	s.appendChange(listChange{ListEntry: platform.ListEntry{Name: name, Leaving: leaving}})
}

// RemoveHost removes a name from the list, after the lag.
func (s *Server) RemoveHost(name string) {
	s.appendChange(listChange{ListEntry: platform.ListEntry{Name: name}, removed: true})
}

func (s *Server) appendChange(l listChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.visibleAt = time.Now().Add(s.lag)
	s.changes = append(s.changes, l)
}

// visibleHosts returns the current list, sorted by name: the latest visible
// change of each name.
func (s *Server) visibleHosts() []platform.ListEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	latest := map[string]listChange{}
	for _, l := range s.changes {
		if !l.visibleAt.After(now) {
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

// Handler returns the handler of the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathObject, s.serveObject)
	mux.HandleFunc(platform.PathObjects, s.serveObjects)
	mux.HandleFunc(platform.PathWatch, s.serveWatch)
	mux.HandleFunc(platform.PathHosts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.visibleHosts()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveObject handles GET, PUT and DELETE of one object.
func (s *Server) serveObject(w http.ResponseWriter, r *http.Request) {
	call := core.ObjectCall{Key: r.URL.Query().Get("key")}
	match := r.Header.Get(platform.HeaderIfMatch)
	if match != "" {
		version, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			http.Error(w, "the version is not a number", http.StatusBadRequest)
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
			http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
			return
		}
		call.Value = value
		call.Op = core.ObjectUpdate
		if r.Header.Get(platform.HeaderIfNoneMatch) == "*" {
			call.Op = core.ObjectCreate
		}
	default:
		http.Error(w, "the method is not GET, PUT or DELETE", http.StatusMethodNotAllowed)
		return
	}
	s.writeResult(w, r, s.doDelayed(call))
}

// doDelayed carries out a call after the injected delay.
func (s *Server) doDelayed(call core.ObjectCall) core.ObjectResult {
	s.Store.mu.Lock()
	delay := s.Store.delay
	s.Store.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return s.Store.Do(call)
}

// writeResult writes a result as an HTTP answer. For an unknown result it drops
// the connection, and does not return.
func (s *Server) writeResult(w http.ResponseWriter, _ *http.Request, result core.ObjectResult) {
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

func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request) {
	result := s.doDelayed(core.ObjectCall{Op: core.ObjectList, Key: r.URL.Query().Get("prefix")})
	s.writeListing(w, r, result)
}

func (s *Server) writeListing(w http.ResponseWriter, r *http.Request, result core.ObjectResult) {
	if result.Status != core.ObjectOK {
		s.writeResult(w, r, result)
		return
	}
	writeJSON(w, platform.Listing{Version: result.Version, Objects: result.Objects})
}

// serveWatch waits until an object is newer than the caller's version, or until
// the timeout.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "the version is not a number", http.StatusBadRequest)
		return
	}
	call := core.ObjectCall{Op: core.ObjectWatch, Key: r.URL.Query().Get("prefix"), IfVersion: after}
	end := time.NewTimer(watchTimeout)
	defer end.Stop()
	changed := s.Store.nextChange()
	result := s.doDelayed(call)
	for result.Status == core.ObjectOK && len(result.Objects) == 0 {
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			s.writeListing(w, r, result)
			return
		case <-changed:
		}
		changed = s.Store.nextChange()
		result = s.Store.repeatWatch(call)
	}
	s.writeListing(w, r, result)
}

// repeatWatch carries out a waiting watch again, without delay and without
// counting it.
func (s *Store) repeatWatch(c core.ObjectCall) core.ObjectResult {
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
