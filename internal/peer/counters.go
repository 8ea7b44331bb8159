package peer

import (
	"crypto/x509"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// counters are the metrics of a host's links.
type counters struct {
	sent, received         metrics.Counter // payloads
	sentBytes, gotBytes    metrics.Counter
	dropped, stale, lost   metrics.Counter // payloads: ring full, too old, link broke
	oversized              metrics.Counter
	connected, failed      metrics.Counter // dials
	merged                 metrics.Counter // connections given up for the pair's other one
	refused, broken        metrics.Counter // inbound links
	outboundNow, inboundUp metrics.Counter // links open now
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("link."+name, r)
	}
	return counters{
		sent:        counter("sent"),
		received:    counter("received"),
		sentBytes:   counter("sent_bytes"),
		gotBytes:    counter("received_bytes"),
		dropped:     counter("dropped_ring_full"),
		stale:       counter("dropped_stale"),
		lost:        counter("dropped_link_broke"),
		oversized:   counter("refused_oversized"),
		connected:   counter("dials_connected"),
		failed:      counter("dials_failed"),
		merged:      counter("dials_merged"),
		refused:     counter("inbound_refused"),
		broken:      counter("inbound_broken"),
		outboundNow: counter("outbound_open"),
		inboundUp:   counter("inbound_open"),
	}
}

// watchCertificate shows how many seconds this host's certificate is still
// valid, so that operators replace it in time.
func watchCertificate(r metrics.Registry, leaf *x509.Certificate) {
	if leaf == nil {
		return
	}
	gauge := metrics.NewFunctionalGauge(func() int64 { return int64(time.Until(leaf.NotAfter).Seconds()) })
	_ = r.Register("link.certificate_seconds_left", gauge)
}
