package origin

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Versions are the software versions that the replicas of each service have run lately.
type Versions struct {
	seen map[table.ServiceID]map[replicas.SoftwareVersion]sighting
}

// sighting is when a version was first and last known to run.
type sighting struct{ first, last core.Instant }

// Observe records that a replica of a service ran a version at a time.
func (v *Versions) Observe(at core.Instant, s table.ServiceID, version replicas.SoftwareVersion) {
	if v.seen == nil {
		v.seen = map[table.ServiceID]map[replicas.SoftwareVersion]sighting{}
	}
	if v.seen[s] == nil {
		v.seen[s] = map[replicas.SoftwareVersion]sighting{}
	}
	x, ok := v.seen[s][version]
	if !ok {
		x = sighting{first: at, last: at}
	}
	v.seen[s][version] = sighting{first: min(x.first, at), last: max(x.last, at)}
}

// KnownFor is how long a version has been known to run, 0 if it isn't.
func (v *Versions) KnownFor(now core.Instant, s table.ServiceID, version replicas.SoftwareVersion) time.Duration {
	x, ok := v.seen[s][version]
	if !ok {
		return 0
	}
	return now.Sub(x.first)
}

// Digest returns a hash of the versions of which a stream may still be taken up. It is never 0.
func (v *Versions) Digest(now core.Instant) uint64 {
	v.Forget(now)
	var sum uint64
	for s, versions := range v.seen {
		for version := range versions {
			sum += core.Fingerprint(0, string(s), string(version))
		}
	}
	return max(sum, 1)
}

// Forget removes the versions of which no stream can be taken up any more.
func (v *Versions) Forget(now core.Instant) {
	for _, versions := range v.seen {
		for version, x := range versions {
			if now.Sub(x.last) > Memory {
				delete(versions, version)
			}
		}
	}
}

// Only returns the version at which every stream of a service began that may still be taken
// up, and false where there are several such versions or none.
func (v *Versions) Only(now core.Instant, s table.ServiceID) (replicas.SoftwareVersion, bool) {
	v.Forget(now)
	if len(v.seen[s]) != 1 {
		return "", false
	}
	for version := range v.seen[s] {
		return version, true
	}
	return "", false
}

// Mixed reports whether a service has several such versions.
func (v *Versions) Mixed(now core.Instant) bool {
	v.Forget(now)
	for _, versions := range v.seen {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// Ages returns how long ago each version was last observed, in ms, by service and version.
func (v *Versions) Ages(now core.Instant) map[string]map[string]int64 {
	v.Forget(now)
	ages := map[string]map[string]int64{}
	for s, versions := range v.seen {
		ages[string(s)] = map[string]int64{}
		for version, x := range versions {
			ages[string(s)][string(version)] = now.Sub(x.last).Milliseconds()
		}
	}
	return ages
}

// ObserveAges records versions that another process has observed, by their ages as of now.
func (v *Versions) ObserveAges(now core.Instant, ages map[string]map[string]int64) {
	for s, versions := range ages {
		for version, ms := range versions {
			at := now.Add(-time.Duration(ms) * time.Millisecond)
			v.Observe(at, table.ServiceID(s), replicas.SoftwareVersion(version))
		}
	}
}
