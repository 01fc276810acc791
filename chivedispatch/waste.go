package chivedispatch

import (
	"sync/atomic"
)

// Waste counts work that endpoints did for nothing, in tokens.
type Waste struct {
	thrown   atomic.Int64
	repeated atomic.Int64
}

// WasteState is the dump of the waste.
type WasteState struct {
	ThrownTokens   int64 `json:"thrown_tokens"`
	RepeatedTokens int64 `json:"repeated_prompt_tokens"`
}

func (w *Waste) addThrown(tokens int64) { w.thrown.Add(tokens) }
func (w *Waste) addRepeat(prompt int64) { w.repeated.Add(prompt) }

// State returns the sums since the start.
func (w *Waste) State() WasteState {
	return WasteState{ThrownTokens: w.thrown.Load(), RepeatedTokens: w.repeated.Load()}
}
