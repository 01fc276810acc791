package chivedispatch

import (
	"chivedrift/chiveforward"
)

// Outcome is the one word that every request ends with.
type Outcome = chiveforward.Outcome

// The outcomes, as the forwarder knows them.
const (
	Completed = chiveforward.Completed
	NotRun    = chiveforward.NotRun
	Failed    = chiveforward.Failed
	Unknown   = chiveforward.Unknown
)
