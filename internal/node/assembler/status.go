package assembler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	adminserver "marjorammoor/internal/admin/server"
	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/health/verifier"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/state/recorder"
)

// maxConnectedAge is the age of the last summary up to which another data centre is
// reported as connected.
const maxConnectedAge = 5 * time.Second

// status returns the state of the system from this node's data.
func (n *Node) status() adminserver.Status {
	s := adminserver.Status{
		Node: n.Settings.Name, Incarnation: n.Incarnation, DataCenter: n.Settings.DataCenter, Ready: n.isReady(), Draining: n.draining.Load(),
		Watching: n.syncer.Watching(), Revision: n.board.Revision(),
		DataCenters: n.dataCenters(), Deployments: n.deployments(),
	}
	return s
}

// dataCenters returns the state of this data centre and of those that have sent a
// summary, ordered by name.
func (n *Node) dataCenters() []adminserver.DataCenterStatus {
	own := adminserver.DataCenterStatus{Name: n.Settings.DataCenter, Connected: true, Revision: n.board.Revision()}
	for _, x := range n.board.LiveNodes(n.Settings.DataCenter, prober.DefaultLifetime) {
		own.Nodes++
		if x.Name == n.Settings.Name {
			continue
		}
		own.Revision = min(own.Revision, x.Revision)
		if x.Revision < n.board.Revision() {
			own.Lagging = append(own.Lagging, x.Name)
		}
	}
	list := []adminserver.DataCenterStatus{own}
	n.board.Summaries.Each(func(_ string, x recorder.Summary) bool {
		list = append(list, adminserver.DataCenterStatus{
			Name: x.DataCenter, Connected: time.Since(x.At) < maxConnectedAge, Revision: x.MinRevision, Nodes: len(x.Nodes),
		})
		return true
	})
	slices.SortFunc(list, func(a, b adminserver.DataCenterStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// deployments returns the state of the deployments in this data centre, ordered by
// name.
func (n *Node) deployments() []adminserver.DeploymentStatus {
	byName := map[string]*adminserver.DeploymentStatus{}
	for name, spec := range n.board.Deployments() {
		byName[name] = &adminserver.DeploymentStatus{
			Name: name, Wanted: spec.Replicas[n.Settings.DataCenter], Replicas: []adminserver.ReplicaStatus{},
		}
	}
	for _, a := range n.board.Assignments(n.Settings.DataCenter) {
		for i := range a.Replicas {
			r := &a.Replicas[i]
			if d := byName[r.Deployment]; d != nil {
				addReplica(d, n.replicaStatus(a.Domain, r), len(r.Members))
			}
		}
	}
	list := []adminserver.DeploymentStatus{}
	for _, d := range byName {
		d.HeldUpBy = heldUpBy(d)
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b adminserver.DeploymentStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func addReplica(d *adminserver.DeploymentStatus, r adminserver.ReplicaStatus, size int) {
	d.Replicas = append(d.Replicas, r)
	slices.SortFunc(d.Replicas, func(a, b adminserver.ReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
	if r.Serving {
		d.Serving++
	} else {
		d.StrandedVMs += size
	}
}

// heldUpBy returns why fewer replicas serve than are wanted, or "" if enough serve.
func heldUpBy(d *adminserver.DeploymentStatus) string {
	if d.Serving >= d.Wanted {
		return ""
	}
	for _, r := range d.Replicas {
		if len(r.Missing) > 0 {
			return "replica " + r.ID + " waits for " + strings.Join(r.Missing, ", ")
		}
	}
	if len(d.Replicas) < d.Wanted {
		return "not enough spare VMs in one fabric domain"
	}
	return "replicas are draining"
}

// replicaStatus returns the state of a replica. Missing lists the members whose VM
// has no recent sighting that matches the assignment.
func (n *Node) replicaStatus(domain string, r *parser.ReplicaRef) adminserver.ReplicaStatus {
	s := adminserver.ReplicaStatus{ID: r.ID, Domain: domain, State: string(r.State), Epoch: r.Epoch}
	s.Serving = r.State == parser.ReplicaAssigned && n.verifier.HealthyUntil(r).After(time.Now())
	for _, m := range r.Members {
		x, ok := n.verifier.LatestSighting(m.VM)
		if !ok || x.Down || !verifier.Matches(r, m, x.Identity) {
			s.Missing = append(s.Missing, m.VM)
		}
	}
	if p, ok := n.director.Picker(r.Deployment); ok && len(r.Members) > 0 {
		if x := p.Find(r.ID, r.Epoch, r.Members[0].Address); x != nil {
			s.InFlight = x.InFlight()
		}
	}
	return s
}
