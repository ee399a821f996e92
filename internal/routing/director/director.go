// Package director updates the pickers from the board. At an interval it reads the
// assignments of the node's data centre and the sightings of their members, and
// sets the replicas of each deployment's picker, with their load and the time until
// which they are known to be healthy.
//
// # Usage
//
//	d := &director.Director{Board: board, Verifier: v, DataCenter: "vake"}
//	go d.Run(ctx)
//	p, ok := d.Picker("drafting")
package director

import (
	"context"
	"time"

	"marjorammoor/internal/health/verifier"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/routing/picker"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/state/sharder"
	"marjorammoor/internal/timing/repeater"
)

const refreshInterval = 100 * time.Millisecond

// Director holds one picker per deployment. Set Board, Verifier and
// DataCenter before use.
type Director struct {
	Board      *recorder.Board
	Verifier   *verifier.Verifier
	DataCenter string
	// AfterRefresh is called after each refresh, because replicas may then have room
	// for more requests; nil means no call.
	AfterRefresh func()

	pickers sharder.Map[string, *picker.Picker]
}

// Run refreshes all pickers every refreshInterval until ctx ends.
func (d *Director) Run(ctx context.Context) {
	repeater.Every(ctx, refreshInterval, d.Refresh)
}

// Picker returns a deployment's picker, or false if the deployment never had an
// assigned replica here.
func (d *Director) Picker(deployment string) (*picker.Picker, bool) {
	return d.pickers.Get(deployment)
}

// Refresh updates all pickers from the board. A deployment without an assigned
// replica keeps its picker, with no replicas.
func (d *Director) Refresh() {
	byDeployment := map[string][]*picker.Replica{}
	for _, a := range d.Board.Assignments(d.DataCenter) {
		for i := range a.Replicas {
			r := &a.Replicas[i]
			if r.State != parser.ReplicaAssigned || len(r.Members) == 0 {
				continue
			}
			spec, ok := d.Board.Deployment(r.Deployment)
			if !ok {
				continue
			}
			byDeployment[r.Deployment] = append(byDeployment[r.Deployment], d.replica(r, spec))
		}
	}
	for name, list := range byDeployment {
		d.updatePicker(name, list)
	}
	d.pickers.Each(func(name string, p *picker.Picker) bool {
		if byDeployment[name] == nil {
			closeMissing(p, nil)
			p.Replace(nil)
		}
		return true
	})
	if d.AfterRefresh != nil {
		d.AfterRefresh()
	}
}

// replica returns the picker's object for an assigned replica, with its health and
// load updated. It reuses the existing object unless the ID, epoch, head address or
// request limit has changed.
func (d *Director) replica(r *parser.ReplicaRef, spec *parser.DeploymentSpec) *picker.Replica {
	p := d.pickers.GetOrCreate(r.Deployment, func() *picker.Picker { return &picker.Picker{} })
	head := r.Members[0].Address
	limit := int64(spec.InFlightLimit())
	c := p.Find(r.ID, r.Epoch, head)
	if c == nil || c.MaxInFlight != limit {
		c = &picker.Replica{ID: r.ID, Deployment: r.Deployment, Address: head, Epoch: r.Epoch, MaxInFlight: limit}
	}
	c.SetHealthyUntil(d.healthyUntil(r))
	if s, ok := d.Verifier.LatestSighting(r.Members[0].VM); ok {
		c.Report(s.ConfirmedAt, int64(s.Identity.Load.InFlight+s.Identity.Load.Queued), int64(s.Identity.Load.TokenMicros))
	}
	return c
}

// healthyUntil returns the time until which a replica may get new requests. It is
// zero if a member is leaving.
func (d *Director) healthyUntil(r *parser.ReplicaRef) time.Time {
	for _, m := range r.Members {
		if d.Board.IsLeaving(m.VM, m.BootID) {
			return time.Time{}
		}
	}
	return d.Verifier.HealthyUntil(r)
}

// updatePicker replaces a picker's replicas, or only refreshes the picker if its
// replicas are the same.
func (d *Director) updatePicker(name string, list []*picker.Replica) {
	p, _ := d.pickers.Get(name)
	if sameReplicas(p.Replicas(), list) {
		p.Refresh()
		return
	}
	closeMissing(p, list)
	p.Replace(list)
}

// closeMissing closes the picker's replicas that are not in list.
func closeMissing(p *picker.Picker, list []*picker.Replica) {
	kept := map[*picker.Replica]bool{}
	for _, r := range list {
		kept[r] = true
	}
	for _, r := range p.Replicas() {
		if !kept[r] {
			r.Close()
		}
	}
}

// sameReplicas reports whether a and b hold the same objects in any order.
func sameReplicas(a, b []*picker.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[*picker.Replica]bool, len(a))
	for _, r := range a {
		known[r] = true
	}
	for _, r := range b {
		if !known[r] {
			return false
		}
	}
	return true
}
