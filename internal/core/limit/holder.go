package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// holder is this host's side of one workspace: its share and what it promised.
type holder struct {
	slice    bucket
	fence    core.Fence // promised: shares of lower ones are ignored
	applied  uint64     // Seq of the last share applied
	released nano       // given up on applying it
	until    core.Instant

	asked    core.Instant // when the last Ask was sent
	next     core.Instant // when the next is due, 0: not on the agenda
	answered bool         // the last Ask was
	denied   int          // answers in a row that gave no share
	demand   demand
	lender   core.HostID // lent last
	dry      dry
}

// dry remembers a refused loan, so that the next is not asked for in vain.
type dry struct {
	until core.Instant
	most  core.Tokens // smaller requests are asked for all the same
	times int         // refusals since the last loan
}

// Bounds of how long a refused loan counts; it doubles with each refusal.
const (
	dryLeast = 20 * time.Millisecond
	dryTimes = 8
	dryLong  = 3
)

func (d *dry) refused(now core.Instant, l Lend, most time.Duration) {
	d.times = min(d.times+1, dryTimes)
	d.most = l.Most
	d.until = now.Add(min(max(l.Retry, dryLeast<<d.times), most))
}

// covers reports whether a loan of n would surely be refused too. After some
// refusals in a row, whatever one host had is gone before this host asks.
func (d *dry) covers(now core.Instant, n core.Tokens) bool {
	return now.Before(d.until) && (n > d.most || d.times >= dryLong)
}

func (d *dry) granted() { d.times = max(d.times-1, 0) }

// demand measures what is asked of this host, in tokens a second.
type demand struct {
	since   core.Instant
	tokens  core.Tokens
	rate    core.Tokens
	largest core.Tokens
	faded   core.Instant
}

// fade lets the largest request be forgotten, an eighth in each span of every.
func (d *demand) fade(now core.Instant, every time.Duration) {
	if now.Sub(d.faded) >= every {
		d.faded = now
		d.largest -= d.largest / 8
	}
}

func (d *demand) note(n core.Tokens) {
	d.tokens = min(d.tokens+n, MaxTokens)
	d.largest = max(d.largest, n)
}

// leastDemandSpan is the shortest span that demand is measured over.
const leastDemandSpan = time.Second

// roll ends a span and returns the smoothed rate.
func (d *demand) roll(now core.Instant) core.Tokens {
	span := now.Sub(d.since)
	if span < leastDemandSpan {
		return d.rate
	}
	lately := core.Tokens(mulDiv(int64(d.tokens), int64(time.Second), int64(span)))
	d.rate = (d.rate + lately) / 2
	d.since, d.tokens = now, 0
	return d.rate
}

func (m *Machine) holder(now core.Instant, ws core.WorkspaceID) *holder {
	h := m.holders[ws]
	if h == nil {
		h = &holder{slice: bucket{last: now, ppm: m.settings.DriftPPM}}
		h.demand.since = now
		m.holders[ws] = h
	}
	return h
}

// lapse drops a share whose term has ended. Asked before every use.
func (m *Machine) lapse(now core.Instant, h *holder) {
	if h.slice.burst > 0 && !now.Before(h.until) {
		h.slice.drop()
		m.stats.Lapsed++
	}
}

// scale cuts a share by a lowered limit; a raised one comes from the owner.
func (h *holder) scale(now core.Instant, was, is Limit) {
	s := &h.slice
	rate, burst := s.rate, s.burst
	if is.Rate < was.Rate {
		rate = microRate(mulDiv(int64(rate), int64(is.Rate), int64(was.Rate)))
	}
	if is.Burst < was.Burst {
		burst = nano(mulDiv(int64(burst), int64(is.Burst), int64(was.Burst)))
	}
	s.cut(now, rate, burst)
}

// schedule puts the next Ask on the agenda unless one is due earlier.
func (m *Machine) schedule(at core.Instant, ws core.WorkspaceID, h *holder) {
	if h.next == 0 || at < h.next {
		m.reschedule(at, ws, h)
	}
}

// reschedule makes the next Ask due at an instant. Tasks of before are void.
func (m *Machine) reschedule(at core.Instant, ws core.WorkspaceID, h *holder) {
	h.next = at
	m.agenda.add(task{at: at, duty: dutyAsk, workspace: ws})
}

// askDue renews the share in time, or lets a host that needs none fall silent.
func (m *Machine) askDue(now core.Instant, own core.Ownership, ws core.WorkspaceID, r *Result) {
	h := m.holder(now, ws)
	if h.next == 0 || now.Before(h.next) {
		return
	}
	h.next = 0
	m.lapse(now, h)
	if h.slice.burst == 0 && h.demand.tokens == 0 && h.demand.rate == 0 {
		return
	}
	m.ask(now, own, ws, h, r)
}

// maxDenied bounds how often the time between a shareless host's asks doubles.
const maxDenied = 4

// denied makes a host that gets no share ask ever less often.
func (m *Machine) denied(now core.Instant, s Share, h *holder) {
	if s.Burst > 0 {
		h.denied = 0
		return
	}
	at := now.Add(m.settings.Urgent << h.denied)
	h.denied = min(h.denied+1, maxDenied)
	m.reschedule(at, s.Workspace, h)
}

// retryAsk is the time after which an unanswered Ask is sent again.
const retryAsk = 3 * time.Second

// ask states what is held to the owner and asks for its renewal.
func (m *Machine) ask(now core.Instant, own core.Ownership, ws core.WorkspaceID, h *holder, r *Result) {
	owner, ok := own.Owner(shardOf(ws))
	next := m.settings.Renew
	if ok && owner != m.settings.Self {
		if !h.answered && h.slice.burst > 0 {
			next = retryAsk
		}
		a := m.state(now, ws, h)
		r.Send(owner, Message{Ask: &a})
		h.asked, h.answered = now, false
		h.demand.fade(now, m.settings.Renew)
	}
	m.reschedule(now.Add(next), ws, h)
}

// state is what this host holds and promises.
func (m *Machine) state(now core.Instant, ws core.WorkspaceID, h *holder) Ask {
	m.lapse(now, h)
	h.slice.advance(now)
	return Ask{
		Workspace: ws, Fence: h.fence, Applied: h.applied,
		Rate: int64(h.slice.rate), Burst: int64(h.slice.burst), Level: int64(h.slice.level),
		Released: int64(h.released), Demand: h.demand.roll(now), Largest: h.demand.largest, Sent: now,
	}
}

// onRecall promises the fencing number and answers with what is held.
func (m *Machine) onRecall(now core.Instant, from core.HostID, c Recall, r *Result) {
	h := m.holder(now, c.Workspace)
	if c.Fence < h.fence {
		return
	}
	h.fence = c.Fence
	a := m.state(now, c.Workspace, h)
	r.Send(from, Message{Ask: &a})
	h.asked, h.answered = now, false
	m.reschedule(now.Add(m.settings.Renew), c.Workspace, h)
}

// onShare applies a share: its slice once, its term always.
func (m *Machine) onShare(now core.Instant, own core.Ownership, from core.HostID, s Share, r *Result) {
	h := m.holder(now, s.Workspace)
	until := s.Echo.Add(s.Term)
	if s.Fence < h.fence || s.Echo > now || !now.Before(until) {
		return // a fence promised since, or a term that ended: not to be used
	}
	m.lapse(now, h)
	if s.Seq < h.applied {
		return
	}
	if s.Seq == h.applied && !h.renewable(s) {
		return // the owner does not book what is held: it is left to end
	}
	h.fence = s.Fence
	h.until = max(h.until, until)
	h.answered = true
	m.denied(now, s, h)
	if s.Seq == h.applied {
		return
	}
	h.applied = s.Seq
	m.resize(now, h, s)
	if h.released > 0 {
		a := m.state(now, s.Workspace, h)
		a.Only = true
		r.Send(from, Message{Ask: &a})
	}
}

// renewable reports whether a share with no new cut covers what is held, and
// brings back nothing that has lapsed.
func (h *holder) renewable(s Share) bool {
	if h.slice.burst == 0 {
		return s.Burst == 0
	}
	return nano(s.Burst) >= h.slice.burst && microRate(s.Rate) >= h.slice.rate
}

// resize makes the slice what the owner booked, less what a configuration
// that the owner did not know yet takes off.
func (m *Machine) resize(now core.Instant, h *holder, s Share) {
	basis := Limit{Rate: clampTokens(s.TotalRate), Burst: clampTokens(s.TotalBurst)}
	rate := microRate(min(max(s.Rate, 0), int64(micros(basis.Rate))))
	burst := min(max(nano(s.Burst), 0), nanos(basis.Burst))
	b := &h.slice
	h.released = 0
	if rate < b.rate || burst < b.burst {
		h.released = b.cut(now, rate, burst)
	}
	b.grow(now, max(rate-b.rate, 0), max(burst-b.burst, 0), max(nano(s.Added), 0))
	h.scale(now, basis, m.limits[s.Workspace])
	if b.burst == 0 && b.outstanding == 0 {
		b.drop()
	}
}
