package chivegate_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chivefollow"
	"chivedrift/chivegate"

	"github.com/uber-go/tally/v4"
)

const key = "a-team's-key"

// fakeModels counts the model requests that the gateway runs.
type fakeModels struct{ runs int }

func (f *fakeModels) Run(context.Context, *chivedispatch.Work, chivedispatch.Sink) (chivedispatch.Result, *chivedispatch.Answer) {
	f.runs++
	return chivedispatch.Result{Outcome: chivedispatch.Completed, Status: http.StatusOK}, &chivedispatch.Answer{}
}

type fakeServices struct{}

func (fakeServices) Run(context.Context, *chivedispatch.ServiceWork) (chivedispatch.Result, *chivedispatch.ServiceAnswer) {
	return chivedispatch.Result{Outcome: chivedispatch.Completed}, &chivedispatch.ServiceAnswer{Status: http.StatusOK}
}

type fakeClaims struct{}

func (fakeClaims) Begin(context.Context, string, string, time.Duration) (*chiveclaim.Claim, *chiveclaim.Outcome, error) {
	return &chiveclaim.Claim{}, nil, nil
}
func (fakeClaims) Finish(*chiveclaim.Claim, chiveclaim.Outcome) {}
func (fakeClaims) Free(*chiveclaim.Claim)                       {}

type unlimitedQuota struct{}

func (unlimitedQuota) Take(context.Context, string, int64, int64) (bool, time.Duration) {
	return true, 0
}
func (unlimitedQuota) Return(string, int64) {}

func newGateway(tb testing.TB) (*chivegate.Gate, *fakeModels, *strings.Builder) {
	tb.Helper()
	models, logs := &fakeModels{}, &strings.Builder{}
	options := testOptions(tb)
	options.Models, options.Logger = models, slog.New(slog.NewTextHandler(logs, nil))
	return newGatewayWith(tb, options), models, logs
}

// newGatewayWith returns a gateway with the team keys of the configuration in force.
func newGatewayWith(tb testing.TB, options chivegate.Options) *chivegate.Gate {
	tb.Helper()
	gateway := chivegate.New(options)
	gateway.SetConfig(options.InForce().Config())
	return gateway
}

// testOptions returns options with a configuration in force, and with fakes of the other services.
func testOptions(tb testing.TB) chivegate.Options {
	tb.Helper()
	return testOptionsWith(tb, 2000)
}

// testOptionsWith returns the same with another limit of bodies.
func testOptionsWith(tb testing.TB, bodyBytes int) chivegate.Options {
	tb.Helper()
	digest := sha256.Sum256([]byte(key))
	base := fmt.Sprintf(`tiers: [{name: urgent}]
classes: [{name: chat, tier: urgent, first_token_ms: 100, deadline_ms: 1000, stall_ms: 100, expected_tokens: 5, idempotent: true}]
teams: [{name: t, key_sha256: [%s], weight: 1}]
limits: {body_bytes: %d, header_bytes: 1000}
pools:
  - {name: m, kind: model, default_class: chat, endpoints: [{name: e, address: "127.0.0.1:1", region: r, failure_domain: a, capacity_tokens: 100}]}
  - {name: s, kind: service, default_class: chat, endpoints: [{name: s, address: "127.0.0.1:2", region: r, failure_domain: a}]}
`, hex.EncodeToString(digest[:]), bodyBytes)
	config, err := chiveconfig.Bundle{Base: base, Overlays: []chiveconfig.Overlay{{Site: "x", Text: "{}"}}}.Effective("x")
	if err != nil {
		tb.Fatal(err)
	}
	activeConfig := chivefollow.NewInForce(1, "hash", config)
	return chivegate.Options{
		Node: "n", Models: &fakeModels{}, Services: fakeServices{}, Claims: fakeClaims{}, Quota: unlimitedQuota{},
		InForce: func() *chivefollow.InForce { return activeConfig }, Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
	}
}

// errorResponse is the body of a refusal.
type errorResponse struct {
	Error struct {
		Code      string `json:"code"`
		Message   string `json:"message"`
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

func send(gateway *chivegate.Gate, path, body string, header map[string]string) *httptest.ResponseRecorder {
	return sendReader(gateway, path, strings.NewReader(body), header)
}

func sendReader(gateway *chivegate.Gate, path string, body io.Reader, header map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://node"+path, body)
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	gateway.Handler().ServeHTTP(recorder, request)
	return recorder
}

// failingBody fails before the body is complete.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// Invalid requests are refused as not-run, their key is not logged, and the next valid request is served.
func TestRefusesInvalidRequests(t *testing.T) {
	const chat = "/v1/chat/completions"
	const good = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	cases := []struct {
		name, path, body string
		header           map[string]string
		status           int
		code             string
		message          string
	}{
		{"malformed JSON", chat, "{\n\"model\": }", nil, 400, "invalid_json", "line 2"},
		{"not an object", chat, `[1]`, nil, 400, "invalid_json", "JSON object"},
		{"null", chat, `null`, nil, 400, "invalid_json", "JSON object"},
		{"truncated JSON", chat, `{"model":"m","messages":[{"ro`, nil, 400, "invalid_json", "not valid JSON"},
		{"invalid UTF-8", chat, "{\"model\":\"\xff\"}", nil, 400, "invalid_utf8", "UTF-8"},
		{"no model", chat, `{"messages":[]}`, nil, 400, "missing_field", `"model"`},
		{"no messages", chat, `{"model":"m"}`, nil, 400, "missing_field", `"messages"`},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, 400, "missing_field", `"prompt"`},
		{"wrong type", chat, `{"model":"m","messages":[1],"stream":"yes"}`, nil, 400, "invalid_field", "true or false"},
		{"max_tokens too large", chat, `{"model":"m","messages":[1],"max_tokens":99999999}`, nil, 400, "invalid_field", "max_tokens"},
		{"field reserved for the router", chat, `{"model":"m","messages":[1],"priority":0}`, nil, 400, "invalid_field", "set by the router"},
		{"unknown model", chat, `{"model":"x","messages":[1]}`, nil, 404, "model_not_found", `"x"`},
		{"unknown model with a long name", chat, `{"model":"` + strings.Repeat("x", 1000) + `","messages":[1]}`, nil, 404, "model_not_found", `"` + strings.Repeat("x", 40) + `..."`},
		{"unknown path, long", "/" + strings.Repeat("x", 1000), good, nil, 404, "unknown_path", strings.Repeat("x", 39) + "... here"},
		{"service as model", chat, `{"model":"s","messages":[1]}`, nil, 404, "model_not_found", `"s"`},
		{"unknown service", "/services/none/x", "", nil, 404, "service_not_found", `"none"`},
		{"unknown path", "/v2/chat", good, nil, 404, "unknown_path", "/v2/chat"},
		{"unknown class", chat, good, map[string]string{"Chivedrift-Class": "vip"}, 400, "unknown_class", "chat"},
		{"negative timeout", chat, good, map[string]string{"Chivedrift-Timeout-Ms": "-5"}, 400, "invalid_timeout", "-5"},
		{"idempotency key too long", chat, good, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "invalid_key", "300"},
		{"oversized header", chat, good, map[string]string{"X-Long": strings.Repeat("h", 1200)}, 431, "header_too_large", "1000"},
		{"oversized body", chat, strings.Repeat("x", 3000), nil, 413, "body_too_large", "2000"},
		{"wrong bearer key", chat, good, map[string]string{"Authorization": "Bearer no"}, 401, "invalid_api_key", "no team"},
		{"no bearer key", chat, good, map[string]string{"Authorization": "Basic x"}, 401, "invalid_api_key", "Bearer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gateway, models, logs := newGateway(t)
			checkRefusal(t, send(gateway, c.path, c.body, c.header), c.status, c.code, c.message)
			if models.runs != 0 {
				t.Error("the invalid request was run")
			}
			if strings.Contains(logs.String(), key) {
				t.Error("the key was logged")
			}
			if next := send(gateway, chat, good, nil); next.Code != http.StatusOK || models.runs != 1 {
				t.Errorf("the next valid request got status %d", next.Code)
			}
		})
	}
	gateway, _, _ := newGateway(t)
	checkRefusal(t, sendReader(gateway, chat, failingBody{}, nil), 400, "incomplete_body", "ended early")
}

// Guards against requests that take many times their size once they are parsed, and against texts and values whose content counts as fields.
func TestModelRequestOfManyFieldsIsRefused(t *testing.T) {
	const path, most = "/v1/chat/completions", 1024
	gateway := newGatewayWith(t, testOptionsWith(t, 1<<20))
	colons := strings.Repeat(`\":`, most)
	for _, c := range []struct{ fields, status int }{{most, http.StatusOK}, {most + 1, http.StatusBadRequest}} {
		var body strings.Builder
		fmt.Fprintf(&body, `{"model":"m","messages":[{"role":"user","content":"%s"},{"%s":{"a":1}}]`, colons, colons)
		for i := range c.fields - 2 {
			fmt.Fprintf(&body, `,"f%d":0`, i)
		}
		body.WriteString("}")
		response := send(gateway, path, body.String(), nil)
		if response.Code != c.status {
			t.Errorf("%d fields: %d %s", c.fields, response.Code, response.Body)
		}
		if c.status != http.StatusOK {
			checkRefusal(t, response, c.status, "too_many_fields", "1025")
		}
	}
}

func checkRefusal(t *testing.T, r *httptest.ResponseRecorder, status int, code, message string) {
	t.Helper()
	var response errorResponse
	if err := json.Unmarshal(r.Body.Bytes(), &response); err != nil {
		t.Fatalf("response %q: %v", r.Body, err)
	}
	e := response.Error
	if r.Code != status || e.Code != code || !strings.Contains(e.Message, message) {
		t.Errorf("got %d %s %q, want %d %s with %q", r.Code, e.Code, e.Message, status, code, message)
	}
	if e.Outcome != "not-run" || r.Header().Get("Chivedrift-Outcome") != "not-run" || e.RequestID == "" || e.RequestID != r.Header().Get("Chivedrift-Request-Id") {
		t.Errorf("got outcome %q and header %v, want not-run and a request ID in both", e.Outcome, r.Header())
	}
}

// FuzzModelRequest checks that any body is either run or refused as not-run with a JSON error.
func FuzzModelRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"n":2}`))
	f.Add([]byte(`{"model":"m","messages":null}`))
	f.Add([]byte(`{"model":"m","model":1,"messages":{},"max_tokens":1e3}`))
	f.Add([]byte("\x00\xff"))
	gateway, models, _ := newGateway(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		before := models.runs
		r := send(gateway, "/v1/chat/completions", string(body), nil)
		if r.Code == http.StatusOK {
			if models.runs != before+1 {
				t.Error("status 200, but the request was not run")
			}
			return
		}
		var response errorResponse
		if err := json.Unmarshal(r.Body.Bytes(), &response); err != nil || response.Error.Outcome != "not-run" || models.runs != before {
			t.Errorf("got %d %s after %d runs, want not-run without a run", r.Code, r.Body, models.runs-before)
		}
	})
}
