package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/memory/divider"
	"marjorammoor/internal/peer/beater"
)

// unhandledCase is a request that http.Server answers by itself with Status, as the last one
// of Answers on its connection; 0 means that it is the only one. Port is empty for both.
type unhandledCase struct {
	Name    string `json:"name"`
	Port    string `json:"port"`
	Request string `json:"request"`
	Status  int    `json:"status"`
	Answers int    `json:"answers"`
}

// TestAnswersWithoutAHandlerAreCountedAndLogged guards against requests that are turned away
// for good and leave no trace.
func TestAnswersWithoutAHandlerAreCountedAndLogged(t *testing.T) {
	b, err := os.ReadFile("testdata/unhandled_answers.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []unhandledCase{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	servers := map[string]*callerServer{callerPort: startCallerServer(t), deliveryPort: startDeliveryServer(t)}
	servers[callerPort].setLimits(connectionLimits{HeaderMS: 1})
	for _, x := range cases {
		for port, s := range servers {
			if x.Port == "" || x.Port == port {
				t.Run(port+"/"+x.Name, func(t *testing.T) { x.check(t, s, port) })
			}
		}
	}
}

func (x *unhandledCase) check(t *testing.T, s *callerServer, port string) {
	log := &bytes.Buffer{}
	s.node.Log = slog.New(slog.NewJSONHandler(log, nil))
	s.node.unhandledLog = boundedLog{}
	counter := metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_unhandled_answers_total{port=%q,status="%d"}`, port, x.Status))
	before := counter.Get()
	c := s.connect(t)
	if _, err := io.WriteString(c.conn, x.Request); err != nil {
		t.Fatal(err)
	}
	for i := range max(x.Answers, 1) {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if isLast := i+1 >= x.Answers; isLast != (response.StatusCode == x.Status) {
			t.Errorf("answer %d has status %d, wanted %d as the last one only", i, response.StatusCode, x.Status)
		}
	}
	if n := counter.Get() - before; n != 1 {
		t.Errorf("counted %d times", n)
	}
	if line := fmt.Sprintf(`"address":%q,"answer":"HTTP/1.1 %d `, c.conn.LocalAddr(), x.Status); strings.Count(log.String(), line) != 1 {
		t.Errorf("not logged once: %s", log)
	}
}

// startDeliveryServer starts a server for other nodes that knows none.
func startDeliveryServer(t *testing.T) *callerServer {
	n := startCallerServer(t).node
	n.beater = &beater.Beater{}
	l, err := n.listen("127.0.0.1:0", deliveryPort, divider.Nodes)
	if err != nil {
		t.Fatal(err)
	}
	s := n.deliveryServer()
	go func() {
		_ = s.Serve(&watchedListener{Listener: l, record: n.recordUnhandled})
	}()
	t.Cleanup(func() { _ = s.Close() })
	return &callerServer{node: n, address: l.Addr().String()}
}

// TestLinesOnAnswersWithoutAHandlerAreBounded guards against logs that one peer can fill.
func TestLinesOnAnswersWithoutAHandlerAreBounded(t *testing.T) {
	t.Parallel()
	l, taken := boundedLog{}, 0
	for range 5 * maxBoundedLines {
		if l.take() {
			taken++
		}
	}
	if taken < maxBoundedLines || taken > 2*maxBoundedLines {
		t.Errorf("%d lines at once", taken)
	}
}
