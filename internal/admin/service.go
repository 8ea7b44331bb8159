// Package admin loads and changes the configuration in the platform's object API
// for operators, and keeps its audit trail. A change is planned from the accepted
// document and accepted by one conditional update. Rules, encoding and comparison
// of documents are in core/config; the console and the command line are built on
// this package.
package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"sync"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// ObjectAPI is the platform's object API as the service uses it.
type ObjectAPI interface {
	Do(ctx context.Context, c core.ObjectCall) core.ObjectResult
}

// Attempts at one step, and the delay before the first retry.
const (
	maxAttempts     = 5
	firstRetryDelay = 100 * time.Millisecond
)

// Service loads and changes the configuration. It is safe for concurrent use.
type Service struct {
	api   ObjectAPI
	now   func() time.Time
	pause func(ctx context.Context, d time.Duration)

	mu     sync.Mutex
	chunks map[string][]byte // chunks of the last loaded head, by hash
}

// New returns a service that uses an object API.
func New(api ObjectAPI) *Service {
	return &Service{api: api, now: time.Now, pause: sleep}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// newWriteID returns a random token that identifies one change.
func newWriteID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// AcceptedConfiguration is the accepted configuration as loaded.
type AcceptedConfiguration struct {
	Head          config.Head // zero if none was accepted yet
	ObjectVersion uint64      // version of the head's object in the object API; 0: none
	Document      *config.Document
}

// callWithRetry makes a call and retries it while the object API does not answer.
// The call must be safe to repeat.
func (s *Service) callWithRetry(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	wait := firstRetryDelay
	for attempt := 1; ; attempt++ {
		r := s.api.Do(ctx, c)
		answered := r.Status != core.ObjectUnavailable && r.Status != core.ObjectUnknown
		if answered || attempt == maxAttempts || ctx.Err() != nil {
			return r
		}
		s.pause(ctx, wait)
		wait *= 2
	}
}

// Load returns the accepted configuration, or an empty one if there is none.
func (s *Service) Load(ctx context.Context) (*AcceptedConfiguration, error) {
	for attempt := 1; ; attempt++ {
		c, err := s.loadOnce(ctx)
		if !errors.Is(err, errChunkMissing) || attempt == maxAttempts {
			return c, err
		}
		// A newer head was accepted while the chunks were read.
		s.pause(ctx, firstRetryDelay)
	}
}

var errChunkMissing = Damaged.New("a chunk of the configuration is missing")

func (s *Service) loadOnce(ctx context.Context) (*AcceptedConfiguration, error) {
	c, err := s.loadHead(ctx)
	if err != nil || c.ObjectVersion == 0 {
		return c, err
	}
	chunks, err := s.fetchChunks(ctx, c.Head)
	if err != nil {
		return nil, err
	}
	get := func(name string) ([]byte, bool) { b, ok := chunks[name]; return b, ok }
	if c.Document, err = config.Decode(c.Head, get); err != nil {
		return nil, Damaged.Wrap(err)
	}
	return c, nil
}

// fetchChunks returns a head's chunks, by hash. It reuses those of the last loaded
// head without a call.
func (s *Service) fetchChunks(ctx context.Context, h config.Head) (map[string][]byte, error) {
	s.mu.Lock()
	known := s.chunks
	s.mu.Unlock()
	chunks := make(map[string][]byte, len(h.Chunks))
	for _, name := range h.Chunks {
		if b, ok := known[name]; ok {
			chunks[name] = b
			continue
		}
		r := s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectGet, Key: config.ChunkPrefix + name})
		switch r.Status {
		case core.ObjectOK:
			chunks[name] = r.Object.Value
		case core.ObjectNotFound:
			return nil, errChunkMissing
		default:
			return nil, Unavailable.New("the object API does not answer")
		}
	}
	s.mu.Lock()
	s.chunks = chunks
	s.mu.Unlock()
	return chunks, nil
}

// loadHead returns the accepted head with an empty document.
func (s *Service) loadHead(ctx context.Context) (*AcceptedConfiguration, error) {
	r := s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectGet, Key: config.HeadKey})
	switch r.Status {
	case core.ObjectNotFound:
		return &AcceptedConfiguration{Document: &config.Document{}}, nil
	case core.ObjectOK:
	default:
		return nil, Unavailable.New("the object API does not answer")
	}
	h, err := config.DecodeHead(r.Object.Value)
	if err != nil {
		return nil, Damaged.Wrap(err)
	}
	return &AcceptedConfiguration{Head: h, ObjectVersion: r.Object.Version, Document: &config.Document{}}, nil
}

// Plan is a validated change that can be applied.
type Plan struct {
	Base     *AcceptedConfiguration
	Next     *config.Document
	Changes  []config.Change
	Warnings []config.Warning
}

// Plan validates a document and compares it with the accepted one. inUse are the
// adapter versions that requests use, for the warnings. For a document that is not
// valid it returns an Invalid error that wraps a *config.InvalidError.
func (s *Service) Plan(base *AcceptedConfiguration, next *config.Document, inUse []core.AdapterRef) (*Plan, error) {
	if err := config.Check(next); err != nil {
		return nil, Invalid.Wrap(err)
	}
	return &Plan{
		Base:     base,
		Next:     config.Canonical(next),
		Changes:  config.Diff(base.Document, next),
		Warnings: config.Warnings(base.Document, next, inUse),
	}, nil
}

// uploadChunks stores the chunks that the base head does not reference.
func (s *Service) uploadChunks(ctx context.Context, base config.Head, chunks map[string][]byte, order []string) error {
	for _, name := range order {
		if slices.Contains(base.Chunks, name) {
			continue
		}
		if err := s.store(ctx, config.ChunkPrefix+name, chunks[name]); err != nil {
			return err
		}
	}
	return nil
}

// store creates an object, or rewrites it if it exists: its version must become
// newer than the base's head, so that CollectChunks does not delete it.
func (s *Service) store(ctx context.Context, key string, value []byte) error {
	for range maxAttempts {
		r := s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectCreate, Key: key, Value: value})
		if r.Status == core.ObjectConflict {
			r = s.overwrite(ctx, key, value)
		}
		switch r.Status {
		case core.ObjectOK:
			return nil
		case core.ObjectNotFound, core.ObjectConflict:
			continue // deleted by CollectChunks, or written by another operator: retry
		}
		return Unavailable.New("the object API did not store %s", key)
	}
	return Unavailable.New("%s was changed by others during every attempt to store it", key)
}

func (s *Service) overwrite(ctx context.Context, key string, value []byte) core.ObjectResult {
	r := s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectGet, Key: key})
	if r.Status != core.ObjectOK {
		return r
	}
	return s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: r.Object.Version})
}
