package beater

import (
	"time"

	"marjorammoor/internal/store/follower"
)

const (
	changedKind = "k"
	// peerRepairTime is that of store/follower.
	peerRepairTime = 400 * time.Millisecond
)

// copyModel is a node's copy of the store as store/follower keeps it, whose clock is not virtual.
type copyModel struct {
	revision    int64
	behindSince time.Time
}

func (c *copyModel) read(revision int64) { c.revision, c.behindSince = revision, time.Time{} }

// apply applies the changes of a datagram unless the copy lacks earlier ones.
func (c *copyModel) apply(x follower.Changes) {
	if c.revision < x.Since.Revision {
		c.fallBehind()
		return
	}
	if c.revision < x.At.Revision {
		c.read(x.At.Revision)
	}
}

// compare compares the copy with that of the watching node.
func (c *copyModel) compare(h *Heartbeat) {
	if x, ok := h.Copies[changedKind]; ok && h.Echo != 0 && c.revision < x.LastChange.Revision {
		c.fallBehind()
	}
}

func (c *copyModel) fallBehind() {
	if c.behindSince.IsZero() {
		c.behindSince = time.Now()
	}
}

func (c *copyModel) mustRead() bool {
	return !c.behindSince.IsZero() && time.Since(c.behindSince) >= peerRepairTime
}

// watches reports whether a node watches the store for its data centre.
func (m *member) watches() bool { return m.number == m.dataCenter }

// revision returns the number of changes in the store.
func (c *cluster) revision() int64 { return c.revisionAt(c.elapsed()) }

func (c *cluster) revisionAt(elapsed time.Duration) int64 {
	if c.script.PublishMS == 0 {
		return 0
	}
	return max(elapsed.Milliseconds(), 0) / c.script.PublishMS
}

// publish has the watching nodes send the newest change, and the others read what they lack.
func (k *clusterChecks) publish() {
	if k.script.PublishMS == 0 {
		return
	}
	revision := k.revision()
	for _, m := range k.members {
		switch {
		case m.Beater == nil || !m.listed:
		case m.watches() && m.copy.revision < revision:
			m.Publish(follower.Changes{Kind: changedKind, Since: at(m.copy.revision), At: at(revision), Objects: []follower.Object{{Name: "r", At: at(revision)}}})
			m.copy.read(revision)
		case m.copy.mustRead():
			k.reads++
			m.copy.read(revision)
		default:
			k.checkChanged(m)
		}
	}
}

// checkChanged checks that a node has the changes that are older than ChangedMS.
func (k *clusterChecks) checkChanged(m *member) {
	if want := k.revisionAt(k.elapsed() - time.Duration(k.script.ChangedMS)*time.Millisecond); m.copy.revision < want {
		k.unchanged.add(k.elapsed(), "%s, up for %v, has change %d and not %d", m.name, time.Since(m.startedAt), m.copy.revision, want)
	}
}
