package origin

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Versions are the software versions that the replicas of each service have run lately.
type Versions struct {
	seen map[table.ServiceID]map[replicas.SoftwareVersion]core.Instant // when last
}

// Observe records that a replica of a service ran a version at a time.
func (v *Versions) Observe(at core.Instant, s table.ServiceID, version replicas.SoftwareVersion) {
	if v.seen == nil {
		v.seen = map[table.ServiceID]map[replicas.SoftwareVersion]core.Instant{}
	}
	if v.seen[s] == nil {
		v.seen[s] = map[replicas.SoftwareVersion]core.Instant{}
	}
	if last, ok := v.seen[s][version]; !ok || at > last {
		v.seen[s][version] = at
	}
}

// Forget removes the versions of which no stream can be taken up any more.
func (v *Versions) Forget(now core.Instant) {
	for _, versions := range v.seen {
		for version, at := range versions {
			if now.Sub(at) > Memory {
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
		for version, at := range versions {
			ages[string(s)][string(version)] = now.Sub(at).Milliseconds()
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
