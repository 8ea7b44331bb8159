package crashcount

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

const bad = 9 // the fingerprint of a request that crashes replicas

func at(d time.Duration) core.Instant { return core.Instant(d) }

// Guards against a crash that counts twice as two hosts tell each other what they heard from a third, and
// against counts that differ with the order, or the number, of the reports.
func TestHostsThatTellEachOtherAgreeOnEachCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []core.HostID{"a/1", "b/1", "c/1", "c/2"} // c has restarted
		var hosts []*Counts
		for _, n := range names {
			hosts = append(hosts, New(n))
		}
		now, crashes := time.Second, 0
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond
			from, to := hosts[rapid.IntRange(0, 3).Draw(rt, "from")], hosts[rapid.IntRange(0, 3).Draw(rt, "to")]
			if rapid.Bool().Draw(rt, "crash") {
				from.Observe(at(now), bad)
				crashes++
				continue
			}
			tell(at(now), from, to)
		}
		for range 2 {
			for _, from := range hosts {
				for _, to := range hosts {
					tell(at(now), from, to)
				}
			}
		}
		for _, h := range hosts {
			got := 0
			if r := h.records[bad]; r != nil {
				got = r.total
			}
			if got != crashes || h.IsSuspect(at(now), bad) != (crashes >= MaxCrashes) || h.Digest(at(now)) != hosts[0].Digest(at(now)) {
				rt.Fatalf("%s counts %d crashes of %d", h.self, got, crashes)
			}
		}
	})
}

func tell(now core.Instant, from, to *Counts) {
	for _, k := range from.Report(now) {
		to.Apply(now, k)
	}
}

// Guards against suspects that are kept alive for ever by hosts that tell each other.
func TestCountsExpireHoweverOftenTheyAreTold(t *testing.T) {
	is := is.New(t)
	a, b := New("a/1"), New("b/1")
	for range MaxCrashes {
		a.Observe(0, bad)
	}
	const delay = 100 * time.Millisecond // of each report
	for now := time.Duration(0); now < 3*Retention; now += delay {
		report := a.Report(at(now))
		for _, k := range report {
			b.Apply(at(now+delay), k)
		}
		a, b = b, a
		is.True(!a.IsSuspect(at(now), bad) || now < Retention+delay)
	}
	is.Equal(len(a.Report(at(3*Retention)))+len(b.Report(at(3*Retention))), 0)
}

// Guards against sound requests that run on replicas which end: each leaves a record.
func TestManyCrashesDisplaceNoSuspect(t *testing.T) {
	is := is.New(t)
	c := New("a/1")
	for range MaxCrashes {
		c.Observe(0, bad)
	}
	for i := range uint64(3 * maxRecords) {
		c.Observe(at(time.Second), 100+i)
	}
	is.True(c.IsSuspect(at(time.Second), bad))
	is.True(len(c.records) <= maxRecords)
	is.Equal(c.Report(at(time.Second))[0].Fingerprint, uint64(bad))
	is.True(len(c.Report(at(time.Second))) <= maxReported)
}

func TestStoredSuspectsAreInherited(t *testing.T) {
	is := is.New(t)
	c := New("a/1")
	c.Observe(0, 1)
	for range MaxCrashes {
		c.Observe(0, bad)
	}
	started := New("a/2")
	for fingerprint, age := range c.Suspects(at(time.Minute)) {
		started.Inherit(at(time.Minute), fingerprint, age)
	}
	is.True(started.IsSuspect(at(time.Minute), bad))
	is.True(!started.IsSuspect(at(Retention), bad)) // its age counts
	is.Equal(started.Digest(at(time.Minute)), c.Digest(at(time.Minute)))
	started.Inherit(at(time.Minute), 7, -time.Second)
	is.True(!started.IsSuspect(at(time.Minute), 7))
}

// Guards against counts that cost more than the requests: many replicas end under many requests, and all
// hosts are told of each.
func BenchmarkApplyToFullRecords(b *testing.B) {
	c := New("a/1")
	for i := range uint64(b.N) {
		c.Apply(at(time.Second), Count{Fingerprint: i, Observer: "b/1", Crashes: 1})
	}
}
