package membership

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/measure"
)

// The configuration of the comparison and the slow link.
const (
	chunkBytes   = 32 << 10
	chunkCount   = 60 // about 2 MB: 15,000 adapters
	changes      = 20
	changeEvery  = 700 * time.Millisecond
	slowBytes    = 16 << 10 // a second over the slow link
	forceWithin  = 4 * time.Second
	drainFor     = 60 * time.Second
	storeReads   = 2000 // a second
	storeAnswers = time.Second / storeReads
)

// accept writes a configuration in which one chunk differs from the last.
func accept(f *Fleet, version uint64, chunks, bytes int) {
	h := config.Head{Version: version}
	for i := range chunks {
		edit := uint64(0) // the latest version that changed this chunk
		if version >= uint64(i) {
			edit = version - (version-uint64(i))%uint64(chunks)
		}
		c := make([]byte, max(bytes, 64))
		copy(c, fmt.Sprintf("chunk %d edit %d", i, edit))
		sum := sha256.Sum256(c)
		hash := hex.EncodeToString(sum[:])
		h.Chunks = append(h.Chunks, hash)
		if _, there := f.Store.objects[config.ChunkPrefix+hash]; !there {
			f.Store.Put(config.ChunkPrefix+hash, c)
		}
	}
	b, err := config.EncodeHead(h)
	if err == nil {
		f.Store.Put(config.HeadKey, b)
	}
}

// force compares three ways to bring configurations to all hosts.
func force(seed uint64) (measure.Table, []measure.Target, error) {
	table := measure.Table{
		Title:   fmt.Sprintf("%d changes %v apart, one chunk of %d kB each, one host behind a link of %d kB/s", changes, changeEvery, chunkBytes>>10, slowBytes>>10),
		Columns: []string{"p50 s", "p99 s", "max s", "slow host max s", "calls/s", "B/host/change", "busiest host B/change"},
	}
	var targets []measure.Target
	for _, n := range []int{8, 30, 350} {
		each, coupled, own := eachWatching(seed, n), coupledRelay(seed, n), ownFeed(seed, n)
		label := func(s string) string { return fmt.Sprintf("%d hosts, %s", n, s) }
		table.Rows = append(table.Rows,
			each.row(label("each host watching")), coupled.row(label("coupled relay")), own.row(label("feed")))
		worst := quantile(own.others, 1)
		targets = append(targets, measure.Target{
			Name:  fmt.Sprintf("in force on all hosts but the slow one of %d, max s", n),
			Bound: fmt.Sprintf("<= %g", forceWithin.Seconds()), Measured: worst, Met: worst <= forceWithin.Seconds(),
		})
	}
	return table, targets, nil
}

// forced is the outcome of one way. A host that skips a version counts from
// that version's acceptance to the next newer one in force.
type forced struct {
	others, slow []time.Duration
	calls        float64 // a second
	perHost      float64 // bytes per host and change
	busiest      float64
}

func (r forced) row(label string) measure.Row {
	return measure.Row{Label: label, Values: []float64{
		quantile(r.others, 0.5), quantile(r.others, 0.99), quantile(r.others, 1), quantile(r.slow, 1), r.calls, r.perHost, r.busiest,
	}}
}

// progress times versions on hosts.
type progress struct {
	accepted map[uint64]core.Instant
	reached  map[core.HostID]uint64
	out      *forced
	slow     core.HostID
}

func (p *progress) reach(now core.Instant, h core.HostID, version uint64) {
	for v := p.reached[h] + 1; v <= version; v++ {
		d := now.Sub(p.accepted[v])
		if h == p.slow {
			p.out.slow = append(p.out.slow, d)
		} else {
			p.out.others = append(p.out.others, d)
		}
	}
	p.reached[h] = max(p.reached[h], version)
}

// all reports whether every host has a version in force.
func (p *progress) all(hosts []core.HostID, version uint64) bool {
	for _, h := range hosts {
		if p.reached[h] < version {
			return false
		}
	}
	return true
}

// finish counts what never came as the whole time.
func (p *progress) finish(now core.Instant, hosts []core.HostID, last uint64) {
	for _, h := range hosts {
		p.reach(now, h, last)
	}
}

// slowLink makes one host's link slow, both ways, in order of sending.
func slowLink(f *Fleet, slow core.HostID) {
	busy := map[[2]core.HostID]core.Instant{}
	f.Delay = func(a, b *Host, size int) time.Duration {
		if a.Member.Host != slow && b.Member.Host != slow {
			return 0
		}
		k := [2]core.HostID{a.Member.Host, b.Member.Host}
		took := time.Duration(size) * time.Second / slowBytes
		busy[k] = max(busy[k], f.Now).Add(took)
		return busy[k].Sub(f.Now)
	}
}

// ownFeed runs the feed machines.
func ownFeed(seed uint64, n int) forced {
	var r forced
	f := NewFleet(seed)
	f.Feeds = true
	hosts := grow(f, n)
	accept(f, 1, chunkCount, chunkBytes)
	f.Run(30 * time.Second)
	slow := hosts[0]
	for _, h := range hosts {
		if !h.Feed.IsWatcher() {
			slow = h
		}
	}
	slowLink(f, slow.Member.Host)
	p := &progress{accepted: map[uint64]core.Instant{}, reached: map[core.HostID]uint64{}, out: &r, slow: slow.Member.Host}
	for _, h := range hosts {
		p.reached[h.Member.Host] = 1
	}
	f.Stepped = func(h *Host) {
		if v := h.Feed.ConfigVersion(); v > p.reached[h.Member.Host] {
			p.reach(f.Now, h.Member.Host, v)
		}
	}
	calls, from := f.Store.Total(), f.Now
	was := map[core.HostID]int{}
	for _, h := range hosts {
		was[h.Member.Host] = h.In + h.Out
	}
	for v := uint64(2); v < changes+2; v++ {
		p.accepted[v] = f.Now
		accept(f, v, chunkCount, chunkBytes)
		f.Run(changeEvery)
	}
	f.Run(5 * time.Second)
	r.calls = float64(f.Store.Total()-calls) / f.Now.Sub(from).Seconds()
	total, most := 0, 0
	for _, h := range hosts {
		b := h.In + h.Out - was[h.Member.Host]
		total, most = total+b, max(most, b)
	}
	r.perHost, r.busiest = float64(total)/float64(n)/changes, float64(most)/changes
	for waited := time.Duration(0); waited < drainFor && !p.all(f.Order, changes+1); waited += time.Second {
		f.Run(time.Second)
	}
	p.finish(f.Now, f.Order, changes+1)
	return r
}
