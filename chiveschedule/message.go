package chiveschedule

// SlotRequest asks the scheduler of a shard for a slot; times are in Unix milliseconds, lengths in tokens.
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

// SlotGrant grants a slot on an endpoint; Incarnation identifies the scheduler process that granted it.
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

// SlotQueued acknowledges that a request is queued; a gateway that gets neither this nor a decision sends the request
// again.
type SlotQueued struct {
	Shard   string
	ID      string
	Attempt int
}

// Candidate is an endpoint that was considered for a request, with its load and the verdict on it.
type Candidate struct {
	Endpoint string `json:"endpoint"`
	Load     int    `json:"load_percent"`
	Verdict  string `json:"verdict"`
}

// SlotRefusal rejects a request, with the reason and the time after which to retry.
type SlotRefusal struct {
	Shard        string
	ID           string
	Attempt      int
	Reason       string
	RetryAfterMs int64
	LoadPercent  int
}

// SlotProgress reports the first token of an attempt, and the progress of a long stream from time to time.
type SlotProgress struct {
	Shard    string
	ID       string
	Attempt  int
	Endpoint string
	Tokens   int64
	FirstMs  int64
	StreamMs int64
}

// SlotDone releases a slot and reports how the attempt ended.
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

// SlotWithdraw cancels a request for a slot.
type SlotWithdraw struct {
	Shard   string
	ID      string
	Attempt int
}

// SlotAdopt lists every slot that a gateway holds on a shard; the scheduler reconciles its accounting with the list.
type SlotAdopt struct {
	Shard string
	Holds []Hold
}

// Hold describes one slot in use.
type Hold struct {
	ID       string
	Attempt  int
	Endpoint string
	Class    string
	Team     string
	Cost     int64
}

// SlotPreempt asks a gateway to release a slot and to queue the remainder of the request again.
type SlotPreempt struct {
	Shard   string
	ID      string
	Attempt int
}

// Result classifies the end of an attempt by what it says about the endpoint.
type Result uint8

const (
	// ResultOK means that the endpoint completed the attempt.
	ResultOK Result = 1
	// ResultFailed means that the endpoint failed, stalled or could not be reached.
	ResultFailed Result = 2
	// ResultRefused means that the endpoint accepts no new requests.
	ResultRefused Result = 3
	// ResultCancelled means that the attempt was cancelled for a reason unrelated to the endpoint.
	ResultCancelled Result = 4
	// ResultReturned means that the slot was never used.
	ResultReturned Result = 5
)
