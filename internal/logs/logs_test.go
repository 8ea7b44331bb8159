package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
)

func entry(message string, fields log.Fields) *log.Entry {
	return &log.Entry{Message: message, Level: log.InfoLevel, Fields: fields}
}

func lines(t *testing.T, b []byte) []map[string]any {
	var all []map[string]any
	for line := range strings.Lines(string(b)) {
		var v map[string]any
		if err := json.Unmarshal([]byte(line), &v); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		all = append(all, v)
	}
	return all
}

func clock() time.Time { return time.Unix(100, 0) }

func TestLineIsOneJSONObject(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out, clock)
	is.NoErr(s.HandleLog(entry("decided", log.Fields{"request": "r1", "error": errors.New("bad\nline")})))
	s.Flush()
	all := lines(t, out.Bytes())
	is.Equal(len(all), 1)
	is.Equal(all[0]["message"], "decided")
	is.Equal(all[0]["request"], "r1")
	is.Equal(all[0]["error"], "bad\nline")
	is.Equal(all[0]["level"], "info")
}

func TestLinesOfOneKindAreSummedUp(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := time.Unix(100, 0)
	s := New(&out, func() time.Time { return now })
	for range maxLinesPerKind + 30 {
		is.NoErr(s.HandleLog(entry("decided", log.Fields{"decision": "refusal", "reason": "overloaded"})))
	}
	is.NoErr(s.HandleLog(entry("decided", log.Fields{"decision": "refusal", "reason": "deadline"})))
	now = now.Add(window)
	is.NoErr(s.HandleLog(entry("next", nil)))
	s.Flush()
	all := lines(t, out.Bytes())
	is.Equal(len(all), maxLinesPerKind+3)
	sum := all[maxLinesPerKind+1]
	is.Equal(sum["message"], "lines summed up")
	is.Equal(sum["kind"], "decided refusal overloaded")
	is.Equal(sum["count"], 30.0)
}

func TestErrorsAreNeverSummedUp(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out, clock)
	for range maxLinesPerKind + 5 {
		e := entry("broken", nil)
		e.Level = log.ErrorLevel
		is.NoErr(s.HandleLog(e))
	}
	s.Flush()
	is.Equal(len(lines(t, out.Bytes())), maxLinesPerKind+5)
}

// A burst of lines is summed up although none follows it, and only lines that were left out
// are counted.
func TestSummaryOfABurstWithoutLaterLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := time.Unix(100, 0)
	s := New(&out, func() time.Time { return now })
	for range maxLinesPerKind + 2 {
		is.NoErr(s.HandleLog(entry("mixed", nil)))
		failed := entry("mixed", nil)
		failed.Level = log.ErrorLevel
		is.NoErr(s.HandleLog(failed))
	}
	s.endWindow() // too early
	now = now.Add(window)
	s.endWindow()
	s.endWindow()
	s.Flush()
	all := lines(t, out.Bytes())
	last := all[len(all)-1]
	is.Equal(last["message"], "lines summed up")
	is.Equal(last["count"], float64(2*(maxLinesPerKind+2)-(len(all)-1)))
	is.Equal(all[len(all)-2]["message"], "mixed")
}

// With a stuck reader the pipe and the queue fill up. Logging must not block, and the number
// of dropped lines must be logged once there is room.
func TestLoggingDoesNotBlockOnAFullPipe(t *testing.T) {
	is := is.New(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	s := New(writer, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = s.Run(ctx); close(ended) }()
	long := strings.Repeat("x", 2<<10)
	for i := range 10 * queueLines { // far more than pipe and queue hold: a blocking sink hangs here
		e := entry("kept", log.Fields{"n": i, "text": long})
		e.Level = log.ErrorLevel
		is.NoErr(s.HandleLog(e))
	}
	is.True(s.Dropped() > 0)
	read := make(chan []byte)
	go func() { b, _ := io.ReadAll(reader); read <- b }()
	cancel()
	<-ended
	is.NoErr(writer.Close())
	is.True(strings.Contains(string(<-read), `"message":"lines dropped"`))
}

func BenchmarkLine(b *testing.B) {
	s := New(io.Discard, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	e := entry("decided", log.Fields{"decision": "dispatch", "reason": "least_occupied", "request": "9c41d07be2a35f68", "upstream": "i-7f3a91c2", "detail": "load 3", "age_ms": 17})
	e.Level = log.ErrorLevel // never summed up
	b.ReportAllocs()
	for b.Loop() {
		_ = s.HandleLog(e)
	}
}

// stuckWriter is a pipe that nobody reads.
type stuckWriter struct{ blocked chan struct{} }

func (w stuckWriter) Write(b []byte) (int, error) {
	<-w.blocked
	return len(b), nil
}

// Guards against a host that hangs at its end on its last log lines and goes on reading requests (review,
// case 1).
func TestFlushDoesNotWaitForAReaderThatHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := stuckWriter{make(chan struct{})}
		s := New(w, clock)
		is.NoErr(s.HandleLog(entry("last", nil)))
		began := time.Now()
		s.FlushWithin(100 * time.Millisecond)
		is.Equal(time.Since(began), 100*time.Millisecond)
		close(w.blocked)
		is.NoErr(s.HandleLog(entry("read", nil)))
		s.FlushWithin(time.Hour) // returns once the lines are written
		is.Equal(time.Since(began), 100*time.Millisecond)
	})
}
