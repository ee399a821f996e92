package server

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestReload checks that changed bounds are in force at once, and that settings
// which are read at the start only are complained of.
func TestReload(t *testing.T) {
	log := &strings.Builder{}
	s := &Settings{
		Name: "n1", DataCenter: "a", IsFirstStart: true,
		Bounds: Bounds{RetryRatio: 0.2, RetryBurst: 100, RevocationTimeout: 5 * time.Second, StallTime: 4 * time.Second, GracePeriod: 8 * time.Second},
	}
	n := &Node{Settings: s, Ports: &Ports{}, Log: slog.New(slog.NewTextHandler(log, nil))}
	n.build()
	if b := n.budget("x"); b.PerRequest != s.RetryRatio*budgetShare || b.Burst != s.RetryBurst*budgetShare {
		t.Errorf("budget %v, %v before the reload", b.PerRequest, b.Burst)
	}
	changed := *s
	changed.IsFirstStart = false
	changed.Bounds = Bounds{RetryRatio: 0.1, RetryBurst: 50, RevocationTimeout: 2 * time.Second, StallTime: 3 * time.Second, GracePeriod: 6 * time.Second}
	n.Reload(&changed)
	if b := n.budget("x"); b.PerRequest != changed.RetryRatio*budgetShare || b.Burst != changed.RetryBurst*budgetShare {
		t.Errorf("budget %v, %v", b.PerRequest, b.Burst)
	}
	if got := n.admitter.RevocationTimeout(); got != 2*time.Second {
		t.Errorf("revocation timeout %v", got)
	}
	if got := n.former.StallTime(); got != 3*time.Second {
		t.Errorf("stall time %v", got)
	}
	if got := n.bounds().GracePeriod; got != 6*time.Second {
		t.Errorf("grace period %v", got)
	}
	if strings.Contains(log.String(), "next start only") {
		t.Errorf("complains without a reason: %s", log)
	}
	changed.DataCenter = "b"
	n.Reload(&changed)
	if !strings.Contains(log.String(), "next start only") {
		t.Errorf("does not complain of another data center: %s", log)
	}
}
