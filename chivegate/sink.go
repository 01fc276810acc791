package chivegate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"chivedrift/chivedispatch"
)

// modelSink writes an answer to the caller: event by event for a stream, at the end for a whole answer.
type modelSink struct {
	w       http.ResponseWriter
	out     *http.ResponseController
	id      string
	path    string
	stream  bool
	started bool
	frame   []byte
}

const (
	eventOpening = "data: "
	eventClosing = "\n\n"
	eventDone    = "data: [DONE]\n\n"
	outcomeEvent = "event: chivedrift.outcome\n"
)

func newModelSink(w http.ResponseWriter, id, path string, stream bool) *modelSink {
	return &modelSink{w: w, out: http.NewResponseController(w), id: id, path: path, stream: stream}
}

// Event passes on one event of a stream; events that came together are flushed together.
func (s *modelSink) Event(data []byte, more bool) error {
	if !s.stream {
		return nil
	}
	s.start()
	s.frame = append(s.frame[:0], eventOpening...)
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, eventClosing...)
	if _, err := s.w.Write(s.frame); err != nil {
		return err //nolint:wrapcheck // says that the caller is gone
	}
	if more {
		return nil
	}
	return s.out.Flush() //nolint:wrapcheck // says that the caller is gone
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

// finish ends the answer: with the end mark, or with the error as a final event when a stream had begun.
func (s *modelSink) finish(result chivedispatch.Result) {
	if !s.stream || (!s.started && result.Outcome != chivedispatch.Completed) {
		s.finishWhole(result)
		return
	}
	s.start()
	closing := []byte(eventDone)
	if result.Outcome != chivedispatch.Completed {
		closing = append([]byte(eventOpening), fromResult(result).encode(s.id)...)
		closing = append(closing, eventClosing...)
	}
	closing = append(closing, outcomeEvent...)
	closing = append(closing, eventOpening...)
	closing = append(closing, `{"outcome":`+strconv.Quote(string(result.Outcome))+`,"request_id":`+strconv.Quote(s.id)+`}`...)
	closing = append(closing, eventClosing...)
	// When this fails the caller is gone, and nobody is left to tell.
	_, _ = s.w.Write(closing)
	s.w.Header().Set(HeaderOutcome, string(result.Outcome))
}

func (s *modelSink) finishWhole(result chivedispatch.Result) {
	header := s.w.Header()
	switch {
	case result.Outcome == chivedispatch.Completed:
	case result.Outcome == chivedispatch.Failed && json.Valid(result.Body):
		// The endpoint's own error goes to the caller as it is, beside the outcome in the header.
	case result.Outcome != chivedispatch.Completed:
		fromResult(result).write(s.w, s.id)
		return
	}
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, s.id)
	header.Set(HeaderOutcome, string(result.Outcome))
	s.w.WriteHeader(result.Status)
	_, _ = s.w.Write(result.Body)
}

// wholeAnswer is an answer that is not streamed, put together from the streamed tokens.
type wholeAnswer struct {
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

func assemble(id, path, model string, answer *chivedispatch.Answer) []byte {
	text := quoted(answer.Text())
	whole := wholeAnswer{ID: id, Object: "chat.completion", Created: time.Now().Unix(), Model: model, Usage: answer.Usage()}
	only := choice{Finish: quoted(answer.Finish())}
	if path == pathChat {
		only.Message = &message{Role: "assistant", Content: text}
	} else {
		whole.Object = "text_completion"
		only.Text = text
	}
	whole.Choices = []choice{only}
	data, err := json.Marshal(whole)
	if err != nil {
		return nil
	}
	return data
}

// quoted puts the inside of a JSON string, as an engine sent it, back into quotes.
func quoted(inside []byte) json.RawMessage {
	text := make([]byte, 0, len(inside)+2)
	text = append(text, '"')
	text = append(text, inside...)
	return append(text, '"')
}
