package admin

import (
	"context"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// collectInterval is the number of versions between two chunk collections.
const collectInterval = 64

// Operator identifies who makes a change and through which interface.
type Operator struct {
	Name string
	Via  string // "console" or "command line"
	Key  string // signs the audit record; "": the record is not signed
}

// Apply makes a plan the accepted configuration and returns its head. A plan
// without changes returns the head that it was made from. After a
// ResultUnknown error the change may have been accepted; after any other error it was not.
//
// The audit record is written first, so that every accepted change has one;
// History skips the records of changes that were not accepted. The chunks are
// written next, so that no head references a missing one. The change is accepted
// by an update of the head on condition that the plan was made from that head.
func (s *Service) Apply(ctx context.Context, operator Operator, p *Plan) (config.Head, error) {
	if len(p.Changes) == 0 {
		return p.Base.Head, nil
	}
	h, chunks, err := config.Encode(p.Next)
	if err != nil {
		return config.Head{}, Invalid.Wrap(err)
	}
	h.Version = p.Base.Head.Version + 1
	h.By = operator.Name
	h.At = s.now().UTC()
	h.WriteID = newWriteID()
	if h.Version%collectInterval == 0 {
		_, _ = s.CollectChunks(ctx) // best effort: the next collection deletes the rest
	}
	record := newRecord(operator, p, h)
	if err := s.store(ctx, record.key(), record.encode()); err != nil {
		return config.Head{}, err
	}
	if err := s.uploadChunks(ctx, p.Base.Head, chunks, h.Chunks); err != nil {
		s.deleteRecord(ctx, record)
		return config.Head{}, err
	}
	if err := s.updateHead(ctx, p, h); err != nil {
		if Conflict.Has(err) {
			s.deleteRecord(ctx, record)
		}
		return config.Head{}, err
	}
	s.pruneRecords(ctx, h.Version)
	return h, nil
}

// deleteRecord deletes the record of a change that was certainly not accepted.
func (s *Service) deleteRecord(ctx context.Context, r Record) {
	s.api.Do(ctx, core.ObjectCall{Op: core.ObjectDelete, Key: r.key()})
}

// updateHead accepts a change by a conditional update of the head. Without an
// answer it sends the same update again, which is safe because the condition
// holds at most once.
func (s *Service) updateHead(ctx context.Context, p *Plan, h config.Head) error {
	value, err := config.EncodeHead(h)
	if err != nil {
		return Invalid.Wrap(err)
	}
	call := core.ObjectCall{Op: core.ObjectUpdate, Key: config.HeadKey, Value: value, IfVersion: p.Base.ObjectVersion}
	if p.Base.ObjectVersion == 0 {
		call.Op = core.ObjectCreate
	}
	maybeAccepted, wait := false, firstRetryDelay
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		r := s.api.Do(ctx, call)
		switch r.Status {
		case core.ObjectOK:
			return nil
		case core.ObjectConflict, core.ObjectNotFound:
			// Invariant: the condition can no longer hold. Either an earlier
			// attempt was accepted or none ever will be.
			return s.resolveConflict(ctx, p, h, maybeAccepted)
		case core.ObjectUnknown:
			maybeAccepted = true
		}
		if ctx.Err() != nil {
			break
		}
		s.pause(ctx, wait)
		wait *= 2
	}
	if maybeAccepted {
		return ResultUnknown.New("version %d by %s: no answer from the object API; check with config show before trying again", h.Version, h.By)
	}
	return Unavailable.New("the object API did not answer; the change was not applied")
}

// resolveConflict finds out after a failed condition whether an earlier attempt
// was accepted (nil) or another change was accepted first (Conflict).
// maybeAccepted says that an earlier attempt got no answer.
func (s *Service) resolveConflict(ctx context.Context, p *Plan, h config.Head, maybeAccepted bool) error {
	current, err := s.Load(ctx)
	if err != nil {
		return ResultUnknown.New("%v", err)
	}
	if current.Head.WriteID == h.WriteID {
		return nil
	}
	if current.Head.Version <= p.Base.Head.Version {
		return ResultUnknown.New("the object API returned a stale read; check with config show before trying again")
	}
	if maybeAccepted && current.Head.Version > h.Version {
		// An attempt without an answer may have been accepted and the
		// configuration changed again since.
		after, err := s.History(ctx, h.Version, h.Version)
		if err != nil {
			return ResultUnknown.New("%v", err)
		}
		if len(after) == 1 && after[0].WriteID == h.WriteID {
			return nil
		}
	}
	return s.conflictError(ctx, p.Base, current)
}

// conflictError returns a Conflict error with the records of the changes between
// two versions, or with the difference alone if those records are missing.
func (s *Service) conflictError(ctx context.Context, base, current *AcceptedConfiguration) error {
	records, err := s.History(ctx, base.Head.Version+1, current.Head.Version)
	if err != nil || len(records) == 0 {
		records = []Record{{
			Version: current.Head.Version,
			By:      current.Head.By,
			At:      current.Head.At,
			Changes: config.Diff(base.Document, current.Document),
		}}
	}
	return Conflict.Wrap(&ConflictError{BaseVersion: base.Head.Version, CurrentVersion: current.Head.Version, Records: records})
}

// CheckBaseVersion returns a Conflict error if a version that a change was made from is
// no longer the accepted one, and an Invalid error if it does not exist. Without
// the check, an old file would revert what others changed since.
func (s *Service) CheckBaseVersion(ctx context.Context, current *AcceptedConfiguration, version uint64) error {
	if current.Head.Version == version {
		return nil
	}
	if version > current.Head.Version {
		return Invalid.New("version %d does not exist; the accepted one is %d", version, current.Head.Version)
	}
	base := &AcceptedConfiguration{Head: config.Head{Version: version}, Document: current.Document}
	return s.conflictError(ctx, base, current)
}
