package core

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous weight of a host for a name. Kind separates independent
// uses. The score is the same on every host.
func Score(h HostID, kind uint8, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(h))
	_, _ = d.Write([]byte{0, kind})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rendezvous returns the host with the highest score for a name, and false if there
// are no hosts.
func Rendezvous(hosts []HostID, kind uint8, name string) (HostID, bool) {
	best, top := HostID(""), uint64(0)
	for i, h := range hosts {
		s := Score(h, kind, name)
		if i == 0 || s > top || (s == top && h < best) {
			best, top = h, s
		}
	}
	return best, len(hosts) > 0
}

// RendezvousN returns up to n hosts by descending score.
func RendezvousN(hosts []HostID, kind uint8, name string, n int) []HostID {
	type scored struct {
		host  HostID
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{h, Score(h, kind, name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		if a.host < b.host {
			return -1
		}
		return 1
	})
	out := make([]HostID, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.host)
	}
	return out
}

// ShortHash returns a 32-bit hash that stands for a name in frequent messages. Collisions
// of names of one kind are unlikely, but possible.
func ShortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Fingerprint hashes the parts of a request that decide what an upstream runs,
// mixed with a deployment-wide key.
func Fingerprint(key uint64, parts ...string) uint64 {
	return newFingerprint(key, parts).Sum64()
}

// FingerprintWithBody is Fingerprint with a last part that is too large to be copied.
func FingerprintWithBody(key uint64, body []byte, parts ...string) uint64 {
	d := newFingerprint(key, parts)
	writeLength(d, len(body))
	_, _ = d.Write(body)
	return d.Sum64()
}

func newFingerprint(key uint64, parts []string) *xxhash.Digest {
	d := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:])
	for _, p := range parts {
		writeLength(d, len(p))
		_, _ = d.WriteString(p)
	}
	return d
}

func writeLength(d *xxhash.Digest, length int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(length))
	_, _ = d.Write(b[:])
}
