//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiancroft/platform/platformtest"
)

// rollbackSlack is rollbackSlackMs.
const rollbackSlack = 250 * time.Millisecond

// Pace of the operator: the time between two of its writes, also of those that it makes again.
const operatorPace = time.Second

func init() { plays["restored"] = restored }

// restored: the store comes back from a copy that is some seconds old. The operator writes again what
// it wrote since then, in the same order and at the same pace.
func restored(s *scene) (bool, error) {
	l, err := listen()
	if err != nil {
		return false, err
	}
	go s.store.Serve(l)
	configure := func(version int) {
		service, keys := "desk-old", `"key-2"`
		if version >= 3 {
			service, keys = "desk-new", ``
		}
		s.store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(deskConfig, version, service, keys)))
		s.note("operator: configuration %d acknowledged", version)
	}
	configure(1)
	replicas, err := s.startReplicas(map[string]int{"engines": 1, "desk-old": 1, "desk-new": 1})
	if err != nil {
		return false, err
	}
	address := l.Addr().String()
	if err := s.startHosts(address, address, address); err != nil {
		return false, err
	}
	t := newTraffic(s)
	for i := range 6 {
		t.add(fmt.Sprintf("a%d", i), 40*time.Millisecond, func() request {
			return request{path: "/act/x", key: []string{"key-1", "key-2"}[rand.IntN(2)], deadline: 1500 * time.Millisecond}
		})
	}
	time.Sleep(8 * time.Second)
	copied := s.since()
	time.Sleep(500 * time.Millisecond)
	configure(2)
	time.Sleep(operatorPace)
	configure(3)
	third := s.since()
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.store.SetDown(true)
		s.note("trouble: the store is away")
		time.Sleep(300 * time.Millisecond)
		s.store.Restore(s.since() - copied)
		s.store.SetDown(false)
		s.note("trouble: the store is back from a copy that is %.1f s old", (s.since() - copied).Seconds())
		time.Sleep(500 * time.Millisecond)
		configure(2)
		time.Sleep(operatorPace)
		configure(3)
	}
	time.Sleep(5 * time.Second)
	all := t.end()
	s.noteAll(all)
	return checkRegress(s, all, replicas, third), nil
}

// checkRegress checks that no host handles a request as only configuration 2 allows that was sent
// later than rollbackSlack after a replica saw the effect of configuration 3 from that host.
func checkRegress(s *scene, all []request, replicas []*platformtest.Replica, third time.Duration) bool {
	sent := map[string]request{}
	for _, r := range all {
		sent[r.id] = r
	}
	seen := map[int]time.Duration{} // when a request that this host sent on first ran at the new service
	for _, x := range replicas {
		for _, ran := range x.RanRequests() {
			r, began := sent[ran.ID], ran.BeganAt.Sub(s.began)
			s.note("replica %s of %s ran %s (tenant %s) from host %d at %.3f", x.ID, x.Service, ran.ID, ran.Tenant, r.host, began.Seconds())
			if first, ok := seen[r.host]; x.Service == "desk-new" && (!ok || began < first) {
				seen[r.host] = began
			}
		}
	}
	oldService, oldKey := 0, 0
	for _, x := range replicas {
		for _, ran := range x.RanRequests() {
			r := sent[ran.ID]
			first, ok := seen[r.host]
			if !ok || r.sent <= first+rollbackSlack {
				continue
			}
			if x.Service == "desk-old" {
				oldService++
			}
			if r.key == "key-2" {
				oldKey++
			}
		}
	}
	s.note("configuration 3 was first acknowledged at %.3f; replicas saw its effect from hosts at %v", third.Seconds(), seen)
	s.note("CONFIG: %d requests ran at the old service and %d with the dropped key, sent later than %v after a replica saw the effect of configuration 3 from the same host", oldService, oldKey, rollbackSlack)
	return oldService+oldKey > 0
}
