package admin

import (
	"context"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// collectEvery is how many versions pass between two collections of chunks.
const collectEvery = 64

// Operator is who changes something, and how that was established.
type Operator struct {
	Name string
	Via  string // "console" or "command line"
	Key  string // signs the audit record; "": not signed
}

// Apply makes a plan the accepted configuration, or fails and changes nothing.
//
// The order keeps two promises. The audit record is written first, so that no
// accepted change is without one; a record whose change was not accepted is
// told by the chain of tokens (see History). The chunks come next, so that no
// head names a missing one. The conditional update of the head, which holds
// only if the head is still the one that the plan was made from, accepts.
func (s *Service) Apply(ctx context.Context, who Operator, p *Plan) (config.Head, error) {
	if len(p.Changes) == 0 {
		return p.Base.Head, nil
	}
	h, chunks, err := config.Encode(p.Next)
	if err != nil {
		return config.Head{}, Invalid.Wrap(err)
	}
	h.Version = p.Base.Head.Version + 1
	h.By = who.Name
	h.At = s.now().UTC()
	h.WriteID = newToken()
	if h.Version%collectEvery == 0 {
		_, _ = s.Collect(ctx) // best effort: the next round finds what is left
	}
	record := newRecord(who, p, h)
	if err := s.put(ctx, record.key(), record.encode()); err != nil {
		return config.Head{}, err
	}
	if err := s.upload(ctx, p.Base.Head, chunks, h.Chunks); err != nil {
		s.withdraw(ctx, record)
		return config.Head{}, err
	}
	if err := s.accept(ctx, p, h); err != nil {
		if Conflict.Has(err) {
			s.withdraw(ctx, record)
		}
		return config.Head{}, err
	}
	s.prune(ctx, h.Version)
	return h, nil
}

// withdraw deletes the record of a change that surely was not accepted.
func (s *Service) withdraw(ctx context.Context, r Record) {
	s.api.Do(ctx, core.ObjectCall{Op: core.ObjectDelete, Key: r.key()})
}

// accept updates the head. A lost answer is resolved by reading back; sending
// the same conditional update again is safe, since it holds at most once.
func (s *Service) accept(ctx context.Context, p *Plan, h config.Head) error {
	value, err := config.EncodeHead(h)
	if err != nil {
		return Invalid.Wrap(err)
	}
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: config.HeadKey, Value: value, IfVersion: p.Base.Object}
	if p.Base.Object == 0 {
		call.Op = core.ObjectCreate
	}
	doubt, wait := false, firstPause
	for try := 1; try <= maxTries; try++ {
		r := s.api.Do(ctx, call)
		switch r.Status {
		case core.ObjectOK:
			return nil
		case core.ObjectConflict, core.ObjectNotFound:
			// Invariant: the condition can't hold any more, so that either an
			// earlier send was accepted or none ever is.
			return s.decided(ctx, p, h, doubt)
		case core.ObjectUnknown:
			doubt = true
		}
		if ctx.Err() != nil {
			break
		}
		s.pause(ctx, wait)
		wait *= 2
	}
	if doubt {
		return InDoubt.New("version %d by %s: no answer from the object API; look with config show before trying again", h.Version, h.By)
	}
	return Unavailable.New("the object API did not take the change")
}

// decided tells an own acceptance from another operator's.
func (s *Service) decided(ctx context.Context, p *Plan, h config.Head, doubt bool) error {
	now, err := s.Load(ctx)
	if err != nil {
		return InDoubt.New("%v", err)
	}
	if now.Head.WriteID == h.WriteID {
		return nil
	}
	if now.Head.Version <= p.Base.Head.Version {
		return InDoubt.New("the object API serves an old read; look with config show before trying again")
	}
	if doubt && now.Head.Version > h.Version {
		// Accepted by a send whose answer was lost, and changed again since?
		after, err := s.History(ctx, h.Version, h.Version)
		if err != nil {
			return InDoubt.New("%v", err)
		}
		if len(after) == 1 && after[0].Token == h.WriteID {
			return nil
		}
	}
	return s.conflict(ctx, p.Base, now)
}

// conflict tells who changed what between two versions.
func (s *Service) conflict(ctx context.Context, base, now *Current) error {
	records, err := s.History(ctx, base.Head.Version+1, now.Head.Version)
	if err != nil || len(records) == 0 {
		records = []Record{{
			Version: now.Head.Version,
			By:      now.Head.By,
			At:      now.Head.At,
			Changes: config.Diff(base.Document, now.Document),
		}}
	}
	return Conflict.Wrap(&ConflictError{Loaded: base.Head.Version, Present: now.Head.Version, Records: records})
}

// MadeFrom fails with a conflict unless a change that was made from a version
// still is made from the accepted one. Without it an old file would take back
// what others changed since.
func (s *Service) MadeFrom(ctx context.Context, now *Current, version uint64) error {
	if now.Head.Version == version {
		return nil
	}
	if version > now.Head.Version {
		return Invalid.New("version %d does not exist; the accepted one is %d", version, now.Head.Version)
	}
	base := &Current{Head: config.Head{Version: version}, Document: now.Document}
	return s.conflict(ctx, base, now)
}
