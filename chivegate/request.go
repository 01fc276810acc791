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
	"chivedrift/chiverequest"
	"chivedrift/chivetime"

	"github.com/cespare/xxhash/v2"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/services/"

	bytesPerToken     = 4
	hashedPrefixBytes = 1024
	maxTimeout        = 24 * time.Hour
	maxKeyBytes       = 256
	maxOutputTokens   = 1 << 20
	// maxBodyFields is the number of fields of a model request, each of which takes many times its size once it is parsed.
	maxBodyFields = 1024
)

// modelBody holds what the gateway reads from the body of a model request; the other fields are forwarded unchanged.
type modelBody struct {
	fields           map[string]json.RawMessage
	model            string
	stream           bool
	disableStreaming bool
	maxTokens        int64
	promptTokens     int64
	prefixHash       uint64
}

// parseModelBody decodes and validates the body of a model request.
func parseModelBody(path string, body []byte) (*modelBody, error) {
	if !utf8.Valid(body) {
		return nil, newInvalidRequest("invalid_utf8", "the body is not valid UTF-8")
	}
	if n := countFields(body); n > maxBodyFields {
		return nil, newInvalidRequest("too_many_fields", fmt.Sprintf("the body has %d fields, more than %d", n, maxBodyFields))
	}
	b := &modelBody{}
	if err := json.Unmarshal(body, &b.fields); err != nil {
		return nil, newInvalidRequest("invalid_json", describeJSONError(body, err))
	}
	if b.fields == nil {
		return nil, newInvalidRequest("invalid_json", "the body must be a JSON object")
	}
	input := "messages"
	if path == pathCompletions {
		input = "prompt"
	}
	if err := b.readFields(input); err != nil {
		return nil, err
	}
	content := b.fields[input]
	b.promptTokens = int64(len(content)/bytesPerToken) + 1
	b.prefixHash = xxhash.Sum64(content[:min(len(content), hashedPrefixBytes)])
	b.disableStreaming = !b.stream && !b.canAssemble()
	return b, nil
}

// countFields returns the number of fields of a JSON object, without those of values in it. Of a text that is no JSON object it may return
// any number up to the number of its colons.
func countFields(body []byte) (count int) {
	depth, inText, isEscaped := 0, false, false
	for _, b := range body {
		switch {
		case isEscaped:
			isEscaped = false
		case inText:
			isEscaped = b == '\\'
			inText = b != '"'
		case b == '"':
			inText = true
		case b == '{', b == '[':
			depth++
		case b == '}', b == ']':
			depth--
		case b == ':' && depth == 1:
			count++
		}
	}
	return count
}

func (b *modelBody) readFields(input string) error {
	if err := b.readField("model", &b.model); err != nil {
		return err
	}
	if b.model == "" {
		return newInvalidRequest("missing_field", `field "model" is required`)
	}
	if len(b.fields[input]) == 0 || bytes.Equal(b.fields[input], []byte("null")) {
		return newInvalidRequest("missing_field", fmt.Sprintf("field %q is required", input))
	}
	if err := b.readField("stream", &b.stream); err != nil {
		return err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := b.readField(name, &b.maxTokens); err != nil {
			return err
		}
	}
	if b.maxTokens < 0 || b.maxTokens > maxOutputTokens {
		return newInvalidRequest("invalid_field", fmt.Sprintf(`field "max_tokens" must be between 0 and %d, found %d`, maxOutputTokens, b.maxTokens))
	}
	for _, name := range []string{"resume", "priority"} {
		if _, given := b.fields[name]; given {
			return newInvalidRequest("invalid_field", fmt.Sprintf("field %q is set by the router and cannot be given", name))
		}
	}
	return nil
}

func (b *modelBody) readField(name string, value any) error {
	raw, given := b.fields[name]
	if !given {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return newInvalidRequest("invalid_field", fmt.Sprintf("field %q: expected %s, found %s", name, typeDescription(value), chiverequest.Shorten(raw)))
	}
	return nil
}

func typeDescription(value any) string {
	switch value.(type) {
	case *string:
		return "a text"
	case *bool:
		return "true or false"
	}
	return "a whole number"
}

// canAssemble reports whether a response that is not streamed to the caller can be assembled from a stream of the
// engine, which can be resumed. Requests for anything but a single plain text are sent to the engine as not streamed
// and cannot be resumed.
func (b *modelBody) canAssemble() bool {
	for _, name := range []string{"tools", "functions", "logprobs", "top_logprobs", "response_format", "audio", "modalities"} {
		if _, given := b.fields[name]; given {
			return false
		}
	}
	n := int64(1)
	return b.readField("n", &n) == nil && n == 1
}

func describeJSONError(body []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "the body must be a JSON object"
	}
	line := 1 + bytes.Count(body[:min(int(syntax.Offset), len(body))], []byte("\n"))
	return fmt.Sprintf("the body is not valid JSON at byte %d (line %d): %v", syntax.Offset, line, syntax)
}

// parseTimeout parses the caller's timeout; it returns 0 if the header is absent.
func parseTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, newInvalidRequest("invalid_timeout", fmt.Sprintf("header %s: expected milliseconds from 1 to %d, found %q", HeaderTimeout, maxTimeout.Milliseconds(), chiverequest.Shorten(text)))
	}
	return chivetime.StatedWait(float64(ms)), nil
}

// parseIdempotencyKey validates the Idempotency-Key header.
func parseIdempotencyKey(header http.Header) (string, error) {
	key := header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return "", newInvalidRequest("invalid_key", fmt.Sprintf("header %s: expected at most %d bytes, found %d", HeaderKey, maxKeyBytes, len(key)))
	}
	if !utf8.ValidString(key) {
		return "", newInvalidRequest("invalid_key", fmt.Sprintf("header %s: not valid UTF-8", HeaderKey))
	}
	return key, nil
}

// requestClass returns the class named in the header, or the pool's default class.
func requestClass(config *chiveconfig.Config, pool *chiveconfig.Pool, header http.Header) (*chiveconfig.Class, error) {
	name := header.Get(HeaderClass)
	if name == "" {
		name = pool.DefaultClass
	}
	class, ok := config.Class(name)
	if !ok {
		return nil, newInvalidRequest("unknown_class", fmt.Sprintf("header %s: no class %q; the classes are %s", HeaderClass, chiverequest.Shorten(name), classNames(config)))
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

// servicePath splits /services/{pool}/{rest} into the pool and the path that is sent to the service.
func servicePath(path string) (pool, rest string) {
	pool, rest, _ = strings.Cut(strings.TrimPrefix(path, pathServices), "/")
	return pool, "/" + rest
}
