package gateway

import (
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/exposition"
)

// Prefixes of metrics that there is one of for each route, upstream, workspace or
// service. They are dropped once what they belong to is gone.
const (
	prefixRoute     = "route."
	prefixUpstream  = "upstream."
	prefixWorkspace = "workspace."
	prefixService   = "service."
)

// unrouted stands for the route of requests that match none.
const unrouted = "none"

// stateWithin is how long the metrics page waits for the machine.
const stateWithin = 500 * time.Millisecond

// served counts the end of a request by its route.
func (g *Gateway) served(s direct.Served) {
	const reservoir, decay = 128, 0.015
	route := s.Route
	if route == "" {
		route = unrouted
	}
	prefix := prefixRoute + route + "."
	g.count(prefix + s.Outcome)
	if s.Total == 0 {
		return // refused at once
	}
	observe := func(name string, d time.Duration) {
		sample := func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
		}
		if h, ok := g.registry.GetOrRegister(prefix+name, sample).(metrics.Histogram); ok {
			h.Update(d.Microseconds())
		}
	}
	observe("first_byte_us", s.FirstByte)
	observe("total_us", s.Total)
}

// Publish brings the metrics that describe a state up to date. It is called when they
// are asked for: a host that nobody asks pays nothing.
func (g *Gateway) Publish() {
	answer := make(chan direct.State, 1)
	if !g.events.TryPush(direct.Query{Read: func(m *direct.Machine) { answer <- m.State() }}) {
		return
	}
	select {
	case s := <-answer:
		g.publish(s)
	case <-time.After(stateWithin): // the machine is late: the last values stand
		g.count("gateway.metrics_late")
	}
}

func (g *Gateway) publish(s direct.State) {
	milliseconds := func(name string, d time.Duration) { g.gaugeOf(name, d.Milliseconds()) }
	g.gaugeOf("configuration.version", int64(s.Configuration))
	milliseconds("configuration.age_ms", s.ConfigurationAge)
	milliseconds("store.age_ms", s.StoreAge)
	milliseconds("fleet.heartbeat_age_ms", s.PeerAge)
	g.gaugeOf("fleet.active_hosts", int64(s.ActiveHosts))
	g.gaugeOf("fleet.active", exposition.Truth(s.Active))
	metrics.GetOrRegisterGaugeFloat64("fleet.part", g.registry).Update(s.Part)
	g.gaugeOf("fleet.shards", int64(s.Shards))
	g.gaugeOf("gateway.waiting", int64(s.Waiting))
	alive := map[string]bool{prefixRoute + unrouted: true}
	for _, x := range s.Replicas {
		prefix := prefixUpstream + string(x.ID)
		alive[prefix] = true
		g.gaugeOf(prefix+".in_flight", int64(x.Mine))
		g.gaugeOf(prefix+".in_flight_elsewhere", int64(x.Others))
		milliseconds(prefix+".told_age_ms", x.ToldAge)
		metrics.GetOrRegisterGaugeFloat64(prefix+".failures_lately", g.registry).Update(x.Failures)
	}
	for _, w := range s.Workspaces {
		prefix := prefixWorkspace + string(w.ID)
		alive[prefix] = true
		g.gaugeOf(prefix+".tokens_left", w.Level)
		g.gaugeOf(prefix+".tokens_granted", w.Granted)
	}
	for id, left := range s.Retries {
		prefix := prefixService + string(id)
		alive[prefix] = true
		metrics.GetOrRegisterGaugeFloat64(prefix+".retries_left", g.registry).Update(left)
	}
	for route := range s.Routes {
		alive[prefixRoute+route] = true
	}
	g.drop(alive)
}

// drop forgets the metrics of what is gone.
func (g *Gateway) drop(alive map[string]bool) {
	var gone []string
	g.registry.Each(func(name string, _ any) {
		for _, prefix := range []string{prefixRoute, prefixUpstream, prefixWorkspace, prefixService} {
			if strings.HasPrefix(name, prefix) && !alive[name[:strings.LastIndexByte(name, '.')]] {
				gone = append(gone, name)
			}
		}
	})
	for _, name := range gone {
		g.registry.Unregister(name)
	}
}

func (g *Gateway) gaugeOf(name string, value int64) {
	metrics.GetOrRegisterGauge(name, g.registry).Update(value)
}
