// Package settings defines, parses and validates the YAML settings of hosts and relaying
// hosts, and reads the key files that they name. Errors name file, line and field. What
// the values do is left to the packages that use them. docs/settings.md is generated from
// the struct tags.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"gentiancroft/internal/peer"
)

// Host holds the settings of one serving host.
type Host struct {
	Host      Identity   `yaml:"host" validate:"required" doc:"identity of the host"`
	Listen    Listen     `yaml:"listen" validate:"required" doc:"addresses of the host"`
	Platform  string     `yaml:"platform" validate:"required,ip_port" doc:"ip:port of the platform's object API"`
	Secrets   Secrets    `yaml:"secrets" validate:"required" doc:"files with secrets"`
	TLS       TLS        `yaml:"tls" validate:"required" doc:"key material of the links between hosts"`
	Memory    Size       `yaml:"memory" validate:"size" default:"1GiB" doc:"memory that the process may use; bounds what it holds for callers"`
	Limits    Limits     `yaml:"limits" doc:"limits for callers"`
	Timings   Timings    `yaml:"timings" doc:"timings of the protocols between hosts; the same on every host of a deployment"`
	Shutdown  Shutdown   `yaml:"shutdown" doc:"graceful shutdown"`
	Operators []Operator `yaml:"operators" validate:"dive" doc:"operators who may use the console"`
	Log       string     `yaml:"log" validate:"omitempty,oneof=debug info warn error" default:"info" doc:"minimum level of log lines"`

	file   string
	source []byte
}

// Identity is a host's name and location.
type Identity struct {
	Name   string `yaml:"name" validate:"required,max=63" doc:"unique in the deployment; each start of the process adds its own number"`
	Domain string `yaml:"domain" validate:"required,max=63" doc:"failure domain"`
	Region string `yaml:"region" validate:"required,max=63" doc:"region, a group of failure domains"`
}

// Listen holds a host's addresses.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,ip_port" doc:"ip:port for callers and operators, as they reach it"`
	Links   string `yaml:"links" validate:"required,ip_port" doc:"ip:port for other hosts (QUIC over UDP), as they reach it"`
}

// Secrets holds paths of files; relative paths start at the settings file's directory.
type Secrets struct {
	Keys string `yaml:"keys" validate:"required" doc:"file with the deployment's key that hashes callers' keys, at least 16 bytes"`
}

// TLS holds paths of files; relative paths start at the settings file's directory.
type TLS struct {
	Authority   string `yaml:"authority" validate:"required" doc:"certificate of the deployment's authority (PEM)"`
	Certificate string `yaml:"certificate" validate:"required" doc:"this host's certificate (PEM)"`
	Key         string `yaml:"key" validate:"required" doc:"this host's private key (PEM)"`
}

// Limits bounds what callers may send and how slowly they may send and read.
type Limits struct {
	Body        Size     `yaml:"body" validate:"size" default:"1MiB" doc:"maximum size of a request body"`
	Header      Size     `yaml:"header" validate:"size" default:"16KiB" doc:"maximum size of a request header"`
	Fields      int      `yaml:"fields" validate:"omitempty,min=1,max=10000" default:"256" doc:"maximum number of lines of a request header"`
	Connections int      `yaml:"connections" validate:"omitempty,min=1,max=1000000" default:"16384" doc:"maximum number of open connections of callers"`
	InFlight    int      `yaml:"in_flight" validate:"omitempty,min=1,max=1000000" default:"512" doc:"number of requests in flight from which callers are sent to other hosts"`
	Read        Duration `yaml:"read" validate:"duration" default:"30s" doc:"time limit for receiving a whole request"`
	Idle        Duration `yaml:"idle" validate:"duration" default:"75s" doc:"maximum time between two requests on a connection"`
	Stall       Duration `yaml:"stall" validate:"duration" default:"10s" doc:"time limit of a write to a caller"`
}

// Timings are the timings of the protocols between hosts.
type Timings struct {
	LeaseTerm  Duration `yaml:"lease_term" validate:"duration" doc:"how long a host's lease lasts without a renewal"`
	LeaseRenew Duration `yaml:"lease_renew" validate:"duration" doc:"interval of lease renewals; at most a third of lease_term"`
	FeedPing   Duration `yaml:"feed_ping" validate:"duration" default:"500ms" doc:"interval of freshness messages on a link"`
	FeedRead   Duration `yaml:"feed_read" validate:"duration" default:"1s" doc:"interval at which the head of the configuration is read"`
	FeedBound  Duration `yaml:"feed_bound" validate:"duration" default:"5s" doc:"maximum time since the configuration in force was known to be the newest; beyond it, the host is cut off"`
	Poll       Duration `yaml:"poll" validate:"duration" default:"250ms" doc:"interval of an owner's polls of an upstream"`
	List       Duration `yaml:"list" validate:"duration" default:"1s" doc:"interval at which the platform's host list is read"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Keep  Duration `yaml:"keep" validate:"duration" default:"10s" doc:"how long callers may cache the answer of /v1/entries, and how long a leaving host still accepts requests"`
	Drain Duration `yaml:"drain" validate:"duration" default:"1h" doc:"maximum time that a leaving host waits for requests in flight"`
}

// Operator is someone who may use the console.
type Operator struct {
	Name string `yaml:"name" validate:"required,max=63" doc:"name in the audit trail"`
	Hash string `yaml:"hash" validate:"required,len=64,hexadecimal" doc:"hash of the operator's key under secrets.keys"`
}

// minSecretBytes is the minimum length of the deployment's key.
const minSecretBytes = 16

// minRenewalsPerTerm is how many renewal intervals must fit into a lease's term, so that
// one lost renewal does not end the lease.
const minRenewalsPerTerm = 3

// Parse decodes and validates a host's settings without opening the files that they name.
// Relative paths in them start at the directory of file.
func Parse(file string, b []byte) (*Host, error) {
	h, err := Decode[Host](file, b)
	if err != nil {
		return nil, err
	}
	h.file, h.source = file, b
	return h, h.checkConsistency()
}

// checkConsistency checks the rules that concern several fields.
func (h *Host) checkConsistency() error {
	term, renew := h.Timings.LeaseTerm.Value(), h.Timings.LeaseRenew.Value()
	if term > 0 && renew > 0 && renew*minRenewalsPerTerm > term {
		return h.invalidField("timings.lease_renew", "more than a third of lease_term, so one lost renewal could end a lease")
	}
	read, bound := h.Timings.FeedRead.Value(), h.Timings.FeedBound.Value()
	if read > 0 && bound > 0 && read >= bound {
		return h.invalidField("timings.feed_read", "not below feed_bound, so every host would often be cut off")
	}
	seen := map[string]bool{}
	for i, o := range h.Operators {
		if seen[o.Name] {
			return h.invalidField(fmt.Sprintf("operators[%d].name", i), "is repeated")
		}
		seen[o.Name] = true
	}
	return nil
}

// Load reads and parses a host's settings file.
func Load(file string) (*Host, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	return Parse(file, b)
}

// KeySecret reads the deployment's key and trims surrounding white space. It fails if the
// file can't be read or the key is shorter than minSecretBytes.
func (h *Host) KeySecret() ([]byte, error) {
	b, err := os.ReadFile(h.resolvePath(h.Secrets.Keys))
	if err != nil {
		return nil, h.invalidField("secrets.keys", err.Error())
	}
	secret := bytes.TrimSpace(b)
	if len(secret) < minSecretBytes {
		return nil, h.invalidField("secrets.keys", fmt.Sprintf("%s holds less than %d bytes", h.resolvePath(h.Secrets.Keys), minSecretBytes))
	}
	return secret, nil
}

// LinkMaterial reads the key material of the links. An error names the setting of the file at
// fault, where one file is.
func (h *Host) LinkMaterial() (peer.Material, error) {
	files := []struct{ field, name string }{
		{"tls.authority", h.TLS.Authority}, {"tls.certificate", h.TLS.Certificate}, {"tls.key", h.TLS.Key},
	}
	for _, f := range files {
		if _, err := os.Stat(h.resolvePath(f.name)); err != nil {
			return peer.Material{}, h.invalidField(f.field, err.Error())
		}
	}
	m, err := peer.LoadMaterial(h.resolvePath(h.TLS.Authority), h.resolvePath(h.TLS.Certificate), h.resolvePath(h.TLS.Key))
	if err != nil {
		return peer.Material{}, h.invalidField("tls", err.Error())
	}
	return m, nil
}

// OperatorsByHash maps each operator's hash to its name.
func (h *Host) OperatorsByHash() map[string]string {
	names := make(map[string]string, len(h.Operators))
	for _, o := range h.Operators {
		names[o.Hash] = o.Name
	}
	return names
}

// LogLevel returns the minimum level of log lines, "info" if none is set.
func (h *Host) LogLevel() string {
	if h.Log == "" {
		return "info"
	}
	return h.Log
}

func (h *Host) resolvePath(name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(h.file), name)
}

func (h *Host) invalidField(field, why string) error {
	return Invalid.New("%s: %s: %s", fieldLocation(h.file, h.source, field), field, why)
}
