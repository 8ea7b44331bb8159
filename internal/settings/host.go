// Package settings reads a process's YAML settings strictly.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"gentiancroft/internal/peer"
)

// Host are the settings of one serving host. The doc tags make docs/settings.md.
type Host struct {
	Host      Identity   `yaml:"host" validate:"required" doc:"who the host is"`
	Listen    Listen     `yaml:"listen" validate:"required" doc:"where it listens"`
	Platform  string     `yaml:"platform" validate:"required,ip_port" doc:"ip:port of the platform's object API"`
	Secrets   Secrets    `yaml:"secrets" validate:"required" doc:"files with secrets"`
	TLS       TLS        `yaml:"tls" validate:"required" doc:"key material of the links between hosts"`
	Limits    Limits     `yaml:"limits" doc:"bounds on callers"`
	Timings   Timings    `yaml:"timings" doc:"timings of the protocols between hosts; the same on every host of a deployment"`
	Shutdown  Shutdown   `yaml:"shutdown" doc:"graceful shutdown"`
	Operators []Operator `yaml:"operators" validate:"dive" doc:"who may use the console"`
	Log       string     `yaml:"log" validate:"omitempty,oneof=debug info warn error" default:"info" doc:"least level of log lines"`

	file   string
	source []byte
}

// Identity names a host and its place.
type Identity struct {
	Name   string `yaml:"name" validate:"required,max=63" doc:"unique in the deployment; each start adds a number of its own"`
	Domain string `yaml:"domain" validate:"required,max=63" doc:"failure domain"`
	Region string `yaml:"region" validate:"required,max=63" doc:"region, a group of failure domains"`
}

// Listen are a host's own addresses.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,ip_port" doc:"ip:port for callers and operators, as they reach it"`
	Links   string `yaml:"links" validate:"required,ip_port" doc:"ip:port for other hosts (QUIC over UDP), as they reach it"`
}

// Secrets are files; a relative path is taken from the settings file.
type Secrets struct {
	Keys string `yaml:"keys" validate:"required" doc:"file with the deployment's key that hashes callers' keys, at least 16 bytes"`
}

// TLS are files; a relative path is taken from the settings file.
type TLS struct {
	Authority   string `yaml:"authority" validate:"required" doc:"certificate of the deployment's authority (PEM)"`
	Certificate string `yaml:"certificate" validate:"required" doc:"this host's certificate (PEM)"`
	Key         string `yaml:"key" validate:"required" doc:"this host's private key (PEM)"`
}

// Limits bound what callers may send and take.
type Limits struct {
	Body        Size     `yaml:"body" validate:"size" default:"1MiB" doc:"longest request body"`
	Header      Size     `yaml:"header" validate:"size" default:"16KiB" doc:"longest request header"`
	Connections int      `yaml:"connections" validate:"omitempty,min=1,max=1000000" default:"16384" doc:"callers' connections open at once"`
	InFlight    int      `yaml:"in_flight" validate:"omitempty,min=1,max=1000000" default:"512" doc:"requests in flight at which callers are told to use other hosts"`
	Read        Duration `yaml:"read" validate:"duration" default:"30s" doc:"for a request to arrive whole"`
	Idle        Duration `yaml:"idle" validate:"duration" default:"75s" doc:"between two requests on a connection"`
	Stall       Duration `yaml:"stall" validate:"duration" default:"10s" doc:"for a caller to take what was written to it"`
}

// Timings of the protocols between hosts.
type Timings struct {
	LeaseTerm  Duration `yaml:"lease_term" validate:"duration" doc:"how long a host's lease lasts without a renewal"`
	LeaseRenew Duration `yaml:"lease_renew" validate:"duration" doc:"between renewals; at most a third of the term"`
	FeedPing   Duration `yaml:"feed_ping" validate:"duration" default:"500ms" doc:"between signs of freshness on a link"`
	FeedRead   Duration `yaml:"feed_read" validate:"duration" default:"1s" doc:"between readings of the configuration's head"`
	FeedBound  Duration `yaml:"feed_bound" validate:"duration" default:"5s" doc:"without freshness for so long, the host is cut off"`
	Poll       Duration `yaml:"poll" validate:"duration" default:"250ms" doc:"between an owner's polls of an upstream"`
	List       Duration `yaml:"list" validate:"duration" default:"1s" doc:"between readings of the platform's host list"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Keep  Duration `yaml:"keep" validate:"duration" default:"10s" doc:"how long callers may keep the answer of /v1/entries, and a leaving host still takes requests"`
	Drain Duration `yaml:"drain" validate:"duration" default:"1h" doc:"most that a leaving host waits for requests in flight"`
}

// Operator may use the console.
type Operator struct {
	Name string `yaml:"name" validate:"required,max=63" doc:"as it stands in the audit trail"`
	Hash string `yaml:"hash" validate:"required,len=64,hexadecimal" doc:"hash of the operator's key under secrets.keys"`
}

// leastSecret is the shortest deployment key in bytes.
const leastSecret = 16

// renewals is how many renewals must fit a lease's term.
const renewals = 3

// Parse reads a host's settings without opening the files that they name.
func Parse(file string, b []byte) (*Host, error) {
	h, err := Decode[Host](file, b)
	if err != nil {
		return nil, err
	}
	h.file, h.source = file, b
	return h, h.consistent()
}

// consistent checks what no field alone can break.
func (h *Host) consistent() error {
	term, renew := h.Timings.LeaseTerm.Value(), h.Timings.LeaseRenew.Value()
	if term > 0 && renew > 0 && renew*renewals > term {
		return h.bad("timings.lease_renew", "more than a third of lease_term, so one lost renewal could end a lease")
	}
	read, bound := h.Timings.FeedRead.Value(), h.Timings.FeedBound.Value()
	if read > 0 && bound > 0 && read >= bound {
		return h.bad("timings.feed_read", "not below feed_bound, so every host would often be cut off")
	}
	seen := map[string]bool{}
	for i, o := range h.Operators {
		if seen[o.Name] {
			return h.bad(fmt.Sprintf("operators[%d].name", i), "stands twice")
		}
		seen[o.Name] = true
	}
	return nil
}

// Load reads a host's settings.
func Load(file string) (*Host, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	return Parse(file, b)
}

// KeySecret reads the deployment's key.
func (h *Host) KeySecret() ([]byte, error) {
	b, err := os.ReadFile(h.path(h.Secrets.Keys))
	if err != nil {
		return nil, h.bad("secrets.keys", err.Error())
	}
	secret := bytes.TrimSpace(b)
	if len(secret) < leastSecret {
		return nil, h.bad("secrets.keys", fmt.Sprintf("%s holds less than %d bytes", h.path(h.Secrets.Keys), leastSecret))
	}
	return secret, nil
}

// Material reads the key material of the links.
func (h *Host) Material() (peer.Material, error) {
	files := []struct{ field, name string }{
		{"tls.authority", h.TLS.Authority}, {"tls.certificate", h.TLS.Certificate}, {"tls.key", h.TLS.Key},
	}
	for _, f := range files {
		if _, err := os.Stat(h.path(f.name)); err != nil {
			return peer.Material{}, h.bad(f.field, err.Error())
		}
	}
	m, err := peer.LoadMaterial(h.path(h.TLS.Authority), h.path(h.TLS.Certificate), h.path(h.TLS.Key))
	if err != nil {
		return peer.Material{}, h.bad("tls", err.Error())
	}
	return m, nil
}

// OperatorHashes maps each operator's hash to its name.
func (h *Host) OperatorHashes() map[string]string {
	names := make(map[string]string, len(h.Operators))
	for _, o := range h.Operators {
		names[o.Hash] = o.Name
	}
	return names
}

// LogLevel is the least level of log lines.
func (h *Host) LogLevel() string {
	if h.Log == "" {
		return "info"
	}
	return h.Log
}

func (h *Host) path(name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(h.file), name)
}

func (h *Host) bad(field, why string) error {
	return Invalid.New("%s: %s: %s", place(h.file, h.source, field), field, why)
}
