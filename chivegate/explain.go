package chivegate

import (
	"sync"
	"time"

	"chivedrift/chivedispatch"
)

// Explanation tells why one request ran where and when it did.
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

const explained = 4096

// explanations keeps the latest explanations, the oldest falling out.
type explanations struct {
	mu   sync.Mutex
	byID map[string]*Explanation
	ids  []string
	next int
}

func newExplanations() *explanations {
	return &explanations{byID: make(map[string]*Explanation, explained), ids: make([]string, explained)}
}

func (e *explanations) put(x *Explanation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.byID, e.ids[e.next])
	e.ids[e.next] = x.Request
	e.next = (e.next + 1) % explained
	e.byID[x.Request] = x
}

func (e *explanations) get(id string) (*Explanation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.byID[id]
	return x, ok
}
