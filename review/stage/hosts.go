//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gentiancroft/platform/platformtest"
)

// bounds are the settings of the small deployment that the claims name.
var bounds = map[string]string{
	"limits.cpuFraction":      "0.4",
	"limits.cpuCores":         "1",
	"limits.memoryMb":         "284",
	"bounds.retryBudgetRatio": "0.2",
	"bounds.retrySlack":       "52",
	"bounds.budgetWindowS":    "10",
	"bounds.version_ms":       "5000",
	"bounds.graceS":           "8",
}

// host is one process of the system, started with the command of the deploy file.
type host struct {
	name, settings, output                   string
	callers, ready, directory, metrics, link string
	store                                    string
	command                                  *exec.Cmd
	logs                                     *logReader // nil: the process writes into a file itself
	ended                                    chan struct{}
}

// newHost chooses the addresses of a host whose store is at an ip:port.
func newHost(dir string, n int, store string) (*host, error) {
	name := fmt.Sprintf("edge-%d", n)
	h := &host{name: name, store: store, settings: filepath.Join(dir, name+".yaml"), output: filepath.Join(dir, name+".log")}
	for network, all := range map[string][]*string{"tcp": {&h.callers, &h.ready, &h.directory, &h.metrics}, "udp": {&h.link}} {
		for _, a := range all {
			address, err := platformtest.FreeAddress(network)
			if err != nil {
				return nil, err
			}
			*a = address
		}
	}
	return h, nil
}

// writeSettings fills in the template of the settings as the platform does.
func (h *host) writeSettings(first bool) error {
	template, err := os.ReadFile("platform/settings.yaml")
	if err != nil {
		return err
	}
	ip, linkPort, _ := strings.Cut(h.link, ":")
	_, metricsPort, _ := strings.Cut(h.metrics, ":")
	values := map[string]string{
		"nodeName": h.name, "zone": "z1", "region": "r1", "ip": ip,
		"listen.frontend": h.callers, "listen.ready": h.ready, "listen.registry": h.directory,
		"internalPortRange.0": linkPort, "internalPortRange.1": metricsPort,
		"platform.address": h.store, "bootstrap": fmt.Sprint(first),
	}
	text := string(template)
	for _, all := range []map[string]string{values, bounds} {
		for k, v := range all {
			text = strings.ReplaceAll(text, "{{"+k+"}}", v)
		}
	}
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process, with its standard output a pipe or a file.
func (h *host) start(pipe bool) error {
	out, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/gentiancroft", "relay", "--settings", h.settings)
	c.Env = append(os.Environ(), "GENTIANCROFT_SETTINGS="+h.settings)
	c.Stdout, c.Stderr = out, out
	if pipe {
		from, to, err := os.Pipe()
		if err != nil {
			return err
		}
		defer func() { _ = to.Close() }()
		c.Stdout = to
		h.logs = &logReader{from: from}
		go h.logs.run(out)
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended = c, ended
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// kill ends the process, if it was started, and waits for its end.
func (h *host) kill() {
	if h.command != nil {
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
}

// listens waits until the process listens for callers, and returns false if it ends or takes too long.
func (h *host) listens() bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		if c, err := net.DialTimeout("tcp", h.ready, time.Second); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case <-h.ended:
		return false
	case <-time.After(20 * time.Millisecond): // one that can't listen ends at once
		return true
	}
}

// isReady asks the host's readiness page.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(all []*host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range all {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(all) {
			return true
		}
	}
	return false
}
