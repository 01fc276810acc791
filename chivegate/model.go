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
)

// modelList is the answer to GET /v1/models.
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
	a, leave, ok := g.enter(w, r)
	if !ok {
		return
	}
	defer leave()
	list := modelList{Object: "list", Data: []modelItem{}}
	for i := range a.config.Pools {
		if pool := &a.config.Pools[i]; pool.Kind == chiveconfig.KindModel {
			list.Data = append(list.Data, modelItem{ID: pool.Name, Object: "model", Owner: "chivedrift"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, a.id)
	// When this fails the caller is gone, and nobody is left to tell.
	_ = json.NewEncoder(w).Encode(list) //nolint:errchkjson // made of strings
}

// serveModel takes a model request from its checks to its outcome.
func (g *Gate) serveModel(w http.ResponseWriter, r *http.Request) {
	a, leave, ok := g.enter(w, r)
	if !ok {
		return
	}
	defer leave()
	m, work, err := g.modelWork(a, r)
	if err != nil {
		g.refuse(w, r, a, err)
		return
	}
	estimate := work.PromptTokens + min(work.Class.ExpectedTokens, orMost(work.MaxTokens))
	if err := g.takeQuota(r.Context(), a, estimate); err != nil {
		g.refuse(w, r, a, err)
		return
	}
	claim, settled := g.claim(w, r, a, work.Pool, work.Class)
	if settled {
		return
	}
	sink := newModelSink(w, a.id, r.URL.Path, m.stream)
	result, answer := g.o.Models.Run(r.Context(), work, sink)
	g.o.Quota.Return(a.team, estimate-work.PromptTokens-answer.Tokens())
	x := g.explanation(a, work.Pool, work.Class, result)
	x.Tokens = answer.Tokens()
	x.BetweenMs = float64(answer.Pace().Microseconds()) / 1000
	x.FirstTokenMs = x.TookMs
	if !answer.First().IsZero() {
		x.FirstTokenMs = answer.First().Sub(a.arrival).Milliseconds()
	}
	contentType := ""
	if result.Outcome == chivedispatch.Completed && !m.stream {
		contentType = "application/json"
		if result.Body == nil {
			result.Body = assemble(a.id, r.URL.Path, m.model, answer)
		}
	}
	g.close(x, work.Class, claim, result, contentType)
	sink.finish(result)
}

func orMost(limit int64) int64 {
	if limit == 0 {
		return maxOutputLimit
	}
	return limit
}

func (g *Gate) modelWork(a *admission, r *http.Request) (*modelRequest, *chivedispatch.Work, error) {
	m, err := parseModelRequest(r.URL.Path, a.body)
	if err != nil {
		return nil, nil, err
	}
	pool, err := a.pool(m.model, chiveconfig.KindModel, "model_not_found")
	if err != nil {
		return nil, nil, err
	}
	class, err := classOf(a.config, pool, r.Header)
	if err != nil {
		return nil, nil, err
	}
	a.bound(class)
	return m, &chivedispatch.Work{
		ID: a.id, Pool: pool.Name, Path: r.URL.Path, Class: class, Team: a.team, Content: a.content, Fields: m.fields, Arrival: a.arrival, Deadline: a.deadline,
		Prefix: m.prefix, PromptTokens: m.prompt, MaxTokens: m.maxTokens, Repeatable: class.Repeatable, Whole: m.whole,
	}, nil
}

func (g *Gate) takeQuota(ctx context.Context, a *admission, tokens int64) error {
	team, ok := a.config.Team(a.team)
	if !ok || team.TokensPerSecond == 0 {
		return nil
	}
	allowed, after := g.o.Quota.Take(ctx, team.Name, team.TokensPerSecond, tokens)
	if allowed {
		return nil
	}
	return &failure{
		status: http.StatusTooManyRequests, kind: kindCapacity, code: "team_limit",
		message: fmt.Sprintf("team %s is over its limit of %d tokens a second", team.Name, team.TokensPerSecond),
		outcome: chivedispatch.NotRun, after: after,
	}
}

func (g *Gate) explanation(a *admission, pool string, class *chiveconfig.Class, result chivedispatch.Result) *Explanation {
	return &Explanation{
		Request: a.id, Pool: pool, Class: class.Name, Tier: class.Tier, Team: a.team, ConfigVersion: a.inForce.Version(),
		Arrived: a.arrival, Deadline: a.deadline, QueuedMs: result.Queued.Milliseconds(), TookMs: time.Since(a.arrival).Milliseconds(),
		Attempts: result.Attempts, Outcome: result.Outcome, Code: result.Code, Message: result.Message,
	}
}

// close records a request's end: for explain, for the metrics, and for its key.
func (g *Gate) close(x *Explanation, class *chiveconfig.Class, claim *chiveclaim.Claim, result chivedispatch.Result, contentType string) {
	if claim != nil {
		x.Claim = "held"
		g.settle(claim, result, contentType)
	}
	g.explain.put(x)
	g.metrics.finished(x, class)
}
