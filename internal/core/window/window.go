// Package window keeps replicas from falling over that say they are brittle: such a replica ends if
// it rejects more than a number of requests within a second for want of room, from all hosts
// together, and how much room it has it doesn't say.
//
// Each host keeps a window for each brittle replica: how many requests of its own may be there at
// once. The windows of all hosts begin at shares of what the replica runs at once, so that they
// don't exceed it together. A rejection shows that there is less room and reduces the window to what
// was there; a window that requests wanted to exceed grows again by one now and then, so rarely that
// all hosts together cause fewer rejections than the replica stands. No messages are needed.
package window

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

const (
	// growShare is the most of the rejections that a replica stands which growing windows may cause.
	growShare = 0.25
	// growSquare bounds them where a replica stands few, in rejections a second for the square of
	// their number: more than it stands must rarely come within one second by chance.
	growSquare = 0.04
	// firstShare is the share of the room learned at other replicas that one gets which is new or back.
	firstShare = 0.75
	// learnRate is the weight of a rejection in the room that a service's replicas are thought to have.
	learnRate = 0.2
	// minGrowInterval is the least time between two steps of a window.
	minGrowInterval = 700 * time.Millisecond
	// serviceMemory is how long after the last answer that said so the other replicas of a service
	// count as brittle that have not answered since.
	serviceMemory = 10 * time.Second
)

// Fleet is what the share of a host in a replica's room depends on.
type Fleet struct {
	Hosts int // that send requests to the replica
	Rank  int // of this host among them, from 0; it differs from replica to replica
}

// said is an answer that named a number, or was the first that named none.
type said struct {
	brittle    bool
	rejections int
	at         core.Instant
}

// serviceState is what is known of a service's replicas together.
type serviceState struct {
	said
	room    float64 // of one of them for all hosts, as rejections have shown it
	learned bool    // room has been set
}

// window is one host's window for one incarnation of a replica.
type window struct {
	service table.ServiceID
	said    said
	size    int
	sized   bool         // size has been set
	wanted  bool         // a request would have exceeded it since it grew
	growAt  core.Instant // when it may next grow
}

// Windows holds one host's windows. It is not safe for concurrent use.
type Windows struct {
	rng      *core.Rand
	windows  map[intake.Key]*window
	services map[table.ServiceID]*serviceState
}

// New returns no windows.
func New(rng *core.Rand) *Windows {
	return &Windows{rng: rng, windows: map[intake.Key]*window{}, services: map[table.ServiceID]*serviceState{}}
}

func (w *Windows) window(k intake.Key, service table.ServiceID) *window {
	x := w.windows[k]
	if x == nil {
		x = &window{service: service}
		w.windows[k] = x
	}
	return x
}

// Observe applies what an answer of a replica says. held is the time since its request was sent: an
// answer without a number ends the brittle time only if its request was sent after the last answer
// that named one had come. It reports whether the replica begins or ceases to be brittle, or names
// another number.
func (w *Windows) Observe(now core.Instant, k intake.Key, service table.ServiceID, b replicas.Brittleness, held time.Duration) (changed bool) {
	if !b.Named {
		return w.observeSound(now, k, now.Add(-held))
	}
	x := w.window(k, service)
	changed = !x.said.brittle || x.said.rejections != b.Rejections
	x.said = said{brittle: true, rejections: b.Rejections, at: now}
	if w.services[service] == nil {
		w.services[service] = &serviceState{}
	}
	w.services[service].said = x.said
	return changed
}

// observeSound applies an answer without a number to a request that was sent at a time.
func (w *Windows) observeSound(now core.Instant, k intake.Key, sent core.Instant) (changed bool) {
	x := w.windows[k]
	if x == nil || !x.said.brittle || sent <= x.said.at {
		return false
	}
	if s := w.services[x.service]; s != nil && sent > s.at {
		delete(w.services, x.service)
	}
	*x = window{service: x.service, said: said{at: now}}
	return true
}

// Rejections returns how many rejections a second a replica stands, and false if it isn't brittle.
func (w *Windows) Rejections(now core.Instant, k intake.Key, service table.ServiceID) (int, bool) {
	if len(w.services) == 0 && len(w.windows) == 0 {
		return 0, false
	}
	x := w.windows[k]
	if x != nil && x.said.brittle {
		return x.said.rejections, true
	}
	s := w.services[service]
	if s == nil || x != nil && x.said.at >= s.at || now.Sub(s.at) >= serviceMemory {
		return 0, false
	}
	return s.rejections, true
}

// Room reports whether a request may be sent to a brittle replica that runs batch requests at once
// and has inFlight ones of this host. share is called where the window is set or grows only.
func (w *Windows) Room(now core.Instant, k intake.Key, service table.ServiceID, batch, inFlight int, share func() Fleet) bool {
	rejections, brittle := w.Rejections(now, k, service)
	if !brittle {
		return true
	}
	x := w.window(k, service)
	if !x.sized {
		f := share()
		x.size, x.sized = w.firstSize(x, batch, f), true
		x.growAt = now.Add(w.growInterval(rejections, f))
	}
	if inFlight < x.size {
		return true
	}
	if rejections > 0 && x.wanted && now >= x.growAt && x.size < batch {
		x.size++
		x.wanted = false
		x.growAt = now.Add(w.growInterval(rejections, share()))
		return inFlight < x.size
	}
	x.wanted = true
	return false
}

// firstSize is this host's share of what a replica runs at once, or of less where rejections by the
// service's replicas have shown less room.
func (w *Windows) firstSize(x *window, batch int, f Fleet) int {
	room, hosts := batch, max(f.Hosts, 1)
	if s := w.services[x.service]; s != nil && s.learned {
		room = min(room, max(int(firstShare*s.room), 1))
	}
	size := room / hosts
	if f.Rank < room%hosts {
		size++
	}
	return size
}

// learn applies to a service that one of its replicas had no more room than for inFlight requests of
// this host.
func (s *serviceState) learn(inFlight int, f Fleet) {
	room := float64(inFlight * max(f.Hosts, 1))
	if !s.learned {
		s.room, s.learned = room, true
		return
	}
	s.room += learnRate * (room - s.room)
}

// growInterval is the time between two steps of a window of one host of all that grow. rejections
// isn't 0.
func (w *Windows) growInterval(rejections int, f Fleet) time.Duration {
	n := float64(max(rejections, 1))
	perSecond := min(n*growShare, n*n*growSquare)
	interval := time.Duration(float64(max(f.Hosts, 1)) / perSecond * float64(time.Second))
	return time.Duration(w.rng.Jitter(int64(max(interval, minGrowInterval))))
}

// Rejected applies that a replica has rejected a request for want of room while inFlight other ones
// of this host were there.
func (w *Windows) Rejected(now core.Instant, k intake.Key, service table.ServiceID, inFlight int, f Fleet) {
	rejections, brittle := w.Rejections(now, k, service)
	if !brittle {
		return
	}
	if s := w.services[service]; s != nil {
		s.learn(inFlight, f)
	}
	x := w.window(k, service)
	if !x.sized || inFlight < x.size {
		x.size, x.sized = inFlight, true
	}
	x.wanted = false
	x.growAt = now.Add(w.growInterval(rejections, f))
}

// Keep forgets the incarnations for which keep returns false.
func (w *Windows) Keep(keep func(intake.Key) bool) {
	for k := range w.windows {
		if !keep(k) {
			delete(w.windows, k)
		}
	}
}
