package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

const (
	v1 = Software(1)
	v2 = Software(3)
)

func TestRecordLastsForTheMemoryAndIsThenForgotten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		r := NewRecords()
		now := core.Instant(0)
		put := map[Stream]core.Instant{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(Memory/4)).Draw(rt, "pause")))
			s := Stream(rapid.IntRange(0, 5).Draw(rt, "stream"))
			r.Put(now, Record{Stream: s, Software: v1})
			put[s] = now
			for s, at := range put {
				_, known := r.Get(now, s)
				is.True(known || now.Sub(at) > Memory)
			}
			is.True(len(r.All(now)) <= len(put))
		}
		now = now.Add(2 * Memory)
		is.Equal(len(r.All(now)), 0)
	})
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRecords()
	const streams = 3 * maxRecords
	for i := range streams {
		r.Put(1, Record{Stream: Stream(i), Software: v2})
	}
	is.True(len(r.All(1)) <= maxRecords)
	got, known := r.Get(1, streams-1)
	is.True(known && got == v2)
	_, known = r.Get(1, 0)
	is.True(!known)
}

func TestOnlyVersionOfAService(t *testing.T) {
	is := is.New(t)
	var v Versions
	_, only := v.Only(0, "s")
	is.True(!only) // nothing is known
	v.Observe(10, "s", "v1")
	v.Observe(10, "other", "v7")
	got, only := v.Only(10, "s")
	is.True(only && got == "v1")
	is.True(!v.Mixed(10))
	later := core.Instant(10).Add(time.Second)
	v.Observe(later, "s", "v2")
	_, only = v.Only(later, "s")
	is.True(!only && v.Mixed(later))
	_, only = v.Only(core.Instant(10).Add(Memory), "s")
	is.True(!only) // a stream of v1 may still be taken up
	got, only = v.Only(core.Instant(11).Add(Memory), "s")
	is.True(only && got == "v2")
}

func TestVersionsAreHandedOnWithTheirAges(t *testing.T) {
	is := is.New(t)
	var before, after Versions
	before.Observe(0, "s", "v1")
	before.Observe(core.Instant(5*time.Second), "s", "v2")
	ages := before.Ages(core.Instant(20 * time.Second))
	is.Equal(ages, map[string]map[string]int64{"s": {"v1": 20000, "v2": 15000}})
	started := core.Instant(time.Second) // on its own clock
	after.ObserveAges(started, ages)
	_, only := after.Only(started, "s")
	is.True(!only)
	got, only := after.Only(started.Add(Memory-16*time.Second), "s")
	is.True(only && got == "v2")
}

func TestIdentifiersDependOnServiceAndVersion(t *testing.T) {
	is := is.New(t)
	is.True(SoftwareOf("s", "v1") != SoftwareOf("s", "v2"))
	is.True(SoftwareOf("s", "v1") != SoftwareOf("t", "v1"))
	is.True(SoftwareOf("", "") != 0)
	is.True(StreamOf("a") != StreamOf("b"))
}
