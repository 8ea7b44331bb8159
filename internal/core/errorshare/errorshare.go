// Package errorshare keeps the share of failed answers of each replica incarnation and
// compares it with that of the other replicas of its service.
//
// A replica may fail part of its requests while its health check is good. Its share of
// failures is then far above that of its siblings. A share that all replicas have in
// common is caused by the requests and counts against none of them.
//
// Inputs are answers and the time. Outputs are how likely the next answer of a replica
// fails, whether first attempts avoid it, and when an avoided one gets a request all the
// same, so that its recovery is seen.
package errorshare

import (
	"math"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

const (
	// halfLife is the half-life of an answer's weight. An avoided replica has few answers:
	// without decay it would stay avoided for long after it recovered.
	halfLife = 5 * time.Second
	// keptPerAnswer is what each answer of a replica leaves of the weight of its earlier
	// ones, so that about the last 20 answers count.
	keptPerAnswer = 0.95
	// priorAnswers and priorShare are the answers, and the share of failed ones, that are
	// assumed of siblings of which none or few are known.
	priorAnswers = 4.0
	priorShare   = 0.05
	// shrinkAnswers is how many answers with the siblings' share are assumed of each
	// replica.
	shrinkAnswers = 2.0
	// avoidDeviations is by how many standard deviations a replica's failures must exceed
	// those expected at its siblings' share until it is avoided.
	avoidDeviations = 2.0
	// minAvoidFailures is the least weight of failures of an avoided replica: a single
	// failure shows nothing.
	minAvoidFailures = 1.3
	// minExcess is the least difference to the siblings' share that counts. A smaller one is
	// chance or old: it must not decide between idle replicas for long.
	minExcess = 0.05
	// probeInterval is the number of first attempts of which one goes to an avoided
	// replica.
	probeInterval = 20
	// unrepeatableProbeInterval is the same where the request can't be repeated if it
	// fails. It is longer so that repeatable requests, if there are any, are the probes.
	unrepeatableProbeInterval = 40
)

// counts are weighted numbers of answers.
type counts struct {
	failed, all float64
	at          core.Instant
}

func (c *counts) decayTo(now core.Instant) {
	kept := core.Decay(1, now.Sub(c.at), halfLife)
	c.failed, c.all, c.at = c.failed*kept, c.all*kept, max(c.at, now)
}

// subtract removes counts, which must be decayed to the same time.
func (c *counts) subtract(x counts, fraction float64) {
	c.failed = max(c.failed-x.failed*fraction, 0)
	c.all = max(c.all-x.all*fraction, 0)
}

// record is the state of one replica.
type record struct {
	counts
	started int64 // its incarnation
	service table.ServiceID
}

// pool is the state of one service.
type pool struct {
	counts         // sums of its replicas'
	sinceProbe int // first attempts since the last probe
}

// Shares holds the answers of all replicas of a host. It is not safe for concurrent use.
type Shares struct {
	records map[core.UpstreamID]*record
	pools   map[table.ServiceID]*pool
}

// New returns shares without answers.
func New() *Shares {
	return &Shares{records: map[core.UpstreamID]*record{}, pools: map[table.ServiceID]*pool{}}
}

// Incarnation names an incarnation of a replica.
type Incarnation struct {
	Service table.ServiceID
	ID      core.UpstreamID
	Started int64
}

// Observe counts an answer of an incarnation, or the lack of one. The answers of an
// earlier incarnation are forgotten.
func (s *Shares) Observe(now core.Instant, x Incarnation, failed bool) {
	r := s.records[x.ID]
	if r != nil && (r.started > x.Started && r.service == x.Service) {
		return // an answer of an earlier incarnation
	}
	if r != nil && (r.started != x.Started || r.service != x.Service) {
		s.Forget(now, x.ID)
		r = nil
	}
	if r == nil {
		r = &record{started: x.Started, service: x.Service, counts: counts{at: now}}
		s.records[x.ID] = r
	}
	p := s.pool(x.Service)
	p.decayTo(now)
	r.decayTo(now)
	p.subtract(r.counts, 1-keptPerAnswer)
	r.subtract(r.counts, 1-keptPerAnswer)
	r.add(failed)
	p.add(failed)
}

func (c *counts) add(failed bool) {
	c.all++
	if failed {
		c.failed++
	}
}

// Forget removes a replica that no longer exists.
func (s *Shares) Forget(now core.Instant, id core.UpstreamID) {
	r := s.records[id]
	if r == nil {
		return
	}
	p := s.pool(r.service)
	p.decayTo(now)
	r.decayTo(now)
	p.subtract(r.counts, 1)
	delete(s.records, id)
}

func (s *Shares) pool(service table.ServiceID) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{}
		s.pools[service] = p
	}
	return p
}

// Assessment compares a replica with its siblings.
type Assessment struct {
	Share    float64 // expected share of failures in its next answers
	Siblings float64 // the same of its siblings together
	Avoid    bool    // first attempts should go to its siblings
}

// Excess is by how much the share exceeds the siblings'; 0: by no more than chance may cause.
func (a Assessment) Excess() float64 {
	if excess := a.Share - a.Siblings; excess >= minExcess {
		return excess
	}
	return 0
}

// Assess compares an incarnation with the other replicas of its service. One without
// answers is expected to be like its siblings.
func (s *Shares) Assess(now core.Instant, x Incarnation) Assessment {
	var own, others counts
	if p := s.pools[x.Service]; p != nil {
		p.decayTo(now)
		others = p.counts
	}
	if r := s.records[x.ID]; r != nil && r.service == x.Service {
		r.decayTo(now)
		others.subtract(r.counts, 1)
		if r.started == x.Started {
			own = r.counts
		}
	}
	return compare(own, others)
}

func compare(own, others counts) Assessment {
	a := Assessment{Siblings: (others.failed + priorAnswers*priorShare) / (others.all + priorAnswers)}
	a.Share = (own.failed + shrinkAnswers*a.Siblings) / (own.all + shrinkAnswers)
	expected := own.all * a.Siblings
	deviation := math.Sqrt(expected * (1 - a.Siblings))
	a.Avoid = own.failed >= minAvoidFailures && own.failed > expected+avoidDeviations*deviation && a.Excess() > 0
	return a
}

// ProbeDue counts a first attempt at a service that has an avoided replica, and reports
// whether it should go to that replica.
func (s *Shares) ProbeDue(service table.ServiceID, repeatable bool) bool {
	p := s.pool(service)
	p.sinceProbe++
	interval := unrepeatableProbeInterval
	if repeatable {
		interval = probeInterval
	}
	if p.sinceProbe < interval {
		return false
	}
	p.sinceProbe = 0
	return true
}
