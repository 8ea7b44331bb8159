//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates or truncates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// elapsed is the time since the start of the script.
func (r *record) elapsed() time.Duration { return time.Since(r.start) }

// printf writes one line with the time since the start.
func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// close ends the file.
func (r *record) close() { _ = r.file.Close() }
