package settings

import (
	"os"
)

// Relay holds the settings of one relaying host. It needs no other files: it generates the
// key of its links at its start and finds the other hosts in the store.
type Relay struct {
	Host       Identity    `yaml:"host" validate:"required" doc:"identity of the host"`
	Listen     RelayListen `yaml:"listen" validate:"required" doc:"addresses of the host"`
	Store      string      `yaml:"store" validate:"required,ip_port" doc:"ip:port of the store"`
	Capacity   Capacity    `yaml:"capacity" doc:"processor capacity of the host; in a large fleet the hosts with the most capacity are active first"`
	FirstStart bool        `yaml:"first_start" doc:"whether the whole deployment starts for the first time"`
	Memory     Size        `yaml:"memory" validate:"size" default:"256MiB" doc:"memory that the process may use"`
	Limits     RelayLimits `yaml:"limits" doc:"limits for callers"`
	Retry      Retry       `yaml:"retry" doc:"limit on the extra work of retries, over all hosts"`
	Version    Duration    `yaml:"version" validate:"duration" default:"5s" doc:"how long an adapter's version may still be used after a newer one is announced"`
	Evacuation Duration    `yaml:"evacuation" validate:"duration_or_zero" default:"0" doc:"how long after the evacuation of a failure domain requests may still reach its replicas; 0: evacuations are not observed"`
	Keep       Duration    `yaml:"keep" validate:"duration" default:"2s" doc:"how long callers may cache the addresses that they are given"`
	Shutdown   Duration    `yaml:"shutdown" validate:"duration" default:"8s" doc:"time limit of a graceful shutdown, from the signal to the exit"`
	Log        string      `yaml:"log" validate:"omitempty,oneof=debug info warn error" default:"info" doc:"minimum level of log lines"`
}

// Capacity is how much processor time a host may use, and how fast its cores are.
type Capacity struct {
	Share float64 `yaml:"share" validate:"gte=0,lte=1e6" default:"1" doc:"fraction of a core that the process may use"`
	Speed float64 `yaml:"speed" validate:"gte=0,lte=1e6" default:"1" doc:"speed of the core, as a multiple of a standard core"`
}

// Cores returns the capacity in standard cores, 0 if no share is set. A speed that is not
// set counts as 1.
func (c Capacity) Cores() float64 {
	if c.Speed == 0 {
		return c.Share
	}
	return c.Share * c.Speed
}

// RelayListen holds a relaying host's addresses.
type RelayListen struct {
	Callers   string `yaml:"callers" validate:"required,ip_port" doc:"ip:port for callers"`
	Ready     string `yaml:"ready" validate:"required,ip_port" doc:"ip:port of the readiness endpoint"`
	Directory string `yaml:"directory" validate:"required,ip_port" doc:"ip:port of the endpoint that gives callers the addresses to use"`
	Links     string `yaml:"links" validate:"required,ip_port" doc:"ip:port for other hosts (QUIC over UDP)"`
	Metrics   string `yaml:"metrics" validate:"omitempty,ip_port" doc:"ip:port of the metrics page; no page if it is not set"`
}

// RelayLimits bounds what callers may send and how slowly they may send and read.
type RelayLimits struct {
	Body   Size     `yaml:"body" validate:"size" default:"4MiB" doc:"maximum size of a request body"`
	Header Size     `yaml:"header" validate:"size" default:"16KiB" doc:"maximum size of a request header"`
	Fields int      `yaml:"fields" validate:"gte=0,lte=10000" default:"256" doc:"maximum number of lines of a request header"`
	Read   Duration `yaml:"read" validate:"duration" default:"5s" doc:"time limit for receiving a whole request"`
	Idle   Duration `yaml:"idle" validate:"duration" default:"30s" doc:"maximum time between two requests on a connection"`
	Stall  Duration `yaml:"stall" validate:"duration" default:"10s" doc:"time limit of a write to a caller"`

	Connections     int `yaml:"connections" validate:"gte=0,lte=1000000" default:"4096" doc:"maximum number of open connections of callers; fewer where memory or descriptors don't suffice"`
	PeerConnections int `yaml:"peer_connections" validate:"gte=0,lte=1000000" doc:"maximum number of open connections of one address; no bound of its own if it is not set"`
}

// Retry bounds the attempts after the first of each request.
type Retry struct {
	Share  float64  `yaml:"share" validate:"gte=0,lte=1" default:"0.2" doc:"retries allowed per first attempt"`
	Slack  float64  `yaml:"slack" validate:"gte=0" default:"50" doc:"further retries allowed within the window"`
	Window Duration `yaml:"window" validate:"duration" default:"10s" doc:"time window of slack"`
}

// LoadRelay reads, parses and validates a relaying host's settings file.
func LoadRelay(file string) (*Relay, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	return Decode[Relay](file, b)
}
