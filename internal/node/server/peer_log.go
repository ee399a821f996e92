package server

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// peerSummaryInterval is the time between two checks of the number of live peers.
const peerSummaryInterval = 5 * time.Second

var livePeers = metrics.NewGauge(`marjorammoor_peers_live`, nil)

// logPeers logs the number of live peers if it has changed since the last call. One
// line for each peer and node would grow with the square of the number of nodes.
func (n *Node) logPeers() {
	live := len(n.beater.Live())
	if float64(live) == livePeers.Get() {
		return
	}
	n.Log.Info("live peers have changed", "live", live, "known", n.beater.PeerCount())
	livePeers.Set(float64(live))
}
