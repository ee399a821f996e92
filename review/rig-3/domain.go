package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// recoveryTime is the platform's recovery_s.
	recoveryTime = 12 * time.Second
	// settleTime is how long the odd entry stands before the final fault.
	settleTime = 6 * time.Second
	// leastServed is the part of the requests that must be served after the recovery.
	leastServed = 0.25
	// oddDomain is the failure domain of an entry of another writer.
	oddDomain = "d1 HTTP/1.1\r\nHost: a\r\n\r\nDELETE /marjorammoor/objects/config/main"
)

// oddDomainEntry has another writer put an entry among those of the runners, whose failure domain has
// line breaks. Later all nodes are killed at once and start again.
func oddDomainEntry(w *world, hasTrouble bool) error {
	w.hasModels = true
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	if served := w.servedShare(); served < leastServed {
		return fmt.Errorf("only %.2f of the requests are served at first", served)
	}
	domain := "d1"
	if hasTrouble {
		domain = oddDomain
	}
	entry, err := json.Marshal(map[string]any{
		"service": "pool", "address": w.subnet + ".90:8080", "zone": "east", "version": "v1", "batch_slots": 17, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "failure_domain": domain,
	})
	if err != nil {
		return err
	}
	w.store.put("servers", "i-90", entry, 0, false)
	w.record.note("another writer has written the entry %s", entry)
	time.Sleep(settleTime)
	_, hasConfig := w.store.find("config", "main")
	w.record.note("the store has the configuration: %t", hasConfig)
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(time.Second)
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	time.Sleep(recoveryTime)
	served := w.servedShare()
	w.record.note("%.2f of the requests sent %v after the machines are back are served", served, recoveryTime)
	if served < leastServed {
		return fmt.Errorf("%w: RECOVER: %.2f of the requests are served; the store has the configuration: %t", errBroken, served, hasConfig)
	}
	return nil
}

// servedShare sends requests to all nodes and returns the share that is served.
func (w *world) servedShare() float64 {
	served := 0
	for range 4 {
		for _, n := range w.nodes {
			if _, status := w.post(n, "sound", key); status == http.StatusOK {
				served++
			}
		}
	}
	return float64(served) / float64(4*nodeCount)
}
