package server

import (
	"runtime/debug"

	"marjorammoor/internal/memory/divider"
)

// bounds returns the current reloadable settings.
func (n *Node) bounds() *Bounds {
	if b := n.reloadedBounds.Load(); b != nil {
		return b
	}
	return &n.Settings.Bounds
}

// Reload applies changed bounds. Other settings take effect at the next start only;
// a change of them is logged.
func (n *Node) Reload(s *Settings) {
	old, updated := n.bounds(), s.Bounds
	n.reloadedBounds.Store(&updated)
	if old.MemoryBytes != updated.MemoryBytes {
		debug.SetMemoryLimit(n.shares().Bytes(divider.Heap))
	}
	n.Log.Info("settings are reloaded", "bounds_changed", *old != updated, "old", *old, "new", updated)
	if n.needsRestart(s) {
		n.Log.Warn("node name, data centre or addresses changed, which takes effect at the next start only",
			"name", s.Name, "data_center", s.DataCenter, "callers", s.CallerAddress, "peers", s.PeerAddress)
	}
}

// needsRestart reports whether settings outside Bounds have changed. Those are read
// at the start only.
func (n *Node) needsRestart(s *Settings) bool {
	x, y := *n.Settings, *s
	x.Bounds, y.Bounds = Bounds{}, Bounds{}
	// IsFirstStart is true only during the first start of the whole system. Its
	// change does not concern a running node.
	x.IsFirstStart, y.IsFirstStart = false, false
	return x != y
}
