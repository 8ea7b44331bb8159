// Package feed replicates the latest value of each key to every host: a value
// with a newer stamp replaces an older one everywhere, never the reverse. It
// also determines the configuration in force and the instant as of which it is
// known to be the newest. Its inputs are time, the membership, values set by
// this host, messages of other hosts and the results of object calls; its
// caller carries out the calls, sends the messages and applies the values.
//
// Hosts of a small fleet send to one another directly. A large fleet uses a
// tree of regions, failure domains and hosts, which every host computes from
// the membership. Each link keeps a set of changed keys, never a queue of
// values, with one message in flight: a slow host skips intermediate values and
// delays no other host.
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

// ErrTooLarge is returned for a value that does not fit into one message.
var ErrTooLarge = errs.New("value does not fit into one message")

// Sizes of messages and default settings.
const (
	MaxMessageBytes = 64 << 10 // bytes
	MaxValueBytes   = 56 << 10 // bytes of one value
	MaxPartBytes    = 16 << 10 // bytes of one part of a chunk

	DefaultFlushInterval     = 150 * time.Millisecond // between messages on one link
	DefaultPingInterval      = 500 * time.Millisecond
	DefaultHeadReadInterval  = 1500 * time.Millisecond // between reads of the configuration's head
	DefaultFreshnessBound    = 5 * time.Second         // a host without freshness for so long is cut off
	DefaultMaxMesh           = 16                      // with up to this many members, hosts send directly
	DefaultFanOut            = 4                       // children of a host in its failure domain
	DefaultWatchersPerDomain = 2                       // hosts per failure domain that watch the object API
	DefaultCallTimeout       = 2 * time.Second
	DefaultWatchTimeout      = 45 * time.Second
	DefaultRepairInterval    = 20 * time.Second // between repairs of one link
)

// Topic groups keys.
type Topic uint8

// Topics. TopicStatus is used by the feed itself.
const (
	TopicConfig   Topic = iota + 1 // the configuration's head
	TopicStatus                    // watchers whose store calls fail
	TopicMembers                   // membership head and lowest applied view
	TopicSuspects                  // members whose heartbeats have stopped, as reported by one host
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

// Settings configure the machine of one host; the defaults of the same names say
// what they mean. Zero means the default.
type Settings struct {
	Self              core.Member
	FlushInterval     time.Duration
	PingInterval      time.Duration
	HeadReadInterval  time.Duration
	FreshnessBound    time.Duration
	CallTimeout       time.Duration
	WatchTimeout      time.Duration
	RepairInterval    time.Duration
	MaxMesh           int
	FanOut            int
	WatchersPerDomain int
}

// withDefaults returns the settings with zero values replaced by defaults.
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
	duration(&s.FlushInterval, DefaultFlushInterval)
	duration(&s.PingInterval, DefaultPingInterval)
	duration(&s.HeadReadInterval, DefaultHeadReadInterval)
	duration(&s.FreshnessBound, DefaultFreshnessBound)
	duration(&s.CallTimeout, DefaultCallTimeout)
	duration(&s.WatchTimeout, DefaultWatchTimeout)
	duration(&s.RepairInterval, DefaultRepairInterval)
	count(&s.MaxMesh, DefaultMaxMesh)
	count(&s.FanOut, DefaultFanOut)
	count(&s.WatchersPerDomain, DefaultWatchersPerDomain)
	return s
}

// Machine is the state machine of one host's feed.
type Machine struct {
	settings Settings
	rng      *core.Rand
	out      Output

	values     map[Key]*value
	valuesSum  uint64              // XOR of the digests of all values but those of TopicStatus
	bucketSums [bucketCount]uint64 // the same for each bucket of keys
	changed    []Entry

	tree      tree
	links     []*link // sorted by host
	calls     calls
	conf      conf
	freshness freshness
}

// value is the newest entry received for a key.
type value struct {
	entry      Entry
	digest     uint64
	keyHash    uint64
	receivedAt core.Instant
}

// New returns a machine without members or values.
func New(s Settings, rng *core.Rand) *Machine {
	m := &Machine{settings: s.withDefaults(), rng: rng, values: map[Key]*value{}}
	m.conf.chunks = map[string][]byte{}
	return m
}

// Tick does the work that is due and times out object calls. Call it every 50
// to 100 ms.
func (m *Machine) Tick(now core.Instant) Output {
	m.expireCalls(now)
	m.readStore(now)
	m.maintainTree(now)
	m.requestChunks(now)
	m.reportStoreDown(now)
	return m.finish(now)
}

// HandleObject handles the result of an object call.
func (m *Machine) HandleObject(now core.Instant, r core.ObjectResult) Output {
	m.result(now, r)
	return m.finish(now)
}

// HandleMessage handles a message from another host. Messages may be late, duplicated or
// out of order.
func (m *Machine) HandleMessage(now core.Instant, from core.HostID, msg Message) Output {
	switch {
	case msg.Ping != nil:
		m.receivePing(now, from, *msg.Ping)
	case msg.Pong != nil:
		m.receivePong(now, from, *msg.Pong)
	case msg.Values != nil:
		m.receiveValues(now, from, *msg.Values)
	case msg.ValuesAck != nil:
		m.receiveValuesAck(now, from, *msg.ValuesAck)
	case msg.BucketSums != nil:
		m.receiveBucketSums(now, from, *msg.BucketSums)
	case msg.Digests != nil:
		m.receiveDigests(now, from, *msg.Digests)
	case msg.ValuesRequest != nil:
		m.receiveValuesRequest(now, from, *msg.ValuesRequest)
	case msg.ChunkRequest != nil:
		m.receiveChunkRequest(now, from, *msg.ChunkRequest)
	case msg.ChunkPart != nil:
		m.receivePart(now, from, *msg.ChunkPart)
	}
	return m.finish(now)
}

// Set sends a value to all hosts. Only the owner of the fencing number in the
// stamp may set a key; a stamp that is not newer than the present one changes
// nothing. It returns ErrTooLarge if the value doesn't fit into one message.
func (m *Machine) Set(now core.Instant, k Key, s Stamp, v []byte) (Output, error) {
	if len(v)+len(k.Name) > MaxValueBytes {
		return Output{}, Error.Wrap(ErrTooLarge)
	}
	m.apply(now, Entry{Key: k, Stamp: s, Value: v}, "")
	return m.finish(now), nil
}

// Get returns the newest value of a key that this host has received.
func (m *Machine) Get(k Key) (Entry, bool) {
	v := m.values[k]
	if v == nil {
		return Entry{}, false
	}
	return v.entry, true
}

// TopicEntries returns all values of a topic, sorted by name.
func (m *Machine) TopicEntries(t Topic) []Entry {
	var list []Entry
	for k, v := range m.values {
		if k.Topic == t {
			list = append(list, v.entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	return list
}

// TakeChanged returns the values received from other hosts since the last call.
func (m *Machine) TakeChanged() []Entry {
	c := m.changed
	m.changed = nil
	return c
}

// finish sends what is due on the links and returns the effects.
func (m *Machine) finish(now core.Instant) Output {
	for _, l := range m.links {
		m.flush(now, l)
	}
	out := m.out
	m.out = Output{}
	return out
}

// apply stores a value if it is newer and passes it on. It reports whether it
// was newer.
//
// Invariant: the stamp of a key never decreases on a host.
func (m *Machine) apply(now core.Instant, e Entry, from core.HostID) bool {
	v := m.values[e.Key]
	if (v != nil && !v.entry.Stamp.Before(e.Stamp)) || m.isOrphan(e.Key) {
		return false
	}
	if v == nil {
		v = &value{keyHash: keyID(e.Key)}
		m.values[e.Key] = v
	}
	m.toggleSums(v)
	v.entry, v.receivedAt = e, now
	v.digest = digest(v.keyHash, e.Stamp)
	m.toggleSums(v)
	if from != "" && from != storeSource {
		m.changed = append(m.changed, e)
	}
	m.markLinks(now, e.Key, from)
	if e.Key.Topic == TopicConfig {
		m.setTarget(now, e.Value, from)
	}
	return true
}

// storeSource is the source of values that were read from the object API.
const storeSource core.HostID = "\x00store"

// markLinks marks a key as changed on all links except the one that it came
// from. In a small fleet only the host that sets a value, or reads it from the
// store, sends it.
func (m *Machine) markLinks(now core.Instant, k Key, from core.HostID) {
	if from != "" && from != storeSource && m.tree.mesh {
		return
	}
	for _, l := range m.links {
		if l.host == from || (from == storeSource && m.tree.watchers[l.host]) {
			continue // has it, or reads it from the store itself
		}
		l.mark(now, k)
	}
}

// toggleSums adds a value to the sums that neighbours compare, or removes it
// from them.
func (m *Machine) toggleSums(v *value) {
	if v.digest == 0 || v.entry.Key.Topic == TopicStatus {
		return
	}
	m.valuesSum ^= v.digest
	m.bucketSums[v.keyHash%bucketCount] ^= v.digest
}
