//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the product's binary, as the deploy file's build line makes it.
const program = "target/gentiancroft"

// host is one relay process with the settings of a small deployment.
type host struct {
	name      string
	callers   string // ip:port for consumers
	ready     string // ip:port of the readiness page
	links     string // ip:port for other hosts
	file      string // settings
	output    string // log file
	command   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
}

// settingsText is what the deploy file's template gives on a small deployment.
const settingsText = `host:
  name: %s
  domain: %s
  region: r
listen:
  callers: %s
  ready: %s
  directory: %s
  links: "%s"
  metrics: "%s"
store: %s
capacity:
  share: 0.4
  speed: 1
first_start: %t
memory: 284MiB
retry:
  share: 0.2
  slack: 52
  window: 10s
version: 5000ms
keep: 2s
shutdown: 8s
`

// firstPort and ports bound the ports that are chosen, below those of outgoing connections.
const (
	firstPort = 15_000
	ports     = 15_000
)

// freeAddress returns a loopback address whose port is free for TCP and UDP. It returns each once.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if given[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = p.Close()
		given[address] = true
		return address, nil
	}
	return "", fmt.Errorf("no free port")
}

// given are the addresses that freeAddress has returned.
var given = map[string]bool{}

// newHost chooses the addresses of a host and writes its settings. firstStart is the setting of the
// first process; later ones of the same host have it false.
func newHost(dir, name, zone, store string) (*host, func(firstStart bool) error, error) {
	h := &host{name: name, file: filepath.Join(dir, name+".yaml"), output: filepath.Join(dir, name+".log")}
	var addresses [5]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		addresses[i] = a
	}
	h.callers, h.ready, h.links = addresses[0], addresses[1], addresses[3]
	write := func(firstStart bool) error {
		text := fmt.Sprintf(settingsText, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], store, firstStart)
		return os.WriteFile(h.file, []byte(text), 0o644)
	}
	return h, write, write(true)
}

// start starts a process of the host.
func (h *host) start() error {
	log, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, "relay", "--settings", h.file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	h.command, h.exited, h.startedAt = c, exited, time.Now()
	processes.Lock()
	defer processes.Unlock()
	processes.all = append(processes.all, c.Process)
	return nil
}

// processes are all processes that were started.
var processes struct {
	sync.Mutex
	all []*os.Process
}

// killAll ends all processes that were started and have not ended.
func killAll() {
	processes.Lock()
	defer processes.Unlock()
	for _, p := range processes.all {
		_ = p.Kill()
	}
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// isReady reports whether the readiness page answers 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	r, err := client.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the host is ready.
func (h *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

// kill ends the process, if one runs.
func (h *host) kill() {
	if h.command == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}
