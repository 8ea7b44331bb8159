//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gentiancroft/platform/platformtest"
)

func init() { cases["left"] = playLeft }

const (
	drainTime   = 2 * time.Second // drainMs
	contactTime = 3 * time.Second // contactMs
	cutTime     = 4 * time.Second
	removeAfter = 400 * time.Millisecond             // from the end of the cut
	sendAfter   = contactTime + 100*time.Millisecond // the same
	lingerTime  = 3500 * time.Millisecond            // from the removal to the exit: drainMs, and a little longer
	episodes    = 8
	engines     = 16
	adapters    = 80
	minEpisodes = 4 // fewer show nothing
)

const engineConfig = `{"version":1,"routes":[
 {"name":"stream","host":"h","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":25000,"targetLatencyMs":1000,"gapTargetMs":250,"service":"engines","maxAttempts":1,"resumable":false}],
 "services":[{"name":"engines","engine":{"slots":64,"adapterSlots":28,"models":[{"name":"base"}]}}],
 "tenants":[{"name":"w","apiKeys":["key"],"unit":"token","plainTokens":1,"ratePerS":100000,"burst":100000}]}`

// Streams last 2 s.
const (
	streamEvents  = 40
	eventInterval = 50 * time.Millisecond
)

// leaver is a replica that can leave without saying so in its entry.
type leaver struct {
	*platformtest.Replica
	left      atomic.Bool
	removedAt time.Time
	exited    chan struct{} // closed when it exits

	mu    sync.Mutex
	began map[string]time.Time // requests that it has run
	cut   map[string]bool      // those whose streams its exit broke off
}

// newLeaver returns a replica with an engine.
func newLeaver(id string) *leaver {
	x := &leaver{Replica: &platformtest.Replica{ID: id, Service: "engines", Zone: "a", Engine: true, AdapterSlots: 28, Slots: 64}, exited: make(chan struct{}), began: map[string]time.Time{}, cut: map[string]bool{}}
	x.Intercept(x.run)
	return x
}

// run streams the answer to a request whose adapter is loaded. The exit breaks it off.
func (x *leaver) run(w http.ResponseWriter, q *http.Request) (handled bool) {
	_, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	version := x.AdapterVersion(adapter)
	if expected := q.Header.Get("X-Expect-Version"); version == 0 || expected != "" && expected != fmt.Sprint(version) {
		return false // it is turned away
	}
	id := q.Header.Get("X-Request-Id")
	x.mu.Lock()
	x.began[id] = time.Now()
	x.mu.Unlock()
	w.Header().Set("X-Server-Stamp", x.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventInterval):
		case <-x.exited:
			x.mu.Lock()
			x.cut[id] = true
			x.mu.Unlock()
			panic(http.ErrAbortHandler) // closes the connection
		}
	}
	return true
}

// playLeft removes replicas' entries just after one host's path to the store was cut.
func playLeft(s *stage) (bool, error) {
	s.store.Put("config", "main", platformtest.RawJSON(engineConfig))
	replicas := map[string]*leaver{}
	for i := range engines {
		x := newLeaver(fmt.Sprintf("i-%d", i))
		if err := x.Start(s.store); err != nil {
			return false, err
		}
		replicas[x.ID] = x
		go x.beat()
	}
	path, err := newLink(s.address)
	if err != nil {
		return false, err
	}
	if err := s.addHosts("a", "b", "c"); err != nil {
		return false, err
	}
	if err := s.hosts[0].useStore(path.address()); err != nil {
		return false, err
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	homes, err := s.loadAdapters()
	if err != nil {
		return false, err
	}
	late := 0
	for e := range episodes {
		adapter, x := choose(homes, replicas)
		if x == nil && e < minEpisodes {
			return false, fmt.Errorf("%w: no adapter is loaded on one replica alone", errNotRun)
		}
		if x == nil {
			break
		}
		late += s.playEpisode(e, path, adapter, x)
	}
	s.logf("%d requests reached a replica later than drainMs after its removal was acknowledged", late)
	return late > 0, nil
}

// beat writes the replica's entry until it leaves.
func (x *leaver) beat() {
	for range time.Tick(heartbeatTime) {
		if x.left.Load() {
			return
		}
		x.Heartbeat("ready")
	}
}

// loadAdapters has each adapter asked for, and returns the replicas that ran the requests.
func (s *stage) loadAdapters() (homes map[string]string, err error) {
	homes = map[string]string{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	deadline := time.Now().Add(20 * time.Second)
	for i := range adapters {
		calls.Go(func() {
			name := fmt.Sprintf("a%d", i)
			for n := 0; time.Now().Before(deadline); n++ {
				status, stamp, _ := ask(s.hosts[1].callers, fmt.Sprintf("warm-%d-%d", i, n), name)
				if status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					homes[name] = stamp
					return
				}
			}
		})
	}
	calls.Wait()
	if len(homes) < adapters {
		return nil, fmt.Errorf("%w: adapters aren't loaded", errNotRun)
	}
	s.logf("%d adapters are loaded", len(homes))
	return homes, nil
}

// choose returns an adapter that one replica alone has, which hasn't left, nil where there is none.
func choose(homes map[string]string, replicas map[string]*leaver) (adapter string, home *leaver) {
	for name, id := range homes {
		copies := 0
		for _, x := range replicas {
			if !x.left.Load() && x.AdapterVersion(name) > 0 {
				copies++
			}
		}
		if x := replicas[id]; x != nil && !x.left.Load() && copies == 1 && x.AdapterVersion(name) > 0 {
			return name, x
		}
	}
	return "", nil
}

// playEpisode cuts the path, heals it, removes a replica and then asks for its adapter. It returns how many
// requests reached the replica too late.
func (s *stage) playEpisode(e int, path *link, adapter string, x *leaver) (late int) {
	if s.trouble {
		s.logf("episode %d: edge-a is cut off from the store", e)
		path.cut()
	}
	time.Sleep(cutTime)
	if s.trouble {
		path.heal()
		s.logf("the cut has ended")
	}
	healed := time.Now()
	time.Sleep(removeAfter)
	x.left.Store(true)
	x.SayLeaving()
	s.store.Remove("servers", x.ID)
	x.removedAt = time.Now()
	s.logf("the removal of %s, which alone has adapter %s, is acknowledged", x.ID, adapter)
	time.Sleep(time.Until(healed.Add(sendAfter)))
	ids := []string{fmt.Sprintf("r%d-0", e), fmt.Sprintf("r%d-1", e)}
	var calls sync.WaitGroup
	for _, id := range ids {
		calls.Go(func() {
			sent := time.Since(healed)
			status, stamp, err := ask(s.hosts[0].callers, id, adapter)
			s.logf("%s for %s, sent to edge-a %.2f s after the end of the cut: status %d from %q, error %v", id, adapter, sent.Seconds(), status, stamp, err)
		})
	}
	time.Sleep(time.Until(x.removedAt.Add(lingerTime)))
	x.Stop()
	close(x.exited)
	calls.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range ids {
		began, ran := x.began[id]
		if after := began.Sub(x.removedAt); ran && after > drainTime {
			late++
			s.logf("%s ran at %s %.3f s after its removal was acknowledged; broken off by its exit: %v", id, x.ID, after.Seconds(), x.cut[id])
		}
	}
	return late
}

// ask sends a request for an adapter and reads the whole answer.
func ask(address, id, adapter string) (status int, stamp string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /stream/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Model: base/%s\r\nX-Token-Usage: 100,100\r\nX-Deadline-Ms: 15000\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n", id, id, adapter); err != nil {
		return 0, "", err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header.Get("X-Server-Stamp"), err
}
