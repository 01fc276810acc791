package chiveplace

import (
	"fmt"
	"math"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// An engine that has too much to read makes everybody late: the urgent, whose first events wait behind it, and those that run
// out of time before their turn, for whom it then reads in vain. It does not recover by itself, since what it reads in
// vain keeps it behind. So a request is refused at once, while its caller can come back, when the wait would be longer than
// its rank may cause. The lower the rank, the sooner, which leaves room for the ranks above.

const (
	// waitMost is how long the most urgent may have to wait, in shortest targets: past it they are late anyway.
	waitMost = 1.3
	// waitLast is what the least urgent may have of that; the ranks between them have parts in equal ratios. Engines read the urgent first, so
	// what this leaves free is room for bursts of the same rank: at 0.2 a seventh of the least urgent was refused in bursts that engines
	// could take, above 0.5 queues grow until everybody in them is late (virtual time, worst two seconds of dossiers 0.72, 0.69, 0.61 at 0.2, 0.4, 0.7).
	waitLast = 0.35
	// slotLast is the part of an engine's slots that the least urgent leave free for the ranks above.
	slotLast = 0.2
	// comeBackLeast keeps refused callers from coming back before anything can have changed.
	comeBackLeast = 200 * time.Millisecond
	// comeBackSpread is how much later than the earliest sensible moment callers may be told to come back, as a part of the wait, so that
	// those who were refused in one moment do not return in one.
	comeBackSpread = 0.5
)

// admit refuses a request whose expected wait, in milliseconds, is longer than its rank may cause; expected is the predicted time to
// its first event, for the log.
func (p *Pool) admit(prompt *chiverequest.Prompt, wait float64, expected time.Duration) *RefusedError {
	if prompt.Urgent == 0 {
		return nil
	}
	most := float64(prompt.Urgent.Milliseconds()) * waitMost * math.Pow(waitLast, prompt.Rank.Depth())
	if wait <= most {
		return nil
	}
	after := max(chivetime.Milliseconds(wait-most), comeBackLeast)
	after += time.Duration(comeBackSpread * p.random.Float64() * float64(after))
	reason := fmt.Sprintf("the engines have too much to read: %.0f ms of wait, %.0f allowed for rank %d", wait, most, prompt.Rank.Place)
	return &RefusedError{Reason: reason, RetryAfter: after, Expected: expected}
}

// waitShare is the part of a request's target for which it may wait for a place before it is refused: a refusal must come while the
// caller can still get its answer elsewhere in time.
const waitShare = 8

// Patience returns how long a request with a target may wait for a place.
func Patience(target time.Duration) time.Duration { return target / waitShare }

// slotsFor is how many of an engine's slots a rank may use.
func slotsFor(slots int, prompt *chiverequest.Prompt) int {
	if prompt == nil {
		return slots
	}
	return int(float64(slots) * (1 - slotLast*prompt.Rank.Depth()))
}
