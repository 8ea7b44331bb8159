//go:build review

package main

import (
	"fmt"
	"time"

	"gentiancroft/platform/platformtest"
)

// drain is drainMs.
const drain = 2 * time.Second

// goneConfig is the configuration of the case "gone".
const goneConfig = `{"version":1,"routes":[
 {"name":"draft","host":"h","pathPrefix":"/draft/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"engines","maxAttempts":1,"anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":250}],
 "services":[{"name":"engines","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":153150,"models":[{"name":"base","weightsMb":72700.0,"loadS":2.9,"adapters":3000,"adapterMb":66.0}],"weightsMb":76000.0,"adapterSlots":28,"loadsPerS":3.6}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w1","apiKeys":["key-1"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`

func init() { plays["gone"] = gone }

// gone: the store cuts waiting watches off, as it may. A replica leaves without reporting it: its
// entry is removed. It gets a request later than drainMs after that.
func gone(s *scene) (bool, error) {
	l, err := listen()
	if err != nil {
		return false, err
	}
	front := newStoreFront(s.store)
	if s.trouble {
		front.cutWatches(time.Second, 2*time.Second)
	}
	go front.serve(l)
	s.store.Put("config", "main", platformtest.RawJSON(goneConfig))
	replicas, err := s.startReplicas(map[string]int{"engines": 3})
	if err != nil {
		return false, err
	}
	doorways := map[*platformtest.Replica]*doorway{}
	for _, x := range replicas {
		x.EventsPerStream, x.EventInterval = 58, 40*time.Millisecond
		if doorways[x], err = s.throughDoorway(x); err != nil {
			return false, err
		}
	}
	address := l.Addr().String()
	if err := s.startHosts(address, address, address); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	send := func(name, adapter string) request {
		c := &consumer{scene: s, name: name}
		defer c.hangUp()
		return c.send(request{path: "/draft/x", key: "key-1", model: "base/" + adapter, deadline: 15 * time.Second})
	}
	var all []request
	for i := range 6 {
		all = append(all, send(fmt.Sprintf("before-%d", i), fmt.Sprintf("a%d", i)))
	}
	leaving, adapter := loadedBy(replicas)
	if leaving == nil {
		s.noteAll(all)
		return false, fmt.Errorf("no replica has an adapter")
	}
	time.Sleep(time.Second)
	leaving.SayLeaving()
	removed := s.since()
	s.store.Remove("servers", leaving.ID)
	s.note("replica %s leaves without reporting it: its entry is removed, it serves on; only it has %s", leaving.ID, adapter)
	time.Sleep(drain + 300*time.Millisecond)
	after := make(chan request, 3)
	for i := range 3 {
		go func() { after <- send(fmt.Sprintf("after-%d", i), adapter) }()
	}
	time.Sleep(1200 * time.Millisecond)
	s.note("replica %s exits", leaving.ID)
	doorways[leaving].close()
	for range 3 {
		all = append(all, <-after)
	}
	s.noteAll(all)
	late := 0
	for _, x := range replicas {
		for _, ran := range x.RanRequests() {
			began := ran.BeganAt.Sub(s.began)
			s.note("replica %s ran %s at %.3f", x.ID, ran.ID, began.Seconds())
			if x == leaving && began > removed+drain {
				late++
			}
		}
	}
	s.note("%d watches were cut off", front.cutSoFar())
	s.note("DRAIN: %d requests reached %s later than %v after its removal was acknowledged", late, leaving.ID, drain)
	return late > 0, nil
}

// loadedBy returns a replica and an adapter that it alone has.
func loadedBy(all []*platformtest.Replica) (*platformtest.Replica, string) {
	for _, x := range all {
		for i := range 6 {
			name := fmt.Sprintf("a%d", i)
			if x.AdapterVersion(name) > 0 {
				return x, name
			}
		}
	}
	return nil, ""
}
