package server

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

const (
	// sendCatalogInterval is the shortest time between two times at which the configuration is
	// sent to the same node.
	sendCatalogInterval = 400 * time.Millisecond
	// maxBehindTime is how long a node may use an older configuration than the store has before it
	// is sent the newer one. Nodes that reach the store, or one that does, need less.
	maxBehindTime = 500 * time.Millisecond
)

// catalogVersions is what this node knows of the configuration's versions. The operators
// number them, so their order holds whatever the store forgets.
type catalogVersions struct {
	// object is the store object of the configuration in use.
	object atomic.Pointer[follower.Object]
	// storedVersion is the version that the store had when it was last read. It is lower
	// than that of the configuration in use if the store was restored from an older copy.
	storedVersion atomic.Int64
	// newestVersion is the newest version that another node has used.
	newestVersion atomic.Int64
	// unused is the position of the store's newest object while that is not the
	// configuration in use: it cannot be used, was deleted, or names an older version.
	unused atomic.Pointer[sequencer.Position]

	mu sync.Mutex
	// behindSince is since when other nodes are known to use an older configuration than this one, by
	// node name.
	behindSince map[string]time.Time
	// sentAt is when the configuration was last sent to a node, by node name.
	sentAt map[string]time.Time
}

// replaceCatalogs applies a full list. A list without the configuration says no more than
// that the one in use is not the store's.
func (n *Node) replaceCatalogs(objects []follower.Object, _ follower.Listing) {
	n.applyCatalogs(objects)
	if !slices.ContainsFunc(objects, n.isCatalog) {
		n.recordUnused(sequencer.Position{Era: n.Platform.Eras.Newest()})
	}
}

// applyCatalogs applies a configuration that the store has.
func (n *Node) applyCatalogs(objects []follower.Object) {
	for _, o := range objects {
		if n.isCatalog(o) {
			n.applyCatalog(o)
		}
	}
}

func (n *Node) isCatalog(o follower.Object) bool { return o.Name == n.Platform.CatalogName }

// applyCatalog applies the store's newest configuration, or records that it is not used. An
// older version of another era than the one in use is what a restored store has left.
func (n *Node) applyCatalog(o follower.Object) {
	c := n.decodeCatalog(o)
	if c == nil {
		n.recordUnused(o.At)
		return
	}
	n.versions.storedVersion.Store(c.Version)
	isApplied := n.useCatalog(c, o)
	isOlder := c.Version < n.catalogVersion()
	if isOlder && o.At.Covers(n.versions.object.Load().At) {
		n.recordUnused(o.At)
		return
	}
	n.recordUsable(o.At, isApplied)
}

// recordUnused records that the store's newest object is not the configuration in use.
func (n *Node) recordUnused(at sequencer.Position) {
	if n.versions.unused.Swap(&at) == nil {
		n.Log.Warn("configuration of the store is not the one in use; no request is denied", "version", n.catalogVersion(), "era", at.Era, "revision", at.Revision)
	}
}

// recordUsable records that the store has a configuration that is in use or older. In
// another era than an unused one, only a newer version ends that.
func (n *Node) recordUsable(at sequencer.Position, isApplied bool) {
	unused := n.versions.unused.Load()
	if unused == nil || !isApplied && !at.Covers(*unused) {
		return
	}
	n.versions.unused.Store(nil)
	n.Log.Info("configuration in use may be the newest one again", "version", n.catalogVersion(), "era", at.Era, "revision", at.Revision)
}

// receiveObject applies a configuration that another node has kept.
func (n *Node) receiveObject(o follower.Object) {
	if o.Kind != n.Platform.CatalogKind || !n.isCatalog(o) {
		return
	}
	if c := n.decodeCatalog(o); c != nil {
		n.useCatalog(c, o)
	}
}

// decodeCatalog returns nil for a configuration that was deleted or cannot be used. It is
// refused as a whole, and the current one stays: a part of one may grant what the whole
// would not.
func (n *Node) decodeCatalog(o follower.Object) *matcher.Catalog {
	if o.Deleted {
		n.rejections.Forget(o)
		return nil
	}
	c, err := (*matcher.Catalog)(nil), o.Problem
	if err == nil {
		c, err = n.Platform.DecodeCatalog(o.Spec)
	}
	if err != nil {
		if n.rejections.Reject(n.Log, o, err) {
			n.Log.Error("configuration is not applied; the one in use stays in force", "version", n.catalogVersion(), "revision", o.At.Revision)
		}
		return nil
	}
	n.rejections.Accept(n.Log, o)
	return c
}

// useCatalog applies a configuration that is newer than the current one, and reports
// whether it is. An older or equal version is ignored: the store may have been restored from
// a copy that lacks the newest one, which stays in force.
func (n *Node) useCatalog(c *matcher.Catalog, o follower.Object) (isApplied bool) {
	n.catalogMu.Lock()
	defer n.catalogMu.Unlock()
	old := n.catalog.Load()
	if old != nil && old.Version >= c.Version {
		if old.Version > c.Version {
			n.Log.Info("older configuration is not used", "version", c.Version, "used", old.Version, "era", o.At.Era, "revision", o.At.Revision)
		}
		return false
	}
	n.holdLimits(old, c)
	n.catalog.Store(c)
	n.versions.object.Store(&o)
	n.tracker.SetServices(c.Services)
	n.Log.Info("configuration applied", "version", c.Version, "era", o.At.Era, "revision", o.At.Revision, "limits", c.Limits)
	return true
}

// catalogVersion returns the version of the configuration in use, or 0 if there is none.
func (n *Node) catalogVersion() int64 {
	if c := n.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// newestVersion returns the newest version of the configuration that this node has heard of.
func (n *Node) newestVersion() int64 {
	return max(n.catalogVersion(), n.versions.storedVersion.Load(), n.versions.newestVersion.Load())
}

// mayConfirmCatalog reports whether the configuration in use may be the newest one as far
// as the other nodes know. A node that has just started does not know before it has heard
// of another one.
func (n *Node) mayConfirmCatalog() bool {
	if time.Since(n.startedAt) < peerDiscoveryTime && len(n.beater.Live()) == 0 {
		return false
	}
	return n.catalogVersion() >= n.versions.newestVersion.Load()
}

// mayDeny reports whether a version of the configuration may be the newest one as far as this
// node knows, so that what it does not allow may be denied.
func (n *Node) mayDeny(version int64) bool {
	return version >= n.newestVersion() && n.versions.unused.Load() == nil
}

// recordCatalogVersion records the version that another node uses. If that node lacks the one in use
// here, and so does the store or the node has been behind for long, a single node sends it: the store
// may turn all nodes of a data centre away.
func (n *Node) recordCatalogVersion(b *beater.Heartbeat) {
	for {
		newest := n.versions.newestVersion.Load()
		if b.CatalogVersion <= newest || n.versions.newestVersion.CompareAndSwap(newest, b.CatalogVersion) {
			break
		}
	}
	own := n.catalogVersion()
	isBehind := b.CatalogVersion < own && b.Era == n.Platform.Eras.Newest()
	isLate := n.versions.behindFor(b.Node, isBehind) > maxBehindTime
	if !isBehind || own <= n.versions.storedVersion.Load() && !isLate {
		return
	}
	if n.sendsCatalog(b.Node) && n.versions.mayResend(b.Node) {
		n.sendCatalog(b)
	}
}

// sendsCatalog reports whether this node is the one to send the configuration in use to
// a node that lacks it.
func (n *Node) sendsCatalog(to string) bool {
	names := []string{n.Settings.Name}
	for _, p := range n.beater.Live() {
		if p.CatalogVersion >= n.catalogVersion() && !p.Leaving {
			names = append(names, p.Node)
		}
	}
	return ranker.First(to, names) == n.Settings.Name
}

func (n *Node) sendCatalog(b *beater.Heartbeat) {
	o := n.versions.object.Load()
	if o == nil {
		return
	}
	if err := n.beater.SendObject(b.Node, *o); err != nil {
		n.Log.Warn("configuration that a node lacks cannot be sent", "peer", b.Node, "version", n.catalogVersion(), "error", err)
		return
	}
	n.Log.Info("configuration that a node lacks is sent", "peer", b.Node, "version", n.catalogVersion(), "stored_version", n.versions.storedVersion.Load(), "peer_version", b.CatalogVersion)
}

// behindFor records whether a node uses an older configuration than this one, and returns how long it
// is known to.
func (v *catalogVersions) behindFor(node string, isBehind bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !isBehind {
		delete(v.behindSince, node)
		return 0
	}
	since, ok := v.behindSince[node]
	if !ok {
		if v.behindSince == nil {
			v.behindSince = map[string]time.Time{}
		}
		since = time.Now()
		v.behindSince[node] = since
	}
	return time.Since(since)
}

// mayResend reports whether the configuration was not sent to a node lately.
func (v *catalogVersions) mayResend(node string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.sentAt[node]) < sendCatalogInterval {
		return false
	}
	if v.sentAt == nil {
		v.sentAt = map[string]time.Time{}
	}
	v.sentAt[node] = time.Now()
	return true
}
