//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gentiancroft/platform/platformtest"
)

// The scene "crash": one booking crashes each replica that begins to run it, and comes again. The
// hosts are then stopped and started in turn, as planned work does.

const (
	crashHosts    = 6
	crashReplicas = 5
	contact       = 3 * time.Second // contactMs
	rollGap       = 2 * time.Second // between two restarts
	allowed       = 3               // retries that may reach replicas after the third crash
)

const crashConfiguration = `{"version":1,"routes":[
 {"name":"book","host":"h.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":1,"anonymous":false,"sticky":false,"resumable":false}],
 "services":[{"name":"app","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`

// crashingBody is the body of the booking that crashes replicas.
const crashingBody = "booking 4711"

// arrival is one arrival of the crashing booking at a replica.
type arrival struct {
	at      time.Duration
	host    string // that sent it
	inTouch bool   // for contactMs before
}

type crashScene struct {
	*record
	hosts    []*host
	settings []func(bool) error

	mu       sync.Mutex
	sending  *host // that the crashing booking was sent to
	arrivals []arrival
	number   int
}

func runCrash(dir string, r *record, trouble bool) (bool, error) {
	s := &crashScene{record: r}
	store := platformtest.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer l.Close()
	go store.Serve(l)
	store.Put("config", "main", platformtest.RawJSON(crashConfiguration))
	for i := range crashReplicas {
		x := &replica{service: "app", number: i, store: store, work: 15 * time.Millisecond, down: 2 * time.Second}
		x.crashes = func(body string) bool { return body == crashingBody }
		x.onRun = s.recordRun
		if err := x.start(); err != nil {
			return false, err
		}
		defer x.end()
	}
	for i := range crashHosts {
		h, write, err := newHost(dir, fmt.Sprintf("edge-%d", i), fmt.Sprintf("z%d", i%3), l.Addr().String())
		if err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.kill()
		s.hosts, s.settings = append(s.hosts, h), append(s.settings, write)
	}
	for i, h := range s.hosts {
		if !h.awaitReady(20 * time.Second) {
			return false, fmt.Errorf("%s isn't ready", h.name)
		}
		if err := s.settings[i](false); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(4 * time.Second)
	for i := range s.hosts {
		go s.sendOrdinary(ctx, i)
	}
	time.Sleep(2 * time.Second)
	s.untilRefused()
	if len(s.arrivals) < allowed {
		return false, fmt.Errorf("the booking has crashed %d replicas only", len(s.arrivals))
	}
	time.Sleep(contact + time.Second)
	for i, h := range s.hosts {
		if trouble {
			if err := s.restart(i); err != nil {
				return false, err
			}
		} else {
			time.Sleep(7 * time.Second)
		}
		go func() { // the booking comes again at this machine, once it is in touch
			time.Sleep(contact + time.Second)
			s.sendCrashing(h)
		}()
		time.Sleep(rollGap)
	}
	time.Sleep(contact + 3*time.Second)
	return s.judge(), nil
}

// untilRefused has the booking come again, at one host after the other, until it is refused.
func (s *crashScene) untilRefused() {
	for i := range 2 * crashHosts {
		if status := s.sendCrashing(s.hosts[i%crashHosts]); status == http.StatusServiceUnavailable && len(s.arrivals) >= allowed {
			return
		}
		time.Sleep(time.Second)
	}
}

// restart stops a host by SIGTERM and starts it again.
func (s *crashScene) restart(i int) error {
	h := s.hosts[i]
	s.printf("SIGTERM to %s", h.name)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(9 * time.Second):
		s.printf("SIGKILL to %s", h.name)
		h.kill()
	}
	if err := h.start(); err != nil {
		return err
	}
	if !h.awaitReady(15 * time.Second) {
		return fmt.Errorf("%s isn't ready after its restart", h.name)
	}
	s.printf("%s runs again and is ready", h.name)
	return nil
}

// recordRun records that a replica begins to run a request.
func (s *crashScene) recordRun(id string, _ *http.Request, body string) {
	if body != crashingBody {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := arrival{at: s.elapsed(), host: s.sending.name, inTouch: time.Since(s.sending.startedAt) > contact}
	s.arrivals = append(s.arrivals, a)
	s.printf("replica %s begins to run the crashing booking from %s (in touch: %t) and crashes: crash %d", id, a.host, a.inTouch, len(s.arrivals))
}

// sendCrashing sends the crashing booking to a host and returns the status of the answer, 0 if there is none.
func (s *crashScene) sendCrashing(h *host) int {
	s.mu.Lock()
	s.sending = h
	s.mu.Unlock()
	status, body := s.send(&http.Client{Timeout: 2 * time.Second}, h, crashingBody)
	s.printf("the crashing booking was sent to %s: %d %s", h.name, status, body)
	return status
}

// sendOrdinary sends other bookings to a host, each with a body of its own.
func (s *crashScene) sendOrdinary(ctx context.Context, i int) {
	client := &http.Client{Timeout: 2 * time.Second}
	counts := map[int]int{}
	for n := 0; ctx.Err() == nil; n++ {
		status, _ := s.send(client, s.hosts[i], fmt.Sprintf("booking of host %d, number %d", i, n))
		counts[status]++
		if n%100 == 99 {
			s.printf("ordinary bookings at %s so far, by status: %v", s.hosts[i].name, counts)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *crashScene) send(client *http.Client, h *host, body string) (int, string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/book/2f", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	s.mu.Lock()
	s.number++
	id := fmt.Sprintf("%016x", s.number)
	s.mu.Unlock()
	q.Host = "h.example"
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "1500")
	q.Header.Set("Api-Key", "key-of-t")
	a, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// judge reports whether more than three retries reached replicas later than contactMs after the third
// crash, sent by hosts in touch.
func (s *crashScene) judge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	third := s.arrivals[allowed-1].at
	late := 0
	for _, a := range s.arrivals {
		if a.at > third+contact && a.inTouch {
			late++
		}
	}
	s.printf("the booking has crashed %d replicas, the third at %.3f s; %d retries reached replicas later than %v after it, sent by machines in touch; %d are allowed", len(s.arrivals), third.Seconds(), late, contact, allowed)
	return late > allowed
}
