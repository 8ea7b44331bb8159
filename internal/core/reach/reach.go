// Package reach keeps what one host knows of the paths to replicas: which replicas it reaches
// itself, and which ones other hosts say they don't reach. It decides from failures to connect when
// the host's own path to a replica is blocked, when this host is cut off from all replicas, and when
// a path is probed again. Which replica and which path a request takes is decided elsewhere.
//
// A failure to connect doesn't show whether the replica or the path has failed. Both are treated
// alike: the path is blocked until a connection has been opened again, and another host that doesn't
// say the same may carry the request.
package reach

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// evidenceTime is how far apart the failures may lie from which this host concludes that it is
	// cut off.
	evidenceTime = 2 * time.Second
	// cutOffFailures is how many replicas must be unreachable for that.
	cutOffFailures = 2
	// minProbeInterval is the time until a blocked path is first probed.
	minProbeInterval = 300 * time.Millisecond
	// maxProbeInterval bounds that time, which doubles with each failure.
	maxProbeInterval = 2 * time.Second
	// stableTime is how long a path must work until its next failure counts as the first one again.
	stableTime = 5 * time.Second
	// roundInterval is the time between two rounds of probes.
	roundInterval = 100 * time.Millisecond
	// maxProbesPerRound bounds the probes of a round.
	maxProbesPerRound = 2
	// maxFirstProbes bounds those of the round that follows the conclusion that this host is cut off.
	maxFirstProbes = 8
	// probeTimeout is how long a probe without a result counts as open.
	probeTimeout = time.Second
	// recoveryTime is within how long the other blocked paths are probed after one works again.
	recoveryTime = 300 * time.Millisecond
	// minHold and maxHold bound how long a host that was cut off a moment ago and is so again
	// counts as cut off at least. The time doubles from each such cut to the next.
	minHold = time.Second
	maxHold = 4 * time.Second
)

// path is what is known of this host's own path to a replica.
type path struct {
	heardAt      core.Instant // when a connection was opened or an answer came; 0: never
	openedAt     core.Instant // when a connection was opened; 0: never
	blockedSince core.Instant // 0: it isn't blocked
	failedAt     core.Instant // the last failure
	interval     time.Duration
	probeAt      core.Instant
	probing      core.Instant // when the open probe was sent; 0: none is open
}

// Paths is the state of the paths to all replicas. It is not safe for concurrent use.
type Paths struct {
	rng       *core.Rand
	paths     map[core.UpstreamID]*path
	heardAt   core.Instant // the latest of all paths
	cutSince  core.Instant // when the failures began by which this host is cut off; 0: it isn't
	cutEnded  core.Instant // when it last ceased to be cut off; 0: never
	hold      time.Duration
	holdUntil core.Instant // it counts as cut off until then, whatever is heard
	nextRound core.Instant

	firstRound bool // of probes since this host is cut off
	reports    reports
}

// New returns the state of a host that has tried no path.
func New(rng *core.Rand) *Paths {
	return &Paths{rng: rng, paths: map[core.UpstreamID]*path{}, reports: newReports()}
}

func (p *Paths) path(id core.UpstreamID) *path {
	x := p.paths[id]
	if x == nil {
		x = &path{}
		p.paths[id] = x
	}
	return x
}

// Heard records that this host reaches a replica: it has opened a connection to it or has received
// an answer. A blocked path is open again only by a connection that was opened after that; an answer
// may have come on an older one.
func (p *Paths) Heard(now core.Instant, id core.UpstreamID, opened bool) {
	x := p.path(id)
	x.heardAt, p.heardAt = now, now
	if opened {
		p.open(now, x)
	}
	if p.cutSince != 0 && now >= p.holdUntil {
		p.endCut(now)
	}
}

// open records that a connection was opened, and has the other blocked paths probed soon.
func (p *Paths) open(now core.Instant, x *path) {
	x.openedAt, x.probing = now, 0
	x.probeAt = now.Add(minProbeInterval)
	if x.blockedSince == 0 {
		return
	}
	x.blockedSince = 0
	for _, other := range p.paths {
		if other.blockedSince != 0 {
			other.probeAt = min(other.probeAt, now.Add(time.Duration(p.rng.Int64N(int64(recoveryTime)))))
		}
	}
}

// endCut ends the time in which this host was cut off. The paths that failed in it are open again.
func (p *Paths) endCut(now core.Instant) {
	for _, x := range p.paths {
		if x.blockedSince >= p.cutSince {
			x.blockedSince = 0
		}
	}
	p.cutSince, p.cutEnded = 0, now
}

// Failed records that no connection to a replica could be opened since a time at which that was
// begun.
func (p *Paths) Failed(now, begun core.Instant, id core.UpstreamID) {
	x := p.path(id)
	x.probing = 0
	if x.openedAt > begun {
		return // another connection has been opened meanwhile
	}
	switch {
	case x.interval == 0 || x.blockedSince == 0 && now.Sub(x.failedAt) > stableTime:
		x.interval = minProbeInterval
	case x.blockedSince != 0 && now < x.probeAt:
		// of a connection that was begun before the path was blocked
	default:
		x.interval = min(2*x.interval, maxProbeInterval)
	}
	if x.blockedSince == 0 {
		x.blockedSince = begun
	}
	x.failedAt = now
	x.probeAt = now.Add(time.Duration(p.rng.Jitter(int64(x.interval))))
	p.conclude(now)
}

// conclude decides whether this host is cut off from all replicas: several can't be reached, and
// none has been heard since.
func (p *Paths) conclude(now core.Instant) {
	first := now
	failed := 0
	for _, x := range p.paths {
		if x.blockedSince > p.heardAt && now.Sub(x.failedAt) < evidenceTime {
			failed++
			first = min(first, x.blockedSince)
		}
	}
	if failed < cutOffFailures || p.cutSince != 0 {
		return
	}
	if p.cutEnded != 0 && now.Sub(p.cutEnded) < stableTime {
		p.hold = min(max(2*p.hold, minHold), maxHold)
	} else {
		p.hold = 0
	}
	p.cutSince, p.holdUntil = first, now.Add(p.hold)
	p.nextRound, p.firstRound = 0, true
}

// Blocked reports whether requests to a replica must not take this host's own path.
func (p *Paths) Blocked(id core.UpstreamID) bool {
	if p.cutSince != 0 {
		return true
	}
	x := p.paths[id]
	return x != nil && x.blockedSince != 0
}

// CutOff returns for how long this host has been cut off from all replicas, and false if it isn't.
func (p *Paths) CutOff(now core.Instant) (time.Duration, bool) {
	if p.cutSince == 0 {
		return 0, false
	}
	return now.Sub(p.cutSince), true
}

// Troubled reports whether any path is blocked.
func (p *Paths) Troubled() bool {
	if p.cutSince != 0 {
		return true
	}
	for _, x := range p.paths {
		if x.blockedSince != 0 {
			return true
		}
	}
	return false
}

// HeardAt returns when any replica was last heard; 0: never.
func (p *Paths) HeardAt() core.Instant { return p.heardAt }

// HeardOther reports whether another replica than the given one has been heard since a time.
func (p *Paths) HeardOther(than core.UpstreamID, since core.Instant) bool {
	for id, x := range p.paths {
		if id != than && x.heardAt > since {
			return true
		}
	}
	return false
}

// Probes returns the replicas whose paths are to be probed now: those of blocked paths that are due,
// and, while this host is cut off, some of all.
func (p *Paths) Probes(now core.Instant, all []core.UpstreamID) []core.UpstreamID {
	if now < p.nextRound {
		return nil
	}
	p.nextRound = now.Add(roundInterval)
	var due []core.UpstreamID
	for _, id := range all {
		x := p.path(id)
		if (x.blockedSince != 0 || p.cutSince != 0) && now >= x.probeAt && x.idle(now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b core.UpstreamID) int { return int(p.paths[a].probeAt - p.paths[b].probeAt) })
	most := maxProbesPerRound
	if p.firstRound {
		most, p.firstRound = maxFirstProbes, false
	}
	due = due[:min(len(due), most)]
	for _, id := range due {
		p.BeginProbe(now, id)
	}
	return due
}

func (x *path) idle(now core.Instant) bool {
	return x.probing == 0 || now.Sub(x.probing) >= probeTimeout
}

// BeginProbe records that a path is being probed. It returns false where a probe is open already.
func (p *Paths) BeginProbe(now core.Instant, id core.UpstreamID) bool {
	x := p.path(id)
	if !x.idle(now) {
		return false
	}
	x.probing = now
	return true
}

// Forget forgets what is known of a replica, which is gone or has restarted.
func (p *Paths) Forget(id core.UpstreamID) { delete(p.paths, id) }
