package chivegate

import (
	"sync"
	"time"

	"chivedrift/chivedispatch"
)

// Explanation describes how a request was handled: its settings, times, attempts and outcome.
type Explanation struct {
	Request       string                  `json:"request"`
	Pool          string                  `json:"pool"`
	Class         string                  `json:"class"`
	Tier          string                  `json:"tier"`
	Team          string                  `json:"team"`
	ConfigVersion int64                   `json:"config_version"`
	Arrived       time.Time               `json:"arrived"`
	Deadline      time.Time               `json:"deadline"`
	QueuedMs      int64                   `json:"queued_ms"`
	FirstTokenMs  int64                   `json:"first_token_ms"`
	BetweenMs     float64                 `json:"between_tokens_ms"`
	TookMs        int64                   `json:"took_ms"`
	Tokens        int64                   `json:"tokens"`
	Claim         string                  `json:"claim,omitempty"`
	Attempts      []chivedispatch.Attempt `json:"attempts"`
	Outcome       chivedispatch.Outcome   `json:"outcome"`
	Code          string                  `json:"code,omitempty"`
	Message       string                  `json:"message,omitempty"`
}

const maxExplanations = 4096

// explanations holds the latest maxExplanations explanations.
type explanations struct {
	mu   sync.Mutex
	byID map[string]*Explanation
	ids  []string
	next int
}

func newExplanations() *explanations {
	return &explanations{byID: make(map[string]*Explanation, maxExplanations), ids: make([]string, maxExplanations)}
}

func (e *explanations) put(explanation *Explanation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.byID, e.ids[e.next])
	e.ids[e.next] = explanation.Request
	e.next = (e.next + 1) % maxExplanations
	e.byID[explanation.Request] = explanation
}

func (e *explanations) get(id string) (*Explanation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	explanation, ok := e.byID[id]
	return explanation, ok
}
