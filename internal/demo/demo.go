// Package demo runs a whole deployment in one process and walks through what
// it promises.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/zeebo/errs"
)

// Classes of failure.
var (
	// Failed is the class of a demo whose steps did not all hold.
	Failed = errs.Class("demo")
	// Usage is the class of options that can't be used.
	Usage = errs.Class("demo options")
)

// Options of a demo run.
type Options struct {
	Deployment string // parapet or embalse
	Output     string // text or json
	Keep       bool   // leave it running after the tour
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

// Run starts the deployment, walks the tour and prints it. It fails unless
// every step held.
func Run(ctx context.Context, w io.Writer, o Options) error {
	if o.Output != "text" && o.Output != "json" {
		return Usage.New("output is text or json, not %q", o.Output)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := start(ctx, o.Deployment)
	if err != nil {
		return err
	}
	defer d.stop()
	say := w
	if o.Output == "json" {
		say = io.Discard
	}
	fmt.Fprintf(say, "%s: %d hosts, %d engines, %d services, %d adapters\n\n", o.Deployment, len(d.hosts), len(d.engines), len(d.services), len(d.document.Adapters))
	if o.Keep {
		return d.keep(ctx, say)
	}
	result := d.walk(ctx, say)
	if o.Output == "json" {
		if err := json.NewEncoder(w).Encode(result); err != nil {
			return Failed.Wrap(err)
		}
	}
	if !result.OK {
		return Failed.New("not every step held")
	}
	return nil
}

// walk takes every step of the tour.
func (d *deployment) walk(ctx context.Context, w io.Writer) Result {
	result := Result{OK: true}
	for i, s := range tour {
		fmt.Fprintf(w, "%d. %s\n   expected: %s\n", i+1, s.name, s.expect)
		seen, ok, err := s.run(ctx, d)
		if err != nil {
			seen, ok = err.Error(), false
		}
		verdict := "held"
		if !ok {
			verdict = "DID NOT HOLD"
		}
		fmt.Fprintf(w, "   seen:     %s\n   %s\n\n", seen, verdict)
		result.Steps = append(result.Steps, Step{Name: s.name, OK: ok, Detail: seen})
		result.OK = result.OK && ok
	}
	return result
}

// keep leaves the deployment running and tells how to use it.
func (d *deployment) keep(ctx context.Context, w io.Writer) error {
	address := d.hosts[0].Address
	fmt.Fprintf(w, "curl -s -H 'Authorization: Bearer %s' http://%s/v1/entries\n", keyOf(d.workspace), address)
	fmt.Fprintf(w, "curl -sN -H 'Authorization: Bearer %s' http://%s/v1/completions -d '%s'\n", keyOf(d.workspace), address, completion(d.adapters[0], 16))
	fmt.Fprintf(w, "curl -s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: crew-1' http://%s%s -d '{\"job\":1}'\n", keyOf(d.workspace), address, d.booking)
	fmt.Fprintf(w, "curl -s http://%s/metrics\n\ninterrupt to stop\n", address)
	<-ctx.Done()
	return nil
}
