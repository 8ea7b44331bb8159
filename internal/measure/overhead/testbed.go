package overhead

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/standin"
	"gentiancroft/internal/standin/platform"
	"gentiancroft/internal/upstream"
	"gentiancroft/internal/wiring"
)

const (
	adapterName   = "bulletins"
	callerKey     = "overhead-key"
	engineBatch   = 256     // requests that an engine runs at once
	unlimitedRate = 1 << 30 // tokens per second: no request is rate limited
)

var keySecret = []byte("overhead-secret-of-the-deployment")

// testbed is one host with three engines: a usual one, one without delays, and
// one whose answers never end.
type testbed struct {
	client  *upstream.Client
	host    string // ip:port
	engine  string // ip:port of the usual engine
	quick   string // ip:port of the engine without delays
	endless *endlessEngine
	cancel  context.CancelFunc
	done    chan error
	servers []*http.Server
	level   log.Level
}

// Paths of the routes, one for each engine.
const (
	pathUsual   = "/v1/completions"
	pathQuick   = "/quick/completions"
	pathEndless = "/endless/completions"
)

func start() (*testbed, error) {
	f := &testbed{client: upstream.NewClient(nil, nil), endless: newEndless(), done: make(chan error, 1)}
	disableLog(f)
	usual := standin.NewEngine(standin.EngineSettings{Name: "usual", PrefillTime: 5 * time.Millisecond, TokenTime: time.Millisecond, BatchSize: engineBatch})
	quick := standin.NewEngine(standin.EngineSettings{Name: "quick", BatchSize: engineBatch})
	store := platform.NewStore()
	d := document()
	for _, e := range []struct {
		name, path string
		handler    http.Handler
	}{{"usual", pathUsual, usual.Handler()}, {"quick", pathQuick, rewriteCompletionsPath(quick.Handler())}, {"endless", pathEndless, f.endless}} {
		address, err := f.serve(e.handler)
		if err != nil {
			return nil, err
		}
		switch e.name {
		case "usual":
			f.engine = address
		case "quick":
			f.quick = address
		}
		d.Routes = append(d.Routes, config.Route{Path: e.path, Kind: config.RouteCompletions, Pool: e.name, Idempotent: true, Class: "interactive"})
		d.Upstreams = append(d.Upstreams, config.Upstream{ID: core.UpstreamID(e.name), Kind: config.UpstreamEngine, Pool: e.name, Address: address, Domain: "a", Base: "base", Slots: 8, Batch: engineBatch})
	}
	if err := publish(store, d); err != nil {
		return nil, err
	}
	address, err := f.serve(platform.NewServer(store).Handler())
	if err != nil {
		return nil, err
	}
	return f, f.startHost(address)
}

func document() *config.Document {
	return &config.Document{
		BaseModels: []config.BaseModel{{ID: "base"}},
		Workspaces: []config.Workspace{{ID: "w", Rate: unlimitedRate, Burst: unlimitedRate, Weight: 1}},
		Keys:       []config.Key{{ID: "k", Workspace: "w", Hash: config.HashKey(keySecret, callerKey)}},
		Adapters:   []config.Adapter{{ID: adapterName, Base: "base", Versions: []int{1}, Default: 1}},
	}
}

func publish(store *platform.Store, d *config.Document) error {
	head, chunks, err := config.Encode(config.Canonical(d))
	if err != nil {
		return Error.Wrap(err)
	}
	for hash, chunk := range chunks {
		store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: config.ChunkPrefix + hash, Value: chunk})
	}
	head.Version = 1
	value, err := config.EncodeHead(head)
	if err != nil {
		return Error.Wrap(err)
	}
	store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: config.HeadKey, Value: value})
	return nil
}

func (f *testbed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *testbed) startHost(platformAddress string) error {
	authority, err := peer.NewAuthority("overhead", time.Hour)
	if err != nil {
		return err
	}
	material, err := authority.Material("entry-0", time.Hour)
	if err != nil {
		return err
	}
	h, err := wiring.New(wiring.Settings{
		Name: "entry-0", Domain: "a", Region: "r", Callers: "127.0.0.1:0", Links: "127.0.0.1:0",
		Platform: platformAddress, KeySecret: keySecret, Material: material,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.host = h.Address
	go func() { f.done <- h.Run(ctx) }()
	return f.waitReady()
}

// waitReady waits until the host serves each route. Its requests load the
// adapter into the engines, also for the requests that go to an engine
// directly.
func (f *testbed) waitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, path := range []string{pathUsual, pathQuick, pathEndless} {
		for {
			err := f.probe(path)
			if err == nil {
				break
			}
			if time.Now().After(end) {
				return Error.New("the host is not ready in time: %w", err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *testbed) probe(path string) error {
	c := completionCall(f.host, adapterName, 1)
	c.Path = path
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := f.client.Do(ctx, c)
	if err != nil {
		return err
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		body, _ := upstream.ReadBody(a, upstream.MaxAnswerBytes)
		return errors.New(strings.TrimSpace(string(body)))
	}
	if path == pathEndless {
		return nil
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

func (f *testbed) stop() {
	f.cancel()
	<-f.done
	f.client.Close()
	for _, s := range f.servers {
		_ = s.Close()
	}
	log.SetLevel(f.level)
}

// disableLog disables logging: request lines would mix with the report, and
// writing them is not measured.
func disableLog(f *testbed) {
	f.level = log.InfoLevel
	if l, ok := log.Log.(*log.Logger); ok {
		f.level = l.Level
	}
	log.SetLevel(log.FatalLevel)
}

// rewriteCompletionsPath rewrites the path of completion requests to the one
// that the engine serves.
func rewriteCompletionsPath(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/completions") {
			r.URL.Path = pathUsual
		}
		h.ServeHTTP(w, r)
	})
}
