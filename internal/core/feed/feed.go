// Package feed spreads keyed latest values to every host: the newest stamp of a
// key wins everywhere and an older one never replaces it. It also finds the
// configuration in force and knows as of when that was the newest.
//
// A small fleet sends to all directly. A large one uses a tree over region,
// failure domain and host that every host computes from the membership. Each
// link keeps a set of changed keys, never a queue of values, with one message
// in flight: a slow host gets the newest later and holds nobody up.
package feed

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
)

// Error is the class of this package's errors.
var Error = errs.Class("feed")

// ErrTooLarge is returned for a value that does not fit one message.
var ErrTooLarge = errs.New("value exceeds MaxValue")

// Bounds of messages and times.
const (
	MaxMessage = 64 << 10 // bytes
	MaxValue   = 56 << 10 // bytes of one value
	PartSize   = 16 << 10 // bytes of one part of a chunk

	DefaultFlush       = 150 * time.Millisecond // between messages on one link
	DefaultPing        = 500 * time.Millisecond
	DefaultRead        = 1500 * time.Millisecond // between readings of the configuration's head
	DefaultBound       = 5 * time.Second         // without freshness, a host is cut off
	DefaultMesh        = 16                      // up to so many members send directly
	DefaultFanOut      = 4                       // children of a host in its failure domain
	DefaultWatchers    = 2                       // per failure domain
	DefaultCallTimeout = 2 * time.Second
	DefaultWatchWait   = 45 * time.Second
	DefaultRepair      = 20 * time.Second // between repairs of one link
)

// Topic groups keys.
type Topic uint8

// Topics. Status is the feed's own.
const (
	TopicConfig   Topic = iota + 1 // the configuration's head
	TopicStatus                    // watchers that the store does not answer
	TopicMembers                   // membership head and settled view
	TopicSuspects                  // hosts that a watcher suspects
	TopicUpstream                  // an upstream's adapters and load, by its owner
	TopicLoad                      // a host's load
)

// Key names a value.
type Key struct {
	Topic Topic  `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
}

// Stamp orders the values of one key: by fencing number, then by sequence.
type Stamp struct {
	_     struct{} `cbor:",toarray"`
	Fence core.Fence
	Seq   uint64
}

// Before reports whether s is older than o.
func (s Stamp) Before(o Stamp) bool {
	return s.Fence < o.Fence || (s.Fence == o.Fence && s.Seq < o.Seq)
}

// Entry is a value with its key and stamp.
type Entry struct {
	Key   Key    `cbor:"1,keyasint"`
	Stamp Stamp  `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint"`
}

// Settings of one host's machine. Zero means the default.
type Settings struct {
	Self        core.Member
	Flush       time.Duration
	Ping        time.Duration
	Read        time.Duration
	Bound       time.Duration
	CallTimeout time.Duration
	WatchWait   time.Duration
	Repair      time.Duration
	Mesh        int
	FanOut      int
	Watchers    int
}

func (s Settings) withDefaults() Settings {
	duration := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	count := func(n *int, def int) {
		if *n == 0 {
			*n = def
		}
	}
	duration(&s.Flush, DefaultFlush)
	duration(&s.Ping, DefaultPing)
	duration(&s.Read, DefaultRead)
	duration(&s.Bound, DefaultBound)
	duration(&s.CallTimeout, DefaultCallTimeout)
	duration(&s.WatchWait, DefaultWatchWait)
	duration(&s.Repair, DefaultRepair)
	count(&s.Mesh, DefaultMesh)
	count(&s.FanOut, DefaultFanOut)
	count(&s.Watchers, DefaultWatchers)
	return s
}

// Machine is one host's part in the feed.
type Machine struct {
	set Settings
	rng *core.Rand
	out Output

	values  map[Key]*value
	sum     uint64          // over all keys but status
	buckets [buckets]uint64 // the same, split by key
	changed []Entry

	tree  tree
	links []*link // sorted by host
	calls calls
	conf  conf
	fresh fresh
}

type value struct {
	entry  Entry
	digest uint64
	id     uint64
	at     core.Instant // received
}

// New returns a machine without members or values.
func New(s Settings, rng *core.Rand) *Machine {
	m := &Machine{set: s.withDefaults(), rng: rng, values: map[Key]*value{}}
	m.conf.chunks = map[string][]byte{}
	return m
}

// Tick does what has become due. Call it every 50 to 100 ms.
func (m *Machine) Tick(now core.Instant) Output {
	m.expireCalls(now)
	m.workStore(now)
	m.workTree(now)
	m.workFetches(now)
	m.workStatus(now)
	return m.finish(now)
}

// Object takes the end of an object call.
func (m *Machine) Object(now core.Instant, r core.ObjectResult) Output {
	m.result(now, r)
	return m.finish(now)
}

// Peer takes a message from another host. It may be late, doubled or reordered.
func (m *Machine) Peer(now core.Instant, from core.HostID, msg Message) Output {
	switch {
	case msg.Ping != nil:
		m.pingFrom(now, from, *msg.Ping)
	case msg.Pong != nil:
		m.pongFrom(now, from, *msg.Pong)
	case msg.Values != nil:
		m.valuesFrom(now, from, *msg.Values)
	case msg.Got != nil:
		m.gotFrom(now, from, *msg.Got)
	case msg.Buckets != nil:
		m.bucketsFrom(now, from, *msg.Buckets)
	case msg.Digests != nil:
		m.digestsFrom(now, from, *msg.Digests)
	case msg.Need != nil:
		m.needFrom(now, from, *msg.Need)
	case msg.Want != nil:
		m.wantFrom(now, from, *msg.Want)
	case msg.Part != nil:
		m.partFrom(now, from, *msg.Part)
	}
	return m.finish(now)
}

// Set gives a value to all hosts. Only the holder of the fencing number in the
// stamp may set a key; an older stamp than the present one changes nothing.
func (m *Machine) Set(now core.Instant, k Key, s Stamp, v []byte) (Output, error) {
	if len(v)+len(k.Name) > MaxValue {
		return Output{}, Error.Wrap(ErrTooLarge)
	}
	m.apply(now, Entry{Key: k, Stamp: s, Value: v}, "")
	return m.finish(now), nil
}

// Get returns the newest known value of a key.
func (m *Machine) Get(k Key) (Entry, bool) {
	v := m.values[k]
	if v == nil {
		return Entry{}, false
	}
	return v.entry, true
}

// Topic returns all values of a topic, sorted by name.
func (m *Machine) Topic(t Topic) []Entry {
	var list []Entry
	for k, v := range m.values {
		if k.Topic == t {
			list = append(list, v.entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	return list
}

// Changed returns what other hosts have set since the last call.
func (m *Machine) Changed() []Entry {
	c := m.changed
	m.changed = nil
	return c
}

// finish flushes links and collects the effects.
func (m *Machine) finish(now core.Instant) Output {
	for _, l := range m.links {
		m.flush(now, l)
	}
	out := m.out
	m.out = Output{}
	return out
}

// apply takes a value if it is newer and passes it on.
//
// Invariant: a key's stamp never goes back on a host.
func (m *Machine) apply(now core.Instant, e Entry, from core.HostID) bool {
	v := m.values[e.Key]
	if (v != nil && !v.entry.Stamp.Before(e.Stamp)) || m.stray(e.Key) {
		return false
	}
	if v == nil {
		v = &value{id: keyID(e.Key)}
		m.values[e.Key] = v
	}
	m.tally(v)
	v.entry, v.at = e, now
	v.digest = digest(v.id, e.Stamp)
	m.tally(v)
	if from != "" && from != store {
		m.changed = append(m.changed, e)
	}
	m.spread(now, e.Key, from)
	if e.Key.Topic == TopicConfig {
		m.learnHead(now, e.Value, from)
	}
	return true
}

// store stands for the object API as the one who told of a value.
const store core.HostID = "\x00store"

// spread marks a key on the links that it should go over: all but the one it
// came by. In a small fleet the one who sets a value sends it to all.
func (m *Machine) spread(now core.Instant, k Key, from core.HostID) {
	if from != "" && from != store && m.tree.mesh {
		return
	}
	for _, l := range m.links {
		if l.host == from || (from == store && m.tree.watchers[l.host]) {
			continue // has it, or reads it from the store itself
		}
		l.mark(now, k)
	}
}

// tally adds a value to, or takes it from, the sums that links compare.
func (m *Machine) tally(v *value) {
	if v.digest == 0 || v.entry.Key.Topic == TopicStatus {
		return
	}
	m.sum ^= v.digest
	m.buckets[v.id%buckets] ^= v.digest
}
