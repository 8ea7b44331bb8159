package config

import (
	"fmt"
	"testing"

	"gentiancroft/internal/core"
)

// largeDocument returns a document of the size that the system is designed for.
func largeDocument() *Document {
	d := &Document{}
	for i := range 4 {
		d.BaseModels = append(d.BaseModels, BaseModel{ID: core.BaseModel(fmt.Sprintf("base-%d", i))})
	}
	for i := range 200 {
		w := core.WorkspaceID(fmt.Sprintf("workspace-%03d", i))
		d.Workspaces = append(d.Workspaces, Workspace{ID: w, Rate: 5000, Burst: 50000, Weight: 1})
		for j := range 5 {
			id := fmt.Sprintf("key-%03d-%d", i, j)
			d.Keys = append(d.Keys, Key{ID: id, Workspace: w, Hash: HashKey([]byte("s"), id)})
		}
	}
	for i := range 15000 {
		d.Adapters = append(d.Adapters, Adapter{
			ID:         core.AdapterID(fmt.Sprintf("adapter-%05d", i)),
			Base:       d.BaseModels[i%4].ID,
			Versions:   []int{1, 2, 3},
			Default:    3,
			Workspaces: []core.WorkspaceID{d.Workspaces[i%200].ID},
		})
	}
	for i := range 670 {
		d.Upstreams = append(d.Upstreams, Upstream{
			ID: core.UpstreamID(fmt.Sprintf("engine-%03d", i)), Kind: UpstreamEngine, Pool: fmt.Sprintf("pool-%d", i%4),
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Domain: "a", Base: d.BaseModels[i%4].ID, Slots: 32, Batch: 64,
		})
	}
	for i := range 4 {
		d.Routes = append(d.Routes, Route{Path: fmt.Sprintf("/v1/%d", i), Kind: RouteChat, Pool: fmt.Sprintf("pool-%d", i), Class: "normal", Idempotent: true})
	}
	return Canonical(d)
}

func BenchmarkValidate(b *testing.B) {
	d := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		if Validate(d) != nil {
			b.Fatal("not valid")
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	d := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = Encode(d)
	}
}

func BenchmarkDecode(b *testing.B) {
	h, chunks, _ := Encode(largeDocument())
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Decode(h, func(x string) ([]byte, bool) { c, ok := chunks[x]; return c, ok })
	}
}

// BenchmarkDecodeChange measures a host's cost of one change.
func BenchmarkDecodeChange(b *testing.B) {
	d := largeDocument()
	h, chunks, _ := Encode(d)
	get := func(x string) ([]byte, bool) { c, ok := chunks[x]; return c, ok }
	var x Decoder
	_, _ = x.Decode(h, get)
	d.Adapters[99].Default = 2
	next, changed, _ := Encode(d)
	for name, c := range changed {
		chunks[name] = c
	}
	heads := []Head{next, h}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = x.Decode(heads[i%2], get)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	d := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		NewSnapshot(1, d)
	}
}

func BenchmarkResolve(b *testing.B) {
	s := NewSnapshot(1, largeDocument())
	b.ReportAllocs()
	for b.Loop() {
		if _, _, r := s.ResolveModel("adapter-00777@2", "workspace-177"); r != nil {
			b.Fatal(r)
		}
	}
}

func BenchmarkKey(b *testing.B) {
	d := largeDocument()
	s := NewSnapshot(1, d)
	b.ReportAllocs()
	for b.Loop() {
		s.Key(d.Keys[500].Hash)
	}
}

func BenchmarkPool(b *testing.B) {
	s := NewSnapshot(1, largeDocument())
	b.ReportAllocs()
	for b.Loop() {
		s.Pool("pool-1")
	}
}
