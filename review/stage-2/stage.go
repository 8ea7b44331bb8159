//go:build review2

// Command stage-2 plays the cases 6 to 10 of the review: it starts real hosts as separate processes, with
// stand-ins for the platform's store, replicas and callers, and writes a record of what was sent, answered
// and run.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentiancroft/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the error of a case that could not be played.
var errNotRun = errors.New("the case could not run")

// stage is the deployment of one case.
type stage struct {
	program string
	dir     string // temporary
	trouble bool
	began   time.Time
	store   *platformtest.Store
	address string // of the store

	mu       sync.Mutex
	record   *os.File
	hosts    []*host
	listener net.Listener
}

// host is one real host, which runs as a process.
type host struct {
	stage                              *stage
	name                               string
	callers, ready, directory, metrics string
	links                              string
	settings                           string // file

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// newStage starts the store. The record is written into the file named by RECORD.
func newStage() (*stage, error) {
	s := &stage{program: os.Getenv("PROGRAM"), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: platformtest.NewStore()}
	var err error
	if s.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	go s.store.Serve(s.listener)
	return s, nil
}

// logf adds a line to the record.
func (s *stage) logf(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, a...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// settingsText is like platform/settings.yaml for a machine of a small deployment.
const settingsText = `host: {name: %s, domain: %s, region: r}
listen: {callers: %s, ready: %s, directory: %s, links: "%s", metrics: "%s"}
store: %s
capacity: {share: 0.4, speed: 1}
first_start: true
memory: 284MiB
retry: {share: 0.2, slack: 52, window: 10s}
version: 5000ms
keep: 2s
shutdown: 8s
`

// addHost chooses free ports for a host and writes its settings.
func (s *stage) addHost(name, domain string) (*host, error) {
	h := &host{stage: s, name: name, settings: filepath.Join(s.dir, name+".yaml")}
	for network, addresses := range map[string][]*string{
		"tcp": {&h.callers, &h.ready, &h.directory, &h.metrics},
		"udp": {&h.links},
	} {
		for _, a := range addresses {
			var err error
			if *a, err = platformtest.FreeAddress(network); err != nil {
				return nil, err
			}
		}
	}
	s.hosts = append(s.hosts, h)
	text := fmt.Sprintf(settingsText, h.name, domain, h.callers, h.ready, h.directory, h.links, h.metrics, s.address)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// useStore has the host call the store at another address.
func (h *host) useStore(address string) error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, bytes.ReplaceAll(text, []byte("store: "+h.stage.address), []byte("store: "+address)), 0o600)
}

// addHosts adds a host in each of some zones.
func (s *stage) addHosts(zones ...string) error {
	for _, zone := range zones {
		if _, err := s.addHost("edge-"+zone, zone); err != nil {
			return err
		}
	}
	return nil
}

// heartbeatTime is heartbeatMs.
const heartbeatTime = 1200 * time.Millisecond

// addReplica starts a replica that keeps its entry in the store.
func (s *stage) addReplica(x *platformtest.Replica) error {
	if err := x.Start(s.store); err != nil {
		return err
	}
	go func() {
		for range time.Tick(heartbeatTime) {
			x.Heartbeat("ready")
		}
	}()
	return nil
}

// start starts the process with a file for its log.
func (h *host) start() error {
	out, err := os.OpenFile(filepath.Join(h.stage.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	return h.startWith(out)
}

// startWith starts the process with its log going to out. The process ends with this one.
func (h *host) startWith(out *os.File) error {
	c := exec.Command(h.stage.program, "relay", "--settings", h.settings)
	c.Stdout, c.Stderr = out, os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended = c, ended
	h.mu.Unlock()
	h.stage.logf("host %s starts", h.name)
	go func() {
		err := c.Wait()
		h.stage.logf("host %s has ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// awaitReady waits until all hosts say that they are ready.
func (s *stage) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range s.hosts {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			r, err := client.Get("http://" + h.ready + "/-/readyz")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: host %s isn't ready", errNotRun, h.name)
			}
		}
	}
	s.logf("all hosts are ready")
	return nil
}

// close ends all processes that the case has started.
func (s *stage) close() {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
		if h.ended != nil {
			<-h.ended
		}
	}
	_ = s.listener.Close()
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// cases are the cases by their names.
var cases = map[string]func(*stage) (broken bool, err error){}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		fmt.Fprintln(os.Stderr, "usage: stage-2", strings.Join(names, "|"))
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]]))
}

func play(c func(*stage) (bool, error)) int {
	s, err := newStage()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := c(s)
	switch {
	case err != nil:
		s.logf("not run: %v", err)
		return exitNotRun
	case broken:
		s.logf("RESULT: the rule is broken")
		return exitBroken
	}
	s.logf("RESULT: the rule is kept")
	return exitHeld
}
