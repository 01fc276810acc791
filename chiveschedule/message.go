package chiveschedule

// SlotRequest asks the scheduler of a shard for a slot; times are Unix milliseconds, lengths are tokens.
type SlotRequest struct {
	Shard        string
	ID           string
	Attempt      int
	Class        string
	Team         string
	Prefix       uint64
	PromptTokens int64
	MaxTokens    int64
	DoneTokens   int64
	ArrivalMs    int64
	DeadlineMs   int64
	Exclude      []string
	Repeatable   bool
}

// SlotGrant gives a slot on an endpoint; the incarnation names the scheduler that keeps it in its ledger.
type SlotGrant struct {
	Shard       string
	ID          string
	Attempt     int
	Incarnation int64
	Endpoint    string
	Priority    int
	QueuedMs    int64
	Reason      string
	Candidates  []Candidate
	LoadPercent int
	Cost        int64
}

// SlotQueued tells a gateway that its request waits here, so that silence means that nobody has it.
type SlotQueued struct {
	Shard   string
	ID      string
	Attempt int
}

// Candidate is an endpoint that was weighed, with what spoke for or against it.
type Candidate struct {
	Endpoint string `json:"endpoint"`
	Load     int    `json:"load_percent"`
	Verdict  string `json:"verdict"`
}

// SlotRefusal is the final no of a scheduler, with when to come back.
type SlotRefusal struct {
	Shard        string
	ID           string
	Attempt      int
	Reason       string
	RetryAfterMs int64
	LoadPercent  int
}

// SlotProgress tells the scheduler of the first token, and now and then how a long stream goes on.
type SlotProgress struct {
	Shard    string
	ID       string
	Attempt  int
	Endpoint string
	Tokens   int64
	FirstMs  int64
	StreamMs int64
}

// SlotDone returns a slot with how the attempt ended.
type SlotDone struct {
	Shard    string
	ID       string
	Attempt  int
	Endpoint string
	Class    string
	Team     string
	Result   Result
	Tokens   int64
	FirstMs  int64
	StreamMs int64
}

// SlotWithdraw takes back a request for a slot.
type SlotWithdraw struct {
	Shard   string
	ID      string
	Attempt int
}

// SlotAdopt states everything a gateway has running on a shard; a scheduler corrects its ledger by it.
type SlotAdopt struct {
	Shard string
	Holds []Hold
}

// Hold is one slot in use.
type Hold struct {
	ID       string
	Attempt  int
	Endpoint string
	Class    string
	Team     string
	Cost     int64
}

// SlotPreempt asks a gateway to give a slot back and queue the rest of the request again.
type SlotPreempt struct {
	Shard   string
	ID      string
	Attempt int
}

// Result is how an attempt ended, as the scheduler needs to know it.
type Result uint8

const (
	// ResultOK means that the endpoint did its work.
	ResultOK Result = 1
	// ResultFailed means that the endpoint broke, stalled or could not be reached.
	ResultFailed Result = 2
	// ResultRefused means that the endpoint takes no new work.
	ResultRefused Result = 3
	// ResultCancelled means that the work was given up for a reason that says nothing of the endpoint.
	ResultCancelled Result = 4
	// ResultReturned means that the slot was never used.
	ResultReturned Result = 5
)
