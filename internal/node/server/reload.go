package server

import "runtime/debug"

// bounds returns the settings in force that may change while the node runs.
func (n *Node) bounds() *Bounds {
	if b := n.reloaded.Load(); b != nil {
		return b
	}
	return &n.Settings.Bounds
}

// Reload puts changed bounds in force. Other settings need a new start; that they
// have changed is logged.
func (n *Node) Reload(s *Settings) {
	old, changed := n.bounds(), s.Bounds
	n.reloaded.Store(&changed)
	if old.MemoryBytes != changed.MemoryBytes {
		debug.SetMemoryLimit(int64(float64(changed.MemoryBytes) * memoryShare))
	}
	n.Log.Info("settings are reloaded", "bounds_changed", *old != changed, "old", *old, "new", changed)
	if n.needsRestart(s) {
		n.Log.Warn("the node's name, data center or addresses have changed, which takes effect at its next start only",
			"name", s.Name, "data_center", s.DataCenter, "callers", s.CallerAddress, "peers", s.PeerAddress)
	}
}

// needsRestart reports whether settings differ that are read at the start only.
func (n *Node) needsRestart(s *Settings) bool {
	x, y := *n.Settings, *s
	x.Bounds, y.Bounds = Bounds{}, Bounds{}
	// That the system has started once is no change of this node.
	x.IsFirstStart, y.IsFirstStart = false, false
	return x != y
}
