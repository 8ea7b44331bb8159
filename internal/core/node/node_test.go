package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

var secret = []byte("secret")

// sampleDocument returns the configuration of a small deployment.
func sampleDocument() *config.Document {
	d := &config.Document{
		BaseModels: []config.BaseModel{{ID: "base"}},
		Workspaces: []config.Workspace{
			{ID: "care-homes", Rate: 1000, Burst: 20000, Weight: 1},
			{ID: "housing", Rate: 1000, Burst: 20000, Weight: 1},
		},
		Keys: []config.Key{
			{ID: "k1", Workspace: "care-homes", Hash: config.HashKey(secret, "key-1")},
			{ID: "k2", Workspace: "housing", Hash: config.HashKey(secret, "key-2")},
		},
		Routes: []config.Route{
			{Path: "/v1/completions", Kind: config.RouteCompletions, Pool: "drafter", Idempotent: true, Class: "interactive"},
			{Path: "/bookings", Kind: config.RouteService, Pool: "dispatch", Class: "interactive", Cost: 10},
		},
	}
	for i := range 12 {
		d.Adapters = append(d.Adapters, config.Adapter{ID: core.AdapterID(fmt.Sprintf("quotes-%02d", i)), Base: "base", Versions: []int{1, 2}, Default: 2})
	}
	for i := range 3 {
		d.Upstreams = append(d.Upstreams, config.Upstream{ID: core.UpstreamID(fmt.Sprintf("drafter-%d", i)), Kind: config.UpstreamEngine, Pool: "drafter", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Domain: "sofia-a", Base: "base", Slots: 4, Batch: 8})
	}
	d.Upstreams = append(d.Upstreams, config.Upstream{ID: "dispatch-0", Kind: config.UpstreamService, Pool: "dispatch", Address: "127.0.0.1:9100", Domain: "sofia-a", Batch: 8})
	return config.Canonical(d)
}

func completionRequest(id, key, model string) RequestArrived {
	return RequestArrived{ID: core.RequestID(id), KeyHash: config.HashKey(secret, key), Path: "/v1/completions", Model: model, PromptTokens: 10, MaxTokens: 50, Fingerprint: core.Fingerprint(1, id), Timeout: time.Minute}
}

func bookingRequest(id, idempotencyKey string) RequestArrived {
	return RequestArrived{ID: core.RequestID(id), KeyHash: config.HashKey(secret, "key-1"), Path: "/bookings", IdempotencyKey: idempotencyKey, BodyHash: 7, Fingerprint: 7, Timeout: time.Minute}
}

// readyFleet returns a fleet whose hosts are all ready.
func readyFleet(t *testing.T, hosts int) *fleet {
	f := newFleet(t, hosts, sampleDocument())
	f.run(15 * time.Second)
	for _, h := range f.hosts {
		if ok, why := h.node.Ready(); !ok {
			t.Fatalf("%s is not ready: %s", h.id, why)
		}
	}
	return f
}

func TestColdAndWarmAdapterOnAnyHost(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("cold", "key-1", "quotes-03"))
	f.run(3 * time.Second)
	is.True(f.answers["cold"] != nil && f.answers["cold"].ok)
	is.Equal(f.answers["cold"].adapter, core.AdapterRef{ID: "quotes-03", Version: 2}) // the default version
	f.step(f.hosts[1], completionRequest("warm", "key-2", "quotes-03@2"))
	f.run(600 * time.Millisecond) // too short for an adapter load
	is.True(f.answers["warm"].ok)
	is.Equal(f.starts, 2)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("bad key", "nobody", "quotes-03"))
	f.step(f.hosts[0], completionRequest("bad adapter", "key-1", "unknown"))
	f.step(f.hosts[0], completionRequest("bad version", "key-1", "quotes-03@9"))
	f.step(f.hosts[0], bookingRequest("no idempotency key", ""))
	large := completionRequest("too large", "key-1", "quotes-03")
	large.MaxTokens = 1 << 20
	f.step(f.hosts[0], large)
	f.run(time.Second)
	is.Equal(f.answers["bad key"].refusal.Code, core.CodeInvalidKey)
	is.Equal(f.answers["bad adapter"].refusal.Code, core.CodeUnknownAdapter)
	is.Equal(f.answers["bad version"].refusal.Code, core.CodeUnknownAdapter)
	is.Equal(f.answers["no idempotency key"].refusal.Code, core.CodeIdempotencyKeyRequired)
	is.Equal(f.answers["too large"].refusal.Code, core.CodeExceedsBurst)
	is.Equal(f.starts, 0)
	for id, a := range f.answers {
		is.Equal(a.refusal.Ran, core.RanNo) // as no engine was sent a request
		_ = id
	}
}

func TestRequestWithIdempotencyKeyRunsOnceAcrossHosts(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	for i, h := range f.hosts {
		f.step(h, bookingRequest(fmt.Sprint("at once ", i), "crew-17"))
	}
	f.run(5 * time.Second)
	f.step(f.hosts[2], bookingRequest("later", "crew-17"))
	f.run(5 * time.Second)
	is.Equal(f.starts, 1)
	is.Equal(string(f.answers["later"].outcome.Body), "done")
}

func TestWithdrawnKeyStopsARunningStreamEverywhere(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("warm up", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	for i, h := range f.hosts {
		f.step(h, completionRequest(fmt.Sprint(longPrefix, i), "key-1", "quotes-01"))
	}
	f.run(firstDelay + 50*time.Millisecond)
	doc := config.Canonical(f.doc)
	doc.Keys[0].Withdrawn = true
	f.publish(doc)
	f.step(f.hosts[0], completionRequest(longPrefix+"begun meanwhile", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	for i, h := range f.hosts {
		a := f.answers[core.RequestID(fmt.Sprint(longPrefix, i))]
		is.True(a.aborted)
		is.Equal(a.refusal.Code, core.CodeKeyWithdrawn)
		is.Equal(a.refusal.Ran, core.RanYes)
		f.step(h, completionRequest(fmt.Sprint("next", i), "key-1", "quotes-01"))
		is.Equal(f.answers[core.RequestID(fmt.Sprint("next", i))].refusal.Ran, core.RanNo)
	}
	is.Equal(f.answers[longPrefix+"begun meanwhile"].refusal.Code, core.CodeKeyWithdrawn)
	f.run(time.Second)
	for _, e := range f.engines {
		is.Equal(len(e.running), 0) // cancelled at the engines, too
	}
}

func TestShardsOfLostHostMove(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 4)
	f.hosts[1].down = true
	f.run(20 * time.Second)
	for i := range 12 {
		f.step(f.hosts[0], completionRequest(fmt.Sprint("after", i), "key-1", fmt.Sprintf("quotes-%02d", i)))
		f.run(2 * time.Second)
	}
	for i := range 12 {
		is.True(f.answers[core.RequestID(fmt.Sprint("after", i))].ok)
	}
	is.Equal(len(f.hosts[0].node.Members()), 3)
}

func TestGracefulLeaveAbortsNoRequest(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("warm up", "key-1", "quotes-04"))
	f.run(3 * time.Second)
	f.step(f.hosts[0], Leave{})
	for i := range 60 { // callers use the cached address for 6 s
		f.step(f.hosts[0], completionRequest(fmt.Sprint("kept", i), "key-1", "quotes-04"))
		f.run(100 * time.Millisecond)
	}
	f.run(30 * time.Second)
	is.Equal(f.left, []core.HostID{"host-0"})
	for i := range 60 {
		is.True(f.answers[core.RequestID(fmt.Sprint("kept", i))].ok)
	}
	is.Equal(len(f.hosts[1].node.Members()), 2)
}

func TestHungUpRequestsLeaveNoWork(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	for i := range 50 {
		id := core.RequestID(fmt.Sprint("r", i))
		f.step(f.hosts[i%3], completionRequest(string(id), "key-1", fmt.Sprintf("quotes-%02d", i%12)))
		f.run(time.Duration(i) * 7 * time.Millisecond)
		f.step(f.hosts[i%3], CallerGone{ID: id})
	}
	f.run(10 * time.Second)
	for _, h := range f.hosts {
		is.Equal(h.node.InFlight(), 0)
		is.True(h.node.placement.Idle())
	}
	for _, e := range f.engines {
		is.Equal(len(e.running), 0)
	}
}

func TestSameEventsSameEffects(t *testing.T) {
	is := is.New(t)
	trace := func() string {
		f := readyFleet(t, 3)
		for i := range 20 {
			f.step(f.hosts[i%3], completionRequest(fmt.Sprint("r", i), "key-1", fmt.Sprintf("quotes-%02d", i%12)))
			f.run(50 * time.Millisecond)
		}
		f.run(5 * time.Second)
		return fmt.Sprint(f.calls, f.sends, f.starts, f.now, f.seq)
	}
	is.Equal(trace(), trace())
}

func TestCrashingRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("warm up", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	for round := range 10 { // the caller repeats the crashing request on all hosts at once
		for i, h := range f.hosts {
			a := completionRequest(fmt.Sprint(poisonPrefix, round, "-", i), "key-2", "quotes-01")
			a.Fingerprint = 666
			f.step(h, a)
		}
		f.step(f.hosts[round%3], completionRequest(fmt.Sprint("innocent", round), "key-1", "quotes-01"))
		f.run(2 * time.Second)
	}
	f.run(30 * time.Second)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.crashes
	}
	is.True(crashes > 0)
	is.True(crashes <= 2)
	last := f.answers[core.RequestID(fmt.Sprint(poisonPrefix, 9, "-", 0))]
	is.Equal(last.refusal.Code, core.CodeSuspect)
	is.Equal(last.refusal.Ran, core.RanNo)
	for round := range 10 { // no byte was sent when the engine crashed, so they are retried on another one
		is.True(f.answers[core.RequestID(fmt.Sprint("innocent", round))].ok)
	}
}

func TestRestartedEngineNeverAnswersFromBaseModel(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("warm up", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	for _, e := range f.engines {
		if len(e.adapters) > 0 {
			f.crash(e) // idle: not detected before the next poll
		}
	}
	f.step(f.hosts[1], completionRequest("next", "key-1", "quotes-01"))
	f.run(5 * time.Second)
	is.True(f.answers["next"].ok) // on another engine or after a load; startRequest checks the adapter
}

func TestHostCutOffFailsClosedWhileOthersServe(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 4)
	f.step(f.hosts[0], completionRequest("warm up", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	f.hosts[3].partitioned = true
	f.run(10 * time.Second)
	f.step(f.hosts[3], completionRequest("at the cut host", "key-1", "quotes-01"))
	f.step(f.hosts[0], completionRequest("elsewhere", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	is.Equal(f.answers["at the cut host"].refusal.Code, core.CodeHostCutOff)
	is.Equal(f.answers["at the cut host"].refusal.Ran, core.RanNo)
	is.True(f.answers["elsewhere"].ok)
	f.hosts[3].partitioned = false
	f.run(30 * time.Second)
	is.Equal(f.left, []core.HostID{"host-3"}) // it was fenced; its process would rejoin under a new identity
}

func TestOwnerLostDuringAStoreOutage(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 4)
	for i := range 12 {
		f.step(f.hosts[i%4], completionRequest(fmt.Sprint("before", i), "key-1", fmt.Sprintf("quotes-%02d", i%4)))
		f.run(time.Second)
	}
	f.store.SetDown(true)
	f.run(30 * time.Second)
	f.hosts[2].down = true
	f.run(10 * time.Second)
	served := 0
	for i := range 30 {
		f.step(f.hosts[i%2], completionRequest(fmt.Sprint("during", i), "key-1", fmt.Sprintf("quotes-%02d", i%4)))
		f.run(500 * time.Millisecond)
	}
	f.run(10 * time.Second)
	for i := range 30 {
		if f.answers[core.RequestID(fmt.Sprint("during", i))].ok {
			served++
		}
	}
	t.Logf("served %d of 30 with the store down and an owner lost", served)
	is.True(served > 0)
	f.store.SetDown(false)
	f.run(30 * time.Second)
	f.step(f.hosts[0], completionRequest("after", "key-1", "quotes-01"))
	f.run(5 * time.Second)
	is.True(f.answers["after"].ok)
}

func TestPausedHostCompletesRunningStream(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 4)
	f.step(f.hosts[1], completionRequest("warm up", "key-1", "quotes-01"))
	f.run(3 * time.Second)
	f.step(f.hosts[1], completionRequest(longPrefix, "key-1", "quotes-01")) // 10 s
	f.run(time.Second)
	f.hosts[1].down = true
	f.run(7 * time.Second) // longer than a configuration counts as fresh
	f.hosts[1].down = false
	f.run(4 * time.Second)
	is.True(f.answers[longPrefix].refusal == nil)
	is.True(f.answers[longPrefix].ok)
}
