package relaynode

import (
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/shard"
)

// What is known of prompt parts is kept with the leases of the shards, for a host that starts while
// it reaches no other.

// partStates returns what is kept of parts with each lease.
func (m *Machine) partStates() shard.PartStates {
	states := shard.PartStates{}
	for _, s := range m.parts.tracker.Suspicions(m.now, maxStoredSuspicions) {
		states[s.Part.String()] = shard.PartState{Rounds: s.Rounds, AnsweredMS: s.Answered.Milliseconds()}
	}
	for _, v := range m.parts.tracker.Verdicts(m.now) {
		states[v.Part.String()] = shard.PartState{
			Blocked: true, Rounds: v.Rounds, AgeMS: v.Age.Milliseconds(),
			Trials: v.Trials, Failed: v.Failed, NextMS: v.NextIn.Milliseconds(),
		}
	}
	return states
}

// inheritStates reads from the shards' leases, once, what was known of parts and of requests that crash
// replicas before this process started.
func (m *Machine) inheritStates() {
	if m.inherited {
		return
	}
	m.inherited = true
	m.inheritSuspects()
	for _, states := range m.shards.PartStates() {
		for _, name := range slices.Sorted(maps.Keys(states)) {
			m.inheritPart(name, states[name])
		}
	}
}

func (m *Machine) inheritPart(name string, s shard.PartState) {
	p, ok := promptpart.ParseID(name)
	switch {
	case !ok:
		m.emit(LogDecision{Name: "prompt_part", Reason: "malformed", Detail: name})
	case s.Blocked:
		m.applyVerdict(promptpart.Verdict{
			Part: p, Rounds: s.Rounds, Age: milliseconds(s.AgeMS),
			Trials: s.Trials, Failed: s.Failed, NextIn: milliseconds(s.NextMS),
		}, learnedAtStart)
	default:
		m.parts.tracker.Inherit(m.now, promptpart.Suspicion{Part: p, Rounds: s.Rounds, Answered: milliseconds(s.AnsweredMS)})
		m.notePartChange(p, promptpart.Suspected, learnedAtStart, 0)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
