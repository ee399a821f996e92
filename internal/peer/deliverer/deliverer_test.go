package deliverer

import "testing"

// TestNodesWithLessEvidenceAreUsedOnceTheBestAreTried guards against requests that are refused
// because the nodes for which most speaks have been tried.
func TestNodesWithLessEvidenceAreUsedOnceTheBestAreTried(t *testing.T) {
	d := &Deliverer{Peers: func(string, string) []Peer {
		return []Peer{{Name: "b", Evidence: NotMissed}, {Name: "a", Load: 50}, {Name: "c", Evidence: Unheard}}
	}}
	tried := []string{}
	for _, want := range []string{"a", "b", "c"} {
		p, ok := d.Choose("s", "", tried)
		if !ok || p.Name != want {
			t.Fatalf("after %v: chose %q, want %q", tried, p.Name, want)
		}
		tried = append(tried, p.Name)
	}
	if p, ok := d.Choose("s", "", tried); ok {
		t.Errorf("chose %q though all were tried", p.Name)
	}
}
