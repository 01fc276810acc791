package chivedispatch

import (
	"chivedrift/chiveforward"
)

// Outcome states what is known about an ended request.
type Outcome = chiveforward.Outcome

// The outcomes of chiveforward.
const (
	Completed = chiveforward.Completed
	NotRun    = chiveforward.NotRun
	Failed    = chiveforward.Failed
	Unknown   = chiveforward.Unknown
)
