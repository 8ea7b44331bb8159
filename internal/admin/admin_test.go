package admin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/standin/platform"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// hookedAPI is an object API that calls before ahead of each call.
type hookedAPI struct {
	store  *platform.Store
	before func(c core.ObjectCall)
}

func (h *hookedAPI) Do(_ context.Context, c core.ObjectCall) core.ObjectResult {
	if h.before != nil {
		h.before(c)
	}
	return h.store.Do(c)
}

func newService(store *platform.Store) (*Service, *hookedAPI) {
	h := &hookedAPI{store: store}
	s := New(h)
	s.now = func() time.Time { return time.Unix(1e9, 0) }
	s.pause = func(context.Context, time.Duration) {}
	return s, h
}

var ctx = context.Background()

// planAdding returns a plan that adds a workspace to the accepted document.
func planAdding(t testing.TB, s *Service, workspace string) *Plan {
	t.Helper()
	base, err := s.Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	next := *base.Document
	next.Workspaces = append(next.Workspaces[:len(next.Workspaces):len(next.Workspaces)], config.Workspace{ID: core.WorkspaceID(workspace), Rate: 1, Burst: 1, Weight: 1})
	p, err := s.Plan(base, &next, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var (
	ana = Operator{Name: "ana", Via: "console"}
	ben = Operator{Name: "ben", Via: "command line", Key: "gk_ben"}
)

func TestChangeIsAcceptedWithItsRecord(t *testing.T) {
	is := is.New(t)
	s, _ := newService(platform.NewStore())
	h, err := s.Apply(ctx, ana, planAdding(t, s, "one"))
	is.NoErr(err)
	is.Equal(h.Version, uint64(1))
	h, err = s.Apply(ctx, ben, planAdding(t, s, "two"))
	is.NoErr(err)
	is.Equal(h.Version, uint64(2))
	current, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(len(current.Document.Workspaces), 2)
	history, err := s.History(ctx, 0, 99)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[0].By, "ben")
	is.Equal(history[0].From, uint64(1))
	is.Equal(history[0].Changes[0].String(), "+ workspaces/two rate=1, burst=1, weight=1")
	is.True(history[0].SignedBy("gk_ben"))
	is.True(!history[0].SignedBy("gk_ana"))
	is.True(!history[1].SignedBy(""))
}

func TestInvalidDocumentIsRefused(t *testing.T) {
	is := is.New(t)
	s, _ := newService(platform.NewStore())
	base, err := s.Load(ctx)
	is.NoErr(err)
	_, err = s.Plan(base, &config.Document{Workspaces: []config.Workspace{{}}}, nil)
	is.True(Invalid.Has(err))
	var invalid *config.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Problems), 2) // no id, no weight
}

func TestRacingOperatorIsToldWhoChangedWhat(t *testing.T) {
	is := is.New(t)
	s, _ := newService(platform.NewStore())
	mine, theirs := planAdding(t, s, "mine"), planAdding(t, s, "theirs")
	_, err := s.Apply(ctx, ben, theirs)
	is.NoErr(err)
	_, err = s.Apply(ctx, ana, mine)
	is.True(Conflict.Has(err))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Records[0].By, "ben")
	is.Equal(conflict.Records[0].Changes[0].ID, "theirs")
	is.True(strings.Contains(err.Error(), "+ workspaces/theirs"))
	current, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(current.Document.Workspaces[0].ID, core.WorkspaceID("theirs")) // nothing was overwritten
	history, err := s.History(ctx, 0, 99)
	is.NoErr(err)
	is.Equal(len(history), 1)
	is.NoErr(s.CheckBaseVersion(ctx, current, 1))
	is.True(Conflict.Has(s.CheckBaseVersion(ctx, current, 0))) // an old file does not revert their change
	is.True(Invalid.Has(s.CheckBaseVersion(ctx, current, 2)))
}

func TestLostAnswersAreResolved(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	s, api := newService(store)
	for i, key := range []string{config.AuditPrefix, config.ChunkPrefix, config.HeadKey} {
		lost := false
		api.before = func(c core.ObjectCall) {
			if !lost && strings.HasPrefix(c.Key, key) && c.Op != core.ObjectGet && c.Op != core.ObjectList {
				lost = true
				store.DropAnswers(1)
			}
		}
		h, err := s.Apply(ctx, ana, planAdding(t, s, fmt.Sprintf("w%d", i)))
		is.NoErr(err)
		is.True(lost)
		is.Equal(h.Version, uint64(i+1))
	}
	history, err := s.History(ctx, 0, 99)
	is.NoErr(err)
	is.Equal(len(history), 3)
}

func TestLostAcceptanceThatWasChangedSince(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	s, api := newService(store)
	other, _ := newService(store)
	p := planAdding(t, s, "mine")
	heads := 0
	api.before = func(c core.ObjectCall) {
		if c.Key != config.HeadKey || c.Op == core.ObjectGet {
			return
		}
		heads++
		switch heads {
		case 1:
			store.DropAnswers(1)
		case 2: // before the retry, another operator changes the accepted document
			_, err := other.Apply(ctx, ben, planAdding(t, other, "theirs"))
			is.NoErr(err)
		}
	}
	_, err := s.Apply(ctx, ana, p)
	is.NoErr(err) // it was accepted, as the chain of tokens shows
	is.Equal(heads, 2)
}

func TestUnavailableStoreChangesNothing(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	s, api := newService(store)
	p := planAdding(t, s, "one")
	for _, at := range []string{config.AuditPrefix, config.ChunkPrefix, config.HeadKey} {
		api.before = func(c core.ObjectCall) { store.SetDown(strings.HasPrefix(c.Key, at)) }
		_, err := s.Apply(ctx, ana, p)
		is.True(Unavailable.Has(err))
		api.before = nil
		store.SetDown(false)
		current, err := s.Load(ctx)
		is.NoErr(err)
		is.Equal(current.Head.Version, uint64(0))
	}
	_, err := s.Apply(ctx, ana, p)
	is.NoErr(err)
}

func TestStaleReadGivesInDoubtError(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	s, _ := newService(store)
	p := planAdding(t, s, "mine")
	store.SetStaleReads(true)
	other, _ := newService(store)
	_, err := other.Apply(ctx, ben, planAdding(t, other, "theirs"))
	is.NoErr(err)
	_, err = s.Apply(ctx, ana, p)
	is.True(ResultUnknown.Has(err))
	store.SetStaleReads(false)
	current, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(current.Head.By, "ben")
}

func TestCollectKeepsChunksOfPendingChanges(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	s, api := newService(store)
	_, err := s.Apply(ctx, ana, planAdding(t, s, "one"))
	is.NoErr(err)
	_, err = s.Apply(ctx, ana, planAdding(t, s, "two"))
	is.NoErr(err)
	revert := planAdding(t, s, "x")
	revert.Next.Workspaces = revert.Next.Workspaces[:1] // the document of version 1, whose chunk is no longer referenced
	revert.Changes = config.Diff(revert.Base.Document, revert.Next)
	collector, _ := newService(store)
	collected := 0
	api.before = func(c core.ObjectCall) {
		if c.Key == config.HeadKey && c.Op == core.ObjectUpdate {
			collected, err = collector.CollectChunks(ctx) // right before the head is updated
			is.NoErr(err)
		}
	}
	_, err = s.Apply(ctx, ana, revert)
	is.NoErr(err)
	is.Equal(collected, 0)
	api.before = nil
	fresh, _ := newService(store)
	current, err := fresh.Load(ctx)
	is.NoErr(err)
	is.Equal(len(current.Document.Workspaces), 1)
	_, err = fresh.Apply(ctx, ana, planAdding(t, fresh, "three"))
	is.NoErr(err)
	n, err := fresh.CollectChunks(ctx)
	is.NoErr(err)
	is.Equal(n, 2) // the chunks of versions 2 and 3
	_, err = fresh.Load(ctx)
	is.NoErr(err)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore()
	s, _ := newService(store)
	for v := uint64(1); v <= 2*pruneInterval; v++ { // old records
		store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: Record{Version: v, WriteID: "t"}.key(), Value: []byte{0xa0}})
	}
	s.pruneRecords(ctx, AuditRetention+2*pruneInterval)
	r := store.Do(core.ObjectCall{Op: core.ObjectList, Key: config.AuditPrefix})
	is.Equal(len(r.Objects), 1) // of the 200 oldest, only version 200 is within the bound
}

func TestLargeRecordIsTruncated(t *testing.T) {
	is := is.New(t)
	s, _ := newService(platform.NewStore())
	base, err := s.Load(ctx)
	is.NoErr(err)
	next := &config.Document{BaseModels: []config.BaseModel{{ID: "b"}}}
	for i := range 2000 {
		next.Adapters = append(next.Adapters, config.Adapter{ID: core.AdapterID(fmt.Sprint("a", i)), Base: "b", Versions: []int{1}, Default: 1})
	}
	p, err := s.Plan(base, next, nil)
	is.NoErr(err)
	_, err = s.Apply(ctx, ana, p)
	is.NoErr(err)
	history, err := s.History(ctx, 0, 9)
	is.NoErr(err)
	is.True(history[0].Omitted > 0)
	is.Equal(history[0].Omitted+len(history[0].Changes), 2001)
}

func TestConcurrentChangesWithFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := platform.NewStore()
		services := []*Service{}
		for range 3 {
			s, api := newService(store)
			api.before = func(c core.ObjectCall) {
				switch rapid.IntRange(0, 24).Draw(t, "fault") {
				case 0:
					store.DropAnswers(1)
				case 1:
					store.SetDown(true)
				case 2, 3, 4:
					store.SetDown(false)
				}
			}
			services = append(services, s)
		}
		plans := make([]*Plan, len(services))
		accepted := map[string]bool{}
		for i := range 12 {
			n := rapid.IntRange(0, len(services)-1).Draw(t, "operator")
			s := services[n]
			if plans[n] == nil {
				base, err := s.Load(ctx)
				if err != nil {
					continue
				}
				next := *base.Document
				name := fmt.Sprint("w", i)
				next.Workspaces = append(next.Workspaces[:len(next.Workspaces):len(next.Workspaces)], config.Workspace{ID: core.WorkspaceID(name), Rate: 1, Burst: 1, Weight: 1})
				plans[n], err = s.Plan(base, &next, nil)
				if err != nil {
					t.Fatal(err)
				}
				continue
			}
			p := plans[n]
			plans[n] = nil
			added := p.Changes[0].ID
			_, err := s.Apply(ctx, ana, p)
			switch {
			case err == nil:
				accepted[added] = true
			case Conflict.Has(err), Unavailable.Has(err):
				accepted[added] = false
			}
		}
		store.SetDown(false)
		store.DropAnswers(0)
		s, _ := newService(store)
		current, err := s.Load(ctx)
		if err != nil {
			t.Fatal(err)
		}
		present := map[string]bool{}
		for _, w := range current.Document.Workspaces {
			present[string(w.ID)] = true
		}
		for name, was := range accepted { // an accepted change stays, a refused one never appears
			if present[name] != was {
				t.Fatalf("%s: accepted %v, present %v", name, was, present[name])
			}
		}
		history, err := s.History(ctx, 0, 99)
		if err != nil || len(history) != int(current.Head.Version) {
			t.Fatalf("%d records of %d versions: %v", len(history), current.Head.Version, err)
		}
	})
}

func TestKeysAndOperators(t *testing.T) {
	is := is.New(t)
	secret := []byte("deployment")
	key, hash := NewKey(secret)
	is.Equal(hash, config.HashKey(secret, key))
	is.True(!strings.Contains(hash, key))
	o := NewOperators(secret, map[string]string{"ana": hash})
	name, err := o.Authenticate(key)
	is.NoErr(err)
	is.Equal(name, "ana")
	_, err = o.Authenticate(key + "x")
	is.True(Denied.Has(err))
}
