package recorder

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/sharder"
)

// Topic names a table whose changes are published.
type Topic string

// The topics of the board.
const (
	TopicConfig      Topic = "config"
	TopicAssignments Topic = "assignments"
	TopicRevision    Topic = "revision"
	TopicVMs         Topic = "vms"
	TopicSightings   Topic = "sightings"
	TopicNodes       Topic = "nodes"
)

// Board holds the tables of one node. The zero value is empty. Changes are published
// only after Start was called.
type Board struct {
	config configTable

	vmsMu sync.RWMutex
	// vms is the platform's list of VMs by name, read at vmsReadAt.
	vms       map[string]client.VM
	vmsReadAt time.Time
	// vmsRevision is the platform's revision of the list.
	vmsRevision int64
	// hasVMs is set once a list was read.
	hasVMs bool

	// Sightings holds the sightings of each runner VM by VM name, one per watcher. A
	// list is replaced as a whole and never modified.
	Sightings sharder.Map[string, []Sighting]
	// Watchers holds, by node name, the time at or after which another node has
	// confirmed each of its sightings.
	Watchers sharder.Map[string, time.Time]
	// Leaving holds the mark of each leaving runner VM by VM name.
	Leaving sharder.Map[string, LeavingMark]
	// Nodes holds the entry nodes of the system by name.
	Nodes sharder.Map[string, Node]
	// Summaries holds the latest summary of each other data centre by its name.
	Summaries sharder.Map[string, Summary]

	pubsub *gochannel.GoChannel
	// pending holds, by topic, a channel with a value while a change of the table is
	// still to be published. It is nil before Start.
	pending map[Topic]chan struct{}
}

// Sighting is the observation of a runner VM by one node, the watcher.
type Sighting struct {
	Watcher  string
	Identity caller.Identity
	Address  string
	// ConfirmedAt is when this node's own probe confirmed the sighting. For the
	// sightings of other nodes, Watchers holds the time.
	ConfirmedAt time.Time
	// Down reports that the VM's runner is proved not to run.
	Down bool
}

// LeavingMark records that a VM is leaving.
type LeavingMark struct {
	Since time.Time
	// Source names where the mark comes from, such as "list" for the platform's list.
	Source string
	// BootID limits the mark to one boot of the VM. If empty, the mark holds for all.
	BootID string
	// ListRevision is the revision of the platform's list in which the VM is leaving,
	// or 0 for a mark from another source.
	ListRevision int64
}

// Node is an entry node of the system.
type Node struct {
	Name        string
	Incarnation string
	DataCenter  string
	PeerAddress string
	// CallerAddress is where the node accepts requests that another data centre
	// forwards.
	CallerAddress string
	Leaving       bool
	// HeardAt is when a message last proved that the node runs.
	HeardAt time.Time
	// Revision is the configuration revision that the node has.
	Revision int64
	// Watching reports whether the node's last watch on the platform succeeded.
	Watching bool
	// Demand is the load that callers send to the node.
	Demand []Demand
}

// Demand is the load that a team sends to a deployment.
type Demand struct {
	Team       string
	Deployment string
	// Requests and Tokens are per second.
	Requests float64
	Tokens   float64
}

// Summary describes another data centre.
type Summary struct {
	DataCenter string
	// At is when the summary was made, on this node's clock.
	At time.Time
	// MinRevision is the lowest configuration revision among its live nodes.
	MinRevision int64
	// Nodes are its live nodes, and Demand is the sum of their demands.
	Nodes  []Node
	Demand []Demand
	// FreeRequests is the number of further requests that each deployment there could
	// take.
	FreeRequests map[string]int
}

// Start publishes the board's changes until ctx ends.
func (b *Board) Start(ctx context.Context, logger watermill.LoggerAdapter) {
	b.pubsub = gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, logger)
	b.pending = map[Topic]chan struct{}{}
	for _, t := range []Topic{TopicConfig, TopicAssignments, TopicRevision, TopicVMs, TopicSightings, TopicNodes} {
		c := make(chan struct{}, 1)
		b.pending[t] = c
		go b.publish(ctx, t, c)
	}
}

// Subscriber returns a subscriber to the board's topics. Call Start first.
func (b *Board) Subscriber() message.Subscriber { return b.pubsub }

// Notify publishes that a table changed. Notifications of a topic are merged while an
// earlier one is being handled. Before Start, Notify does nothing.
func (b *Board) Notify(t Topic) {
	if b.pending == nil {
		return
	}
	select {
	case b.pending[t] <- struct{}{}:
	default:
	}
}

// publish sends a message on a topic for each pending notification until ctx ends.
func (b *Board) publish(ctx context.Context, t Topic, pending <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-pending:
			m := message.NewMessage(watermill.NewShortUUID(), nil)
			if err := b.pubsub.Publish(string(t), m); err != nil {
				return
			}
		}
	}
}

// SetVMs replaces the platform's list of the VMs of the node's data centre unless the
// board has a newer one. It marks the leaving VMs and removes the marks that older
// lists have set on the others.
func (b *Board) SetVMs(l client.VMList, at time.Time) {
	table := make(map[string]client.VM, len(l.VMs))
	for _, v := range l.VMs {
		table[v.Name] = v
	}
	b.vmsMu.Lock()
	if b.hasVMs && l.Revision < b.vmsRevision {
		b.vmsMu.Unlock()
		return
	}
	b.vms, b.vmsReadAt, b.vmsRevision, b.hasVMs = table, at, l.Revision, true
	b.vmsMu.Unlock()
	for _, v := range l.VMs {
		if v.Leaving {
			b.MarkLeaving(v.Name, LeavingMark{Since: at, Source: "list", ListRevision: l.Revision})
		} else {
			b.clearListMark(v.Name, l.Revision)
		}
	}
	b.Notify(TopicVMs)
}

// VMRevision returns the revision of the platform's list, or -1 if none was read.
func (b *Board) VMRevision() int64 {
	b.vmsMu.RLock()
	defer b.vmsMu.RUnlock()
	if !b.hasVMs {
		return -1
	}
	return b.vmsRevision
}

// clearListMark removes the leaving mark of a VM if an older list has set it.
func (b *Board) clearListMark(vm string, revision int64) {
	b.Leaving.Update(vm, func(old LeavingMark, ok bool) (LeavingMark, bool) {
		isOlder := old.ListRevision != 0 && old.ListRevision < revision
		return old, ok && !isOlder
	})
}

// VM returns a VM from the platform's list.
func (b *Board) VM(name string) (client.VM, bool) {
	b.vmsMu.RLock()
	defer b.vmsMu.RUnlock()
	v, ok := b.vms[name]
	return v, ok
}

// VMs returns the VMs of a role from the platform's list, and when the list was read.
// It returns false if no list was read.
func (b *Board) VMs(role client.Role) ([]client.VM, time.Time, bool) {
	b.vmsMu.RLock()
	defer b.vmsMu.RUnlock()
	list := []client.VM{}
	for _, v := range b.vms {
		if v.Role == role {
			list = append(list, v)
		}
	}
	return list, b.vmsReadAt, b.hasVMs
}

// MarkLeaving records that a VM is leaving, and reports whether the mark was stored. An
// earlier mark of the same boot, or of all boots, is kept instead.
func (b *Board) MarkLeaving(vm string, m LeavingMark) bool {
	isNew := false
	b.Leaving.Update(vm, func(old LeavingMark, ok bool) (LeavingMark, bool) {
		if ok && (old.BootID == "" || old.BootID == m.BootID) {
			return old, true
		}
		isNew = true
		return m, true
	})
	if isNew {
		b.Notify(TopicSightings)
	}
	return isNew
}

// IsLeaving reports whether a VM is marked as leaving for a boot.
func (b *Board) IsLeaving(vm, bootID string) bool {
	m, ok := b.Leaving.Get(vm)
	return ok && (m.BootID == "" || m.BootID == bootID)
}

// String describes the board for logs.
func (b *Board) String() string {
	return fmt.Sprintf("revision %d, %d sightings, %d nodes", b.Revision(), b.Sightings.Len(), b.Nodes.Len())
}

// SetSighting replaces a watcher's sighting of a VM. If there was none or it differs in
// more than time and load, SetSighting publishes the change and returns true.
func (b *Board) SetSighting(vm string, s Sighting) (changed bool) {
	b.Sightings.Update(vm, func(old []Sighting, _ bool) ([]Sighting, bool) {
		list := make([]Sighting, 0, len(old)+1)
		changed = true
		for _, o := range old {
			if o.Watcher != s.Watcher {
				list = append(list, o)
			} else {
				changed = !o.SameState(s)
			}
		}
		return append(list, s), true
	})
	if changed {
		b.Notify(TopicSightings)
	}
	return changed
}

// DropSighting removes a watcher's sighting of a VM.
func (b *Board) DropSighting(vm, watcher string) {
	removed := false
	b.Sightings.Update(vm, func(old []Sighting, _ bool) ([]Sighting, bool) {
		list := make([]Sighting, 0, len(old))
		for _, o := range old {
			if o.Watcher != watcher {
				list = append(list, o)
			}
		}
		removed = len(list) < len(old)
		return list, len(list) > 0
	})
	if removed {
		b.Notify(TopicSightings)
	}
}

// SameState reports whether two sightings are equal apart from watcher, time and load.
func (s Sighting) SameState(o Sighting) bool {
	a, b := s.Identity, o.Identity
	a.Load, b.Load = caller.Load{}, caller.Load{}
	return a == b && s.Down == o.Down && s.Address == o.Address
}

// LiveNodes returns the entry nodes of a data centre whose HeardAt is less than
// lifetime ago and that are not leaving, sorted by name.
func (b *Board) LiveNodes(dataCenter string, lifetime time.Duration) []Node {
	list := []Node{}
	b.Nodes.Each(func(_ string, n Node) bool {
		if n.DataCenter == dataCenter && !n.Leaving && time.Since(n.HeardAt) < lifetime {
			list = append(list, n)
		}
		return true
	})
	slices.SortFunc(list, func(x, y Node) int { return strings.Compare(x.Name, y.Name) })
	return list
}
