package reach

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// reportTTL is how long another host's report holds.
	reportTTL = 3 * time.Second
	// reportInterval is the time after which an unchanged report is sent again.
	reportInterval = time.Second
	// maxReported bounds the replicas in a report; a host that doesn't reach any says so instead.
	maxReported = 256
	// failureTTL is how long a host that could not carry a request to a replica isn't chosen for it
	// again, unless its next report says otherwise.
	failureTTL = time.Second
)

// Report is what a host says about its own paths. It goes to other hosts.
type Report struct {
	CutOff    bool     `cbor:"1,keyasint,omitempty"` // it reaches no replica
	Unreached []uint32 `cbor:"2,keyasint,omitempty"` // replicas that it doesn't reach, by core.ShortHash, sorted
}

// Empty reports whether nothing is blocked.
func (r *Report) Empty() bool { return !r.CutOff && len(r.Unreached) == 0 }

func (r *Report) equal(other *Report) bool {
	return r.CutOff == other.CutOff && slices.Equal(r.Unreached, other.Unreached)
}

// received is another host's last report.
type received struct {
	Report
	at core.Instant
}

// carrying is a host that carries requests to a replica; to all for an empty replica.
type carrying struct {
	host    core.HostID
	replica core.UpstreamID
}

// reports are the reports that were sent and received.
type reports struct {
	received map[core.HostID]received
	failed   map[carrying]core.Instant
	sent     Report
	sentAt   core.Instant // 0: none was sent
}

func newReports() reports {
	return reports{received: map[core.HostID]received{}, failed: map[carrying]core.Instant{}}
}

// Receive applies another host's report.
func (p *Paths) Receive(now core.Instant, from core.HostID, r Report) {
	p.reports.received[from] = received{r, now}
}

// ReportOf returns another host's report, nil where none holds.
func (p *Paths) ReportOf(now core.Instant, host core.HostID) *Report {
	r, ok := p.reports.received[host]
	if !ok || now.Sub(r.at) >= reportTTL {
		return nil
	}
	return &r.Report
}

// IsCutOff reports whether another host says that it reaches no replica.
func (p *Paths) IsCutOff(now core.Instant, host core.HostID) bool {
	r := p.ReportOf(now, host)
	return r != nil && r.CutOff
}

// CarrierFailed records that another host did not carry a request to a replica; "" for a host that
// can't be reached itself.
func (p *Paths) CarrierFailed(now core.Instant, host core.HostID, replica core.UpstreamID) {
	p.reports.failed[carrying{host, replica}] = now
}

// MayReach reports whether another host may reach a replica, as far as is known.
func (p *Paths) MayReach(now core.Instant, host core.HostID, replica core.UpstreamID) bool {
	for _, c := range []carrying{{host, replica}, {host, ""}} {
		if at, ok := p.reports.failed[c]; ok && now.Sub(at) < failureTTL {
			return false
		}
	}
	r := p.ReportOf(now, host)
	if r == nil {
		return true
	}
	_, listed := slices.BinarySearch(r.Unreached, core.ShortHash(string(replica)))
	return !r.CutOff && !listed
}

// Report returns what the next message to other hosts says about this host's paths, nil where they
// know it.
func (p *Paths) Report(now core.Instant) *Report {
	p.expireReports(now)
	r := Report{CutOff: p.cutSince != 0}
	if !r.CutOff {
		r.Unreached = p.unreached()
	}
	unchanged := r.equal(&p.reports.sent)
	if unchanged && (r.Empty() || now.Sub(p.reports.sentAt) < reportInterval) {
		return nil
	}
	p.reports.sent, p.reports.sentAt = r, now
	return &r
}

// unreached returns the replicas whose paths are blocked.
func (p *Paths) unreached() []uint32 {
	var all []uint32
	for id, x := range p.paths {
		if x.blockedSince != 0 {
			all = append(all, core.ShortHash(string(id)))
		}
	}
	slices.Sort(all)
	return all[:min(len(all), maxReported)]
}

// expireReports forgets what no longer holds.
func (p *Paths) expireReports(now core.Instant) {
	for host, r := range p.reports.received {
		if now.Sub(r.at) >= reportTTL {
			delete(p.reports.received, host)
		}
	}
	for c, at := range p.reports.failed {
		if now.Sub(at) >= failureTTL {
			delete(p.reports.failed, c)
		}
	}
}
