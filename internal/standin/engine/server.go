package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"

	"marjorammoor/internal/runner/caller"
)

const (
	maxRequestBytes  = 8 << 20
	defaultMaxTokens = 16
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Prompt returns the text that an answer is derived from.
func (c *completionRequest) text() string {
	parts := []string{c.Prompt}
	for _, m := range c.Messages {
		parts = append(parts, m.Role+":"+m.Content)
	}
	return strings.Join(parts, "\n")
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Handler returns the engine's HTTP interface, with the paths of a model engine
// and, for all other paths, a plain service that records each call.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.start)
	r := chi.NewRouter()
	r.Get("/v1/identity", e.tellIdentity)
	r.Post("/v1/orders", e.takeOrder)
	r.Post("/v1/completions", e.complete)
	r.Post("/v1/chat/completions", e.complete)
	r.Get("/v1/streams/{attempt}", e.resume)
	r.Delete("/v1/streams/{attempt}", e.cancel)
	r.Post("/control", e.control)
	r.Get("/control/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Executions()) })
	r.NotFound(e.plainCall)
	r.MethodNotAllowed(e.plainCall)
	return r
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// tellIdentity answers with the identity, or without a body if the asker has it.
func (e *Engine) tellIdentity(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(e.Identity())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(b), 36))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	o := caller.Order{}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := e.Take(o)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, id)
	case trace.IsCompareFailed(err):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

func formatEpoch(epoch int64) string { return strconv.FormatInt(epoch, 10) }

func execution(r *http.Request, body []byte) Execution {
	return Execution{
		Attempt: r.Header.Get(caller.HeaderAttempt),
		Key:     r.Header.Get("Idempotency-Key"),
		Epoch:   r.Header.Get(caller.HeaderEpoch),
		Method:  r.Method, Path: r.URL.Path, Body: string(body[:min(len(body), 256)]), At: time.Now(),
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(caller.HeaderNotRun, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	q := completionRequest{}
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := newStream(r.Header.Get(caller.HeaderAttempt), q.text(), orDefault(q.MaxTokens, defaultMaxTokens))
	epoch := r.Header.Get(caller.HeaderEpoch)
	if reason := e.admit(s, execution(r, body), epoch, epoch != ""); reason != "" {
		refuse(w, reason)
		return
	}
	if e.currentFaults().HangUp {
		panic(http.ErrAbortHandler)
	}
	a := &answer{engine: e, stream: s, model: q.Model, chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if q.Stream {
		a.sendEvents(w, r, 0)
		return
	}
	a.sendWhole(w, r)
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// resume continues a stream after the event that Last-Event-ID names.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(chi.URLParam(r, "attempt"))
	_, position, ok := strings.Cut(r.Header.Get("Last-Event-ID"), ":")
	n, err := strconv.Atoi(position)
	if s == nil || !ok || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	a := &answer{engine: e, stream: s, model: r.URL.Query().Get("model"), chat: r.URL.Query().Get("chat") == "true"}
	a.sendEvents(w, r, n+1)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	if s := e.find(chi.URLParam(r, "attempt")); s != nil {
		s.cancelled()
	}
}

// plainCall records a call to a plain service and answers with its record.
func (e *Engine) plainCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	x := execution(r, body)
	f := e.currentFaults()
	if reason := e.admitPlain(x); reason != "" {
		refuse(w, reason)
		return
	}
	defer e.count(0, -1)
	time.Sleep(time.Duration(f.FirstDelayMS) * time.Millisecond)
	if f.HangUp {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(caller.HeaderAttempt, x.Attempt)
	writeJSON(w, http.StatusOK, x)
}

func (e *Engine) admitPlain(x Execution) (refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Refuse:
		return "refused"
	case e.id.State != caller.StateReady:
		return "not_ready"
	}
	e.execute(x)
	e.inFlight++
	return ""
}

// answer writes a stream in the form that the caller asked for.
type answer struct {
	engine *Engine
	stream *stream
	model  string
	chat   bool
}

func (a *answer) object() string {
	if a.chat {
		return "chat.completion"
	}
	return "text_completion"
}

func (a *answer) event(i int) completion {
	text, finish := "", "stop"
	c := completion{ID: a.stream.attempt, Object: a.object(), Model: a.model, Choices: []choice{{}}}
	if i < a.stream.tokens {
		text = Token(a.stream.prompt, i)
	} else {
		c.Choices[0].FinishReason = &finish
		c.Usage = a.usage()
	}
	if a.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	return c
}

func (a *answer) usage() *usage {
	p := len(a.stream.prompt)/4 + 1
	return &usage{PromptTokens: p, CompletionTokens: a.stream.tokens, TotalTokens: p + a.stream.tokens}
}

// sendEvents writes server-sent events from position next on. Each event's id
// is the attempt and the position, so that a stream can be resumed.
func (a *answer) sendEvents(w http.ResponseWriter, r *http.Request, next int) {
	s := a.stream
	s.addReader(1)
	defer s.addReader(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(caller.HeaderAttempt, s.attempt)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for sent := 0; ; {
		produced, done, failed, changed := s.state()
		f := a.engine.currentFaults()
		for ; next < produced; next++ {
			if next+1 == f.SkipToken {
				continue
			}
			a.sendEvent(w, next)
			sent++
			if sent == f.BreakAfterTokens {
				_ = flush.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		if failed {
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if done {
			a.sendEvent(w, next)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		}
		_ = flush.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (a *answer) sendEvent(w io.Writer, i int) {
	b, _ := json.Marshal(a.event(i))
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", a.stream.attempt, i, b)
}

func (a *answer) sendWhole(w http.ResponseWriter, r *http.Request) {
	s := a.stream
	s.addReader(1)
	defer s.addReader(-1)
	for {
		_, done, failed, changed := s.state()
		if failed {
			panic(http.ErrAbortHandler)
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	text, finish := Answer(s.prompt, s.tokens), "stop"
	c := completion{ID: s.attempt, Object: a.object(), Model: a.model, Usage: a.usage()}
	c.Choices = []choice{{Text: &text, FinishReason: &finish}}
	if a.chat {
		c.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &finish}}
	}
	w.Header().Set(caller.HeaderAttempt, s.attempt)
	writeJSON(w, http.StatusOK, c)
}
