package host

import (
	"github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/node"
	"gentiancroft/internal/exposition"
)

// ticksPerUpdate is the number of ticks from one update of the gauges to the next.
const ticksPerUpdate = 20

// Names of a host's gauges. A boolean gauge is 1 for true.
const (
	GaugeReady            = "host.ready"
	GaugeInFlight         = "host.in_flight"
	GaugeMembers          = "members.hosts"
	GaugeView             = "members.view"
	GaugeSettled          = "members.settled"
	GaugeLeaseHeld        = "members.lease_held"
	GaugeStoreOutage      = "members.store_outage"
	GaugeCutOff           = "config.cut_off"
	GaugeConfiguration    = "config.version"
	GaugeConfigurationAge = "config.age_ms"
	GaugeUpstreamsOwned   = "placement.upstreams_owned"
	GaugeLimitGranted     = "limit.granted"
	GaugeLimitRefused     = "limit.refused"
	GaugeLimitBorrowed    = "limit.borrowed"
)

// updateGauges sets the gauges from the node's state and the queues. Only the
// node's worker may call it.
func (h *Host) updateGauges() {
	v := h.node.Status()
	h.gauge(GaugeReady, exposition.BoolValue(v.Ready))
	h.gauge(GaugeInFlight, int64(v.InFlight))
	h.gauge(GaugeMembers, int64(v.Members))
	h.gauge(GaugeView, int64(v.View))
	h.gauge(GaugeSettled, int64(v.LowestAppliedView))
	h.gauge(GaugeLeaseHeld, exposition.BoolValue(v.LeaseValid))
	h.gauge(GaugeStoreOutage, exposition.BoolValue(v.StoreOutage))
	h.gauge(GaugeCutOff, exposition.BoolValue(v.CutOff))
	h.gauge(GaugeConfiguration, int64(v.Configuration))
	h.gauge(GaugeConfigurationAge, v.ConfigurationAge.Milliseconds())
	h.gauge(GaugeUpstreamsOwned, int64(v.OwnedUpstreams))
	h.gauge(GaugeLimitGranted, int64(v.RequestsGranted))
	h.gauge(GaugeLimitRefused, int64(v.RequestsLimited))
	h.gauge(GaugeLimitBorrowed, int64(v.RequestsByLoan))
	for _, p := range []*pool{h.objects, h.orders, h.polls} {
		s := p.ring.Stats()
		h.gauge("ring."+metricName(s.Name)+".length", int64(s.Length))
		h.gauge("ring."+metricName(s.Name)+".refused", s.Refused)
	}
	s := h.events.Stats()
	h.gauge("ring.events.length", int64(s.Length))
	h.gauge("ring.events.refused", s.Refused)
}

func (h *Host) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, h.metrics).Update(value)
}

// gaugesDue counts ticks and reports whether the gauges are to be updated.
func (h *Host) gaugesDue(e node.Event) bool {
	if _, ok := e.(node.Tick); !ok {
		return false
	}
	h.ticks++
	return h.ticks%ticksPerUpdate == 0
}
