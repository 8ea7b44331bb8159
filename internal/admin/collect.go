package admin

import (
	"context"
	"strings"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// CollectChunks deletes the chunks that are no longer referenced and returns how many.
//
// A chunk is deleted only if the head does not reference it and it was last
// written before that head. A pending change that can still be accepted was made
// from this head, and its chunks that the head does not reference were written
// after it, so that they stay. A change made from an older head fails its
// conditional update. A host that fetches an older version finds a chunk missing
// and reads the head again.
func (s *Service) CollectChunks(ctx context.Context) (int, error) {
	// The list is read before the head: a listed chunk that the head does not
	// reference was written before that head or belongs to a later one.
	list := s.callWithRetry(ctx, core.ObjectCall{Op: core.ObjectList, Key: config.ChunkPrefix})
	if list.Status != core.ObjectOK {
		return 0, Unavailable.New("the object API does not answer")
	}
	head, err := s.loadHead(ctx)
	if err != nil {
		return 0, err
	}
	needed := make(map[string]bool, len(head.Head.Chunks))
	for _, name := range head.Head.Chunks {
		needed[name] = true
	}
	deleted := 0
	for _, o := range list.Objects {
		if needed[strings.TrimPrefix(o.Key, config.ChunkPrefix)] || o.Version >= head.ObjectVersion {
			continue
		}
		// Conditional on the version: a chunk rewritten since the list stays.
		r := s.api.Do(ctx, core.ObjectCall{Op: core.ObjectDelete, Key: o.Key, IfVersion: o.Version})
		if r.Status == core.ObjectOK {
			deleted++
		}
	}
	return deleted, nil
}
