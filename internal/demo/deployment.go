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
	entryHostCount      = 3
	readyTimeout        = 20 * time.Second
	requestRefusalDelay = 2 * time.Second // shorter than the default, to shorten the tour
	certValidity        = time.Hour
)

// secret is the secret with which the key hashes of the sample documents were
// made.
var secret = []byte("demo-secret")

// scenario names what the tour uses of a sample document.
type scenario struct {
	adapters           []string // IDs of those that workspace may use
	workspace          core.WorkspaceID
	limitedWorkspace   core.WorkspaceID // used to exceed the rate limit
	withdrawnWorkspace core.WorkspaceID // its key is withdrawn in the tour
	bookingPath        string           // path of a route that is not idempotent
	region             core.Region
	pool               string // of engines
	weightLoadRate     float64
}

var scenarios = map[string]scenario{
	"parapet": {
		workspace: "care-homes", limitedWorkspace: "families", withdrawnWorkspace: "housing-offices",
		bookingPath: "/v1/bookings", region: "sofia", pool: "drafter", weightLoadRate: 3,
	},
	"embalse": {
		workspace: "power-utility", limitedWorkspace: "water-board-norte", withdrawnWorkspace: "dam-operators",
		bookingPath: "/v1/alarms/acknowledge", region: "cr-central", pool: "hidro-lm", weightLoadRate: 3.5,
	},
}

// deployment is a running deployment: hosts, and the emulated platform and
// upstreams.
type deployment struct {
	scenario
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

// entryHost is one running host; cancel stops it without a graceful shutdown,
// and runError receives the result of Run.
type entryHost struct {
	*wiring.ServeHost
	domain   core.Domain
	cancel   context.CancelFunc
	runError chan error
}

// start starts a deployment and waits until its hosts are ready and have
// applied the same membership.
func start(ctx context.Context, name string) (*deployment, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, InvalidOptions.New("deployment is %q; it must be parapet or embalse", name)
	}
	d := &deployment{scenario: s, engines: map[core.UpstreamID]*standin.Engine{}, services: map[core.UpstreamID]*standin.Service{}}
	for _, step := range []func() error{
		func() error { return d.loadDocument(name) },
		d.startPlatform,
		d.startUpstreams,
		func() error { return d.changeConfiguration(ctx, "setup", func(*config.Document) {}) },
		func() error { return d.startHosts(ctx) },
	} {
		if err := step(); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// loadDocument reads the sample document and the adapters that the workspace
// may use.
func (d *deployment) loadDocument(name string) error {
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

// startServer serves HTTP on a free loopback port and returns its address.
func (d *deployment) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *deployment) startPlatform() error {
	d.store = standplatform.NewStore()
	d.server = standplatform.NewServer(d.store)
	var err error
	d.platform, err = d.startServer(d.server.Handler())
	return err
}

// startUpstreams starts an emulator for each upstream and sets its address in
// the document.
func (d *deployment) startUpstreams() error {
	weights := standin.NewWeightStore(standin.WeightSettings{LoadTime: 250 * time.Millisecond, FullSpeedLoads: 8, LoadsPerSecond: d.weightLoadRate, LoadBurst: 8})
	for i := range d.document.Upstreams {
		u := &d.document.Upstreams[i]
		address, err := d.startServer(d.newUpstream(u, weights))
		if err != nil {
			return err
		}
		u.Address = address
	}
	return nil
}

// newUpstream creates the emulator of an upstream and returns its handler.
func (d *deployment) newUpstream(u *config.Upstream, weights *standin.WeightStore) http.Handler {
	if u.Kind == config.UpstreamService {
		s := standin.NewService(standin.ServiceSettings{Name: string(u.ID), AnswerDelay: 20 * time.Millisecond})
		d.services[u.ID] = s
		return s.Handler()
	}
	e := standin.NewEngine(standin.EngineSettings{
		Name:         string(u.ID),
		PrefillTime:  80 * time.Millisecond,
		TokenTime:    20 * time.Millisecond,
		Slowdown:     0.02,
		AdapterSlots: u.Slots,
		BatchSize:    u.Batch,
		ReportLag:    200 * time.Millisecond,
		CheckFence:   u.Fencing,
		Weights:      weights,
	})
	d.engines[u.ID] = e
	return e.Handler()
}

// changeConfiguration changes the configuration in force in the way of an
// operator. If there is none yet, it changes and applies the sample document.
func (d *deployment) changeConfiguration(ctx context.Context, operator string, change func(*config.Document)) error {
	client := platform.New(platform.Options{Address: d.platform})
	defer client.Close()
	service := admin.New(client)
	current, err := service.Load(ctx)
	if err != nil {
		return err
	}
	next := d.document
	if current.ObjectVersion != 0 {
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

// startHosts starts the hosts, one per failure domain.
func (d *deployment) startHosts(ctx context.Context) error {
	var err error
	if d.authority, err = peer.NewAuthority("demo", certValidity); err != nil {
		return err
	}
	for i := range entryHostCount {
		if err := d.startHost(ctx, i); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := waitReady(ctx, h.Address); err != nil {
			return err
		}
	}
	return waitUntil(ctx, readyTimeout, "all hosts have applied the same membership", func() bool { return d.membershipApplied(ctx) })
}

// membershipApplied reports whether every host has all hosts in its membership
// view and no host acts under an older view.
func (d *deployment) membershipApplied(ctx context.Context) bool {
	for _, h := range d.hosts {
		v := make(chan node.Status, 1)
		err := h.Host.Read(ctx, func(n *node.Node, _ core.Instant) { v <- n.Status() })
		if err != nil {
			return false
		}
		if x := <-v; x.Members != entryHostCount || x.LowestAppliedView != x.View {
			return false
		}
	}
	return true
}

func (d *deployment) startHost(ctx context.Context, i int) error {
	domain := fmt.Sprintf("%s-%c", d.region, 'a'+i)
	name := domain + "-0"
	material, err := d.authority.Material(name, certValidity)
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
		Node:      node.Settings{RequestRefusalDelay: requestRefusalDelay},
	})
	if err != nil {
		return err
	}
	own, kill := context.WithCancel(ctx)
	h := &entryHost{ServeHost: r, domain: core.Domain(domain), cancel: kill, runError: make(chan error, 1)}
	d.hosts = append(d.hosts, h)
	go func() { h.runError <- r.Run(own) }()
	return nil
}

// stop stops all hosts and emulators that were started.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.cancel()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func waitReady(ctx context.Context, address string) error {
	return waitUntil(ctx, readyTimeout, "host at "+address+" is ready", func() bool {
		r, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode == http.StatusOK
	})
}

// waitUntil polls until condition returns true. It fails after the timeout or
// when ctx is done; description names the condition in the error.
func waitUntil(ctx context.Context, timeout time.Duration, description string, condition func() bool) error {
	const pollInterval = 20 * time.Millisecond
	end := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(end) {
			return Failed.New("condition not met within %v: %s", timeout, description)
		}
		select {
		case <-ctx.Done():
			return Failed.Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}
