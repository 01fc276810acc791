package chivedispatch

import (
	"encoding/json"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiverequest"
	"chivedrift/chiveschedule"
)

// Work is one model request as the gateway accepted it.
type Work struct {
	ID           string
	Pool         string
	Path         string
	Class        *chiveconfig.Class
	Team         string
	Content      chiverequest.Fingerprint
	Fields       map[string]json.RawMessage
	Arrival      time.Time
	Deadline     time.Time
	Prefix       uint64
	PromptTokens int64
	MaxTokens    int64
	Repeatable   bool
	Whole        bool
}

// Result is how a request ended.
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

// Attempt is one try on one endpoint, as explain shows it.
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

func (w *Work) slotRequest(attempt int, done int64, exclude []string) chiveschedule.SlotRequest {
	return chiveschedule.SlotRequest{
		ID: w.ID, Attempt: attempt, Class: w.Class.Name, Team: w.Team, Prefix: w.Prefix, PromptTokens: w.PromptTokens,
		MaxTokens: w.MaxTokens, DoneTokens: done, ArrivalMs: w.Arrival.UnixMilli(), DeadlineMs: w.Deadline.UnixMilli(),
		Exclude: exclude, Repeatable: w.Repeatable,
	}
}

// body lays out the request for an engine, with its priority and, for a resumed answer, where to go on.
func (w *Work) body(answer *Answer, priority int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(w.Fields)+3)
	for name, value := range w.Fields {
		fields[name] = value
	}
	if !w.Whole {
		fields["stream"] = json.RawMessage("true")
	}
	encoded, err := json.Marshal(priority)
	if err != nil {
		return nil, err //nolint:wrapcheck // a number always encodes
	}
	fields["priority"] = encoded
	if answer.tokens > 0 {
		fields["resume"] = answer.resumeField()
	}
	return json.Marshal(fields) //nolint:wrapcheck // raw fields were checked on arrival
}
