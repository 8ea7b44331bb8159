// Package logs writes log lines without ever holding up whoever logs: lines go
// into a bounded ring that one duty empties. What does not fit is dropped and
// counted; lines of one kind beyond a rate are summed up in one line a second.
package logs

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Bounds of the lines.
const (
	ringLines  = 2048     // that wait to be written
	batchBytes = 32 << 10 // written at once
	lineMost   = 4 << 10  // bytes of one line; a longer one is cut short
	kindLines  = 100      // of one kind in a window
	kindsMost  = 256      // kinds that are counted apart in a window
	window     = time.Second
)

// Sink takes log entries and writes them as JSON lines.
type Sink struct {
	ring    chan []byte
	writer  io.Writer
	now     func() time.Time
	dropped atomic.Int64
	total   atomic.Int64 // dropped since the start

	mu     sync.Mutex
	began  time.Time // of the window
	counts map[string]int
}

// New returns a sink that writes to w once Run runs.
func New(w io.Writer, now func() time.Time) *Sink {
	return &Sink{
		ring:   make(chan []byte, ringLines),
		writer: w,
		now:    now,
		counts: map[string]int{},
	}
}

// Dropped is how many lines have not been written since the start because the
// ring was full.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// HandleLog implements log.Handler. It never waits.
func (s *Sink) HandleLog(e *log.Entry) error {
	now := s.now()
	for _, line := range s.admit(now, e) {
		s.push(line)
	}
	return nil
}

// kind is what lines are counted by: the message, and the decision where the
// line tells of one.
func kind(e *log.Entry) string {
	k := e.Message
	for _, name := range []string{"decision", "reason"} {
		if v, ok := e.Fields[name].(string); ok {
			k += " " + v
		}
	}
	return k
}

// admit returns the lines to write for an entry: the entry itself unless there
// are too many of its kind, and the sums of a window that has ended.
func (s *Sink) admit(now time.Time, e *log.Entry) [][]byte {
	k := kind(e)
	s.mu.Lock()
	var lines [][]byte
	if now.Sub(s.began) >= window || now.Before(s.began) {
		lines = s.sums(now)
		s.began = now
		clear(s.counts)
	}
	if _, there := s.counts[k]; !there && len(s.counts) >= kindsMost {
		k = "other"
	}
	s.counts[k]++
	over := s.counts[k] > kindLines
	s.mu.Unlock()
	if over && e.Level < log.ErrorLevel {
		return lines
	}
	return append(lines, encode(now, e.Level, e.Message, e.Fields))
}

// sums tells, for each kind that had too many lines, how many were not written.
func (s *Sink) sums(now time.Time) [][]byte {
	var kinds []string
	for k, n := range s.counts {
		if n > kindLines {
			kinds = append(kinds, k)
		}
	}
	slices.Sort(kinds)
	lines := make([][]byte, 0, len(kinds))
	for _, k := range kinds {
		lines = append(lines, encode(now, log.InfoLevel, "lines summed up", log.Fields{"kind": k, "count": s.counts[k] - kindLines}))
	}
	return lines
}

func (s *Sink) push(line []byte) {
	select {
	case s.ring <- line:
	default:
		s.dropped.Add(1)
		s.total.Add(1)
	}
}

// encode makes a line. Fields stand beside time, level and message.
func encode(now time.Time, level log.Level, message string, fields log.Fields) []byte {
	line := make(map[string]any, len(fields)+3)
	for name, v := range fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		line[name] = v
	}
	line["time"] = now.UTC().Format(time.RFC3339Nano)
	line["level"] = level.String()
	line["message"] = message
	b, err := json.Marshal(line)
	if err != nil || len(b) > lineMost {
		return encode(now, level, "a line could not be written", log.Fields{"of": message[:min(len(message), 64)]})
	}
	return append(b, '\n')
}

// Run writes lines until ctx ends, and then what is left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return ctx.Err()
		case line := <-s.ring:
			if err := s.write(line); err != nil {
				return err
			}
		}
	}
}

// Flush writes what the ring holds.
func (s *Sink) Flush() {
	for {
		select {
		case line := <-s.ring:
			if s.write(line) != nil {
				return // nobody reads any more
			}
		default:
			return
		}
	}
}

// write writes a line and those that wait behind it, as one batch.
func (s *Sink) write(line []byte) error {
	batch := line
	if n := s.dropped.Swap(0); n > 0 {
		batch = append(batch, encode(s.now(), log.WarnLevel, "lines dropped", log.Fields{"count": n})...)
	}
	for len(batch) < batchBytes {
		select {
		case next := <-s.ring:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	_, err := s.writer.Write(batch)
	return err
}
