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

// trafficSpec is the content of a script's traffic file.
type trafficSpec struct {
	// Nodes are the names of the nodes that are called. Each attempt, a retry too,
	// goes to a random one.
	Nodes []string `json:"nodes"`
	// Credential is the team's credential.
	Credential string `json:"credential"`
	// ModelCallers and OrderCallers are the numbers of concurrent callers that send
	// model requests and orders.
	ModelCallers int `json:"models"`
	OrderCallers int `json:"orders"`
	// Keyed sends an idempotency key with each order, and Retries is the maximum
	// number of further attempts with the same key.
	// Unkeyed orders are not retried.
	Keyed   bool `json:"keyed"`
	Retries int  `json:"retries"`
	// Twins sends each keyed order twice at the same time, through random nodes.
	Twins bool `json:"twins"`
	// Model and Service are the deployments that are called.
	Model     string `json:"model"`
	Service   string `json:"desk"`
	MaxTokens int    `json:"max_tokens"`
	PauseMS   int    `json:"pause_ms"`
	TimeoutMS int    `json:"timeout_ms"`
}

// operation is one attempt of a caller, as the caller observed it. Its kind is
// "model" or "order".
type operation struct {
	kind     string
	id       string
	node     string
	from, to time.Time
	status   int
	outcome  responder.Outcome
	reason   string
	// attempt is the attempt ID of the execution that the response describes.
	attempt string
	// problem describes a wrong or silently truncated response; "" if there is none.
	problem string
	// isConnRefused is whether nothing listened at the node's address.
	isConnRefused bool
}

type traffic struct {
	spec    trafficSpec
	cluster *cluster
	stopped chan struct{}
	once    sync.Once
	workers sync.WaitGroup
	lastID  atomic.Int64

	mu  sync.Mutex
	ops []operation
}

func (c *cluster) startTraffic(s trafficSpec) *traffic {
	t := &traffic{spec: s, cluster: c, stopped: make(chan struct{})}
	if t.spec.TimeoutMS == 0 {
		t.spec.TimeoutMS = 10_000
	}
	for range s.ModelCallers {
		t.workers.Go(func() { t.runWorker(t.callModel) })
	}
	for range s.OrderCallers {
		t.workers.Go(func() { t.runWorker(t.placeOrder) })
	}
	return t
}

func (t *traffic) stop() {
	t.once.Do(func() { close(t.stopped) })
	t.workers.Wait()
}

func (t *traffic) runWorker(do func(id string)) {
	for {
		select {
		case <-t.stopped:
			return
		default:
		}
		do(fmt.Sprintf("%s-%d", t.cluster.ip(0, 0), t.lastID.Add(1)))
		time.Sleep(time.Duration(t.spec.PauseMS) * time.Millisecond)
	}
}

// node returns a random node whose last readiness probe succeeded, or any node if
// none did.
func (t *traffic) node() string {
	nodes := []string{}
	for _, name := range t.spec.Nodes {
		if t.cluster.procs[name].isReady.Load() {
			nodes = append(nodes, name)
		}
	}
	if len(nodes) == 0 {
		nodes = t.spec.Nodes
	}
	return nodes[rand.IntN(len(nodes))]
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

// client returns a client that opens a connection for each call. It reuses none,
// because a load balancer would detect by its checks that the node of an idle
// connection is gone.
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
	resp, err := t.client().Do(r)
	if err != nil {
		o.outcome, o.reason = responder.Unknown, "no response"
		o.isConnRefused = errors.Is(err, syscall.ECONNREFUSED)
		return nil
	}
	o.status = resp.StatusCode
	o.outcome = responder.Outcome(resp.Header.Get(responder.HeaderOutcome))
	return resp
}

type failureBody struct {
	Error struct {
		Reason  string            `json:"reason"`
		Outcome responder.Outcome `json:"outcome"`
	} `json:"error"`
}

// callModel requests one stream and checks that it is complete or reports a failure.
func (t *traffic) callModel(id string) {
	o := operation{kind: "model", id: id, node: t.node(), from: time.Now()}
	defer func() { t.add(o) }()
	prompt := "prompt " + id
	resp := t.send(&o, "/v1/completions", map[string]any{
		"model": t.spec.Model, "prompt": prompt, "max_tokens": t.spec.MaxTokens, "stream": true,
	}, nil)
	if resp == nil {
		return
	}
	defer resp.Body.Close() //nolint:errcheck
	if resp.StatusCode != http.StatusOK {
		f := failureBody{}
		_ = json.NewDecoder(resp.Body).Decode(&f)
		o.reason = f.Error.Reason
		if f.Error.Outcome == "" || f.Error.Outcome == responder.Completed {
			o.problem = fmt.Sprintf("status %d with outcome %q", resp.StatusCode, f.Error.Outcome)
		}
		return
	}
	t.readStream(&o, resp, engine.CompletionText(prompt+"", t.spec.MaxTokens))
}

func (t *traffic) readStream(o *operation, resp *http.Response, wanted string) {
	text, isDone := strings.Builder{}, false
	lines := bufio.NewScanner(resp.Body)
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
			text.WriteString(eventText(data))
		}
	}
	if lines.Err() != nil {
		o.outcome, o.reason = responder.Unknown, "stream interrupted"
		return
	}
	o.outcome = responder.Completed
	switch {
	case !isDone:
		o.problem = "the stream ended without [DONE] and without an error"
	case text.String() != wanted:
		o.problem = fmt.Sprintf("the response is %q, not %q", text.String(), wanted)
	}
}

func eventText(data string) string {
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

// placeOrder places one order. A keyed order is repeated with the same key through
// random nodes until it completes or the retries are used up.
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
	resp := t.send(&o, "/services/"+t.spec.Service+"/orders", map[string]string{"order": id}, headers)
	if resp == nil {
		return o.outcome
	}
	defer resp.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		o.outcome, o.reason = responder.Unknown, "response interrupted"
		return o.outcome
	}
	if resp.StatusCode != http.StatusOK {
		f := failureBody{}
		_ = json.Unmarshal(b, &f)
		o.reason = f.Error.Reason
		return o.outcome
	}
	x := engine.Execution{}
	if err := json.Unmarshal(b, &x); err != nil || !strings.Contains(x.Body, `"`+id+`"`) {
		o.problem = fmt.Sprintf("the response belongs to another request: %s", b)
	}
	o.attempt = x.Attempt
	return o.outcome
}
