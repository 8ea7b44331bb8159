package settings

import (
	"os"
)

// Relay are the settings of one host that passes requests through: it keeps no
// file of its own and finds the other hosts in the store.
type Relay struct {
	Host       Identity    `yaml:"host" validate:"required" doc:"who the host is"`
	Listen     RelayListen `yaml:"listen" validate:"required" doc:"where it listens"`
	Store      string      `yaml:"store" validate:"required,ip_port" doc:"ip:port of the store"`
	Capacity   Capacity    `yaml:"capacity" doc:"how strong the host is; in a large fleet the strongest serve callers first"`
	FirstStart bool        `yaml:"first_start" doc:"the whole deployment starts for the first time"`
	Memory     Size        `yaml:"memory" validate:"size" default:"256MiB" doc:"memory that the process may use"`
	Limits     RelayLimits `yaml:"limits" doc:"bounds on callers"`
	Retry      Retry       `yaml:"retry" doc:"how much work retries may add, over all hosts"`
	Version    Duration    `yaml:"version" validate:"duration" default:"5s" doc:"how long an adapter's version may still be used after a newer one is named"`
	Keep       Duration    `yaml:"keep" validate:"duration" default:"2s" doc:"how long callers may keep the addresses that they are told"`
	Shutdown   Duration    `yaml:"shutdown" validate:"duration" default:"8s" doc:"from the signal to the end of a graceful shutdown"`
	Log        string      `yaml:"log" validate:"omitempty,oneof=debug info warn error" default:"info" doc:"least level of log lines"`
}

// Capacity is what a host may use of a processor.
type Capacity struct {
	Share float64 `yaml:"share" validate:"gte=0" default:"1" doc:"part of a core that the process may use"`
	Speed float64 `yaml:"speed" validate:"gte=0" default:"1" doc:"how many times as fast as a usual core it is"`
}

// Cores is the capacity in usual cores; 0 where nothing is said.
func (c Capacity) Cores() float64 {
	if c.Speed == 0 {
		return c.Share
	}
	return c.Share * c.Speed
}

// RelayListen are a host's own addresses.
type RelayListen struct {
	Callers   string `yaml:"callers" validate:"required,ip_port" doc:"ip:port for callers"`
	Ready     string `yaml:"ready" validate:"required,ip_port" doc:"ip:port of the readiness page"`
	Directory string `yaml:"directory" validate:"required,ip_port" doc:"ip:port of the page that tells callers which addresses to use"`
	Links     string `yaml:"links" validate:"required,ip_port" doc:"ip:port for other hosts (QUIC over UDP)"`
	Metrics   string `yaml:"metrics" validate:"omitempty,ip_port" doc:"ip:port of the metrics page; none: no page"`
}

// RelayLimits bound what callers may send and take.
type RelayLimits struct {
	Body   Size     `yaml:"body" validate:"size" default:"4MiB" doc:"longest request body"`
	Header Size     `yaml:"header" validate:"size" default:"16KiB" doc:"longest request header"`
	Read   Duration `yaml:"read" validate:"duration" default:"5s" doc:"for a request to arrive whole"`
	Idle   Duration `yaml:"idle" validate:"duration" default:"30s" doc:"between two requests on a connection"`
	Stall  Duration `yaml:"stall" validate:"duration" default:"10s" doc:"for a caller to take what was written to it"`
}

// Retry bounds the sends beyond the first of each request.
type Retry struct {
	Share  float64  `yaml:"share" validate:"gte=0,lte=1" default:"0.2" doc:"for each first send"`
	Slack  float64  `yaml:"slack" validate:"gte=0" default:"50" doc:"beyond that, within the window"`
	Window Duration `yaml:"window" validate:"duration" default:"10s" doc:"window of the slack"`
}

// LoadRelay reads a relaying host's settings.
func LoadRelay(file string) (*Relay, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	return Decode[Relay](file, b)
}
