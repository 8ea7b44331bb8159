// Package fleet runs emulators in one process: the platform, engines and plain
// services, each at its own address, and the weight store that the engines
// share. The settings select them; their behaviour is defined by the packages
// standin and standin/platform.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/settings"
	"gentiancroft/internal/standin"
	"gentiancroft/internal/standin/platform"
)

// Error is the class of failures to listen or to serve.
var Error = errs.Class("stand-ins")

// Settings of a process with emulators.
type Settings struct {
	Platform *Platform `yaml:"platform"`
	Weights  Weights   `yaml:"weights"`
	Engines  []Engine  `yaml:"engines" validate:"dive"`
	Services []Service `yaml:"services" validate:"dive"`
}

// Platform configures the emulated object API and host list.
type Platform struct {
	Listen string            `yaml:"listen" validate:"required,ip_port"`
	Lag    settings.Duration `yaml:"lag" validate:"duration"` // delay until a change of the host list is visible
	Hosts  []string          `yaml:"hosts"`                   // initial host list, in addition to the upstreams
}

// Weights configures the weight store that the engines share.
type Weights struct {
	LoadTime settings.Duration `yaml:"load_time" validate:"duration"`
	Transit  int               `yaml:"transit" validate:"min=0"`
	Rate     float64           `yaml:"rate" validate:"min=0"` // loads per second; 0: unlimited
	Burst    int               `yaml:"burst" validate:"min=0"`
}

// Engine configures an emulated engine, as standin.EngineSettings does.
type Engine struct {
	Name       string            `yaml:"name" validate:"required"`
	Listen     string            `yaml:"listen" validate:"required,ip_port"`
	FirstToken settings.Duration `yaml:"first_token" validate:"duration"`
	TokenTime  settings.Duration `yaml:"token_time" validate:"duration"`
	Slowdown   float64           `yaml:"slowdown" validate:"min=0"`
	Slots      int               `yaml:"slots" validate:"min=0"`
	Batch      int               `yaml:"batch" validate:"min=0"`
	Prefixes   int               `yaml:"prefixes" validate:"min=0"`
	ReportLag  settings.Duration `yaml:"report_lag" validate:"duration"`
	EventDelay settings.Duration `yaml:"event_delay" validate:"duration"`
	EventGap   int               `yaml:"event_gap" validate:"min=0"`
	Restart    settings.Duration `yaml:"restart" validate:"duration"`
	CheckFence bool              `yaml:"checks_fencing"`
	Poison     string            `yaml:"poison"`
}

// Service configures an emulated plain service.
type Service struct {
	Name   string            `yaml:"name" validate:"required"`
	Listen string            `yaml:"listen" validate:"required,ip_port"`
	Delay  settings.Duration `yaml:"delay" validate:"duration"`
}

// Parse decodes and validates settings; unknown keys are errors. The file name
// is used in error messages.
func Parse(file string, b []byte) (*Settings, error) {
	return settings.Decode[Settings](file, b)
}

// PlatformName is the name of the platform's emulator.
const PlatformName = "platform"

// endpoint is one emulator with its address.
type endpoint struct {
	name    string
	address string
	handler http.Handler
}

// Run serves all emulators until ctx is done, then returns nil. It returns an
// error if an address cannot be listened on or a server fails.
func Run(ctx context.Context, s *Settings) error {
	f, err := Listen(s)
	if err != nil {
		return err
	}
	return f.Serve(ctx)
}

// Fleet is the emulators of a process, each listening at its address.
type Fleet struct {
	endpoints []endpoint
	listeners []net.Listener // by endpoint
}

// Listen creates all emulators and listens at their addresses. What connects before Serve
// is called waits for it.
func Listen(s *Settings) (*Fleet, error) {
	f := &Fleet{endpoints: s.endpoints()}
	for _, e := range f.endpoints {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			closeAll(f.listeners)
			return nil, Error.New("%s: %w", e.name, err)
		}
		f.listeners = append(f.listeners, l)
	}
	return f, nil
}

// Address returns the ip:port at which the emulator of a name listens, "" if there is none.
func (f *Fleet) Address(name string) string {
	for i, e := range f.endpoints {
		if e.name == name {
			return f.listeners[i].Addr().String()
		}
	}
	return ""
}

// Serve serves until ctx is done, then returns nil. It returns an error if a server fails.
func (f *Fleet) Serve(ctx context.Context) error {
	ended := make(chan error, len(f.endpoints))
	servers := make([]*http.Server, len(f.endpoints))
	for i, e := range f.endpoints {
		servers[i] = &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout}
		go func() { ended <- servers[i].Serve(f.listeners[i]) }()
	}
	var first error
	select {
	case <-ctx.Done():
	case first = <-ended:
	}
	for _, server := range servers {
		_ = server.Close()
	}
	if first != nil && !errors.Is(first, http.ErrServerClosed) {
		return Error.Wrap(first)
	}
	return nil
}

const headerTimeout = 10 * time.Second

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// endpoints creates the emulators. The host list of the platform has all upstreams.
func (s *Settings) endpoints() []endpoint {
	var all []endpoint
	var names []string
	store := standin.NewWeightStore(standin.WeightSettings{
		LoadTime:       s.Weights.LoadTime.Value(),
		FullSpeedLoads: s.Weights.Transit,
		LoadsPerSecond: s.Weights.Rate,
		LoadBurst:      s.Weights.Burst,
	})
	for _, e := range s.Engines {
		all = append(all, endpoint{e.Name, e.Listen, standin.NewEngine(e.emulatorSettings(store)).Handler()})
		names = append(names, e.Name)
	}
	for _, v := range s.Services {
		service := standin.NewService(standin.ServiceSettings{Name: v.Name, AnswerDelay: v.Delay.Value()})
		all = append(all, endpoint{v.Name, v.Listen, service.Handler()})
		names = append(names, v.Name)
	}
	if s.Platform != nil {
		all = append(all, endpoint{PlatformName, s.Platform.Listen, s.Platform.handler(store, names)})
	}
	return all
}

// emulatorSettings converts the settings of an engine.
func (e Engine) emulatorSettings(store *standin.WeightStore) standin.EngineSettings {
	return standin.EngineSettings{
		Name:              e.Name,
		PrefillTime:       e.FirstToken.Value(),
		TokenTime:         e.TokenTime.Value(),
		Slowdown:          e.Slowdown,
		AdapterSlots:      e.Slots,
		BatchSize:         e.Batch,
		PrefixCacheSize:   e.Prefixes,
		ReportLag:         e.ReportLag.Value(),
		EventDelay:        e.EventDelay.Value(),
		LostEventInterval: e.EventGap,
		RestartTime:       e.Restart.Value(),
		CheckFence:        e.CheckFence,
		PoisonPrompt:      e.Poison,
		Weights:           store,
	}
}

// handler serves the platform and, under /admin/, fault injection, changes of
// the host list and counters.
func (p *Platform) handler(weights *standin.WeightStore, upstreams []string) http.Handler {
	store := platform.NewStore()
	server := platform.NewServer(store)
	for _, name := range append(upstreams, p.Hosts...) {
		server.SetHost(name, false)
	}
	server.SetHostListLag(p.Lag.Value())
	mux := http.NewServeMux()
	mux.Handle("/", server.Handler())
	mux.HandleFunc("POST /admin/store", func(w http.ResponseWriter, r *http.Request) { setStoreFaults(w, r, store) })
	mux.HandleFunc("POST /admin/list", func(w http.ResponseWriter, r *http.Request) { changeHostList(w, r, server) })
	mux.HandleFunc("GET /admin/weights", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, weights.Counts()) })
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, store.CallCounts()) })
	return mux
}

// storeFaults are the faults injected into the object API; they last until
// replaced.
type storeFaults struct {
	Down        bool              `json:"down"`
	Delay       settings.Duration `json:"delay"`
	DropAnswers int               `json:"drop_answers"`
	StaleReads  bool              `json:"stale_reads"`
}

func setStoreFaults(w http.ResponseWriter, r *http.Request, store *platform.Store) {
	var f storeFaults
	if !decodeBody(w, r, &f) {
		return
	}
	store.SetDown(f.Down)
	store.SetDelay(f.Delay.Value())
	store.DropAnswers(f.DropAnswers)
	store.SetStaleReads(f.StaleReads)
}

// hostListChange adds, changes or removes an entry of the host list.
type hostListChange struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
	Removed bool   `json:"removed"`
}

func changeHostList(w http.ResponseWriter, r *http.Request, server *platform.Server) {
	var e hostListChange
	if !decodeBody(w, r, &e) {
		return
	}
	if e.Removed {
		server.RemoveHost(e.Name)
		return
	}
	server.SetHost(e.Name, e.Leaving)
}

// decodeBody decodes a JSON body strictly. It reports whether that succeeded;
// if not, it has answered 400.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
