//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

// scene is what all cases need: a folder for logs, a record, a store and hosts.
type scene struct {
	trouble bool
	dir     string
	began   time.Time
	store   *platformtest.Store
	hosts   []*host
	closing sync.Once

	pipeLogs bool // the hosts' standard output is a pipe that the scene reads

	mu     sync.Mutex
	record *os.File
}

func newScene(folder string, trouble bool) (*scene, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &scene{trouble: trouble, dir: dir, began: time.Now(), store: platformtest.NewStore(), record: record}, nil
}

// since is the time since the start of the scene.
func (s *scene) since() time.Duration { return time.Since(s.began) }

// note writes a line of the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", s.since().Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
}

// startHosts starts hosts whose stores are at these addresses, and waits until they are ready.
func (s *scene) startHosts(stores ...string) error {
	for i, store := range stores {
		h, err := s.startHost(i, store)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		s.note("host %d is process %d, for callers at %s", i, h.command.Process.Pid, h.callers)
	}
	if !awaitReady(s.hosts, 20*time.Second) {
		return fmt.Errorf("the hosts are not ready; logs in %s", s.dir)
	}
	for _, h := range s.hosts {
		if err := h.writeSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// maxStarts is how often a host is started with other ports, as another process may have taken one.
const maxStarts = 5

// startHost starts a host and waits until it listens.
func (s *scene) startHost(n int, store string) (*host, error) {
	for range maxStarts {
		h, err := newHost(s.dir, n, store)
		if err != nil {
			return nil, err
		}
		if err := h.writeSettings(true); err != nil {
			return nil, err
		}
		if err := h.start(s.pipeLogs); err != nil {
			return nil, err
		}
		if h.listens() {
			return h, nil
		}
		h.kill()
	}
	return nil, fmt.Errorf("host %d doesn't start; logs in %s", n, s.dir)
}

// close ends all processes that the scene started.
func (s *scene) close() { s.closing.Do(s.end) }

func (s *scene) end() {
	for _, h := range s.hosts {
		h.kill()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", s.dir)
	}
}

// startReplicas starts stand-ins of replicas by service. Those of "engines" are engines.
func (s *scene) startReplicas(counts map[string]int) ([]*platformtest.Replica, error) {
	var all []*platformtest.Replica
	for service, count := range counts {
		for i := range count {
			x := &platformtest.Replica{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: "z1", Engine: service == "engines", AdapterSlots: 28, EventsPerStream: 4, EventInterval: 20 * time.Millisecond, Slots: 6}
			if x.Engine {
				x.Slots = 64
			}
			if err := x.Start(s.store); err != nil {
				return nil, err
			}
			all = append(all, x)
		}
	}
	return all, nil
}

// stored reads an object of the store.
func (s *scene) stored(name string, into any) error {
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/objects/"+name, nil))
	return json.Unmarshal(answer.Body.Bytes(), into)
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
