package chiveengine

// Traits are the capacity and the timing of an engine. All times are in milliseconds.
type Traits struct {
	// Slots is the maximum number of running requests, Queue the maximum number of waiting ones.
	Slots int
	Queue int
	// Memory is the memory for running requests and cached parts, in tokens.
	Memory int64
	// Step is the base time of a step. StepPerRequest is added for each running request, and ContextPerThousand for
	// each thousand tokens of context of the running requests.
	Step               float64
	StepPerRequest     float64
	ContextPerThousand float64
	// ReadRate is the number of tokens prefilled per millisecond, ReadChunk the maximum number of tokens prefilled in
	// one step. PairsPerMillion is the additional attention time for each million pairs of a prefilled token and a
	// token before it.
	ReadRate        float64
	ReadChunk       int64
	PairsPerMillion float64
	// First is the time from the end of the step that completes the first event to the event itself.
	First float64
	// TokensPerEvent is the number of tokens in one event of the response.
	TokensPerEvent int64
	// Speed is the factor by which all times are multiplied: 1 is normal, 1.3 is slower.
	Speed float64
}

// stepMilliseconds returns the duration of a step.
func (t *Traits) stepMilliseconds(s step) float64 {
	ms := t.Step + t.StepPerRequest*float64(s.running) + t.ContextPerThousand*float64(s.contextTokens)/1000
	ms += float64(s.prefillTokens)/t.ReadRate + t.PairsPerMillion*s.attentionPairs/1e6
	return ms * t.Speed
}

// step holds the amounts of work that determine the duration of a step.
type step struct {
	running        int
	contextTokens  int64
	prefillTokens  int64
	attentionPairs float64
}
