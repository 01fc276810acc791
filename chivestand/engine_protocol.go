package chivestand

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type engineRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	Resume    struct {
		Tokens int    `json:"tokens"`
		Text   string `json:"text"`
	} `json:"resume"`
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, doneOrders{e.Orders()}) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults EngineFaults
		if readJSON(w, r, &faults) {
			e.SetFaults(faults)
		}
	})
	return mux
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	var request engineRequest
	if !readJSON(w, r, &request) {
		return
	}
	faults := e.faults.take()
	if faults.Refuse || faults.Leaving {
		e.mu.Lock()
		e.refused++
		e.mu.Unlock()
		w.Header().Set(NotRunHeader, "true")
		http.Error(w, "not accepting work", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	if faults.CrashBefore == CrashBeforeHeaders {
		panic(http.ErrAbortHandler)
	}
	s := newSequence(request, r.Context().Done())
	e.submit(s)
	if request.Stream {
		e.stream(w, r, s, faults, id, chat)
		return
	}
	e.answerWhole(w, s, id, chat)
}

// NotRunHeader is set by an endpoint that proves with its refusal that nothing ran.
const NotRunHeader = "Endpoint-Not-Run"

func newSequence(request engineRequest, gone <-chan struct{}) *sequence {
	prompt := string(request.Messages) + string(request.Prompt)
	length := outputLength(prompt)
	if request.MaxTokens > 0 {
		length = min(length, request.MaxTokens)
	}
	return &sequence{
		priority: request.Priority, arrived: time.Now(), prompt: prompt, prefill: len(prompt) / bytesPerToken,
		next: min(request.Resume.Tokens, length), length: length, tokens: make(chan int, length), gone: gone,
	}
}

const bytesPerToken = 4

// outputLength is told by the prompt (tokens=40) or, as a real engine's, known to nobody beforehand.
func outputLength(prompt string) int {
	if _, rest, ok := strings.Cut(prompt, "tokens="); ok {
		digits := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
		if digits < 0 {
			digits = len(rest)
		}
		if n, err := strconv.Atoi(rest[:digits]); err == nil && n > 0 {
			return n
		}
	}
	return int(8 + hashOf(prompt)%56)
}

// Token returns the text of a token, a function of prompt and place alone, so that any engine continues any other's answer.
func Token(prompt string, i int) string {
	return "w" + strconv.FormatUint(hashOf(prompt+strconv.Itoa(i))%10000, 10) + " "
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, faults EngineFaults, id string, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	if faults.CrashBefore == CrashBeforeFirst {
		panic(http.ErrAbortHandler)
	}
	sent := 0
	for i := range s.tokens {
		if faults.CrashAfterTokens > 0 && sent == faults.CrashAfterTokens {
			crashMid(w, out, faults.CrashMidToken)
		}
		if faults.StallAfterTokens > 0 && sent == faults.StallAfterTokens {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, "data: ", e.chunk(id, Token(s.prompt, i), "null", chat), "\n\n")
		if err := out.Flush(); err != nil {
			return
		}
		sent++
	}
	if faults.CrashBefore == CrashBeforeDone {
		panic(http.ErrAbortHandler)
	}
	if r.Context().Err() != nil {
		return
	}
	fmt.Fprint(w, "data: ", e.chunk(id, "", `"stop"`, chat), "\n\n")
	prompt := len(s.prompt) / bytesPerToken
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", id, e.model, prompt, s.length, prompt+s.length)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func crashMid(w http.ResponseWriter, out *http.ResponseController, midToken bool) {
	if midToken {
		fmt.Fprint(w, `data: {"id":"cut","choices":[{"index":0,"delta":{"content":"w1`)
		_ = out.Flush()
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) chunk(id, text, finish string, chat bool) string {
	if !chat {
		return fmt.Sprintf(`{"id":%q,"object":"text_completion","model":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`, id, e.model, text, finish)
	}
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`, id, e.model, text, finish)
}

func (e *Engine) answerWhole(w http.ResponseWriter, s *sequence, id string, chat bool) {
	text := strings.Builder{}
	for i := range s.tokens {
		text.WriteString(Token(s.prompt, i))
	}
	choice := fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}`, text.String())
	if !chat {
		choice = fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":"stop"}`, text.String())
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","model":%q,"choices":[%s],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		id, e.model, choice, len(s.prompt)/bytesPerToken, s.length, s.length+len(s.prompt)/bytesPerToken)
}

// serveLoad answers with the report of a while ago, since real reports lag.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.reports = append(e.reports, EngineLoad{At: now, Running: len(e.running), Waiting: len(e.waiting), Leaving: e.faults.now().Leaving})
	visible := now.Add(-time.Duration(e.faults.now().LoadLagMs) * time.Millisecond)
	report := e.reports[0]
	for len(e.reports) > 1 && !e.reports[1].At.After(visible) {
		e.reports = e.reports[1:]
		report = e.reports[0]
	}
	e.mu.Unlock()
	writeJSON(w, report)
}
