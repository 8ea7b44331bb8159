package recent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

const memory = time.Minute

func TestEntryLastsForTheMemoryAndIsThenForgotten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewMap[int, core.Instant](memory, 100)
		now := core.Instant(0)
		put := map[int]core.Instant{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(memory/4)).Draw(rt, "pause")))
			key := rapid.IntRange(0, 5).Draw(rt, "key")
			m.Put(now, key, now)
			put[key] = now
			for key, at := range put {
				v, ok := m.Get(now, key)
				if !ok && now.Sub(at) < memory || ok && v != at {
					rt.Fatalf("%d: got %v, %v; put at %v, now %v", key, v, ok, at, now)
				}
			}
			all := map[int]core.Instant{}
			for key, v := range m.All(now) {
				if _, twice := all[key]; twice || v != put[key] {
					rt.Fatalf("%d: %v twice or replaced", key, v)
				}
				all[key] = v
			}
		}
		now = now.Add(2 * memory)
		for key := range m.All(now) {
			rt.Fatalf("%d is remembered", key)
		}
	})
}

func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	const bound = 100
	m := NewMap[int, bool](memory, bound)
	for i := range 3 * bound {
		m.Put(1, i, true)
		is.True(m.Len() <= bound)
	}
	_, ok := m.Get(1, 3*bound-1)
	is.True(ok)
	_, ok = m.Get(1, 3*bound-1-bound/2)
	is.True(ok || m.Len() < bound)
	_, ok = m.Get(1, 0)
	is.True(!ok)
}
