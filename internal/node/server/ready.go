package server

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// isReady reports whether the node can serve: it has a runner list and a recent
// configuration and is not stopping.
func (n *Node) isReady() bool {
	return !n.isStopping() && n.catalog.Load() != nil && n.hasRunnerList.Load() && n.catalogs.Age() < maxReadyCatalogAge
}

func (n *Node) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(n.Platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/metrics", writeMetrics)
	return r
}

func metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", writeMetrics)
	return r
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }
