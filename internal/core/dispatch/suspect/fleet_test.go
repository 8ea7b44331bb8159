package suspect

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"gentiancroft/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// members is a membership that the test changes at will.
type members struct {
	core.Ownership
	self core.HostID
	list *[]core.Member
}

func (o members) Self() core.HostID      { return o.self }
func (o members) Members() []core.Member { return *o.list }

// restart is how long an upstream is down after its death.
const restart = 5 * time.Second

type packet struct {
	from, to core.HostID
	msg      Message
	at       core.Instant
}

type running struct {
	entry core.HostID
	req   Request
	died  core.Instant
}

// fleet is a few machines, the messages between them and what runs where.
type fleet struct {
	now      core.Instant
	list     []core.Member
	machines map[core.HostID]*Machine
	net      []packet
	running  []running // dispatched
	poison   map[uint64]bool
	down     map[core.UpstreamID]core.Instant // dead upstreams, until when
	deaths   map[uint64]int                   // upstreams taken, by fingerprint
	noticed  []running                        // deaths that the entry host has not reported yet
	refused  map[core.RequestID]core.Code
	use      map[core.RequestID][]core.UpstreamID
	strikes  []Strike
	serial   int
}

func newFleet(hosts int) *fleet {
	f := &fleet{
		now:      core.Instant(time.Hour),
		machines: map[core.HostID]*Machine{},
		poison:   map[uint64]bool{},
		down:     map[core.UpstreamID]core.Instant{},
		deaths:   map[uint64]int{},
		refused:  map[core.RequestID]core.Code{},
		use:      map[core.RequestID][]core.UpstreamID{},
	}
	for i := range hosts {
		id := core.HostID("h" + strconv.Itoa(i))
		f.list = append(f.list, core.Member{Host: id})
		f.machines[id] = New(id, core.NewRand(uint64(i)))
	}
	return f
}

func (f *fleet) own(h core.HostID) core.Ownership { return members{self: h, list: &f.list} }

// take carries out what a machine wants.
func (f *fleet) take(h core.HostID, r Result) {
	for _, s := range r.Sends {
		f.net = append(f.net, packet{h, s.To, s.Message, f.now})
	}
	f.strikes = append(f.strikes, r.Publish...)
	for _, d := range r.Decisions {
		if d.Revoked {
			continue // here every request was dispatched at once
		}
		if !d.Allowed {
			f.refused[d.ID] = d.Refusal.Code
			f.use[d.ID] = d.Use
			continue
		}
		c := f.machines[h].present[d.ID]
		f.dispatch(running{entry: h, req: c.req})
	}
}

// dispatch runs a request; a poisoned one takes its upstream and every
// neighbour there with it.
func (f *fleet) dispatch(x running) {
	if f.now.Before(f.down[x.req.Upstream]) {
		f.take(x.entry, f.machines[x.entry].Release(f.now, f.own(x.entry), x.req.ID, EndNotSent))
		return
	}
	f.running = append(f.running, x)
	if !f.poison[x.req.Fingerprint] {
		return
	}
	f.deaths[x.req.Fingerprint]++
	f.down[x.req.Upstream] = f.now.Add(restart)
	var left []running
	for _, y := range f.running {
		if y.req.Upstream == x.req.Upstream {
			y.died = f.now
			f.noticed = append(f.noticed, y)
		} else {
			left = append(left, y)
		}
	}
	f.running = left
}

func (f *fleet) claim(h core.HostID, fp uint64, u core.UpstreamID) core.RequestID {
	f.serial++
	id := core.RequestID(string(h) + "-" + strconv.Itoa(f.serial))
	f.take(h, f.machines[h].Claim(f.now, f.own(h), Request{ID: id, Fingerprint: fp, Upstream: u}))
	return id
}

// notice lets an entry host report the i-th death.
func (f *fleet) notice(i int) {
	x := f.noticed[i]
	f.noticed = append(f.noticed[:i], f.noticed[i+1:]...)
	f.take(x.entry, f.machines[x.entry].Release(f.now, f.own(x.entry), x.req.ID, EndDied))
}

func (f *fleet) finish(i int) {
	x := f.running[i]
	f.running = append(f.running[:i], f.running[i+1:]...)
	f.take(x.entry, f.machines[x.entry].Release(f.now, f.own(x.entry), x.req.ID, EndOK))
}

func (f *fleet) deliver(i int) {
	p := f.net[i]
	f.net = append(f.net[:i], f.net[i+1:]...)
	if m := f.machines[p.to]; m != nil {
		f.take(p.to, m.Peer(f.now, f.own(p.to), p.from, p.msg))
	}
}

func (f *fleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for _, x := range f.list {
		f.take(x.Host, f.machines[x.Host].Tick(f.now, f.own(x.Host)))
	}
}

// settle delivers and reports everything that is due.
func (f *fleet) settle() {
	for len(f.net) > 0 || len(f.noticed) > 0 {
		if len(f.net) > 0 {
			f.deliver(0)
		} else {
			f.notice(0)
		}
	}
}

// lose takes a host from the fleet with all it knows.
func (f *fleet) lose(h core.HostID) {
	delete(f.machines, h)
	var list []core.Member
	for _, x := range f.list {
		if x.Host != h {
			list = append(list, x)
		}
	}
	f.list = list
	var left []running
	for _, x := range f.running {
		if x.entry != h {
			left = append(left, x)
		}
	}
	f.running = left
}
