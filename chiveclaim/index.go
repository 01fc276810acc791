package chiveclaim

import (
	"time"
)

// Index is what the records of one slot say, in log order.
//
// The owner of a key is the first claim that its own holder did not free. Every reader of the same records finds the
// same owner, however many writers there were and however often a record was repeated.
type Index struct {
	keys  map[string]*keyState
	dates []dated
}

// keyState is the claims of one key: its owner, and what became of it.
type keyState struct {
	owner   string
	holder  string
	at      time.Time
	offset  int64
	outcome *Outcome
	lost    map[string]bool
	freed   map[string]bool
}

type dated struct {
	offset int64
	key    string
}

// Standing is how a request stands with a key.
type Standing uint8

const (
	// StandingUnseen means that the request's claim is not on the log as far as it was read.
	StandingUnseen Standing = 0
	// StandingOwner means that the request may run.
	StandingOwner Standing = 1
	// StandingLost means that another request owns the key.
	StandingLost Standing = 2
	// StandingExpired means that the key was claimed longer ago than the claim window.
	StandingExpired Standing = 3
)

// NewIndex returns the index of an empty stream.
func NewIndex() *Index {
	return &Index{keys: make(map[string]*keyState)}
}

// Len returns how many keys are known.
func (x *Index) Len() int { return len(x.keys) }

// Apply takes the next entry in log order.
func (x *Index) Apply(offset int64, e Entry) {
	k, ok := x.keys[e.Key]
	if !ok {
		k = &keyState{lost: make(map[string]bool), freed: make(map[string]bool)}
		x.keys[e.Key] = k
	}
	k.offset = offset
	x.dates = append(x.dates, dated{offset, e.Key})
	if e.Kind == KindClaim {
		k.claim(e)
		return
	}
	k.finish(e)
}

func (k *keyState) claim(e Entry) {
	switch {
	case k.freed[e.Request] || k.owner == e.Request || k.lost[e.Request]:
		// A repeat of an append whose answer was lost, or a claim that its holder gave up before it landed.
	case k.owner == "":
		k.owner, k.holder, k.at, k.outcome = e.Request, e.Holder, time.UnixMilli(e.AtMs), nil
	default:
		k.lost[e.Request] = true
	}
}

func (k *keyState) finish(e Entry) {
	if e.Outcome.Freed {
		k.freed[e.Request] = true
		if k.owner == e.Request && k.outcome == nil {
			k.owner, k.holder = "", ""
		}
		return
	}
	if k.owner == e.Request && k.outcome == nil {
		outcome := e.Outcome
		k.outcome = &outcome
	}
}

// Standing returns how a request stands with a key at a time; the window is how long a key is answered for.
func (x *Index) Standing(now time.Time, key, request string, window time.Duration) Standing {
	k, ok := x.keys[key]
	switch {
	case !ok:
		return StandingUnseen
	case k.owner == request:
		return StandingOwner
	case k.lost[request] && k.owner != "" && now.Sub(k.at) > window:
		return StandingExpired
	case k.lost[request]:
		return StandingLost
	}
	return StandingUnseen
}

// OwnerOutcome returns what became of a key's owner: nil while nothing is known; free tells that nobody owns the key.
func (x *Index) OwnerOutcome(key string) (outcome *Outcome, free bool) {
	k, ok := x.keys[key]
	if !ok || k.owner == "" {
		return nil, true
	}
	return k.outcome, false
}

// Expire forgets keys whose last record the log no longer holds.
func (x *Index) Expire(first int64) {
	for len(x.dates) > 0 && x.dates[0].offset < first {
		old := x.dates[0]
		x.dates = x.dates[1:]
		if k, ok := x.keys[old.key]; ok && k.offset < first {
			delete(x.keys, old.key)
		}
	}
}
