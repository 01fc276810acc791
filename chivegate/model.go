package chivegate

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chiveentry"
)

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

func (g *Gate) serveModels(w http.ResponseWriter, r *http.Request) {
	a, done, ok := g.begin(w, r)
	if !ok {
		return
	}
	defer done()
	list := modelList{Object: "list", Data: []modelItem{}}
	for i := range a.config.Pools {
		if pool := &a.config.Pools[i]; pool.Kind == chiveconfig.KindModel {
			list.Data = append(list.Data, modelItem{ID: pool.Name, Object: "model", Owner: "chivedrift"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, a.id)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list) //nolint:errchkjson // strings always encode
}

// serveModel handles a chat or text completion request.
func (g *Gate) serveModel(w http.ResponseWriter, r *http.Request) {
	a, done, ok := g.begin(w, r)
	if !ok {
		return
	}
	defer done()
	parsed, request, err := g.newModelRequest(a, r)
	if err != nil {
		g.refuse(w, r, a, err)
		return
	}
	estimate := request.PromptTokens + min(request.Class.ExpectedTokens, outputLimit(request.MaxTokens))
	if err := g.takeQuota(r.Context(), a, estimate); err != nil {
		g.refuse(w, r, a, err)
		return
	}
	claim, answered := g.claim(w, r, a, request.Pool, request.Class)
	if answered {
		return
	}
	sink := newModelSink(w, a.id, r.URL.Path, parsed.stream)
	result, response := g.options.Models.Run(r.Context(), request, sink)
	g.options.Quota.Return(a.team, estimate-request.PromptTokens-response.Tokens())
	explanation := g.newExplanation(a, request.Pool, request.Class, result)
	explanation.Tokens = response.Tokens()
	explanation.BetweenMs = float64(response.Pace().Microseconds()) / 1000
	explanation.FirstTokenMs = explanation.TookMs
	if !response.First().IsZero() {
		explanation.FirstTokenMs = response.First().Sub(a.arrival).Milliseconds()
	}
	contentType := ""
	if result.Outcome == chivedispatch.Completed && !parsed.stream {
		contentType = "application/json"
		if result.Body == nil {
			result.Body = encodeCompletion(a.id, r.URL.Path, parsed.model, response)
		}
	}
	g.recordEnd(explanation, request.Class, claim, result, contentType)
	sink.finish(result)
}

// parsedCopies is how often the body of a request to engines is held besides as it was read: parsed, and encoded for an endpoint.
const parsedCopies = 2

func outputLimit(maxTokens int64) int64 {
	if maxTokens == 0 {
		return maxOutputTokens
	}
	return maxTokens
}

func (g *Gate) newModelRequest(a *admittedRequest, r *http.Request) (*modelBody, *chivedispatch.Work, error) {
	if !a.memory.Add(parsedCopies * int64(len(a.body))) {
		return nil, nil, chiveentry.NewNoMemory()
	}
	parsed, err := parseModelBody(r.URL.Path, a.body)
	if err != nil {
		return nil, nil, err
	}
	pool, err := a.findPool(parsed.model, chiveconfig.KindModel, "model_not_found")
	if err != nil {
		return nil, nil, err
	}
	class, err := requestClass(a.config, pool, r.Header)
	if err != nil {
		return nil, nil, err
	}
	a.setDeadline(class)
	return parsed, &chivedispatch.Work{
		ID: a.id, Pool: pool.Name, Path: r.URL.Path, Class: class, Team: a.team, Content: a.fingerprint, Fields: parsed.fields, Arrival: a.arrival, Deadline: a.deadline,
		Prefix: parsed.prefixHash, PromptTokens: parsed.promptTokens, MaxTokens: parsed.maxTokens, Repeatable: class.Repeatable, Whole: parsed.disableStreaming,
	}, nil
}

func (g *Gate) takeQuota(ctx context.Context, a *admittedRequest, tokens int64) error {
	team, ok := a.config.Team(a.team)
	if !ok || team.TokensPerSecond == 0 {
		return nil
	}
	allowed, retryAfter := g.options.Quota.Take(ctx, team.Name, team.TokensPerSecond, tokens)
	if allowed {
		return nil
	}
	return &failure{
		status: http.StatusTooManyRequests, errorType: errorTypeCapacity, code: "team_limit",
		message: fmt.Sprintf("team %s is over its limit of %d tokens a second", team.Name, team.TokensPerSecond),
		outcome: chivedispatch.NotRun, retryAfter: retryAfter,
	}
}

func (g *Gate) newExplanation(a *admittedRequest, pool string, class *chiveconfig.Class, result chivedispatch.Result) *Explanation {
	return &Explanation{
		Request: a.id, Pool: pool, Class: class.Name, Tier: class.Tier, Team: a.team, ConfigVersion: a.activeConfig.Version(),
		Arrived: a.arrival, Deadline: a.deadline, QueuedMs: result.Queued.Milliseconds(), TookMs: time.Since(a.arrival).Milliseconds(),
		Attempts: result.Attempts, Outcome: result.Outcome, Code: result.Code, Message: result.Message,
	}
}

// recordEnd records the end of a request: its explanation, its metrics and, if it holds a claim, its outcome.
func (g *Gate) recordEnd(explanation *Explanation, class *chiveconfig.Class, claim *chiveclaim.Claim, result chivedispatch.Result, contentType string) {
	if claim != nil {
		explanation.Claim = "held"
		g.recordOutcome(claim, result, contentType)
	}
	g.explanations.put(explanation)
	g.metrics.recordExplanation(explanation, class)
}
