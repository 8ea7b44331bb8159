// Package recent remembers entries for a while, in bounded memory.
package recent

import (
	"iter"
	"time"

	"gentiancroft/internal/core"
)

// Map remembers the entries that were put lately. They are kept in two halves, the older of
// which is forgotten at once, so that an entry lasts for a time at least and for twice that at
// most; where there are too many, the oldest are forgotten sooner. It is not safe for concurrent
// use.
type Map[K comparable, V any] struct {
	memory       time.Duration // how long an entry lasts at least
	bound        int           // on the number of entries
	newer, older map[K]V
	turnedAt     core.Instant // when newer was begun
}

// NewMap returns an empty map whose entries last for memory at least, unless there are more than
// bound/2.
func NewMap[K comparable, V any](memory time.Duration, bound int) *Map[K, V] {
	return &Map[K, V]{memory: memory, bound: bound, newer: map[K]V{}}
}

// Put adds an entry, or replaces it.
func (m *Map[K, V]) Put(now core.Instant, key K, value V) {
	m.turn(now)
	m.newer[key] = value
}

// Get returns an entry, and false where none is remembered.
func (m *Map[K, V]) Get(now core.Instant, key K) (V, bool) {
	m.turn(now)
	if v, ok := m.newer[key]; ok {
		return v, true
	}
	v, ok := m.older[key]
	return v, ok
}

// Len returns the number of remembered entries; one that was replaced may count twice.
func (m *Map[K, V]) Len() int { return len(m.newer) + len(m.older) }

// All returns all remembered entries, in no order.
func (m *Map[K, V]) All(now core.Instant) iter.Seq2[K, V] {
	m.turn(now)
	return func(yield func(K, V) bool) {
		for k, v := range m.newer {
			if !yield(k, v) {
				return
			}
		}
		for k, v := range m.older {
			if _, replaced := m.newer[k]; !replaced && !yield(k, v) {
				return
			}
		}
	}
}

// turn forgets the older half where the newer one is full or has lasted for the memory.
func (m *Map[K, V]) turn(now core.Instant) {
	age := now.Sub(m.turnedAt)
	if age < m.memory && len(m.newer) < m.bound/2 {
		return
	}
	m.older, m.newer, m.turnedAt = m.newer, map[K]V{}, now
	if age >= 2*m.memory {
		m.older = nil
	}
}
