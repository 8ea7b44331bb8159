package residency

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

// What a replica holds takes adapter slots and memory. The memory is shared by the weights of its
// base models and by the adapters, those included that are on their way or being unloaded. Either
// can be taken first.

// hasRoom reports whether an adapter of a base model can be loaded beside what the replica holds.
func (r *replica) hasRoom(limit limits, model core.BaseModel) bool {
	return len(r.residents)+len(r.namesakes) < limit.slots && r.fits(limit, limit.adapterSize(model))
}

// hasRoomForAny reports whether an adapter of one of the replica's base models can be loaded.
func (r *replica) hasRoomForAny(limit limits) bool {
	for name := range r.models {
		if r.hasRoom(limit, name) {
			return true
		}
	}
	return false
}

// fits reports whether the replica's memory holds this much more.
func (r *replica) fits(limit limits, more table.Megabytes) bool {
	return limit.memory <= 0 || r.usedMemory(limit)+more <= limit.memory
}

// usedMemory is what the replica's weights and adapters take.
func (r *replica) usedMemory(limit limits) table.Megabytes {
	var used table.Megabytes
	for _, name := range r.weights {
		used += limit.weights(name)
	}
	for _, x := range r.residents {
		used += limit.adapterSize(x.model)
	}
	for _, name := range r.namesakes {
		used += limit.adapterSize(name)
	}
	return used
}

// weights is the size of a base model's weights, 0 where the service doesn't have it.
func (l limits) weights(name core.BaseModel) table.Megabytes {
	for _, m := range l.models {
		if m.Name == name {
			return m.Weights
		}
	}
	return 0
}

// adapterSize is the size of a base model's adapters. Where the service doesn't have the model, it
// is that of its largest adapters.
func (l limits) adapterSize(name core.BaseModel) table.Megabytes {
	var largest table.Megabytes
	for _, m := range l.models {
		if m.Name == name {
			return m.Adapter
		}
		largest = max(largest, m.Adapter)
	}
	return largest
}
