package feed_test

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/measure/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// accept writes a configuration of chunks to the store, as an operator's change
// does.
func accept(f *membership.Fleet, version uint64, chunks ...string) {
	h := config.Head{Version: version}
	for _, c := range chunks {
		sum := sha256.Sum256([]byte(c))
		hash := hex.EncodeToString(sum[:])
		h.Chunks = append(h.Chunks, hash)
		f.Store.WriteExternal(config.ChunkPrefix+hash, []byte(c))
	}
	b, _ := config.EncodeHead(h)
	f.Store.WriteExternal(config.HeadKey, b)
}

// start returns a fleet of n hosts, after 15 s in which it forms.
func start(seed uint64, n, domains int) (*membership.Fleet, []*membership.Host) {
	f := membership.NewFleet(seed)
	f.RunFeeds = true
	var hosts []*membership.Host
	for i := range n {
		hosts = append(hosts, f.AddHost(membership.Places(domains)[i%domains]))
	}
	f.Run(15 * time.Second)
	return f, hosts
}

func inForce(hosts []*membership.Host, version uint64) (n int) {
	for _, h := range hosts {
		if !h.Dead && h.Feed.ConfigVersion() == version {
			n++
		}
	}
	return n
}

func cutOff(f *membership.Fleet, hosts []*membership.Host) (n int) {
	for _, h := range hosts {
		if !h.Dead && h.Feed.CutOff(h.LocalTime(f.Now)) {
			n++
		}
	}
	return n
}

func TestConfigurationReachesEveryHost(t *testing.T) {
	for _, n := range []int{1, 3, 8, 40} {
		is := is.New(t)
		f, hosts := start(1, n, 3)
		is.Equal(cutOff(f, hosts), 0) // known that no configuration exists
		accept(f, 1, "a", "b")
		f.Run(2 * time.Second)
		is.Equal(inForce(hosts, 1), n)
		accept(f, 2, "a", "c")
		f.Run(2 * time.Second)
		is.Equal(inForce(hosts, 2), n)
		_, chunks, ok := hosts[n-1].Feed.Config()
		is.True(ok)
		is.Equal(string(chunks[1]), "c")
		is.Equal(cutOff(f, hosts), 0)
	}
}

func TestValuesReachEveryHostNewestWins(t *testing.T) {
	is := is.New(t)
	f, hosts := start(2, 40, 3)
	k := feed.Key{Topic: feed.TopicUpstream, Name: "u1"}
	for seq := range uint64(50) {
		h := hosts[7]
		out, err := h.Feed.Set(h.LocalTime(f.Now), k, feed.Stamp{Fence: 3, Seq: seq + 1}, []byte(fmt.Sprint(seq)))
		is.NoErr(err)
		f.ApplyFeed(h, out)
		f.Run(20 * time.Millisecond)
	}
	f.Run(2 * time.Second)
	for _, h := range hosts {
		e, ok := h.Feed.Get(k)
		is.True(ok)
		is.Equal(string(e.Value), "49")
	}
	_, err := hosts[0].Feed.Set(0, k, feed.Stamp{Fence: 9}, make([]byte, feed.MaxValueBytes+1))
	is.True(feed.Error.Has(err))
}
