package chivedispatch

import (
	"encoding/json"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiverequest"
	"chivedrift/chiveschedule"
	"chivedrift/chivetime"
)

// Work is a model request that the gateway has accepted.
type Work struct {
	ID       string
	Pool     string
	Path     string
	Class    *chiveconfig.Class
	Team     string
	Content  chiverequest.Fingerprint
	Fields   map[string]json.RawMessage
	Arrival  time.Time
	Deadline time.Time
	// Prefix is a hash of the start of the prompt.
	Prefix       uint64
	PromptTokens int64
	MaxTokens    int64
	Repeatable   bool
	// Whole requests are sent to the engine as not streamed.
	Whole bool
}

// Result describes how a request ended.
type Result struct {
	Outcome    Outcome
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration
	Body       []byte
	Header     map[string]string
	Queued     time.Duration
	Attempts   []Attempt
}

// Attempt describes one attempt of a request on one endpoint, as the explain command prints it.
type Attempt struct {
	Number     int                       `json:"number"`
	Endpoint   string                    `json:"endpoint"`
	Reason     string                    `json:"chosen_because"`
	Candidates []chiveschedule.Candidate `json:"candidates"`
	QueuedMs   int64                     `json:"queued_ms"`
	Resumed    int64                     `json:"resumed_from_token"`
	Tokens     int64                     `json:"tokens"`
	Ended      string                    `json:"ended"`
	Touched    bool                      `json:"may_have_reached_endpoint"`
	Error      string                    `json:"error,omitempty"`
}

func (r *Work) slotRequest(attempt int, doneTokens int64, exclude []string) chiveschedule.SlotRequest {
	return chiveschedule.SlotRequest{
		ID: r.ID, Attempt: attempt, Class: r.Class.Name, Team: r.Team, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxTokens, DoneTokens: doneTokens, ArrivalMs: r.Arrival.UnixMilli(), DeadlineMs: chivetime.CeilUnixMilli(r.Deadline),
		Exclude: exclude, Repeatable: r.Repeatable,
	}
}

// requestBody encodes the request for an engine, with its priority and, for a resumed response, the position to resume
// from.
func (r *Work) requestBody(delivered *Answer, priority int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.Fields)+3)
	for name, value := range r.Fields {
		fields[name] = value
	}
	if !r.Whole {
		fields["stream"] = json.RawMessage("true")
	}
	encoded, err := json.Marshal(priority)
	if err != nil {
		return nil, err //nolint:wrapcheck // a number always encodes
	}
	fields["priority"] = encoded
	if delivered.tokens > 0 {
		fields["resume"] = delivered.resumeField()
	}
	return json.Marshal(fields) //nolint:wrapcheck // the raw fields were decoded from valid JSON
}
