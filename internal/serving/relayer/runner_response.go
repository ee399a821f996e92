package relayer

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/serving/balancer"
)

// logRunnerResponse logs and counts a response of a runner that is no success. It tells what the
// runner states, so that a refusal of the runner can be told from one of this node.
func (r *Relayer) logRunnerResponse(c *Call, t balancer.Target, response *requester.Response, i Inspection) {
	if response.Status < http.StatusMultipleChoices && !i.NotRun && !i.isUnusable() {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_runner_responses_failed_total{status="%d",not_run="%t",signed="%t"}`, response.Status, i.NotRun, i.Verified)).Inc()
	r.Log.Info("runner has responded with a failure", "request", c.ID, "runner", t.ID, "address", t.Address, "status", response.Status, "not_run", i.NotRun,
		"signed", i.Verified, "named", response.IsNamed, "first_on_connection", response.IsFirst, "attempt", c.attempts, "faulty_runner", i.FaultyRunner, "pause_ms", i.Pause.Milliseconds())
}
