package once

import (
	"fmt"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/measure"
)

// changesPerDay is the design rate of configuration changes.
const changesPerDay = 3700

// changeTable measures the bytes that one change sends again.
func changeTable() (measure.Table, error) {
	t := measure.Table{
		Title:   "Bytes of a configuration change (one adapter's default version)",
		Columns: []string{"whole document B", "chunks", "largest chunk B", "head B", "sent for one change B", "B/s at 3,700 changes a day"},
	}
	for _, adapters := range []int{3000, 15000, 60000} {
		d := syntheticDocument(adapters)
		before, chunks, err := config.Encode(d)
		if err != nil {
			return t, err
		}
		whole, largest := 0, 0
		for _, name := range before.Chunks {
			whole += len(chunks[name])
			largest = max(largest, len(chunks[name]))
		}
		d.Adapters[adapters/2].Default = 1
		after, changed, err := config.Encode(d)
		if err != nil {
			return t, err
		}
		head, err := config.EncodeHead(after)
		if err != nil {
			return t, err
		}
		sent := len(head)
		for _, name := range config.MissingChunks(after, func(name string) bool { _, ok := chunks[name]; return ok }) {
			sent += len(changed[name])
		}
		const day = 86400
		t.Rows = append(t.Rows, measure.Row{Label: fmt.Sprint(adapters, " adapters"), Values: []float64{
			float64(whole), float64(len(before.Chunks)), float64(largest), float64(len(head)), float64(sent), float64(sent) * changesPerDay / day,
		}})
	}
	return t, nil
}

// syntheticDocument returns a valid document with a number of adapters.
func syntheticDocument(adapters int) *config.Document {
	d := &config.Document{}
	for i := range 4 {
		d.BaseModels = append(d.BaseModels, config.BaseModel{ID: core.BaseModel(fmt.Sprint("base-", i))})
	}
	for i := range adapters / 75 {
		w := core.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
		d.Workspaces = append(d.Workspaces, config.Workspace{ID: w, Rate: 5000, Burst: 50000, Weight: 1})
		for j := range 5 {
			id := fmt.Sprintf("%s-key-%d", w, j)
			d.Keys = append(d.Keys, config.Key{ID: id, Workspace: w, Hash: config.HashKey([]byte("s"), id)})
		}
	}
	for i := range adapters {
		d.Adapters = append(d.Adapters, config.Adapter{
			ID:         core.AdapterID(fmt.Sprintf("adapter-%05d", i)),
			Base:       d.BaseModels[i%4].ID,
			Versions:   []int{1, 2, 3},
			Default:    3,
			Workspaces: []core.WorkspaceID{d.Workspaces[i%len(d.Workspaces)].ID},
		})
	}
	for i := range 670 {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("engine-%03d", i)), Kind: config.UpstreamEngine, Pool: "pool",
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Domain: "a", Base: d.BaseModels[i%4].ID, Slots: 32, Batch: 64,
		})
	}
	return d
}
