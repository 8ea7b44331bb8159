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

// Sizes and rates of the configuration changes, the slow link and the store.
const (
	chunkBytes             = 32 << 10
	chunkCount             = 60 // about 2 MB: 15,000 adapters
	changes                = 20
	changeInterval         = 700 * time.Millisecond
	slowLinkBytesPerSecond = 16 << 10
	maxRolloutTime         = 4 * time.Second
	rolloutTimeout         = 60 * time.Second
	storeReadsPerSecond    = 2000
	storeReadInterval      = time.Second / storeReadsPerSecond
)

// writeConfig writes a configuration that differs from the version before in one
// chunk.
func writeConfig(f *Fleet, version uint64, chunks, bytes int) {
	h := config.Head{Version: version}
	for i := range chunks {
		edit := uint64(0) // version that last changed this chunk
		if version >= uint64(i) {
			edit = version - (version-uint64(i))%uint64(chunks)
		}
		c := make([]byte, max(bytes, 64))
		copy(c, fmt.Sprintf("chunk %d edit %d", i, edit))
		sum := sha256.Sum256(c)
		hash := hex.EncodeToString(sum[:])
		h.Chunks = append(h.Chunks, hash)
		if _, exists := f.Store.objects[config.ChunkPrefix+hash]; !exists {
			f.Store.WriteExternal(config.ChunkPrefix+hash, c)
		}
	}
	b, err := config.EncodeHead(h)
	if err == nil {
		f.Store.WriteExternal(config.HeadKey, b)
	}
}

// measureRollout compares three ways to distribute configurations to all hosts.
func measureRollout(seed uint64) (measure.Table, []measure.Target, error) {
	table := measure.Table{
		Title:   fmt.Sprintf("%d changes %v apart, one chunk of %d kB each, one host behind a link of %d kB/s", changes, changeInterval, chunkBytes>>10, slowLinkBytesPerSecond>>10),
		Columns: []string{"p50 s", "p99 s", "max s", "slow host max s", "calls/s", "B/host/change", "busiest host B/change"},
	}
	var targets []measure.Target
	for _, n := range []int{8, 30, 350} {
		watching, coupled, feedResult := runWatchingHosts(seed, n), runCoupledRelay(seed, n), runFeed(seed, n)
		label := func(s string) string { return fmt.Sprintf("%d hosts, %s", n, s) }
		table.Rows = append(table.Rows,
			watching.row(label("each host watching")), coupled.row(label("coupled relay")), feedResult.row(label("feed")))
		worst := quantile(feedResult.others, 1)
		targets = append(targets, measure.Target{
			Name:  fmt.Sprintf("in force on all hosts but the slow one of %d, max s", n),
			Bound: fmt.Sprintf("<= %g", maxRolloutTime.Seconds()), Measured: worst, Met: worst <= maxRolloutTime.Seconds(),
		})
	}
	return table, targets, nil
}

// rollout is the result of one way. For a version that a host skips, the time
// runs until the next newer version is in force.
type rollout struct {
	others, slow    []time.Duration
	callsPerSecond  float64
	bytesPerHost    float64 // mean bytes per host and change
	maxBytesPerHost float64 // bytes per change of the host with most
}

func (r rollout) row(label string) measure.Row {
	return measure.Row{Label: label, Values: []float64{
		quantile(r.others, 0.5), quantile(r.others, 0.99), quantile(r.others, 1), quantile(r.slow, 1), r.callsPerSecond, r.bytesPerHost, r.maxBytesPerHost,
	}}
}

// rolloutProgress measures the time until versions are in force on hosts.
type rolloutProgress struct {
	accepted map[uint64]core.Instant
	reached  map[core.HostID]uint64
	result   *rollout
	slow     core.HostID
}

// record records that a version is in force on a host.
func (p *rolloutProgress) record(now core.Instant, h core.HostID, version uint64) {
	for v := p.reached[h] + 1; v <= version; v++ {
		d := now.Sub(p.accepted[v])
		if h == p.slow {
			p.result.slow = append(p.result.slow, d)
		} else {
			p.result.others = append(p.result.others, d)
		}
	}
	p.reached[h] = max(p.reached[h], version)
}

// all reports whether every host has a version in force.
func (p *rolloutProgress) all(hosts []core.HostID, version uint64) bool {
	for _, h := range hosts {
		if p.reached[h] < version {
			return false
		}
	}
	return true
}

// recordRemaining counts each version not yet in force as if it came into force
// now.
func (p *rolloutProgress) recordRemaining(now core.Instant, hosts []core.HostID, last uint64) {
	for _, h := range hosts {
		p.record(now, h, last)
	}
}

// limitLink limits the bandwidth of one host's link, each way on its own;
// messages queue in order of sending.
func limitLink(f *Fleet, slow core.HostID) {
	busyUntil := map[[2]core.HostID]core.Instant{}
	f.ExtraDelay = func(a, b *Host, size int) time.Duration {
		if a.Member.Host != slow && b.Member.Host != slow {
			return 0
		}
		k := [2]core.HostID{a.Member.Host, b.Member.Host}
		transfer := time.Duration(size) * time.Second / slowLinkBytesPerSecond
		busyUntil[k] = max(busyUntil[k], f.Now).Add(transfer)
		return busyUntil[k].Sub(f.Now)
	}
}

// runFeed measures the feed machines.
func runFeed(seed uint64, n int) rollout {
	var r rollout
	f := NewFleet(seed)
	f.RunFeeds = true
	hosts := startHosts(f, n)
	writeConfig(f, 1, chunkCount, chunkBytes)
	f.Run(30 * time.Second)
	slow := hosts[0]
	for _, h := range hosts {
		if !h.Feed.IsWatcher() {
			slow = h
		}
	}
	limitLink(f, slow.Member.Host)
	p := &rolloutProgress{accepted: map[uint64]core.Instant{}, reached: map[core.HostID]uint64{}, result: &r, slow: slow.Member.Host}
	for _, h := range hosts {
		p.reached[h.Member.Host] = 1
	}
	f.AfterStep = func(h *Host) {
		if v := h.Feed.ConfigVersion(); v > p.reached[h.Member.Host] {
			p.record(f.Now, h.Member.Host, v)
		}
	}
	calls, from := f.Store.TotalCalls(), f.Now
	bytesBefore := map[core.HostID]int{}
	for _, h := range hosts {
		bytesBefore[h.Member.Host] = h.LinkBytesIn + h.LinkBytesOut
	}
	for v := uint64(2); v < changes+2; v++ {
		p.accepted[v] = f.Now
		writeConfig(f, v, chunkCount, chunkBytes)
		f.Run(changeInterval)
	}
	f.Run(5 * time.Second)
	r.callsPerSecond = float64(f.Store.TotalCalls()-calls) / f.Now.Sub(from).Seconds()
	total, busiest := 0, 0
	for _, h := range hosts {
		b := h.LinkBytesIn + h.LinkBytesOut - bytesBefore[h.Member.Host]
		total, busiest = total+b, max(busiest, b)
	}
	r.bytesPerHost, r.maxBytesPerHost = float64(total)/float64(n)/changes, float64(busiest)/changes
	for waited := time.Duration(0); waited < rolloutTimeout && !p.all(f.HostOrder, changes+1); waited += time.Second {
		f.Run(time.Second)
	}
	p.recordRemaining(f.Now, f.HostOrder, changes+1)
	return r
}
