package chiveengine

// Traits are what an engine can do. Times are in milliseconds.
type Traits struct {
	// Slots is the most requests that run at once; Queue the most that wait beside them.
	Slots int
	Queue int
	// Memory holds running requests and cached parts, in tokens.
	Memory int64
	// Step is the time of a step in which nothing is read, StepPerRequest what each running request adds, and ContextPerThousand what
	// each thousand tokens of their memory add.
	Step               float64
	StepPerRequest     float64
	ContextPerThousand float64
	// ReadRate is the number of prompt tokens read in a millisecond, ReadChunk the most that one step reads. Each million pairs of a
	// token read and a token before it takes PairsPerMillion more.
	ReadRate        float64
	ReadChunk       int64
	PairsPerMillion float64
	// First is the time from the first token's step to its event.
	First float64
	// TokensPerEvent is how many tokens one event of the answer holds.
	TokensPerEvent int64
	// Speed multiplies every time: 1 is usual, 1.3 is slower.
	Speed float64
}

// stepTime returns how long a step takes, in milliseconds.
func (t *Traits) stepTime(s step) float64 {
	ms := t.Step + t.StepPerRequest*float64(s.running) + t.ContextPerThousand*float64(s.context)/1000
	ms += float64(s.reads)/t.ReadRate + t.PairsPerMillion*s.pairs/1e6
	return ms * t.Speed
}

// step is what decides how long one step takes.
type step struct {
	running int
	context int64
	reads   int64
	pairs   float64
}
