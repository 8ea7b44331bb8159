// Package admin carries out what operators do to the configuration: load it,
// plan a change, apply it by one conditional update, and read who changed what.
// The console and the command line use it alike.
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

// ObjectAPI is what the service needs of the platform.
type ObjectAPI interface {
	Do(ctx context.Context, c core.ObjectCall) core.ObjectResult
}

// Tries of one step before it fails.
const (
	maxTries   = 5
	firstPause = 100 * time.Millisecond
)

// Service changes the configuration in the object API.
type Service struct {
	api   ObjectAPI
	now   func() time.Time
	pause func(ctx context.Context, d time.Duration)

	mu     sync.Mutex
	chunks map[string][]byte // of the last loaded head, by hash
}

// New returns a service over an object API.
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

// newToken names one attempt to change something.
func newToken() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Current is the accepted configuration as loaded.
type Current struct {
	Head     config.Head // zero where none was accepted yet
	Object   uint64      // version of the head's object; 0: none
	Document *config.Document
}

// do carries out a call, again after a pause while the store does not answer.
// It is for calls that may be repeated.
func (s *Service) do(ctx context.Context, c core.ObjectCall) core.ObjectResult {
	wait := firstPause
	for try := 1; ; try++ {
		r := s.api.Do(ctx, c)
		answered := r.Status != core.ObjectUnavailable && r.Status != core.ObjectUnknown
		if answered || try == maxTries || ctx.Err() != nil {
			return r
		}
		s.pause(ctx, wait)
		wait *= 2
	}
}

// Load returns the accepted configuration, the empty one where there is none.
func (s *Service) Load(ctx context.Context) (*Current, error) {
	for try := 1; ; try++ {
		c, err := s.loadOnce(ctx)
		if !errors.Is(err, errChunkGone) || try == maxTries {
			return c, err
		}
		// A newer head was accepted while the chunks were read.
		s.pause(ctx, firstPause)
	}
}

var errChunkGone = Damaged.New("a chunk of the configuration is missing")

func (s *Service) loadOnce(ctx context.Context) (*Current, error) {
	c, err := s.loadHead(ctx)
	if err != nil || c.Object == 0 {
		return c, err
	}
	chunks, err := s.fetch(ctx, c.Head)
	if err != nil {
		return nil, err
	}
	get := func(name string) ([]byte, bool) { b, ok := chunks[name]; return b, ok }
	if c.Document, err = config.Decode(c.Head, get); err != nil {
		return nil, Damaged.Wrap(err)
	}
	return c, nil
}

// fetch returns a head's chunks. Those of the last head need no call.
func (s *Service) fetch(ctx context.Context, h config.Head) (map[string][]byte, error) {
	s.mu.Lock()
	known := s.chunks
	s.mu.Unlock()
	chunks := make(map[string][]byte, len(h.Chunks))
	for _, name := range h.Chunks {
		if b, ok := known[name]; ok {
			chunks[name] = b
			continue
		}
		r := s.do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: config.ChunkPrefix + name})
		switch r.Status {
		case core.ObjectOK:
			chunks[name] = r.Object.Value
		case core.ObjectNotFound:
			return nil, errChunkGone
		default:
			return nil, Unavailable.New("the object API does not answer")
		}
	}
	s.mu.Lock()
	s.chunks = chunks
	s.mu.Unlock()
	return chunks, nil
}

// loadHead returns the head alone.
func (s *Service) loadHead(ctx context.Context) (*Current, error) {
	r := s.do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: config.HeadKey})
	switch r.Status {
	case core.ObjectNotFound:
		return &Current{Document: &config.Document{}}, nil
	case core.ObjectOK:
	default:
		return nil, Unavailable.New("the object API does not answer")
	}
	h, err := config.DecodeHead(r.Object.Value)
	if err != nil {
		return nil, Damaged.Wrap(err)
	}
	return &Current{Head: h, Object: r.Object.Version, Document: &config.Document{}}, nil
}

// Plan is a change that may be applied.
type Plan struct {
	Base     *Current
	Next     *config.Document
	Changes  []config.Change
	Warnings []config.Warning
}

// Plan compares a document with the accepted one. A document with errors gives
// an Invalid error that carries a *config.InvalidError.
func (s *Service) Plan(base *Current, next *config.Document, inUse []core.AdapterRef) (*Plan, error) {
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

// upload stores the chunks that the base does not have.
func (s *Service) upload(ctx context.Context, base config.Head, chunks map[string][]byte, order []string) error {
	for _, name := range order {
		if slices.Contains(base.Chunks, name) {
			continue
		}
		if err := s.put(ctx, config.ChunkPrefix+name, chunks[name]); err != nil {
			return err
		}
	}
	return nil
}

// put creates an object, or writes it anew where it exists: its version must be
// newer than the base's head, so that no collection takes it (see Collect).
func (s *Service) put(ctx context.Context, key string, value []byte) error {
	for range maxTries {
		r := s.do(ctx, core.ObjectCall{Op: core.ObjectCreate, Key: key, Value: value})
		if r.Status == core.ObjectConflict {
			r = s.rewrite(ctx, key, value)
		}
		switch r.Status {
		case core.ObjectOK:
			return nil
		case core.ObjectNotFound, core.ObjectConflict:
			continue // collected, or written by another operator: look again
		}
		return Unavailable.New("the object API does not take %s", key)
	}
	return Unavailable.New("%s changes all the time", key)
}

func (s *Service) rewrite(ctx context.Context, key string, value []byte) core.ObjectResult {
	r := s.do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: key})
	if r.Status != core.ObjectOK {
		return r
	}
	return s.do(ctx, core.ObjectCall{Op: core.ObjectUpdate, Key: key, Value: value, IfVersion: r.Object.Version})
}
