package gateway

import (
	"testing"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
)

// eventsOf returns the events that a gateway has queued.
func eventsOf(g *Gateway) (all []relaynode.Event) {
	for {
		select {
		case e := <-g.events.Items():
			all = append(all, e)
		default:
			return all
		}
	}
}

// An entry that becomes undecodable is gone, as in a list that lacks it: otherwise hosts that read the
// change and hosts that read the list never agree.
func TestAnEntryThatBecomesUndecodableIsGone(t *testing.T) {
	is := is.New(t)
	decode := func(string, []byte) (replicas.Entry, error) { return replicas.Entry{}, errs.New("odd") }
	g := New(relaynode.New(relaynode.Settings{}), Executors{Documents: Documents{DecodeReplica: decode}}, noClock, metrics.NewRegistry())
	g.replicaChanged(core.Object{Key: "k/i1"})
	is.Equal(eventsOf(g), []relaynode.Event{relaynode.ReplicaUnlisted{ID: "i1"}})
	g.replicasListed([]core.Object{{Key: "k/i1"}}, 5)
	is.Equal(eventsOf(g), []relaynode.Event{relaynode.ReplicasListed{Sent: 5}})
}

// An odd registration names no host to connect to.
func TestOddRegistrationsAreSkipped(t *testing.T) {
	is := is.New(t)
	g := New(relaynode.New(relaynode.Settings{}), Executors{}, noClock, metrics.NewRegistry())
	const good = `{"name":"a","host":"a/1","link":"10.0.0.1:7600","entry":"10.0.0.1:8221","domain":"z","key":"k","capacity":0.4,"later":[1]}`
	g.hostChanged(core.Object{Key: "k/a", Value: []byte(good)})
	is.Equal(len(eventsOf(g)), 1)
	g.hostChanged(core.Object{Key: "k/b", Value: []byte(good)}) // another one's
	for _, odd := range []string{"", "null", "[[[", `{"name":"a"}`,
		`{"name":"a","host":"a/1","link":"10.0.0.1:70000","entry":"10.0.0.1:8221"}`,
		`{"name":"a","host":"a/1","link":"a.example:7600","entry":"10.0.0.1:8221"}`,
		`{"name":"a","host":"a/1","link":"10.0.0.1:7600","entry":""}`,
		`{"name":"a","host":"a/1","link":"10.0.0.1:7600","entry":"10.0.0.1:8221","capacity":-1}`,
		`{"name":"a","host":"a/1","link":"10.0.0.1:7600","entry":"10.0.0.1:8221","capacity":1e400}`,
	} {
		g.hostChanged(core.Object{Key: "k/a", Value: []byte(odd)})
	}
	is.Equal(len(eventsOf(g)), 0)
}
