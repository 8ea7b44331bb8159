package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"gentiancroft/examples"
	"gentiancroft/internal/admin"
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/platform"
	"gentiancroft/internal/standin"
	standplatform "gentiancroft/internal/standin/platform"
	"gentiancroft/internal/wiring"
)

// Sizes and times of the demo.
const (
	entryHosts = 3
	readyWait  = 20 * time.Second
	keepTime   = 2 * time.Second // shorter than in use, so that the tour is short
	certTerm   = time.Hour
)

// secret is the deployment's key that the sample documents were made with.
var secret = []byte("demo-secret")

// script is what the tour uses of a deployment.
type script struct {
	adapters  []string // of the caller's workspace
	workspace core.WorkspaceID
	small     core.WorkspaceID // the one that reaches its limit
	withdrawn core.WorkspaceID // whose key is withdrawn
	booking   string           // path of a non-idempotent route
	region    core.Region
	pool      string // of engines
	storeRate float64
}

var scripts = map[string]script{
	"parapet": {
		workspace: "care-homes", small: "families", withdrawn: "housing-offices",
		booking: "/v1/bookings", region: "sofia", pool: "drafter", storeRate: 3,
	},
	"embalse": {
		workspace: "power-utility", small: "water-board-norte", withdrawn: "dam-operators",
		booking: "/v1/alarms/acknowledge", region: "cr-central", pool: "hidro-lm", storeRate: 3.5,
	},
}

// deployment is a whole deployment in this process.
type deployment struct {
	script
	document  *config.Document
	store     *standplatform.Store
	server    *standplatform.Server
	platform  string // ip:port
	engines   map[core.UpstreamID]*standin.Engine
	services  map[core.UpstreamID]*standin.Service
	authority *peer.Authority
	hosts     []*entryHost
	servers   []*http.Server
}

// entryHost is one running host.
type entryHost struct {
	*wiring.ServeHost
	domain core.Domain
	kill   context.CancelFunc
	done   chan error
}

// start brings a deployment up and waits until its hosts are ready.
func start(ctx context.Context, name string) (*deployment, error) {
	s, ok := scripts[name]
	if !ok {
		return nil, Usage.New("no deployment %q: parapet or embalse", name)
	}
	d := &deployment{script: s, engines: map[core.UpstreamID]*standin.Engine{}, services: map[core.UpstreamID]*standin.Service{}}
	for _, step := range []func() error{
		func() error { return d.load(name) },
		d.startPlatform,
		d.startUpstreams,
		func() error { return d.apply(ctx, "setup", func(*config.Document) {}) },
		func() error { return d.startHosts(ctx) },
	} {
		if err := step(); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// load reads the sample document.
func (d *deployment) load(name string) error {
	b, err := examples.Documents.ReadFile("documents/" + name + ".yaml")
	if err != nil {
		return err
	}
	d.document, err = config.ParseYAML(b)
	if err != nil {
		return err
	}
	for _, a := range d.document.Adapters {
		if len(a.Workspaces) == 0 || a.Workspaces[0] == d.workspace {
			d.adapters = append(d.adapters, string(a.ID))
		}
	}
	return nil
}

// serve answers HTTP on a free loopback port.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyWait}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *deployment) startPlatform() error {
	d.store = standplatform.NewStore()
	d.server = standplatform.NewServer(d.store)
	var err error
	d.platform, err = d.serve(d.server.Handler())
	return err
}

// startUpstreams serves a stand-in for each upstream of the document and puts
// its address there.
func (d *deployment) startUpstreams() error {
	weights := standin.NewWeightStore(standin.WeightSettings{LoadTime: 250 * time.Millisecond, Transit: 8, Rate: d.storeRate, Burst: 8})
	for i := range d.document.Upstreams {
		u := &d.document.Upstreams[i]
		address, err := d.serve(d.upstream(u, weights))
		if err != nil {
			return err
		}
		u.Address = address
	}
	return nil
}

func (d *deployment) upstream(u *config.Upstream, weights *standin.WeightStore) http.Handler {
	if u.Kind == config.UpstreamService {
		s := standin.NewService(standin.ServiceSettings{Name: string(u.ID), Delay: 20 * time.Millisecond})
		d.services[u.ID] = s
		return s.Handler()
	}
	e := standin.NewEngine(standin.EngineSettings{
		Name:       string(u.ID),
		FirstToken: 80 * time.Millisecond,
		TokenTime:  20 * time.Millisecond,
		Slowdown:   0.02,
		Slots:      u.Slots,
		Batch:      u.Batch,
		ReportLag:  200 * time.Millisecond,
		CheckFence: u.Fencing,
		Weights:    weights,
	})
	d.engines[u.ID] = e
	return e.Handler()
}

// apply changes the accepted configuration as an operator does.
func (d *deployment) apply(ctx context.Context, operator string, change func(*config.Document)) error {
	client := platform.New(platform.Options{Address: d.platform})
	defer client.Close()
	service := admin.New(client)
	current, err := service.Load(ctx)
	if err != nil {
		return err
	}
	next := d.document
	if current.Object != 0 {
		next = config.Canonical(current.Document)
	}
	change(next)
	plan, err := service.Plan(current, next, nil)
	if err != nil {
		return err
	}
	_, err = service.Apply(ctx, admin.Operator{Name: operator, Via: "command line"}, plan)
	return err
}

func (d *deployment) startHosts(ctx context.Context) error {
	var err error
	if d.authority, err = peer.NewAuthority("demo", certTerm); err != nil {
		return err
	}
	for i := range entryHosts {
		if err := d.startHost(ctx, i); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := waitReady(ctx, h.Address); err != nil {
			return err
		}
	}
	return until(ctx, readyWait, "all hosts act under one membership", func() bool { return d.settled(ctx) })
}

// settled reports whether every host knows all others and nobody acts under an
// older membership any more.
func (d *deployment) settled(ctx context.Context) bool {
	for _, h := range d.hosts {
		v := make(chan node.Status, 1)
		err := h.Host.Read(ctx, func(n *node.Node, _ core.Instant) { v <- n.Status() })
		if err != nil {
			return false
		}
		if x := <-v; x.Members != entryHosts || x.LowestAppliedView != x.View {
			return false
		}
	}
	return true
}

func (d *deployment) startHost(ctx context.Context, i int) error {
	domain := fmt.Sprintf("%s-%c", d.region, 'a'+i)
	name := domain + "-0"
	material, err := d.authority.Material(name, certTerm)
	if err != nil {
		return err
	}
	r, err := wiring.New(wiring.Settings{
		Name:      name,
		Domain:    core.Domain(domain),
		Region:    d.region,
		Callers:   "127.0.0.1:0",
		Links:     "127.0.0.1:0",
		Platform:  d.platform,
		KeySecret: secret,
		Material:  material,
		Node:      node.Settings{RequestRefusalDelay: keepTime},
	})
	if err != nil {
		return err
	}
	own, kill := context.WithCancel(ctx)
	h := &entryHost{ServeHost: r, domain: core.Domain(domain), kill: kill, done: make(chan error, 1)}
	d.hosts = append(d.hosts, h)
	go func() { h.done <- r.Run(own) }()
	return nil
}

// stop ends everything that was started.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func waitReady(ctx context.Context, address string) error {
	return until(ctx, readyWait, "host at "+address+" is ready", func() bool {
		r, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode == http.StatusOK
	})
}

// until waits for a condition, at most d.
func until(ctx context.Context, d time.Duration, what string, holds func() bool) error {
	const look = 20 * time.Millisecond
	end := time.Now().Add(d)
	for !holds() {
		if time.Now().After(end) {
			return Failed.New("not within %v: %s", d, what)
		}
		select {
		case <-ctx.Done():
			return Failed.Wrap(ctx.Err())
		case <-time.After(look):
		}
	}
	return nil
}
