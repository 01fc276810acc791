package chiveplace_test

import (
	"testing"
	"time"

	"chivedrift/chiveplace"
)

// Guards against a node that cannot choose an engine any more, after engines have answered cached prompts at once.
func TestInstantAnswersLeaveEnginesUsable(t *testing.T) {
	p, now := newPool(2, engine), time.Now()
	for range 2000 {
		place := take(t, p, now, longPrompt(1, 2))
		place.Event(now, 0)
		place.Done(now, chiveplace.EndedWell)
	}
}
