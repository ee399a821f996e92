package former

import "time"

const (
	// takeoverPause is how long a node that takes over a domain begins no loads,
	// because it does not know which loads the previous owner began. No node has
	// more loads in progress than may run at once, so two takeovers in a row stay
	// within the limit on loads per window.
	takeoverPause = 1500 * time.Millisecond
	// loadWindow is the window of the weight store's load limit, with a margin for
	// the time that an order takes.
	loadWindow = 5500 * time.Millisecond
)

// loadBudget returns how many loads this domain may begin now: its part of the
// limits on concurrent loads and on loads per window. More concurrent loads than the
// weight store serves at full speed would only slow each other down. The first limit
// always allows one load to a domain without pending loads.
func (c *Controller) loadBudget(s *domainState, d *domain, now time.Time, domains int) int {
	pending := int(c.pendingLoads.Load())
	atOnce := max(d.service.Engine.LoadsAtOnce-pending-c.PeerLoads(), 0)
	if len(s.pendingLoads) == 0 {
		atOnce = max(atOnce, 1)
	}
	if c.IsStartup() {
		return atOnce
	}
	if now.Sub(s.ownedAt) < takeoverPause {
		return 0
	}
	recent := s.loadStarts[:0]
	for _, at := range s.loadStarts {
		if now.Sub(at) < loadWindow {
			recent = append(recent, at)
		}
	}
	s.loadStarts = recent
	return min(atOnce, int(c.LoadsPerWindow()/float64(max(domains, 1)))-len(recent))
}

// PendingLoads returns how many loads this node has in progress.
func (c *Controller) PendingLoads() int { return int(c.pendingLoads.Load()) }
