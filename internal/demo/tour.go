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

// Bounds that the tour holds the deployment to.
const (
	withdrawWithin = 5 * time.Second
	cancelWithin   = 2 * time.Second
	lostWithin     = 20 * time.Second
	leaveWithin    = 15 * time.Second
	outage         = 5 * time.Second
	longStream     = 200 // tokens, several seconds
)

// stop is one stop of the tour: what is expected, and a run that tells what was
// seen and whether it held.
type stop struct {
	name   string
	expect string
	run    func(ctx context.Context, d *deployment) (seen string, ok bool, err error)
}

var tour = []stop{
	{"ask for entries", "addresses of live hosts, near ones first, and how long to keep them", askEntries},
	{"cold adapter", "a whole stream from the default version, after a load", coldAdapter},
	{"warm adapter", "the same on another host, without a load", warmAdapter},
	{"cancelled request", "the engine stops as soon as the caller hangs up", cancelled},
	{"limit reached", "429 with ran=no and a time to come back; nothing ran", limitReached},
	{"key withdrawn", "the running stream ends with a typed event, the next request gets 401", keyWithdrawn},
	{"booking sent twice", "one effect; the repeat on another host gets the recorded answer", bookingTwice},
	{"store down", "answers go on, bookings are refused with ran=no", storeDown},
	{"graceful shutdown", "the stream in flight ends whole, then the host leaves", gracefulShutdown},
	{"host lost", "the others name it no more and serve on", hostLost},
}

func askEntries(_ context.Context, d *deployment) (string, bool, error) {
	near := d.hosts[1]
	addresses, keep, err := entries(d.hosts[0].Address, d.workspace, near.domain)
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
	return fmt.Sprintf("%d addresses, all of live hosts: %v, the caller's failure domain first: %v, kept for %.0f s", len(addresses), known == len(addresses), nearFirst, keep),
		nearFirst && known == len(addresses) && keep > 0, nil
}

func (d *deployment) stream(ctx context.Context, host int, model string, tokens int, onToken func(int)) (reply, error) {
	return send(ctx, call{address: d.hosts[host].Address, path: "/v1/completions", workspace: d.workspace, body: completion(model, tokens), onToken: onToken})
}

func coldAdapter(ctx context.Context, d *deployment) (string, bool, error) {
	r, err := d.stream(ctx, 0, d.adapters[0], 8, nil)
	if err != nil {
		return "", false, err
	}
	_, a := snapshotOf(d, d.adapters[0])
	want := core.AdapterRef{ID: a.ID, Version: a.Default}.String()
	return fmt.Sprintf("status %d %s, adapter %s, %d tokens, whole %v, first after %v", r.status, r.failure.Code, r.adapter, r.tokens, r.whole, r.first.Round(time.Millisecond)),
		r.whole && r.tokens == 8 && r.adapter == want, nil
}

func snapshotOf(d *deployment, adapter string) (*config.Snapshot, *config.Adapter) {
	s := config.NewSnapshot(1, d.document)
	_, a, _ := s.ResolveModel(adapter, d.workspace)
	return s, a
}

func warmAdapter(ctx context.Context, d *deployment) (string, bool, error) {
	before := d.loaded(d.adapters[0])
	r, err := d.stream(ctx, 1, d.adapters[0], 8, nil)
	if err != nil {
		return "", false, err
	}
	after := d.loaded(d.adapters[0])
	return fmt.Sprintf("whole %v, first after %v, engines that hold it %d, before %d", r.whole, r.first.Round(time.Millisecond), after, before),
		r.whole && before == after, nil
}

// loaded is how many engines hold an adapter.
func (d *deployment) loaded(adapter string) int {
	_, a := snapshotOf(d, adapter)
	name := core.AdapterRef{ID: a.ID, Version: a.Default}.String()
	n := 0
	for _, e := range d.engines {
		if _, ok := e.Adapters()[name]; ok {
			n++
		}
	}
	return n
}

// traced is how many requests of all engines ended with an outcome.
func (d *deployment) traced(outcome string) int {
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
	before := d.traced("cancelled")
	caller, hangUp := context.WithCancel(ctx)
	defer hangUp()
	var hungUp time.Time
	_, _ = d.stream(caller, 0, d.adapters[0], longStream, func(n int) {
		if n == 3 {
			hungUp = time.Now()
			hangUp()
		}
	})
	err := until(ctx, cancelWithin, "the engine stops", func() bool { return d.traced("cancelled") > before })
	if err != nil {
		return err.Error(), false, nil
	}
	return fmt.Sprintf("the engine stopped %v after the hang-up", time.Since(hungUp).Round(time.Millisecond)), !hungUp.IsZero(), nil
}

func limitReached(ctx context.Context, d *deployment) (string, bool, error) {
	ws := config.NewSnapshot(1, d.document).Workspace(d.small)
	adapter := d.adapterOf(d.small)
	ask := int(ws.Burst) / 3
	var mu sync.Mutex
	var limited []reply
	whole, failures := 0, 0
	var wait sync.WaitGroup
	for i := range 6 { // twice the burst at once
		wait.Go(func() {
			caller, hangUp := context.WithTimeout(ctx, 3*time.Second)
			defer hangUp()
			r, err := send(caller, call{address: d.hosts[i%entryHosts].Address, path: "/v1/completions", workspace: d.small, body: completion(adapter, ask)})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status == 429:
				limited = append(limited, r)
			case err != nil || r.status == 200:
				whole++
			default:
				failures++
			}
		})
	}
	wait.Wait()
	honest := true
	for _, r := range limited {
		honest = honest && r.failure.Code == core.CodeRateLimited && r.failure.Ran == core.RanNo && r.failure.RetryAfter > 0
	}
	return fmt.Sprintf("of 6 requests for a third of the burst each, %d were let in, %d refused with 429, each with ran=no and retry_after: %v", whole, len(limited), honest),
		whole >= 1 && whole <= 3 && len(limited) >= 3 && failures == 0 && honest, nil
}

// adapterOf is an adapter that a workspace may use.
func (d *deployment) adapterOf(ws core.WorkspaceID) string {
	s := config.NewSnapshot(1, d.document)
	for _, a := range d.document.Adapters {
		if _, _, refusal := s.ResolveModel(string(a.ID), ws); refusal == nil {
			return string(a.ID)
		}
	}
	return ""
}

func keyWithdrawn(ctx context.Context, d *deployment) (string, bool, error) {
	adapter := d.adapterOf(d.withdrawn)
	begun := make(chan struct{})
	ended := make(chan reply, 1)
	go func() {
		r, _ := send(ctx, call{address: d.hosts[2].Address, path: "/v1/completions", workspace: d.withdrawn, body: completion(adapter, 1000), onToken: func(n int) {
			if n == 1 {
				close(begun)
			}
		}})
		ended <- r
	}()
	select {
	case <-begun:
	case r := <-ended:
		return fmt.Sprintf("the stream did not begin: %d %v", r.status, r.failure), false, nil
	}
	accepted := time.Now()
	err := d.apply(ctx, "demo", func(doc *config.Document) {
		for i := range doc.Keys {
			if doc.Keys[i].Workspace == d.withdrawn {
				doc.Keys[i].Withdrawn = true
			}
		}
	})
	if err != nil {
		return "", false, err
	}
	r := <-ended
	took := time.Since(accepted)
	next, err := send(ctx, call{address: d.hosts[0].Address, path: "/v1/completions", workspace: d.withdrawn, body: completion(adapter, 8)})
	if err != nil {
		return "", false, err
	}
	return fmt.Sprintf("cut with %s, ran=%s, %v after the change was sent; the next request got %d", r.failure.Code, r.failure.Ran, took.Round(time.Millisecond), next.status),
		!r.whole && r.failure.Code == core.CodeKeyWithdrawn && r.failure.Ran == core.RanYes && took < withdrawWithin && next.status == 401, nil
}

func (d *deployment) book(ctx context.Context, host int, key string) (reply, error) {
	return send(ctx, call{address: d.hosts[host].Address, path: d.booking, workspace: d.workspace, body: `{"job":17}`, idempotency: key})
}

// effects is how often any service acted on calls so far.
func (d *deployment) effects() int {
	n := 0
	for _, s := range d.services {
		for _, e := range s.Effects() {
			n += e
		}
	}
	return n
}

// repeat books again, and comes back when told to: the outcome of a try that
// has just ended may not be recorded yet.
func (d *deployment) repeat(ctx context.Context, host int, key string) (reply, error) {
	const most = 5
	var r reply
	for range most {
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
	before := d.effects()
	first, err := d.book(ctx, 0, "crew-17")
	if err != nil {
		return "", false, err
	}
	second, err := d.repeat(ctx, 1, "crew-17")
	if err != nil {
		return "", false, err
	}
	done := d.effects() - before
	return fmt.Sprintf("effects %d; first %d, repeat %d, replayed %v, same answer %v", done, first.status, second.status, second.replay, first.body == second.body),
		done == 1 && second.replay && first.body == second.body, nil
}

func storeDown(ctx context.Context, d *deployment) (string, bool, error) {
	d.store.SetDown(true)
	defer d.store.SetDown(false)
	whole := 0
	asked := 0
	for end := time.Now().Add(outage); time.Now().Before(end); {
		r, err := d.stream(ctx, asked%entryHosts, d.adapters[0], 8, nil)
		asked++
		if err == nil && r.whole {
			whole++
		}
	}
	before := d.effects()
	b, err := d.book(ctx, 0, "crew-18")
	if err != nil {
		return "", false, err
	}
	return fmt.Sprintf("%d of %d streams whole during %v of outage; a booking got %s, ran=%s, effects %d", whole, asked, outage, b.failure.Code, b.failure.Ran, d.effects()-before),
		whole == asked && asked > 0 && b.failure.Code == core.CodeStoreUnavailable && b.failure.Ran == core.RanNo && d.effects() == before, nil
}

func hostLost(ctx context.Context, d *deployment) (string, bool, error) {
	lost := d.hosts[1]
	lost.kill()
	began := time.Now()
	err := until(ctx, lostWithin, "the lost host is named no more", func() bool {
		addresses, _, err := entries(d.hosts[0].Address, d.workspace, "")
		return err == nil && len(addresses) > 0 && !slices.Contains(addresses, lost.Address)
	})
	if err != nil {
		return err.Error(), false, nil
	}
	hidden := time.Since(began)
	whole := 0
	const asked = 5
	var refused []string
	for i := range asked {
		r, err := d.stream(ctx, 0, d.adapters[i], 8, nil)
		if err == nil && r.whole {
			whole++
			continue
		}
		refused = append(refused, fmt.Sprintf("%s after %.1f s (come back after %.1f s)", r.failure.Code, time.Since(began).Seconds(), r.failure.RetryAfter))
	}
	return fmt.Sprintf("named no more after %v; %d of %d streams whole since, cold ones among them; refused: %v", hidden.Round(time.Millisecond), whole, asked, refused),
		whole == asked, nil
}

func gracefulShutdown(ctx context.Context, d *deployment) (string, bool, error) {
	leaving := d.hosts[2]
	begun := make(chan struct{})
	ended := make(chan reply, 1)
	go func() {
		r, _ := d.stream(ctx, 2, d.adapters[0], longStream, func(n int) {
			if n == 1 {
				close(begun)
			}
		})
		ended <- r
	}()
	<-begun
	began := time.Now()
	leaving.Leave()
	err := until(ctx, leaveWithin, "the leaving host is named no more", func() bool {
		addresses, _, err := entries(d.hosts[0].Address, d.workspace, "")
		return err == nil && !slices.Contains(addresses, leaving.Address)
	})
	if err != nil {
		return err.Error(), false, nil
	}
	hidden := time.Since(began)
	r := <-ended
	select {
	case err := <-leaving.done:
		return fmt.Sprintf("named no more after %v; the stream had %d tokens, whole %v; the host was gone after %v, error %v", hidden.Round(time.Millisecond), r.tokens, r.whole, time.Since(began).Round(time.Millisecond), err),
			r.whole && r.tokens == longStream && err == nil, nil
	case <-time.After(leaveWithin):
		return fmt.Sprintf("the host did not leave within %v", leaveWithin), false, nil
	}
}
