package peer

import (
	"crypto/x509"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// counters are the metrics of a host's links.
type counters struct {
	sent, received                                  metrics.Counter // payloads
	sentBytes, receivedBytes                        metrics.Counter
	droppedRingFull, droppedStale, droppedLinkBroke metrics.Counter // payloads dropped: ring full, too old, link broken
	refusedOversized                                metrics.Counter
	dialsConnected, dialsFailed                     metrics.Counter
	dialsMerged                                     metrics.Counter // own connections released in favour of the peer's
	inboundRefused, inboundBroken                   metrics.Counter // inbound connections closed for a bad hello or a bad frame
	outboundOpen, inboundOpen                       metrics.Counter // links open at present
	carried, carriedRefused, carriedBytes           metrics.Counter // connections to upstreams for other hosts
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("link."+name, r)
	}
	return counters{
		sent:             counter("sent"),
		received:         counter("received"),
		sentBytes:        counter("sent_bytes"),
		receivedBytes:    counter("received_bytes"),
		droppedRingFull:  counter("dropped_ring_full"),
		droppedStale:     counter("dropped_stale"),
		droppedLinkBroke: counter("dropped_link_broke"),
		refusedOversized: counter("refused_oversized"),
		dialsConnected:   counter("dials_connected"),
		dialsFailed:      counter("dials_failed"),
		dialsMerged:      counter("dials_merged"),
		inboundRefused:   counter("inbound_refused"),
		inboundBroken:    counter("inbound_broken"),
		outboundOpen:     counter("outbound_open"),
		inboundOpen:      counter("inbound_open"),
		carried:          counter("carried"),
		carriedRefused:   counter("carried_refused"),
		carriedBytes:     counter("carried_bytes"),
	}
}

// watchCertificate registers a gauge of the seconds until this host's certificate
// expires, so that operators can replace it in time. It does nothing if leaf is nil.
func watchCertificate(r metrics.Registry, leaf *x509.Certificate) {
	if leaf == nil {
		return
	}
	gauge := metrics.NewFunctionalGauge(func() int64 { return int64(time.Until(leaf.NotAfter).Seconds()) })
	_ = r.Register("link.certificate_seconds_left", gauge)
}
