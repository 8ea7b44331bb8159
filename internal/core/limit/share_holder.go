package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// shareHolder is this host's state as a share holder of one workspace.
type shareHolder struct {
	bucket        bucket     // its share
	promisedFence core.Fence // shares with lower fencing numbers are ignored
	applied       uint64     // Seq of the last share applied
	releasedLevel nanotokens // level removed on applying that share
	expires       core.Instant

	lastRequest core.Instant // when the last share request was sent
	nextRequest core.Instant // when the next one is due; 0: none is scheduled
	answered    bool         // the last share request was answered
	denials     int          // consecutive answers without a share
	demand      demand
	lastLender  core.HostID // empty if it has refused since
	exhausted   exhaustion
}

// exhaustion records refused loans, so that no loan is requested that would be
// refused too.
type exhaustion struct {
	until     core.Instant
	available core.Tokens // smaller loans are requested all the same
	refusals  int         // increased by each refusal, decreased by each loan
}

// Bounds of how long a refused loan refuses later ones; the time doubles with each
// refusal.
const (
	minExhausted       = 20 * time.Millisecond
	maxRefusals        = 8
	refusalsForAnySize = 3 // refusals from which loans of any size are covered
)

func (e *exhaustion) refused(now core.Instant, l LoanReply, maxTTL time.Duration) {
	e.refusals = min(e.refusals+1, maxRefusals)
	e.available = l.LargestLoan
	e.until = now.Add(min(max(l.RetryAfter, minExhausted<<e.refusals), maxTTL))
}

// covers reports whether a loan of n would certainly be refused too. After
// refusalsForAnySize refusals other hosts use up what is left before a request of
// this host arrives, so then any size is covered.
func (e *exhaustion) covers(now core.Instant, n core.Tokens) bool {
	return now.Before(e.until) && (n > e.available || e.refusals >= refusalsForAnySize)
}

func (e *exhaustion) granted() { e.refusals = max(e.refusals-1, 0) }

// demand measures the tokens per second that requests on this host need.
type demand struct {
	spanStart core.Instant
	tokens    core.Tokens
	rate      core.Tokens
	largest   core.Tokens
	lastDecay core.Instant
}

// decayLargest lowers the largest request by an eighth per interval.
func (d *demand) decayLargest(now core.Instant, interval time.Duration) {
	if now.Sub(d.lastDecay) >= interval {
		d.lastDecay = now
		d.largest -= d.largest / 8
	}
}

func (d *demand) record(n core.Tokens) {
	d.tokens = min(d.tokens+n, MaxTokens)
	d.largest = max(d.largest, n)
}

// minDemandSpan is the shortest span that demand is measured over.
const minDemandSpan = time.Second

// updateRate ends a measuring span and returns the smoothed rate; within
// minDemandSpan it returns the last one.
func (d *demand) updateRate(now core.Instant) core.Tokens {
	span := now.Sub(d.spanStart)
	if span < minDemandSpan {
		return d.rate
	}
	spanRate := core.Tokens(mulDiv(int64(d.tokens), int64(time.Second), int64(span)))
	d.rate = (d.rate + spanRate) / 2
	d.spanStart, d.tokens = now, 0
	return d.rate
}

// holderOf returns this host's state as a share holder of a workspace, creating it
// if there is none.
func (m *Machine) holderOf(now core.Instant, ws core.WorkspaceID) *shareHolder {
	h := m.holders[ws]
	if h == nil {
		h = &shareHolder{bucket: bucket{last: now, ppm: m.settings.DriftPPM}}
		h.demand.spanStart = now
		m.holders[ws] = h
	}
	return h
}

// dropExpired drops a share whose term has ended. It is called before every use.
func (m *Machine) dropExpired(now core.Instant, h *shareHolder) {
	if h.bucket.burst > 0 && !now.Before(h.expires) {
		h.bucket.reset()
		m.stats.Expired++
	}
}

// scaleDown shrinks a share by a lowered limit. If the limit is raised, the owner
// sends a larger share.
func (h *shareHolder) scaleDown(now core.Instant, old, updated Limit) {
	s := &h.bucket
	rate, burst := s.rate, s.burst
	if updated.Rate < old.Rate {
		rate = microtokenRate(mulDiv(int64(rate), int64(updated.Rate), int64(old.Rate)))
	}
	if updated.Burst < old.Burst {
		burst = nanotokens(mulDiv(int64(burst), int64(updated.Burst), int64(old.Burst)))
	}
	s.shrink(now, rate, burst)
}

// scheduleRequest schedules the next share request unless one is due earlier.
func (m *Machine) scheduleRequest(at core.Instant, ws core.WorkspaceID, h *shareHolder) {
	if h.nextRequest == 0 || at < h.nextRequest {
		m.rescheduleRequest(at, ws, h)
	}
}

// rescheduleRequest sets when the next share request is due. Earlier timers have no
// effect then.
func (m *Machine) rescheduleRequest(at core.Instant, ws core.WorkspaceID, h *shareHolder) {
	h.nextRequest = at
	m.timers.add(timer{at: at, kind: timerRenew, workspace: ws})
}

// onRenewTimer renews the share; a host with neither a share nor demand stops
// sending share requests.
func (m *Machine) onRenewTimer(now core.Instant, own core.Ownership, ws core.WorkspaceID, r *Result) {
	h := m.holderOf(now, ws)
	if h.nextRequest == 0 || now.Before(h.nextRequest) {
		return
	}
	h.nextRequest = 0
	m.dropExpired(now, h)
	if h.bucket.burst == 0 && h.demand.tokens == 0 && h.demand.rate == 0 {
		return
	}
	m.requestShare(now, own, ws, h, r)
}

// maxDenials bounds how often the time between share requests of a host without a
// share doubles.
const maxDenials = 4

// updateBackoff doubles the time to the next share request for each answer without a
// share, and resets it when a share comes.
func (m *Machine) updateBackoff(now core.Instant, s Share, h *shareHolder) {
	if s.Burst > 0 {
		h.denials = 0
		return
	}
	at := now.Add(m.settings.MinRequestInterval << h.denials)
	h.denials = min(h.denials+1, maxDenials)
	m.rescheduleRequest(at, s.Workspace, h)
}

// requestRetryInterval is the time after which an unanswered share request is repeated.
const requestRetryInterval = 3 * time.Second

// requestShare states what this host holds to the owner and asks for its renewal.
func (m *Machine) requestShare(now core.Instant, own core.Ownership, ws core.WorkspaceID, h *shareHolder, r *Result) {
	owner, ok := own.Owner(shardOf(ws))
	next := m.settings.RenewInterval
	if ok && owner != m.settings.Self {
		if !h.answered && h.bucket.burst > 0 {
			next = requestRetryInterval
		}
		req := m.shareRequest(now, ws, h)
		r.Send(owner, Message{ShareRequest: &req})
		h.lastRequest, h.answered = now, false
		h.demand.decayLargest(now, m.settings.RenewInterval)
	}
	m.rescheduleRequest(now.Add(next), ws, h)
}

// shareRequest returns the statement of what this host holds and has promised.
func (m *Machine) shareRequest(now core.Instant, ws core.WorkspaceID, h *shareHolder) ShareRequest {
	m.dropExpired(now, h)
	h.bucket.advance(now)
	return ShareRequest{
		Workspace: ws, Fence: h.promisedFence, Applied: h.applied,
		Rate: int64(h.bucket.rate), Burst: int64(h.bucket.burst), Level: int64(h.bucket.level),
		Released: int64(h.releasedLevel), Demand: h.demand.updateRate(now), Largest: h.demand.largest, Sent: now,
	}
}

// onStateRequest promises the fencing number and answers with what this host holds.
func (m *Machine) onStateRequest(now core.Instant, from core.HostID, req StateRequest, r *Result) {
	h := m.holderOf(now, req.Workspace)
	if req.Fence < h.promisedFence {
		return
	}
	h.promisedFence = req.Fence
	a := m.shareRequest(now, req.Workspace, h)
	r.Send(from, Message{ShareRequest: &a})
	h.lastRequest, h.answered = now, false
	m.rescheduleRequest(now.Add(m.settings.RenewInterval), req.Workspace, h)
}

// onShare applies a share: its rate and burst once, its term always.
func (m *Machine) onShare(now core.Instant, own core.Ownership, from core.HostID, s Share, r *Result) {
	h := m.holderOf(now, s.Workspace)
	until := s.Echo.Add(s.Term)
	if s.Fence < h.promisedFence || s.Echo > now || !now.Before(until) {
		return // a higher fencing number was promised, or the term has ended
	}
	m.dropExpired(now, h)
	if s.Seq < h.applied {
		return
	}
	if s.Seq == h.applied && !h.coveredBy(s) {
		return // the owner has recorded less than is held: the share is left to expire
	}
	h.promisedFence = s.Fence
	h.expires = max(h.expires, until)
	h.answered = true
	m.updateBackoff(now, s, h)
	if s.Seq == h.applied {
		return
	}
	h.applied = s.Seq
	m.applyShare(now, h, s)
	if h.releasedLevel > 0 {
		a := m.shareRequest(now, s.Workspace, h)
		a.Acknowledgement = true
		r.Send(from, Message{ShareRequest: &a})
	}
}

// coveredBy reports whether a repeated share covers all that is held. After the held
// share has expired only an empty one does, so an expired share is never restored.
func (h *shareHolder) coveredBy(s Share) bool {
	if h.bucket.burst == 0 {
		return s.Burst == 0
	}
	return nanotokens(s.Burst) >= h.bucket.burst && microtokenRate(s.Rate) >= h.bucket.rate
}

// applyShare sets the bucket to the rate and burst of a share, scaled down if this
// host has a newer configuration with a lower limit than the owner.
func (m *Machine) applyShare(now core.Instant, h *shareHolder, s Share) {
	basis := Limit{Rate: clampTokens(s.TotalRate), Burst: clampTokens(s.TotalBurst)}
	rate := microtokenRate(min(max(s.Rate, 0), int64(toMicrotokenRate(basis.Rate))))
	burst := min(max(nanotokens(s.Burst), 0), toNanotokens(basis.Burst))
	b := &h.bucket
	h.releasedLevel = 0
	if rate < b.rate || burst < b.burst {
		h.releasedLevel = b.shrink(now, rate, burst)
	}
	b.grow(now, max(rate-b.rate, 0), max(burst-b.burst, 0), max(nanotokens(s.AddedLevel), 0))
	h.scaleDown(now, basis, m.limits[s.Workspace])
	if b.burst == 0 && b.outstanding == 0 {
		b.reset()
	}
}
