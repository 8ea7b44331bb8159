package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestStoreOutageDoesNotStopServing(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 3)
	f.step(f.hosts[0], completionRequest("before", "key-1", "quotes-02"))
	f.run(3 * time.Second)
	f.store.SetDown(true)
	f.run(10 * time.Minute)
	for i, h := range f.hosts {
		f.step(h, completionRequest(fmt.Sprint("during", i), "key-1", "quotes-02"))
		f.step(h, bookingRequest(fmt.Sprint("booking", i), "crew-1"))
	}
	f.run(5 * time.Second)
	for i := range f.hosts {
		is.True(f.answers[core.RequestID(fmt.Sprint("during", i))].ok)
		b := f.answers[core.RequestID(fmt.Sprint("booking", i))]
		is.Equal(b.refusal.Code, core.CodeStoreUnavailable)
		is.Equal(b.refusal.Ran, core.RanNo)
	}
	f.store.SetDown(false)
	f.run(20 * time.Second)
	f.step(f.hosts[1], completionRequest("after", "key-2", "quotes-05"))
	f.run(3 * time.Second)
	is.True(f.answers["after"].ok)
}
