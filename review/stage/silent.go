//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiancroft/platform/platformtest"
)

// Bounds of the rules that this case checks.
const (
	contact     = 3 * time.Second // contactMs
	configApply = 2 * time.Second // configApplyMs
	versionTime = 5 * time.Second // version_ms
)

func init() { plays["silent"] = silent }

// silent: channels to the store on which nothing has passed for 2.5 s go silent once, while new
// ones work. A configuration and a version of an adapter are acknowledged just after.
func silent(s *scene) (bool, error) {
	l, err := listen()
	if err != nil {
		return false, err
	}
	quiet := newQuietListener(l)
	front := newStoreFront(s.store)
	go front.serve(quiet)
	s.store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(deskConfig, 1, "desk-old", `"key-2"`)))
	replicas, err := s.startReplicas(map[string]int{"engines": 2, "desk-old": 1, "desk-new": 1})
	if err != nil {
		return false, err
	}
	address := l.Addr().String()
	if err := s.startHosts(address, address, address); err != nil {
		return false, err
	}
	t := newTraffic(s)
	for i := range 4 {
		t.add(fmt.Sprintf("d%d", i), 100*time.Millisecond, func() request {
			return request{path: "/draft/x", key: "key-1", model: "base/a1", deadline: 15 * time.Second}
		})
		t.add(fmt.Sprintf("a%d", i), 60*time.Millisecond, func() request {
			return request{path: "/act/x", key: []string{"key-1", "key-2"}[rand.IntN(2)], deadline: 1500 * time.Millisecond}
		})
	}
	time.Sleep(8 * time.Second)
	if !front.awaitWatches("gentiancroft-hosts", len(s.hosts), 20*time.Second) {
		return false, fmt.Errorf("the hosts don't watch the store")
	}
	time.Sleep(200 * time.Millisecond)
	s.store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(deskConfig, 2, "desk-old", `"key-2"`)))
	s.store.Announce("a9", 2) // of an adapter that nobody uses
	s.note("operator: configuration 2 and version 2 of adapter a9 acknowledged")
	time.Sleep(2600 * time.Millisecond)
	at := s.since()
	if s.trouble {
		silenced, others := quiet.silence(2500 * time.Millisecond)
		s.note("trouble: %d idle channels to the store go silent, %d stay", silenced, others)
	}
	s.store.Announce("a1", 2)
	announced := s.since()
	s.note("operator: version 2 of adapter a1 acknowledged")
	time.Sleep(contact + 50*time.Millisecond)
	acked := s.since()
	s.store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(deskConfig, 3, "desk-new", ``)))
	s.note("operator: configuration 3 acknowledged: route act goes to desk-new, key-2 is removed")
	time.Sleep(8 * time.Second)
	all := t.end()
	s.noteAll(all)
	return checkSilent(s, all, replicas, silentTimes{trouble: at, announced: announced, acked: acked}), nil
}

// silentTimes are when things happened in this case.
type silentTimes struct {
	trouble   time.Duration // channels went silent: no machine is in touch for contact
	announced time.Duration // the adapter's version was acknowledged
	acked     time.Duration // the configuration was acknowledged
}

// checkSilent checks the rule CONFIG on requests of machines in touch. What breaks VERSION is only
// noted.
func checkSilent(s *scene, all []request, replicas []*platformtest.Replica, at silentTimes) bool {
	sent := map[string]request{}
	served := 0
	for _, r := range all {
		sent[r.id] = r
		if r.status == 200 && r.complete {
			served++
		}
	}
	oldService, oldKey, oldVersion := 0, 0, 0
	for _, x := range replicas {
		for _, ran := range x.RanRequests() {
			r := sent[ran.ID]
			began := ran.BeganAt.Sub(s.began)
			s.note("replica %s of %s ran %s (tenant %s, adapter version %d) at %.3f", x.ID, x.Service, ran.ID, ran.Tenant, ran.Version, began.Seconds())
			inTouch := r.sent >= at.trouble+contact
			if inTouch && r.sent > at.acked+configApply && r.path == "/act/x" {
				if x.Service == "desk-old" {
					oldService++
				}
				if r.key == "key-2" {
					oldKey++
				}
			}
			if inTouch && r.model != "" && ran.Version < 2 && began > at.announced+versionTime {
				oldVersion++
			}
		}
	}
	s.note("%d requests, %d served", len(all), served)
	s.note("CONFIG: %d requests ran at the old service and %d with the dropped key, sent later than %v after the ack by machines in touch", oldService, oldKey, configApply)
	s.note("VERSION: %d requests began on the older version later than %v after the ack, sent by machines in touch", oldVersion, versionTime)
	return oldService+oldKey > 0
}
