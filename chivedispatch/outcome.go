package chivedispatch

// Outcome is the one word that every request ends with.
type Outcome string

const (
	// Completed means that the caller got the whole answer.
	Completed Outcome = "completed"
	// NotRun means that no byte of the request reached an endpoint, or that the endpoint's refusal proves that nothing ran.
	NotRun Outcome = "not-run"
	// Failed means that an endpoint answered with an error.
	Failed Outcome = "failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)
