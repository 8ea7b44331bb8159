// Package demo runs a whole deployment in one process, with emulated platform
// and upstreams and a sample configuration document, and checks its guarantees
// in a tour of steps. The hosts and the emulators come from other packages.
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
	// Failed is the class of demos in which a step failed or a condition was
	// not met in time.
	Failed = errs.Class("demo")
	// InvalidOptions is the class of invalid options.
	InvalidOptions = errs.Class("demo options")
)

// Options of a demo run.
type Options struct {
	Deployment  string // parapet or embalse
	Output      string // text or json
	KeepRunning bool   // skip the tour and run until interrupted
}

// Step is the result of one step of the tour.
type Step struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// Result is the result of the tour; OK means that every step was OK.
type Result struct {
	Steps []Step `json:"steps"`
	OK    bool   `json:"ok"`
}

// Run starts the deployment, runs the tour and prints its steps as text, or the
// result as JSON. It returns an error if a step failed.
func Run(ctx context.Context, w io.Writer, o Options) error {
	if o.Output != "text" && o.Output != "json" {
		return InvalidOptions.New("output is %q; it must be text or json", o.Output)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := start(ctx, o.Deployment)
	if err != nil {
		return err
	}
	defer d.stop()
	text := w
	if o.Output == "json" {
		text = io.Discard
	}
	fmt.Fprintf(text, "%s: %d hosts, %d engines, %d services, %d adapters\n\n", o.Deployment, len(d.hosts), len(d.engines), len(d.services), len(d.document.Adapters))
	if o.KeepRunning {
		return d.keepRunning(ctx, text)
	}
	result := d.runTour(ctx, text)
	if o.Output == "json" {
		if err := json.NewEncoder(w).Encode(result); err != nil {
			return Failed.Wrap(err)
		}
	}
	if !result.OK {
		return Failed.New("at least one step of the tour failed")
	}
	return nil
}

// runTour runs all steps of the tour, also after a failed one. A step that
// returns an error has failed.
func (d *deployment) runTour(ctx context.Context, w io.Writer) Result {
	result := Result{OK: true}
	for i, s := range tour {
		fmt.Fprintf(w, "%d. %s\n   expected: %s\n", i+1, s.name, s.expected)
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

// keepRunning prints commands to try and waits until ctx is done.
func (d *deployment) keepRunning(ctx context.Context, w io.Writer) error {
	address := d.hosts[0].Address
	fmt.Fprintf(w, "curl -s -H 'Authorization: Bearer %s' http://%s/v1/entries\n", apiKey(d.workspace), address)
	fmt.Fprintf(w, "curl -sN -H 'Authorization: Bearer %s' http://%s/v1/completions -d '%s'\n", apiKey(d.workspace), address, completion(d.adapters[0], 16))
	fmt.Fprintf(w, "curl -s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: crew-1' http://%s%s -d '{\"job\":1}'\n", apiKey(d.workspace), address, d.bookingPath)
	fmt.Fprintf(w, "curl -s http://%s/metrics\n\ninterrupt to stop\n", address)
	<-ctx.Done()
	return nil
}
