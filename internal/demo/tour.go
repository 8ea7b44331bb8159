package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Time limits of the steps, and sizes of what they do.
const (
	withdrawalTimeout = 5 * time.Second
	cancelTimeout     = 2 * time.Second
	hostLossTimeout   = 20 * time.Second
	leaveTimeout      = 15 * time.Second
	storeOutage       = 5 * time.Second
	longStreamTokens  = 200 // it takes several seconds
)

// tourStep is one step of the tour. Its run returns a description of what
// happened and whether that is what was expected.
type tourStep struct {
	name     string
	expected string
	run      func(ctx context.Context, d *deployment) (seen string, ok bool, err error)
}

var tour = []tourStep{
	{"ask for entries", "addresses of live hosts, near ones first, and how long to cache them", getEntries},
	{"cold adapter", "a complete stream from the default version, after a load", coldAdapter},
	{"warm adapter", "the same on another host, without a load", warmAdapter},
	{"cancelled request", "the engine stops as soon as the caller hangs up", cancelled},
	{"limit reached", "429 with ran=no and retry_after; nothing ran", limitReached},
	{"key withdrawn", "the running stream ends with an error event, the next request gets 401", keyWithdrawn},
	{"booking sent twice", "one effect; the repeat on another host gets the recorded answer", bookingTwice},
	{"store down", "completions are still served; bookings are refused with ran=no", storeDown},
	{"graceful shutdown", "the stream in flight completes, then the host leaves", gracefulShutdown},
	{"host lost", "the other hosts stop listing it and continue to serve", hostLost},
}

func getEntries(_ context.Context, d *deployment) (string, bool, error) {
	near := d.hosts[1]
	addresses, keep, err := fetchEntries(d.hosts[0].Address, d.workspace, near.domain)
	if err != nil {
		return "", false, err
	}
	nearFirst := len(addresses) > 0 && addresses[0] == near.Address
	known := 0
	for _, h := range d.hosts {
		if slices.Contains(addresses, h.Address) {
			known++
		}
	}
	return fmt.Sprintf("%d addresses, all of live hosts: %v, the caller's failure domain first: %v, to be cached for %.0f s", len(addresses), known == len(addresses), nearFirst, keep),
		nearFirst && known == len(addresses) && keep > 0, nil
}

// stream sends a streaming completion request to a host, by its index.
func (d *deployment) stream(ctx context.Context, host int, model string, tokens int, onToken func(int)) (reply, error) {
	return send(ctx, call{address: d.hosts[host].Address, path: "/v1/completions", workspace: d.workspace, body: completion(model, tokens), onToken: onToken})
}

func coldAdapter(ctx context.Context, d *deployment) (string, bool, error) {
	r, err := d.stream(ctx, 0, d.adapters[0], 8, nil)
	if err != nil {
		return "", false, err
	}
	_, a := resolveAdapter(d, d.adapters[0])
	expected := core.AdapterRef{ID: a.ID, Version: a.Default}.String()
	return fmt.Sprintf("status %d %s, adapter %s, %d tokens, complete %v, first token after %v", r.status, r.failure.Code, r.adapter, r.tokens, r.complete, r.firstToken.Round(time.Millisecond)),
		r.complete && r.tokens == 8 && r.adapter == expected, nil
}

// resolveAdapter resolves an adapter for the scenario's workspace.
func resolveAdapter(d *deployment, adapter string) (*config.Snapshot, *config.Adapter) {
	s := config.NewSnapshot(1, d.document)
	_, a, _ := s.ResolveModel(adapter, d.workspace)
	return s, a
}

func warmAdapter(ctx context.Context, d *deployment) (string, bool, error) {
	before := d.enginesWithAdapter(d.adapters[0])
	r, err := d.stream(ctx, 1, d.adapters[0], 8, nil)
	if err != nil {
		return "", false, err
	}
	after := d.enginesWithAdapter(d.adapters[0])
	return fmt.Sprintf("complete %v, first token after %v, engines that have it loaded %d, before %d", r.complete, r.firstToken.Round(time.Millisecond), after, before),
		r.complete && before == after, nil
}

// enginesWithAdapter returns the number of engines that have the adapter's
// default version loaded.
func (d *deployment) enginesWithAdapter(adapter string) int {
	_, a := resolveAdapter(d, adapter)
	name := core.AdapterRef{ID: a.ID, Version: a.Default}.String()
	n := 0
	for _, e := range d.engines {
		if _, ok := e.Adapters()[name]; ok {
			n++
		}
	}
	return n
}

// requestsWithOutcome returns the number of requests to all engines with an
// outcome.
func (d *deployment) requestsWithOutcome(outcome string) int {
	n := 0
	for _, e := range d.engines {
		for _, t := range e.Traces() {
			if t.Outcome == outcome {
				n++
			}
		}
	}
	return n
}

func cancelled(ctx context.Context, d *deployment) (string, bool, error) {
	before := d.requestsWithOutcome("cancelled")
	caller, hangUp := context.WithCancel(ctx)
	defer hangUp()
	var hungUp time.Time
	_, _ = d.stream(caller, 0, d.adapters[0], longStreamTokens, func(n int) {
		if n == 3 {
			hungUp = time.Now()
			hangUp()
		}
	})
	err := waitUntil(ctx, cancelTimeout, "the engine stops", func() bool { return d.requestsWithOutcome("cancelled") > before })
	if err != nil {
		return err.Error(), false, nil
	}
	return fmt.Sprintf("the engine stopped %v after the hang-up", time.Since(hungUp).Round(time.Millisecond)), !hungUp.IsZero(), nil
}

func limitReached(ctx context.Context, d *deployment) (string, bool, error) {
	ws := config.NewSnapshot(1, d.document).Workspace(d.limitedWorkspace)
	adapter := d.allowedAdapter(d.limitedWorkspace)
	tokens := int(ws.Burst) / 3
	var mu sync.Mutex
	var limited []reply
	completed, failures := 0, 0
	var wait sync.WaitGroup
	for i := range 6 { // in total twice the burst
		wait.Go(func() {
			caller, hangUp := context.WithTimeout(ctx, 3*time.Second)
			defer hangUp()
			r, err := send(caller, call{address: d.hosts[i%entryHostCount].Address, path: "/v1/completions", workspace: d.limitedWorkspace, body: completion(adapter, tokens)})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status == 429:
				limited = append(limited, r)
			case err != nil || r.status == 200:
				completed++
			default:
				failures++
			}
		})
	}
	wait.Wait()
	wellFormed := true
	for _, r := range limited {
		wellFormed = wellFormed && r.failure.Code == core.CodeRateLimited && r.failure.Ran == core.RanNo && r.failure.RetryAfter > 0
	}
	return fmt.Sprintf("of 6 requests for a third of the burst each, %d were admitted, %d refused with 429, each with ran=no and retry_after: %v", completed, len(limited), wellFormed),
		completed >= 1 && completed <= 3 && len(limited) >= 3 && failures == 0 && wellFormed, nil
}

// allowedAdapter returns the first adapter that a workspace may use, "" if
// there is none.
func (d *deployment) allowedAdapter(ws core.WorkspaceID) string {
	s := config.NewSnapshot(1, d.document)
	for _, a := range d.document.Adapters {
		if _, _, refusal := s.ResolveModel(string(a.ID), ws); refusal == nil {
			return string(a.ID)
		}
	}
	return ""
}

func keyWithdrawn(ctx context.Context, d *deployment) (string, bool, error) {
	adapter := d.allowedAdapter(d.withdrawnWorkspace)
	started := make(chan struct{})
	ended := make(chan reply, 1)
	go func() {
		r, _ := send(ctx, call{address: d.hosts[2].Address, path: "/v1/completions", workspace: d.withdrawnWorkspace, body: completion(adapter, 1000), onToken: func(n int) {
			if n == 1 {
				close(started)
			}
		}})
		ended <- r
	}()
	select {
	case <-started:
	case r := <-ended:
		return fmt.Sprintf("the stream did not start: %d %v", r.status, r.failure), false, nil
	}
	sentAt := time.Now()
	err := d.changeConfiguration(ctx, "demo", func(doc *config.Document) {
		for i := range doc.Keys {
			if doc.Keys[i].Workspace == d.withdrawnWorkspace {
				doc.Keys[i].Withdrawn = true
			}
		}
	})
	if err != nil {
		return "", false, err
	}
	r := <-ended
	took := time.Since(sentAt)
	next, err := send(ctx, call{address: d.hosts[0].Address, path: "/v1/completions", workspace: d.withdrawnWorkspace, body: completion(adapter, 8)})
	if err != nil {
		return "", false, err
	}
	return fmt.Sprintf("aborted with %s, ran=%s, %v after the change was sent; the next request got %d", r.failure.Code, r.failure.Ran, took.Round(time.Millisecond), next.status),
		!r.complete && r.failure.Code == core.CodeKeyWithdrawn && r.failure.Ran == core.RanYes && took < withdrawalTimeout && next.status == 401, nil
}

// book sends a booking, a request that is not idempotent, to a host.
func (d *deployment) book(ctx context.Context, host int, key string) (reply, error) {
	return send(ctx, call{address: d.hosts[host].Address, path: d.bookingPath, workspace: d.workspace, body: `{"job":17}`, idempotencyKey: key})
}

// effectCount returns the number of effects of all services so far.
func (d *deployment) effectCount() int {
	n := 0
	for _, s := range d.services {
		for _, e := range s.Effects() {
			n += e
		}
	}
	return n
}

// bookWithRetries sends a booking and retries it after RetryAfter while its
// outcome is unknown, since the outcome of an attempt that has just ended may
// not be recorded yet.
func (d *deployment) bookWithRetries(ctx context.Context, host int, key string) (reply, error) {
	const maxAttempts = 5
	var r reply
	for range maxAttempts {
		var err error
		r, err = d.book(ctx, host, key)
		if err != nil || r.failure.Code != core.CodeOutcomeUnknown || r.failure.RetryAfter == 0 {
			return r, err
		}
		time.Sleep(time.Duration(r.failure.RetryAfter * float64(time.Second)))
	}
	return r, nil
}

func bookingTwice(ctx context.Context, d *deployment) (string, bool, error) {
	before := d.effectCount()
	first, err := d.book(ctx, 0, "crew-17")
	if err != nil {
		return "", false, err
	}
	second, err := d.bookWithRetries(ctx, 1, "crew-17")
	if err != nil {
		return "", false, err
	}
	done := d.effectCount() - before
	return fmt.Sprintf("effects %d; first %d, repeat %d, replayed %v, same answer %v", done, first.status, second.status, second.replayed, first.body == second.body),
		done == 1 && second.replayed && first.body == second.body, nil
}

func storeDown(ctx context.Context, d *deployment) (string, bool, error) {
	d.store.SetDown(true)
	defer d.store.SetDown(false)
	completed := 0
	requests := 0
	for end := time.Now().Add(storeOutage); time.Now().Before(end); {
		r, err := d.stream(ctx, requests%entryHostCount, d.adapters[0], 8, nil)
		requests++
		if err == nil && r.complete {
			completed++
		}
	}
	before := d.effectCount()
	b, err := d.book(ctx, 0, "crew-18")
	if err != nil {
		return "", false, err
	}
	return fmt.Sprintf("%d of %d streams complete during %v of outage; a booking got %s, ran=%s, effects %d", completed, requests, storeOutage, b.failure.Code, b.failure.Ran, d.effectCount()-before),
		completed == requests && requests > 0 && b.failure.Code == core.CodeStoreUnavailable && b.failure.Ran == core.RanNo && d.effectCount() == before, nil
}

func hostLost(ctx context.Context, d *deployment) (string, bool, error) {
	lost := d.hosts[1]
	lost.cancel()
	startedAt := time.Now()
	err := waitUntil(ctx, hostLossTimeout, "the lost host is no longer listed", func() bool {
		addresses, _, err := fetchEntries(d.hosts[0].Address, d.workspace, "")
		return err == nil && len(addresses) > 0 && !slices.Contains(addresses, lost.Address)
	})
	if err != nil {
		return err.Error(), false, nil
	}
	unlistedAfter := time.Since(startedAt)
	completed := 0
	const requests = 5
	var refused []string
	for i := range requests {
		r, err := d.stream(ctx, 0, d.adapters[i], 8, nil)
		if err == nil && r.complete {
			completed++
			continue
		}
		refused = append(refused, fmt.Sprintf("%s after %.1f s (retry after %.1f s)", r.failure.Code, time.Since(startedAt).Seconds(), r.failure.RetryAfter))
	}
	return fmt.Sprintf("no longer listed after %v; then %d of %d streams complete, including cold adapters; refused: %v", unlistedAfter.Round(time.Millisecond), completed, requests, refused),
		completed == requests, nil
}

func gracefulShutdown(ctx context.Context, d *deployment) (string, bool, error) {
	leaving := d.hosts[2]
	started := make(chan struct{})
	ended := make(chan reply, 1)
	go func() {
		r, _ := d.stream(ctx, 2, d.adapters[0], longStreamTokens, func(n int) {
			if n == 1 {
				close(started)
			}
		})
		ended <- r
	}()
	<-started
	startedAt := time.Now()
	leaving.Leave()
	err := waitUntil(ctx, leaveTimeout, "the leaving host is no longer listed", func() bool {
		addresses, _, err := fetchEntries(d.hosts[0].Address, d.workspace, "")
		return err == nil && !slices.Contains(addresses, leaving.Address)
	})
	if err != nil {
		return err.Error(), false, nil
	}
	unlistedAfter := time.Since(startedAt)
	r := <-ended
	select {
	case err := <-leaving.runError:
		return fmt.Sprintf("no longer listed after %v; the stream had %d tokens, complete %v; the host stopped after %v, error %v", unlistedAfter.Round(time.Millisecond), r.tokens, r.complete, time.Since(startedAt).Round(time.Millisecond), err),
			r.complete && r.tokens == longStreamTokens && err == nil, nil
	case <-time.After(leaveTimeout):
		return fmt.Sprintf("the host did not leave within %v", leaveTimeout), false, nil
	}
}
