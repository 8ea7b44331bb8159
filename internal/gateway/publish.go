package gateway

import (
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/exposition"
)

// Prefixes of the metrics of each route, upstream, workspace and service. These
// metrics are dropped once the object is gone.
const (
	prefixRoute     = "route."
	prefixUpstream  = "upstream."
	prefixWorkspace = "workspace."
	prefixService   = "service."
)

// unrouted is the route's name in the metrics of requests that match no route.
const unrouted = "none"

// stateTimeout bounds how long the metrics page waits for the machine's state.
const stateTimeout = 500 * time.Millisecond

// recordRequestEnd counts a finished request by route and outcome and records its
// latencies.
func (g *Gateway) recordRequestEnd(s relaynode.RequestEnded) {
	const reservoir = 128
	route := s.Route
	if route == "" {
		route = unrouted
	}
	prefix := prefixRoute + route + "."
	g.count(prefix + s.Outcome)
	if s.Total == 0 {
		return // refused on arrival: no latency to record
	}
	g.observeTime(prefix+"first_byte_us", reservoir, s.FirstByte)
	g.observeTime(prefix+"total_us", reservoir, s.Total)
}

// recordFirstEvent records how well a first event was predicted.
func (g *Gateway) recordFirstEvent(e relaynode.FirstEventSeen) {
	const reservoir = 512
	prefix := prefixService + string(e.Service) + "."
	g.observeTime(prefix+"first_event_predicted_us", reservoir, e.Predicted)
	g.observeTime(prefix+"first_event_us", reservoir, e.Took)
	g.observeTime(prefix+"first_event_error_us", reservoir, (e.Took - e.Predicted).Abs())
}

// observeTime adds a time to a histogram in µs, which keeps a sample of that size.
func (g *Gateway) observeTime(name string, reservoir int, d time.Duration) {
	const decay = 0.015 // favors about the last five minutes
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
	}
	if h, ok := g.registry.GetOrRegister(name, sample).(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// UpdateMetrics updates the gauges that describe the machine's state. It is called when
// the metrics page is read, so that a host without a scraper spends nothing on it.
func (g *Gateway) UpdateMetrics() {
	answer := make(chan relaynode.State, 1)
	if !g.events.TryPush(relaynode.Query{Read: func(m *relaynode.Machine) { answer <- m.State() }}) {
		return
	}
	select {
	case s := <-answer:
		g.publish(s)
	case <-time.After(stateTimeout): // the page shows the last values
		g.count("gateway.metrics_late")
	}
}

func (g *Gateway) publish(s relaynode.State) {
	milliseconds := func(name string, d time.Duration) { g.setGauge(name, d.Milliseconds()) }
	g.setGauge("configuration.version", int64(s.Configuration))
	milliseconds("configuration.age_ms", s.ConfigurationAge)
	milliseconds("store.age_ms", s.StoreAge)
	milliseconds("fleet.heartbeat_age_ms", s.OldestHeartbeatAge)
	g.setGauge("fleet.active_hosts", int64(s.ActiveHosts))
	g.setGauge("fleet.active", exposition.BoolValue(s.Active))
	metrics.GetOrRegisterGaugeFloat64("fleet.part", g.registry).Update(s.ReachableFraction)
	g.setGauge("fleet.shards", int64(s.Shards))
	g.setGauge("gateway.waiting", int64(s.Waiting))
	g.setGauge("replicas.cold", int64(s.Cold))
	if s.Evacuation != nil {
		g.setGauge("evacuation.domains", int64(s.Evacuation.Domains))
		milliseconds("evacuation.last_send_ms", s.Evacuation.LastSend)
	}
	present := map[string]bool{prefixRoute + unrouted: true}
	for _, x := range s.Replicas {
		prefix := prefixUpstream + string(x.ID)
		present[prefix] = true
		g.setGauge(prefix+".in_flight", int64(x.Own))
		g.setGauge(prefix+".in_flight_elsewhere", int64(x.Others))
		milliseconds(prefix+".told_age_ms", x.ReportAge)
		metrics.GetOrRegisterGaugeFloat64(prefix+".failures_lately", g.registry).Update(x.FailureScore)
		metrics.GetOrRegisterGaugeFloat64(prefix+".error_share", g.registry).Update(x.ErrorShare)
	}
	for _, w := range s.Workspaces {
		prefix := prefixWorkspace + string(w.ID)
		present[prefix] = true
		g.setGauge(prefix+".tokens_left", w.Level)
		g.setGauge(prefix+".tokens_granted", w.Granted)
		g.setGauge(prefix+".pace", w.Pace)
		metrics.GetOrRegisterGaugeFloat64(prefix+".demand_share", g.registry).Update(w.Share)
	}
	for id, left := range s.Retries {
		prefix := prefixService + string(id)
		present[prefix] = true
		metrics.GetOrRegisterGaugeFloat64(prefix+".retries_left", g.registry).Update(left)
	}
	for route := range s.Routes {
		present[prefixRoute+route] = true
	}
	g.dropStale(present)
}

// dropStale unregisters the metrics of objects that are not in present, which holds
// names with their prefix.
func (g *Gateway) dropStale(present map[string]bool) {
	var gone []string
	g.registry.Each(func(name string, _ any) {
		for _, prefix := range []string{prefixRoute, prefixUpstream, prefixWorkspace, prefixService} {
			if strings.HasPrefix(name, prefix) && !present[name[:strings.LastIndexByte(name, '.')]] {
				gone = append(gone, name)
			}
		}
	})
	for _, name := range gone {
		g.registry.Unregister(name)
	}
}

func (g *Gateway) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, g.registry).Update(value)
}
