// Package demo runs a whole deployment in one process and walks through what
// it promises.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/standin"
	standplatform "gentiancroft/internal/standin/platform"
	"gentiancroft/internal/wiring"
)

// Failed is the class of a demo whose steps did not all hold.
var Failed = errs.Class("demo")

// Options of a demo run.
type Options struct {
	Deployment string
	Output     string
}

// Step is one step of the tour.
type Step struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// Result is the whole tour.
type Result struct {
	Steps []Step `json:"steps"`
	OK    bool   `json:"ok"`
}

const (
	hosts     = 3
	engines   = 3
	demoKey   = "demo-key"
	readyWait = 20 * time.Second
)

var secret = []byte("demo-secret")

// Run starts the deployment, walks the tour and prints it.
func Run(ctx context.Context, w io.Writer, o Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses, err := start(ctx)
	if err != nil {
		return Failed.Wrap(err)
	}
	result := Result{OK: true}
	for i, name := range []string{"streamed answer on a cold adapter", "streamed answer on a warm adapter"} {
		detail, ok := complete(addresses[i])
		result.Steps = append(result.Steps, Step{Name: name, OK: ok, Detail: detail})
		result.OK = result.OK && ok
	}
	if err := write(w, o, result); err != nil {
		return Failed.Wrap(err)
	}
	if !result.OK {
		return Failed.New("a step did not hold")
	}
	return nil
}

func write(w io.Writer, o Options, r Result) error {
	if o.Output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%-40s ok=%v  %s\n", s.Name, s.OK, s.Detail)
	}
	return nil
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func start(ctx context.Context) ([]string, error) {
	store := standplatform.NewStore()
	platformAddress, err := serve(standplatform.NewServer(store).Handler())
	if err != nil {
		return nil, err
	}
	document := &config.Document{
		BaseModels: []config.BaseModel{{ID: "base"}},
		Workspaces: []config.Workspace{{ID: "care-homes", Rate: 1000, Burst: 10000, Weight: 1}},
		Keys:       []config.Key{{ID: "k1", Workspace: "care-homes", Hash: config.HashKey(secret, demoKey)}},
		Adapters:   []config.Adapter{{ID: "quotes", Base: "base", Versions: []int{1, 2}, Default: 2}},
		Routes:     []config.Route{{Path: "/v1/completions", Kind: config.RouteCompletions, Pool: "drafter", Idempotent: true, Class: "interactive"}},
	}
	for i := range engines {
		engine := standin.NewEngine(standin.EngineSettings{Name: fmt.Sprint("drafter-", i), LoadTime: 250 * time.Millisecond, FirstToken: 20 * time.Millisecond, TokenTime: 5 * time.Millisecond})
		address, err := serve(engine.Handler())
		if err != nil {
			return nil, err
		}
		document.Upstreams = append(document.Upstreams, config.Upstream{ID: core.UpstreamID(fmt.Sprint("drafter-", i)), Kind: config.UpstreamEngine, Pool: "drafter", Address: address, Domain: "sofia-a", Base: "base", Slots: 8, Batch: 8})
	}
	if err := publish(store, document); err != nil {
		return nil, err
	}
	return startHosts(ctx, platformAddress)
}

func publish(store *standplatform.Store, d *config.Document) error {
	head, chunks, err := config.Encode(config.Canonical(d))
	if err != nil {
		return err
	}
	for hash, chunk := range chunks {
		store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: config.ChunkPrefix + hash, Value: chunk})
	}
	head.Version = 1
	value, err := config.EncodeHead(head)
	if err != nil {
		return err
	}
	store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: config.HeadKey, Value: value})
	return nil
}

func startHosts(ctx context.Context, platformAddress string) ([]string, error) {
	authority, err := peer.NewAuthority("demo", time.Hour)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for i := range hosts {
		name := fmt.Sprint("entry-", i)
		material, err := authority.Material(name, time.Hour)
		if err != nil {
			return nil, err
		}
		h, err := wiring.New(wiring.Settings{
			Name: name, Domain: core.Domain("sofia-" + string(rune('a'+i))), Region: "sofia",
			Callers: "127.0.0.1:0", Links: "127.0.0.1:0", Platform: platformAddress, KeySecret: secret, Material: material,
		})
		if err != nil {
			return nil, err
		}
		go func() { _ = h.Run(ctx) }()
		addresses = append(addresses, h.Address)
	}
	return addresses, waitReady(addresses)
}

func waitReady(addresses []string) error {
	end := time.Now().Add(readyWait)
	for _, a := range addresses {
		for !isReady(a) {
			if time.Now().After(end) {
				return Failed.New("host at %s is not ready", a)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address string) bool {
	r, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

func complete(address string) (string, bool) {
	body := `{"model":"quotes","prompt":"a grab rail for a bathroom","max_tokens":8,"stream":true}`
	request, err := http.NewRequest("POST", "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err.Error(), false
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error(), false
	}
	whole := strings.Count(string(answer), "quotes@2:") == 8 && strings.HasSuffix(string(answer), "[DONE]\n\n")
	return fmt.Sprintf("status %d, adapter %s, whole %v, %v", response.StatusCode, response.Header.Get("X-Adapter"), whole, time.Since(started).Round(time.Millisecond)), whole
}
