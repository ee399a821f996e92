package tester

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/standin/engine"
)

// trafficSpec is what a script's traffic file says.
type trafficSpec struct {
	// Nodes take the calls; a retry goes to another one.
	Nodes []string `json:"nodes"`
	// Credential is that of the team.
	Credential string `json:"credential"`
	// Models and Orders are the numbers of callers of each sort.
	Models int `json:"models"`
	Orders int `json:"orders"`
	// Keyed gives orders an idempotency key, and Retries bounds the attempts with
	// the same key.
	Keyed   bool `json:"keyed"`
	Retries int  `json:"retries"`
	// Twins sends each keyed order twice at the same moment through two nodes.
	Twins     bool   `json:"twins"`
	Model     string `json:"model"`
	Desk      string `json:"desk"`
	MaxTokens int    `json:"max_tokens"`
	PauseMS   int    `json:"pause_ms"`
	TimeoutMS int    `json:"timeout_ms"`
}

// operation is one attempt of a caller, as the caller saw it.
type operation struct {
	kind     string
	id       string
	node     string
	from, to time.Time
	status   int
	outcome  responder.Outcome
	reason   string
	// attempt names the execution that answered.
	attempt string
	problem string
	// refused says that nothing listened at the node's address.
	refused bool
}

type traffic struct {
	spec    trafficSpec
	cluster *cluster
	ended   chan struct{}
	once    sync.Once
	workers sync.WaitGroup
	next    atomic.Int64

	mu  sync.Mutex
	ops []operation
}

func (c *cluster) startTraffic(s trafficSpec) *traffic {
	t := &traffic{spec: s, cluster: c, ended: make(chan struct{})}
	if t.spec.TimeoutMS == 0 {
		t.spec.TimeoutMS = 10_000
	}
	for range s.Models {
		t.workers.Go(func() { t.work(t.callModel) })
	}
	for range s.Orders {
		t.workers.Go(func() { t.work(t.placeOrder) })
	}
	return t
}

func (t *traffic) stop() {
	t.once.Do(func() { close(t.ended) })
	t.workers.Wait()
}

func (t *traffic) work(do func(id string)) {
	for {
		select {
		case <-t.ended:
			return
		default:
		}
		do(fmt.Sprintf("%s-%d", t.cluster.ip(0, 0), t.next.Add(1)))
		time.Sleep(time.Duration(t.spec.PauseMS) * time.Millisecond)
	}
}

// node returns one of the nodes that the balancer finds ready, or any if none is.
func (t *traffic) node() string {
	ready := []string{}
	for _, name := range t.spec.Nodes {
		if t.cluster.procs[name].ready.Load() {
			ready = append(ready, name)
		}
	}
	if len(ready) == 0 {
		ready = t.spec.Nodes
	}
	return ready[rand.IntN(len(ready))]
}

func (t *traffic) add(o operation) {
	o.to = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ops = append(t.ops, o)
}

func (t *traffic) operations() []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]operation{}, t.ops...)
}

// client opens a connection for each call, as a balancer's checks would notice a
// node that is gone.
func (t *traffic) client() *http.Client {
	return &http.Client{
		Timeout:   time.Duration(t.spec.TimeoutMS) * time.Millisecond,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
}

func (t *traffic) send(o *operation, path string, body any, headers map[string]string) *http.Response {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	address := t.cluster.procs[o.node].address
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+t.spec.Credential)
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	a, err := t.client().Do(r)
	if err != nil {
		o.outcome, o.reason = responder.Unknown, "no answer"
		o.refused = errors.Is(err, syscall.ECONNREFUSED)
		return nil
	}
	o.status = a.StatusCode
	o.outcome = responder.Outcome(a.Header.Get(responder.HeaderOutcome))
	return a
}

type failureBody struct {
	Error struct {
		Reason  string            `json:"reason"`
		Outcome responder.Outcome `json:"outcome"`
	} `json:"error"`
}

// callModel streams one answer and checks that it is whole or visibly failed.
func (t *traffic) callModel(id string) {
	o := operation{kind: "model", id: id, node: t.node(), from: time.Now()}
	defer func() { t.add(o) }()
	prompt := "prompt " + id
	a := t.send(&o, "/v1/completions", map[string]any{
		"model": t.spec.Model, "prompt": prompt, "max_tokens": t.spec.MaxTokens, "stream": true,
	}, nil)
	if a == nil {
		return
	}
	defer a.Body.Close() //nolint:errcheck
	if a.StatusCode != http.StatusOK {
		f := failureBody{}
		_ = json.NewDecoder(a.Body).Decode(&f)
		o.reason = f.Error.Reason
		if f.Error.Outcome == "" || f.Error.Outcome == responder.Completed {
			o.problem = fmt.Sprintf("status %d with outcome %q", a.StatusCode, f.Error.Outcome)
		}
		return
	}
	t.readStream(&o, a, engine.CompletionText(prompt+"", t.spec.MaxTokens))
}

func (t *traffic) readStream(o *operation, a *http.Response, wanted string) {
	text, isDone := strings.Builder{}, false
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			isDone = true
		case strings.HasPrefix(data, `{"error"`):
			f := failureBody{}
			_ = json.Unmarshal([]byte(data), &f)
			o.outcome, o.reason = f.Error.Outcome, f.Error.Reason
			return
		default:
			text.WriteString(textOf(data))
		}
	}
	if lines.Err() != nil {
		o.outcome, o.reason = responder.Unknown, "stream broke"
		return
	}
	o.outcome = responder.Completed
	switch {
	case !isDone:
		o.problem = "the answer ended silently without its end"
	case text.String() != wanted:
		o.problem = fmt.Sprintf("the answer is %q, not %q", text.String(), wanted)
	}
}

func textOf(data string) string {
	c := struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}{}
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		return "?"
	}
	return c.Choices[0].Text
}

// placeOrder places one order, and again with the same key while its outcome is
// not known, each time through some node.
func (t *traffic) placeOrder(id string) {
	if !t.spec.Keyed {
		t.tryOrder(id, t.node())
		return
	}
	var twins sync.WaitGroup
	for range 1 + map[bool]int{true: 1}[t.spec.Twins] {
		twins.Go(func() {
			for range t.spec.Retries + 1 {
				if t.tryOrder(id, t.node()) == responder.Completed {
					return
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	twins.Wait()
}

func (t *traffic) tryOrder(id, node string) responder.Outcome {
	o := operation{kind: "order", id: id, node: node, from: time.Now()}
	defer func() { t.add(o) }()
	headers := map[string]string{}
	if t.spec.Keyed {
		headers["Idempotency-Key"] = id
	}
	a := t.send(&o, "/services/"+t.spec.Desk+"/orders", map[string]string{"order": id}, headers)
	if a == nil {
		return o.outcome
	}
	defer a.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(a.Body)
	if err != nil {
		o.outcome, o.reason = responder.Unknown, "answer broke"
		return o.outcome
	}
	if a.StatusCode != http.StatusOK {
		f := failureBody{}
		_ = json.Unmarshal(b, &f)
		o.reason = f.Error.Reason
		return o.outcome
	}
	x := engine.Execution{}
	if err := json.Unmarshal(b, &x); err != nil || !strings.Contains(x.Body, `"`+id+`"`) {
		o.problem = fmt.Sprintf("the answer is of another request: %s", b)
	}
	o.attempt = x.Attempt
	return o.outcome
}
