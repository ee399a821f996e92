package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// revocationTime is the platform's revocation_ms.
	revocationTime = 5 * time.Second
	// unknownKey is a key that no configuration holds.
	unknownKey = "anfqasnmgkcuyj8pjbvk"
)

// lastTenant removes the only tenant with its key from the configuration, and sends requests with that
// key, and with one that no configuration has held, after revocationTime.
func lastTenant(w *world, hasTrouble bool) error {
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	if _, status := w.post(w.nodes[0], "before", key); status != http.StatusOK {
		return fmt.Errorf("a sound request is answered with %d", status)
	}
	if _, status := w.post(w.nodes[0], "before", unknownKey); status != http.StatusUnauthorized {
		return fmt.Errorf("a request with an unknown key is answered with %d", status)
	}
	tenants := []tenant{{Name: tenantName, Keys: []string{key}}}
	if hasTrouble {
		tenants = []tenant{}
	}
	w.configure(tenants)
	time.Sleep(revocationTime + time.Second)
	withdrawn, unknown := map[string]bool{}, map[string]bool{}
	for _, n := range w.nodes {
		id, _ := w.post(n, "after", key)
		withdrawn[id] = hasTrouble
		id, _ = w.post(n, "after", unknownKey)
		unknown[id] = true
	}
	ranWithdrawn, ranUnknown := 0, 0
	for _, a := range w.arrivals() {
		if withdrawn[a.id] {
			ranWithdrawn++
		}
		if unknown[a.id] {
			ranUnknown++
		}
	}
	w.record.note("of the requests sent %v after the acknowledgement, %d with the withdrawn key and %d with a key that no configuration has held have run",
		revocationTime+time.Second, ranWithdrawn, ranUnknown)
	if ranWithdrawn+ranUnknown > 0 {
		return fmt.Errorf("%w: CONFIG: %d requests, ROUTE: %d requests", errBroken, ranWithdrawn, ranUnknown)
	}
	return nil
}
