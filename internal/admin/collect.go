package admin

import (
	"context"
	"strings"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Collect deletes chunks that no head needs any more, and returns how many.
//
// A chunk goes only if the head does not name it and it was last written before
// that head. An operator whose update can still hold loaded this very head and
// has written, since then, every chunk that the head does not name; those are
// newer. One that wrote before loses against the head. A host that still
// fetches an older version finds a chunk missing and reads the head again.
func (s *Service) Collect(ctx context.Context) (int, error) {
	// The list comes first: a chunk that it shows and that a later head does
	// not name was written before that head or belongs to a later one.
	list := s.do(ctx, core.ObjectCall{Op: core.ObjectList, Key: config.ChunkPrefix})
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
		if needed[strings.TrimPrefix(o.Key, config.ChunkPrefix)] || o.Version >= head.Object {
			continue
		}
		// Conditional: one that was written anew since stays.
		r := s.api.Do(ctx, core.ObjectCall{Op: core.ObjectDelete, Key: o.Key, IfVersion: o.Version})
		if r.Status == core.ObjectOK {
			deleted++
		}
	}
	return deleted, nil
}
