package wiring

import (
	"math"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"gentiancroft/internal/core/heldbytes"
	"gentiancroft/internal/held"
	"gentiancroft/internal/upstream"
)

// Fractions of the setting memory. The process itself needs 26 MiB, and the garbage collector is set
// to collect from 0.6 of memory.
const (
	bodyFraction       = 0.2  // for bodies of requests and answers that wait for their callers
	connectionFraction = 0.45 // for connections
	answerFraction     = 0.1  // for answers that are received from replicas
	reserveFraction    = 0.25 // of the bytes for bodies, for connections that hold little
	peerFraction       = 0.5  // of the bytes for bodies, for one peer address
)

const (
	// defaultMemory is the setting memory where none is given, in bytes.
	defaultMemory = 256 << 20
	// defaultServeMemory is the same for a host that serves.
	defaultServeMemory = 1 << 30
	// connectionBytes is what a connection needs beside bodies: 28 KiB with its buffers and stacks.
	connectionBytes = 28 << 10
	// smallBytes is what a connection may hold from the reserve.
	smallBytes = 64 << 10
	// maxCallerConnections is the largest number of connections of callers where the settings give none.
	maxCallerConnections = 4096
	// maxPageConnections is the largest number of connections of a page's listener.
	maxPageConnections = 512
	// bodyRate is the rate in bytes a second below which a body counts as stalled where others need
	// its memory.
	bodyRate = 256 << 10
	// stallAge is how long a body may stall while others wait for its memory.
	stallAge = 250 * time.Millisecond
	// idleAge is how long a connection may be idle while others need its place.
	idleAge = time.Second
	// maxBudgetWait is how long a body waits for memory until its request is refused.
	maxBudgetWait = 2 * time.Second
)

// Parts of the descriptors that remain after those kept for the store, replicas and links.
const (
	minKeptDescriptors = 256
	keptFraction       = 0.25
	callerShare        = 5.0 / 8
	pageShare          = 1.0 / 8 // for each of the three pages
)

// descriptors returns how many descriptors the process may open.
func descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur) // below MaxInt32
}

// spareDescriptors returns how many descriptors listeners may use together. At least an eighth are
// left to them where there are very few.
func spareDescriptors(limit int) float64 {
	kept := max(minKeptDescriptors, keptFraction*float64(limit))
	return max(float64(limit)-kept, float64(limit)/8)
}

// callerLimits returns the limits for callers of a host with some memory in bytes. Invariant: one
// connection may hold the largest body and the largest answer.
func callerLimits(memory, maxBody, descriptorLimit, maxConnections int) heldbytes.Limits {
	one := int64(maxBody + upstream.MaxAnswerBytes)
	total := max(int64(bodyFraction*float64(memory)), int64(float64(one)/(1-reserveFraction)))
	connections := max(1, min(maxConnections, int(connectionFraction*float64(memory))/connectionBytes, int(callerShare*spareDescriptors(descriptorLimit))))
	return heldbytes.Limits{
		Total:           total,
		Reserve:         int64(reserveFraction * float64(total)),
		Small:           smallBytes,
		Connection:      one,
		Peer:            max(int64(peerFraction*float64(total)), one),
		Connections:     connections,
		PeerConnections: connections,
		StallAge:        stallAge,
		IdleAge:         idleAge,
		MaxWait:         maxBudgetWait,
		MinRate:         bodyRate,
	}
}

// pageLimits returns the limits of a page's listener. Pages take no bodies.
func pageLimits(descriptorLimit int) heldbytes.Limits {
	connections := max(1, min(maxPageConnections, int(pageShare*spareDescriptors(descriptorLimit))))
	return heldbytes.Limits{Connections: connections, PeerConnections: connections, IdleAge: idleAge, MinRate: bodyRate}
}

// pageBudgets are the budgets of the listeners with one page each.
type pageBudgets struct{ ready, directory, metrics *held.Budget }

func newPageBudgets(r metrics.Registry) pageBudgets {
	l := pageLimits(descriptors())
	return pageBudgets{ready: held.New("ready", l, r), directory: held.New("directory", l, r), metrics: held.New("metrics", l, r)}
}
