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

// Board holds the tables of one node. The zero value is empty; Start must be
// called before changes are published.
type Board struct {
	config configTable

	vmsMu sync.RWMutex
	vms   map[string]client.VM
	vmsAt time.Time
	// vmsRevision is the revision of the list.
	vmsRevision int64
	vmsKnown    bool

	// Sightings holds what was observed of each runner VM. The lists are
	// replaced, never changed.
	Sightings sharder.Map[string, []Sighting]
	// Watchers holds, for each node that shares sightings, how recently it
	// confirmed all of them.
	Watchers sharder.Map[string, time.Time]
	// Leaving holds, for each runner VM, when it was first heard to leave.
	Leaving sharder.Map[string, LeavingMark]
	// Nodes holds the entry nodes of the system.
	Nodes sharder.Map[string, Node]
	// Summaries holds the latest summary of each other data centre.
	Summaries sharder.Map[string, Summary]

	pubsub  *gochannel.GoChannel
	pending map[Topic]chan struct{}
}

// Sighting is what a node, the watcher, observed of a runner VM.
type Sighting struct {
	Watcher  string
	Identity caller.Identity
	Address  string
	// ConfirmedAt is when this node's own probe confirmed the sighting. For
	// other nodes' sightings, Watchers holds the time.
	ConfirmedAt time.Time
	// Gone says that the VM's runner is proved not to run.
	Gone bool
}

// LeavingMark says that a VM is leaving.
type LeavingMark struct {
	Since  time.Time
	Reason string
	// BootID limits the mark to one boot of the VM; empty for all.
	BootID string
	// ListRevision is that of the platform's list that showed the VM leaving; 0
	// for a mark from another source.
	ListRevision int64
}

// Node is an entry node of the system.
type Node struct {
	Name        string
	Incarnation string
	DataCenter  string
	PeerAddress string
	// CallerAddress takes requests that another data centre passes on.
	CallerAddress string
	Leaving       bool
	// HeardAt is when the node last proved that it runs.
	HeardAt  time.Time
	Revision int64
	// Watching says that the node has a working watch on the platform.
	Watching bool
	// Demand is the load that callers offer on the node.
	Demand []Demand
}

// Demand is the load that a team offers to a deployment, per second.
type Demand struct {
	Team       string
	Deployment string
	Requests   float64
	Tokens     float64
}

// Summary describes another data centre.
type Summary struct {
	DataCenter string
	At         time.Time
	// MinRevision is the lowest revision that is in force on its live nodes.
	MinRevision int64
	Nodes       []Node
	Demand      []Demand
	// Free is the number of requests that each deployment could take now.
	Free map[string]int
}

// Start lets the board publish its changes until ctx ends.
func (b *Board) Start(ctx context.Context, logger watermill.LoggerAdapter) {
	b.pubsub = gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, logger)
	b.pending = map[Topic]chan struct{}{}
	for _, t := range []Topic{TopicConfig, TopicAssignments, TopicRevision, TopicVMs, TopicSightings, TopicNodes} {
		c := make(chan struct{}, 1)
		b.pending[t] = c
		go b.publish(ctx, t, c)
	}
}

// Subscriber returns the subscriber to the board's topics.
func (b *Board) Subscriber() message.Subscriber { return b.pubsub }

// Notify publishes that a table changed. Notices that come while an earlier one
// is being handled are merged.
func (b *Board) Notify(t Topic) {
	if b.pending == nil {
		return
	}
	select {
	case b.pending[t] <- struct{}{}:
	default:
	}
}

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

// SetVMs replaces the platform's list of the VMs of the node's data centre,
// unless the board holds a newer one.
func (b *Board) SetVMs(l client.VMList, at time.Time) {
	table := make(map[string]client.VM, len(l.VMs))
	for _, v := range l.VMs {
		table[v.Name] = v
	}
	b.vmsMu.Lock()
	if b.vmsKnown && l.Revision < b.vmsRevision {
		b.vmsMu.Unlock()
		return
	}
	b.vms, b.vmsAt, b.vmsRevision, b.vmsKnown = table, at, l.Revision, true
	b.vmsMu.Unlock()
	for _, v := range l.VMs {
		if v.Leaving {
			b.MarkLeaving(v.Name, LeavingMark{Since: at, Reason: "list", ListRevision: l.Revision})
		} else {
			b.clearListMark(v.Name, l.Revision)
		}
	}
	b.Notify(TopicVMs)
}

// VMRevision returns the revision of the platform's list, or -1 without one.
func (b *Board) VMRevision() int64 {
	b.vmsMu.RLock()
	defer b.vmsMu.RUnlock()
	if !b.vmsKnown {
		return -1
	}
	return b.vmsRevision
}

// clearListMark removes a mark that came from an older list.
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

// VMs returns the VMs of a role from the platform's list, and when it was read;
// false if no list has been read.
func (b *Board) VMs(role client.Role) ([]client.VM, time.Time, bool) {
	b.vmsMu.RLock()
	defer b.vmsMu.RUnlock()
	list := []client.VM{}
	for _, v := range b.vms {
		if v.Role == role {
			list = append(list, v)
		}
	}
	return list, b.vmsAt, b.vmsKnown
}

// MarkLeaving records that a VM is leaving, and reports whether that is news.
// The earliest mark of a boot stays.
func (b *Board) MarkLeaving(vm string, m LeavingMark) bool {
	isNews := false
	b.Leaving.Update(vm, func(old LeavingMark, ok bool) (LeavingMark, bool) {
		if ok && (old.BootID == "" || old.BootID == m.BootID) {
			return old, true
		}
		isNews = true
		return m, true
	})
	if isNews {
		b.Notify(TopicSightings)
	}
	return isNews
}

// IsLeaving reports whether a VM is leaving under a boot identity.
func (b *Board) IsLeaving(vm, bootID string) bool {
	m, ok := b.Leaving.Get(vm)
	return ok && (m.BootID == "" || m.BootID == bootID)
}

// String describes the board for logs.
func (b *Board) String() string {
	return fmt.Sprintf("revision %d, %d sightings, %d nodes", b.Revision(), b.Sightings.Len(), b.Nodes.Len())
}

// SetSighting replaces a watcher's sighting of a VM and publishes it if it
// differs in more than its time and load.
func (b *Board) SetSighting(vm string, s Sighting) (isNews bool) {
	b.Sightings.Update(vm, func(old []Sighting, _ bool) ([]Sighting, bool) {
		list := make([]Sighting, 0, len(old)+1)
		isNews = true
		for _, o := range old {
			if o.Watcher != s.Watcher {
				list = append(list, o)
			} else {
				isNews = !o.Same(s)
			}
		}
		return append(list, s), true
	})
	if isNews {
		b.Notify(TopicSightings)
	}
	return isNews
}

// DropSighting removes a watcher's sighting of a VM.
func (b *Board) DropSighting(vm, watcher string) {
	dropped := false
	b.Sightings.Update(vm, func(old []Sighting, _ bool) ([]Sighting, bool) {
		list := make([]Sighting, 0, len(old))
		for _, o := range old {
			if o.Watcher != watcher {
				list = append(list, o)
			}
		}
		dropped = len(list) < len(old)
		return list, len(list) > 0
	})
	if dropped {
		b.Notify(TopicSightings)
	}
}

// Same reports whether two sightings differ only in time and load.
func (s Sighting) Same(o Sighting) bool {
	a, b := s.Identity, o.Identity
	a.Load, b.Load = caller.Load{}, caller.Load{}
	return a == b && s.Gone == o.Gone && s.Address == o.Address
}

// LiveNodes returns the entry nodes of a data centre that were heard within the
// lifetime and are not leaving, ordered by name.
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
