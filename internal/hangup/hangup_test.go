package hangup

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestConnReadsAheadWithoutLosingBytes(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	c := New(ours, time.Second)
	gone := make(chan struct{})
	c.Watch(func() { close(gone) })
	_, err := theirs.Write([]byte("next"))
	is.NoErr(err)
	got := make([]byte, 2)
	for _, want := range []string{"ne", "xt"} {
		_, err = io.ReadFull(c, got)
		is.NoErr(err)
		is.Equal(string(got), want)
	}
	is.NoErr(theirs.Close())
	<-gone
	_, err = c.Read(got)
	is.Equal(err, io.EOF)
	called := false
	c.Watch(func() { called = true })
	is.True(called) // a watch that starts after the hang-up calls back immediately
}

func TestInterleavedWatchesAndReadsLoseNoBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		ours, theirs := net.Pipe()
		c := New(ours, time.Second)
		sent := rapid.SliceOfN(rapid.Byte(), 0, 6000).Draw(rt, "sent")
		chunkSize := rapid.IntRange(1, 700).Draw(rt, "chunk")
		go func() {
			for chunk := range slices.Chunk(sent, chunkSize) {
				_, _ = theirs.Write(chunk)
			}
			_ = theirs.Close()
		}()
		watched := make(chan struct{})
		calls := 0
		var got []byte
		for {
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				c.Release()
			case 1:
				c.Watch(func() {})
			}
			b := make([]byte, rapid.IntRange(1, 2000).Draw(rt, "read"))
			n, err := c.Read(b)
			got = append(got, b[:n]...)
			if err != nil {
				is.Equal(err, io.EOF)
				break
			}
		}
		is.True(bytes.Equal(got, sent))
		c.Watch(func() { calls++; close(watched) })
		<-watched
		is.Equal(calls, 1)
	})
}

// Guards against an answer that looks complete: its end is marked by the connection's end, and the
// process that sent it was killed, so that the kernel closed the connection.
func TestCloseResetsUnlessTheAnswerIsComplete(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	for complete, want := range map[bool]error{true: nil, false: syscall.ECONNRESET} {
		theirs, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		ours, err := Listener{Listener: l, StallTimeout: time.Second}.Accept()
		is.NoErr(err)
		ResetOnClose(ours, true)
		_, err = ours.Write([]byte("part"))
		is.NoErr(err)
		if complete {
			ResetOnClose(ours, false)
		}
		is.NoErr(ours.Close())
		got, err := io.ReadAll(theirs)
		is.True(errors.Is(err, want))
		is.True(!complete || string(got) == "part")
		is.NoErr(theirs.Close())
	}
}

// Guards against a caller that takes each piece of an answer just within the stall timeout.
func TestWritesHaveALeastRate(t *testing.T) {
	is := is.New(t)
	const stall = 10 * time.Second
	is.Equal(writeTimeLeft(stall, 0, 0), stall)
	is.True(writeTimeLeft(stall, 11*time.Second, 512) < 0)
	is.True(writeTimeLeft(stall, 11*time.Second, 4*minWriteRate) > 0)
}
