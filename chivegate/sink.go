package chivegate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"chivedrift/chivedispatch"
)

// modelSink writes the response to a model request: event by event if it is streamed, else at the end.
type modelSink struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	id          string
	path        string
	stream      bool
	started     bool
	eventBuffer []byte
}

const (
	eventPrefix      = "data: "
	eventSuffix      = "\n\n"
	doneEvent        = "data: [DONE]\n\n"
	outcomeEventName = "event: chivedrift.outcome\n"
)

func newModelSink(w http.ResponseWriter, id, path string, stream bool) *modelSink {
	return &modelSink{w: w, controller: http.NewResponseController(w), id: id, path: path, stream: stream}
}

// Event writes one event of a stream; events that were received together are flushed together.
func (s *modelSink) Event(data []byte, more bool) error {
	if !s.stream {
		return nil
	}
	s.start()
	s.eventBuffer = append(s.eventBuffer[:0], eventPrefix...)
	s.eventBuffer = append(s.eventBuffer, data...)
	s.eventBuffer = append(s.eventBuffer, eventSuffix...)
	if _, err := s.w.Write(s.eventBuffer); err != nil {
		return err //nolint:wrapcheck // only means that the caller has disconnected
	}
	if more {
		return nil
	}
	return s.controller.Flush() //nolint:wrapcheck // only means that the caller has disconnected
}

func (s *modelSink) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequestID, s.id)
	header.Set("Trailer", HeaderOutcome)
	s.w.WriteHeader(http.StatusOK)
}

// finish ends the response. A stream ends with the end marker, or with the error if it had started, and an outcome
// event.
func (s *modelSink) finish(result chivedispatch.Result) {
	if !s.stream || (!s.started && result.Outcome != chivedispatch.Completed) {
		s.finishNotStreamed(result)
		return
	}
	s.start()
	final := []byte(doneEvent)
	if result.Outcome != chivedispatch.Completed {
		final = append([]byte(eventPrefix), failureFromResult(result).encode(s.id)...)
		final = append(final, eventSuffix...)
	}
	final = append(final, outcomeEventName...)
	final = append(final, eventPrefix...)
	final = append(final, `{"outcome":`+strconv.Quote(string(result.Outcome))+`,"request_id":`+strconv.Quote(s.id)+`}`...)
	final = append(final, eventSuffix...)
	// An error means that the caller has disconnected.
	_, _ = s.w.Write(final)
	s.w.Header().Set(HeaderOutcome, string(result.Outcome))
}

func (s *modelSink) finishNotStreamed(result chivedispatch.Result) {
	header := s.w.Header()
	switch {
	case result.Outcome == chivedispatch.Completed:
	case result.Outcome == chivedispatch.Failed && json.Valid(result.Body):
		// The endpoint's own error body is passed to the caller unchanged, with the outcome in the header.
	case result.Outcome != chivedispatch.Completed:
		failureFromResult(result).write(s.w, s.id)
		return
	}
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, s.id)
	header.Set(HeaderOutcome, string(result.Outcome))
	s.w.WriteHeader(result.Status)
	_, _ = s.w.Write(result.Body)
}

// completion is a response that is not streamed to the caller, assembled from the engine's stream.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index   int             `json:"index"`
	Message *message        `json:"message,omitempty"`
	Text    json.RawMessage `json:"text,omitempty"`
	Finish  json.RawMessage `json:"finish_reason"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func encodeCompletion(id, path, model string, delivered *chivedispatch.Answer) []byte {
	content := quote(delivered.Text())
	response := completion{ID: id, Object: "chat.completion", Created: time.Now().Unix(), Model: model, Usage: delivered.Usage()}
	single := choice{Finish: quote(delivered.Finish())}
	if path == pathChat {
		single.Message = &message{Role: "assistant", Content: content}
	} else {
		response.Object = "text_completion"
		single.Text = content
	}
	response.Choices = []choice{single}
	data, err := json.Marshal(response)
	if err != nil {
		return nil
	}
	return data
}

// quote returns a JSON string with the given contents, which are already escaped.
func quote(contents []byte) json.RawMessage {
	text := make([]byte, 0, len(contents)+2)
	text = append(text, '"')
	text = append(text, contents...)
	return append(text, '"')
}
