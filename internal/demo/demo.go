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

	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
	"gentiancroft/internal/host"
	"gentiancroft/internal/standin"
	"gentiancroft/internal/upstream"
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

// Run starts the deployment, walks the tour and prints it.
func Run(ctx context.Context, w io.Writer, o Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address, err := start(ctx)
	if err != nil {
		return Failed.Wrap(err)
	}
	result := Result{OK: true}
	for _, name := range []string{"streamed answer on a cold adapter", "streamed answer on a warm adapter"} {
		detail, ok := complete(address)
		result.Steps = append(result.Steps, Step{Name: name, OK: ok, Detail: detail})
		result.OK = result.OK && ok
	}
	if err := print(w, o, result); err != nil {
		return Failed.Wrap(err)
	}
	if !result.OK {
		return Failed.New("a step did not hold")
	}
	return nil
}

func print(w io.Writer, o Options, r Result) error {
	if o.Output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%-40s ok=%v  %s\n", s.Name, s.OK, s.Detail)
	}
	return nil
}

func start(ctx context.Context) (string, error) {
	const key = "demo-key"
	secret := []byte("demo-secret")
	engine := standin.NewEngine(standin.EngineSettings{Name: "drafter-0", LoadTime: 250 * time.Millisecond, FirstToken: 20 * time.Millisecond, TokenTime: 5 * time.Millisecond})
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(engineListener, engine.Handler()) }()
	n := node.New(node.Settings{Seed: 1})
	n.SetSnapshot(config.NewSnapshot(1, &config.Document{
		Workspaces: []config.Workspace{{ID: "care-homes", Rate: 1000, Burst: 10000, Weight: 1}},
		Keys:       []config.Key{{ID: "k1", Workspace: "care-homes", Hash: config.HashKey(secret, key)}},
		Adapters:   []config.Adapter{{ID: "quotes", Versions: []int{1, 2}, Default: 2}},
		Routes:     []config.Route{{Path: "/v1/completions", Kind: config.RouteCompletions, Pool: "drafter", Idempotent: true}},
		Upstreams:  []config.Upstream{{ID: "drafter-0", Kind: config.UpstreamEngine, Pool: "drafter", Address: engineListener.Addr().String()}},
	}))
	h := host.New(n, upstream.Orders{})
	go func() { _ = h.Serve(ctx) }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = entry.New(h, secret).Serve(ctx, l) }()
	return l.Addr().String(), nil
}

func complete(address string) (string, bool) {
	body := `{"model":"quotes","prompt":"a grab rail for a bathroom","max_tokens":8,"stream":true}`
	request, err := http.NewRequest("POST", "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err.Error(), false
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error(), false
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error(), false
	}
	whole := strings.Count(string(answer), "quotes@2:") == 8 && strings.HasSuffix(string(answer), "[DONE]\n\n")
	return fmt.Sprintf("status %d, adapter %s, whole %v, %v", response.StatusCode, response.Header.Get("X-Adapter"), whole, time.Since(started).Round(time.Millisecond)), whole
}
