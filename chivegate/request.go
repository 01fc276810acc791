package chivegate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"chivedrift/chiveconfig"

	"github.com/cespare/xxhash/v2"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/services/"

	bytesPerToken  = 4
	prefixBytes    = 1024
	maxTimeout     = 24 * time.Hour
	maxKeyBytes    = 256
	maxOutputLimit = 1 << 20
)

// modelRequest is what the gateway needs of a model request's body; all other fields pass through untouched.
type modelRequest struct {
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	whole     bool
	maxTokens int64
	prompt    int64
	prefix    uint64
}

// parseModelRequest reads and checks the body of a model request.
func parseModelRequest(path string, body []byte) (*modelRequest, error) {
	if !utf8.Valid(body) {
		return nil, invalid("invalid_utf8", "the body is not valid UTF-8")
	}
	r := &modelRequest{}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, invalid("invalid_json", jsonProblem(body, err))
	}
	if r.fields == nil {
		return nil, invalid("invalid_json", "the body must be a JSON object")
	}
	input := "messages"
	if path == pathCompletions {
		input = "prompt"
	}
	if err := r.read(input); err != nil {
		return nil, err
	}
	content := r.fields[input]
	r.prompt = int64(len(content)/bytesPerToken) + 1
	r.prefix = xxhash.Sum64(content[:min(len(content), prefixBytes)])
	r.whole = !r.stream && !r.canAssemble()
	return r, nil
}

func (r *modelRequest) read(input string) error {
	if err := r.field("model", &r.model); err != nil {
		return err
	}
	if r.model == "" {
		return invalid("missing_field", `field "model" is required`)
	}
	if len(r.fields[input]) == 0 || bytes.Equal(r.fields[input], []byte("null")) {
		return invalid("missing_field", fmt.Sprintf("field %q is required", input))
	}
	if err := r.field("stream", &r.stream); err != nil {
		return err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := r.field(name, &r.maxTokens); err != nil {
			return err
		}
	}
	if r.maxTokens < 0 || r.maxTokens > maxOutputLimit {
		return invalid("invalid_field", fmt.Sprintf(`field "max_tokens" must be between 0 and %d, found %d`, maxOutputLimit, r.maxTokens))
	}
	for _, name := range []string{"resume", "priority"} {
		if _, given := r.fields[name]; given {
			return invalid("invalid_field", fmt.Sprintf("field %q is set by the router and cannot be given", name))
		}
	}
	return nil
}

func (r *modelRequest) field(name string, value any) error {
	raw, given := r.fields[name]
	if !given {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return invalid("invalid_field", fmt.Sprintf("field %q: expected %s, found %s", name, shapeOf(value), clip(raw)))
	}
	return nil
}

func shapeOf(value any) string {
	switch value.(type) {
	case *string:
		return "a text"
	case *bool:
		return "true or false"
	}
	return "a whole number"
}

const clipBytes = 40

func clip(raw []byte) string {
	if len(raw) > clipBytes {
		return string(raw[:clipBytes]) + "..."
	}
	return string(raw)
}

// canAssemble reports whether an answer that is not streamed can be put together from streamed text; requests that ask
// for more than one plain text go through whole, without resume.
func (r *modelRequest) canAssemble() bool {
	for _, name := range []string{"tools", "functions", "logprobs", "top_logprobs", "response_format", "audio", "modalities"} {
		if _, given := r.fields[name]; given {
			return false
		}
	}
	n := int64(1)
	return r.field("n", &n) == nil && n == 1
}

func jsonProblem(body []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "the body must be a JSON object"
	}
	line := 1 + bytes.Count(body[:min(int(syntax.Offset), len(body))], []byte("\n"))
	return fmt.Sprintf("the body is not valid JSON at byte %d (line %d): %v", syntax.Offset, line, syntax)
}

// parseTimeout reads the caller's timeout; 0 means that none was given.
func parseTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, invalid("invalid_timeout", fmt.Sprintf("header %s: expected milliseconds from 1 to %d, found %q", HeaderTimeout, maxTimeout.Milliseconds(), text))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseKey reads the Idempotency-Key header.
func parseKey(header http.Header) (string, error) {
	key := header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return "", invalid("invalid_key", fmt.Sprintf("header %s: expected at most %d bytes, found %d", HeaderKey, maxKeyBytes, len(key)))
	}
	if !utf8.ValidString(key) {
		return "", invalid("invalid_key", fmt.Sprintf("header %s: not valid UTF-8", HeaderKey))
	}
	return key, nil
}

// classOf returns the class that the caller named, or the pool's default one.
func classOf(config *chiveconfig.Config, pool *chiveconfig.Pool, header http.Header) (*chiveconfig.Class, error) {
	name := header.Get(HeaderClass)
	if name == "" {
		name = pool.DefaultClass
	}
	class, ok := config.Class(name)
	if !ok {
		return nil, invalid("unknown_class", fmt.Sprintf("header %s: no class %q; the classes are %s", HeaderClass, name, classNames(config)))
	}
	return class, nil
}

func classNames(config *chiveconfig.Config) string {
	names := make([]string, 0, len(config.Classes))
	for i := range config.Classes {
		names = append(names, config.Classes[i].Name)
	}
	return strings.Join(names, ", ")
}

// servicePath splits /services/{pool}/rest into the pool and the path that the service sees.
func servicePath(path string) (pool, rest string) {
	pool, rest, _ = strings.Cut(strings.TrimPrefix(path, pathServices), "/")
	return pool, "/" + rest
}
