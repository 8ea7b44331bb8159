//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiancroft/platform/platformtest"
)

// Memory of an engine in this case, in MB: after the base model there is room for fittingAdapters.
const (
	engineMemory    = 76000
	modelMemory     = 72700
	adapterMemory   = 165
	fittingAdapters = (engineMemory - modelMemory) / adapterMemory
	adapterPlaces   = 28
)

// The traffic. The burst is one of rare models, at most 2.4 times the usual for 4.5 s.
const (
	usualConsumers  = 12
	popularAdapters = 12
	burstConsumers  = 16
	rareAdapters    = 200
	burstTime       = 4500 * time.Millisecond
)

func draft(adapter int) request {
	return request{path: "/draft/x", key: "key-1", model: fmt.Sprintf("base/a%d", adapter), deadline: 15 * time.Second}
}

const memoryConfig = `{"version":1,"routes":[
 {"name":"draft","host":"h","pathPrefix":"/draft/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"engines","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":250}],
 "services":[{"name":"engines","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":153150,"models":[{"name":"base","weightsMb":%d,"loadS":2.9,"adapters":3000,"adapterMb":%d}],"weightsMb":%d,"adapterSlots":%d,"loadsPerS":3.6}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w1","apiKeys":["key-1"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`

func init() { plays["memory"] = memory }

// memory: rare adapters are asked for at once. The memory of an engine holds fewer adapters than it
// has places.
func memory(s *scene) (bool, error) {
	l, err := listen()
	if err != nil {
		return false, err
	}
	go s.store.Serve(l)
	s.store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(memoryConfig, modelMemory, adapterMemory, engineMemory, adapterPlaces)))
	replicas, err := s.startReplicas(map[string]int{"engines": 2})
	if err != nil {
		return false, err
	}
	for _, x := range replicas {
		x.AdapterSlots = fittingAdapters // the stand-in counts adapters only; this many fit into its memory
		x.EventsPerStream, x.EventInterval = 8, 40*time.Millisecond
	}
	address := l.Addr().String()
	if err := s.startHosts(address, address, address); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ended := make(chan struct{})
	go func() {
		crashed := map[*platformtest.Replica]bool{} // the stand-in notes only that it was ordered too much, not when
		for {
			select {
			case <-ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
			for _, x := range replicas {
				if x.Overfilled() && !crashed[x] {
					crashed[x] = true
					s.note("replica %s crashes: it was ordered to load more adapters than the %d that fit into its memory; it has %d places", x.ID, fittingAdapters, adapterPlaces)
					x.Restart()
				}
			}
		}
	}()
	t := newTraffic(s)
	for i := range usualConsumers {
		t.add(fmt.Sprintf("d%d", i), 100*time.Millisecond, func() request { return draft(rand.IntN(popularAdapters)) })
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.note("trouble: rare adapters are asked for at once, by %d more consumers", burstConsumers)
		burst := newTraffic(s)
		for i := range burstConsumers {
			burst.add(fmt.Sprintf("r%d", i), 100*time.Millisecond, func() request { return draft(popularAdapters + rand.IntN(rareAdapters)) })
		}
		time.Sleep(burstTime)
		t.all = append(burst.end(), t.all...)
	}
	time.Sleep(3 * time.Second)
	close(ended)
	all := t.end()
	s.noteAll(all)
	lost := 0
	for _, r := range all {
		if r.status == 502 || r.status == 200 && !r.complete {
			lost++
		}
	}
	broken := false
	for _, x := range replicas {
		s.note("replica %s: %d orders, %d requests run, ordered beyond its memory: %v", x.ID, len(x.Orders()), len(x.RanRequests()), x.Overfilled())
		broken = broken || x.Overfilled()
	}
	s.note("%d requests, %d of them lost while they ran", len(all), lost)
	return broken, nil
}
