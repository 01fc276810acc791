package chivedispatch

import (
	"sync/atomic"
)

// Waste counts the tokens that endpoints processed without use to a caller.
type Waste struct {
	discarded      atomic.Int64
	repeatedPrompt atomic.Int64
}

// WasteState holds the counts since the process started: tokens delivered for requests that were then given up, and
// prompt tokens of attempts after which the request was sent again.
type WasteState struct {
	ThrownTokens   int64 `json:"thrown_tokens"`
	RepeatedTokens int64 `json:"repeated_prompt_tokens"`
}

func (w *Waste) addDiscarded(tokens int64)      { w.discarded.Add(tokens) }
func (w *Waste) addRepeatedPrompt(tokens int64) { w.repeatedPrompt.Add(tokens) }

// State returns the current counts.
func (w *Waste) State() WasteState {
	return WasteState{ThrownTokens: w.discarded.Load(), RepeatedTokens: w.repeatedPrompt.Load()}
}
