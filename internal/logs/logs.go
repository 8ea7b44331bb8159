// Package logs writes log entries as JSON lines without blocking the caller: lines go into
// a bounded queue, which one goroutine writes out. Lines that don't fit are dropped and
// counted. Lines of one kind beyond a rate are summed up in one line a second, except for
// errors.
package logs

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Limits of lines and of the queue.
const (
	queueLines      = 2048     // that may wait to be written
	maxBatchBytes   = 32 << 10 // from which a batch takes no more lines
	maxLineBytes    = 4 << 10  // a longer line is replaced by a short one
	maxLinesPerKind = 100      // written in a window
	maxKinds        = 256      // counted separately in a window; further ones count as one kind
	window          = time.Second
)

// Sink is a log handler that writes entries as JSON lines, without blocking.
type Sink struct {
	queue        chan []byte
	writer       io.Writer
	now          func() time.Time
	dropped      atomic.Int64 // since the last batch
	totalDropped atomic.Int64 // since the start

	mu          sync.Mutex
	windowStart time.Time
	counts      map[string]int // lines in the window, by kind
	omitted     map[string]int // of those, the ones that were not written
}

// New returns a sink that writes to w while Run runs.
func New(w io.Writer, now func() time.Time) *Sink {
	return &Sink{
		queue:   make(chan []byte, queueLines),
		writer:  w,
		now:     now,
		counts:  map[string]int{},
		omitted: map[string]int{},
	}
}

// Dropped returns how many lines were dropped since the start because the queue was full.
func (s *Sink) Dropped() int64 { return s.totalDropped.Load() }

// HandleLog implements log.Handler. It never blocks and returns no error.
func (s *Sink) HandleLog(e *log.Entry) error {
	now := s.now()
	for _, line := range s.admit(now, e) {
		s.enqueue(line)
	}
	return nil
}

// kindOf returns the key by which lines are counted: the message, with decision and reason
// if the entry has them.
func kindOf(e *log.Entry) string {
	k := e.Message
	for _, name := range []string{"decision", "reason"} {
		if v, ok := e.Fields[name].(string); ok {
			k += " " + v
		}
	}
	return k
}

// admit returns the lines to write for an entry: the summaries of a window that has ended,
// and the entry itself unless there are too many of its kind.
func (s *Sink) admit(now time.Time, e *log.Entry) [][]byte {
	k := kindOf(e)
	s.mu.Lock()
	var lines [][]byte
	if now.Sub(s.windowStart) >= window || now.Before(s.windowStart) {
		lines = s.summaries(now)
		s.windowStart = now
	}
	if _, there := s.counts[k]; !there && len(s.counts) >= maxKinds {
		k = "other"
	}
	s.counts[k]++
	omit := s.counts[k] > maxLinesPerKind && e.Level < log.ErrorLevel
	if omit {
		s.omitted[k]++
	}
	s.mu.Unlock()
	if omit {
		return lines
	}
	return append(lines, encode(now, e.Level, e.Message, e.Fields))
}

// summaries returns a line for each kind of which lines were omitted, with their number, and
// resets the counts.
func (s *Sink) summaries(now time.Time) [][]byte {
	lines := make([][]byte, 0, len(s.omitted))
	for _, k := range slices.Sorted(maps.Keys(s.omitted)) {
		lines = append(lines, encode(now, log.InfoLevel, "lines summed up", log.Fields{"kind": k, "count": s.omitted[k]}))
	}
	clear(s.counts)
	clear(s.omitted)
	return lines
}

// endWindow queues the summaries of a window that has ended, if no entry has come since.
func (s *Sink) endWindow() {
	now := s.now()
	var lines [][]byte
	s.mu.Lock()
	if now.Sub(s.windowStart) >= window {
		lines = s.summaries(now)
		s.windowStart = now
	}
	s.mu.Unlock()
	for _, line := range lines {
		s.enqueue(line)
	}
}

func (s *Sink) enqueue(line []byte) {
	select {
	case s.queue <- line:
	default:
		s.dropped.Add(1)
		s.totalDropped.Add(1)
	}
}

// encode returns the JSON line of an entry. time, level and message replace fields of the
// same names.
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
	if err != nil || len(b) > maxLineBytes {
		return encode(now, level, "log line left out; it is too long or can't be encoded", log.Fields{"of": message[:min(len(message), 64)]})
	}
	return append(b, '\n')
}

// Run writes lines until ctx ends, and then those left in the queue. It returns the error
// of a failed write, or that of ctx.
func (s *Sink) Run(ctx context.Context) error {
	ticker := time.NewTicker(window)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.endWindow()
		case <-ctx.Done():
			s.Flush()
			return ctx.Err()
		case line := <-s.queue:
			if err := s.write(line); err != nil {
				return err
			}
		}
	}
}

// Flush writes the lines in the queue. It stops at the first write that fails.
func (s *Sink) Flush() {
	for {
		select {
		case line := <-s.queue:
			if s.write(line) != nil {
				return // the reader has closed its end
			}
		default:
			return
		}
	}
}

// FlushWithin is Flush, but waits for d at most: nobody may read what is written.
func (s *Sink) FlushWithin(d time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Flush()
	}()
	select {
	case <-done:
	case <-time.After(d):
	}
}

// write writes a line and the queued ones after it as one batch.
func (s *Sink) write(line []byte) error {
	batch := line
	if n := s.dropped.Swap(0); n > 0 {
		batch = append(batch, encode(s.now(), log.WarnLevel, "lines dropped", log.Fields{"count": n})...)
	}
	for len(batch) < maxBatchBytes {
		select {
		case next := <-s.queue:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	_, err := s.writer.Write(batch)
	return err
}
