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

// text returns the prompt from which the completion is derived.
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

// Handler returns the engine's HTTP handler. It serves the paths of a model engine;
// all other paths are a plain service that records each call.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.start)
	r := chi.NewRouter()
	r.Get("/v1/identity", e.getIdentity)
	r.Post("/v1/orders", e.handleOrder)
	r.Post("/v1/completions", e.complete)
	r.Post("/v1/chat/completions", e.complete)
	r.Get("/v1/streams/{attempt}", e.resume)
	r.Delete("/v1/streams/{attempt}", e.cancel)
	r.Post("/control", e.control)
	r.Get("/control/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Executions()) })
	r.NotFound(e.servePlain)
	r.MethodNotAllowed(e.servePlain)
	return r
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// getIdentity responds with the identity, or with 304 if the client's If-None-Match
// is the current ETag.
func (e *Engine) getIdentity(w http.ResponseWriter, r *http.Request) {
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

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	o := caller.Order{}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := e.Apply(o)
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

func newExecution(r *http.Request, body []byte) Execution {
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
	if reason := e.admit(s, newExecution(r, body), epoch, epoch != ""); reason != "" {
		refuse(w, reason)
		return
	}
	if e.currentFaults().HangUp {
		panic(http.ErrAbortHandler)
	}
	cw := &completionWriter{engine: e, stream: s, model: q.Model, chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if q.Stream {
		cw.sendEvents(w, r, 0)
		return
	}
	cw.sendJSON(w, r)
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// resume sends the events of a stream that follow the event in Last-Event-ID.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(chi.URLParam(r, "attempt"))
	_, position, ok := strings.Cut(r.Header.Get("Last-Event-ID"), ":")
	n, err := strconv.Atoi(position)
	if s == nil || !ok || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	cw := &completionWriter{engine: e, stream: s, model: r.URL.Query().Get("model"), chat: r.URL.Query().Get("chat") == "true"}
	cw.sendEvents(w, r, n+1)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	if s := e.findStream(chi.URLParam(r, "attempt")); s != nil {
		s.cancel()
	}
}

// servePlain records a call to the plain service and responds with the record.
func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	x := newExecution(r, body)
	f := e.currentFaults()
	if reason := e.admitPlain(x); reason != "" {
		refuse(w, reason)
		return
	}
	defer e.addCounts(0, -1)
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
	e.recordExecution(x)
	e.inFlight++
	return ""
}

// completionWriter writes a stream as a completion or a chat completion, either as
// events or as one JSON object.
type completionWriter struct {
	engine *Engine
	stream *stream
	model  string
	chat   bool
}

func (cw *completionWriter) object() string {
	if cw.chat {
		return "chat.completion"
	}
	return "text_completion"
}

func (cw *completionWriter) event(i int) completion {
	text, finish := "", "stop"
	c := completion{ID: cw.stream.attempt, Object: cw.object(), Model: cw.model, Choices: []choice{{}}}
	if i < cw.stream.tokens {
		text = TokenText(cw.stream.prompt, i)
	} else {
		c.Choices[0].FinishReason = &finish
		c.Usage = cw.usage()
	}
	if cw.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	return c
}

func (cw *completionWriter) usage() *usage {
	p := len(cw.stream.prompt)/4 + 1
	return &usage{PromptTokens: p, CompletionTokens: cw.stream.tokens, TotalTokens: p + cw.stream.tokens}
}

// sendEvents writes server-sent events starting at position. The id of an event is
// the attempt and the position, so that a client can resume the stream.
func (cw *completionWriter) sendEvents(w http.ResponseWriter, r *http.Request, position int) {
	s := cw.stream
	s.addReader(1)
	defer s.addReader(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(caller.HeaderAttempt, s.attempt)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for sent := 0; ; {
		produced, done, failed, changed := s.state()
		f := cw.engine.currentFaults()
		for ; position < produced; position++ {
			if position+1 == f.SkipToken {
				continue
			}
			cw.sendEvent(w, position)
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
			cw.sendEvent(w, position)
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

func (cw *completionWriter) sendEvent(w io.Writer, i int) {
	b, _ := json.Marshal(cw.event(i))
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", cw.stream.attempt, i, b)
}

func (cw *completionWriter) sendJSON(w http.ResponseWriter, r *http.Request) {
	s := cw.stream
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
	text, finish := CompletionText(s.prompt, s.tokens), "stop"
	c := completion{ID: s.attempt, Object: cw.object(), Model: cw.model, Usage: cw.usage()}
	c.Choices = []choice{{Text: &text, FinishReason: &finish}}
	if cw.chat {
		c.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &finish}}
	}
	w.Header().Set(caller.HeaderAttempt, s.attempt)
	writeJSON(w, http.StatusOK, c)
}
