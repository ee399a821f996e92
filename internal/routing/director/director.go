// Package director keeps the pickers in step with the board: it reads the
// assignments of the node's data centre and the sightings of their members, and
// gives each deployment's picker the replicas and their proofs.
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

// Director holds a picker for each deployment. Set Board, Verifier and
// DataCenter before use.
type Director struct {
	Board      *recorder.Board
	Verifier   *verifier.Verifier
	DataCenter string
	// Changed is told after each refresh that room may have appeared; nil
	// ignores it.
	Changed func()

	pickers sharder.Map[string, *picker.Picker]
}

// Run refreshes the proofs until ctx ends.
func (d *Director) Run(ctx context.Context) {
	repeater.Every(ctx, refreshInterval, d.Refresh)
}

// Picker returns a deployment's picker.
func (d *Director) Picker(deployment string) (*picker.Picker, bool) {
	return d.pickers.Get(deployment)
}

// Refresh brings all pickers up to date with the board.
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
	if d.Changed != nil {
		d.Changed()
	}
}

// replica returns the picker's replica for an assigned one, with its proof.
func (d *Director) replica(r *parser.ReplicaRef, spec *parser.DeploymentSpec) *picker.Replica {
	p := d.pickers.GetOrCreate(r.Deployment, func() *picker.Picker { return &picker.Picker{} })
	head := r.Members[0].Address
	limit := int64(spec.InFlightLimit())
	c := p.Find(r.ID, r.Epoch, head)
	if c == nil || c.MaxInFlight != limit {
		c = &picker.Replica{ID: r.ID, Deployment: r.Deployment, Address: head, Epoch: r.Epoch, MaxInFlight: limit}
	}
	c.SetHealthyUntil(d.healthyUntil(r))
	if s, ok := d.Verifier.Fresh(r.Members[0].VM); ok {
		c.Report(s.ConfirmedAt, int64(s.Identity.Load.InFlight+s.Identity.Load.Queued), int64(s.Identity.Load.TokenMicros))
	}
	return c
}

// healthyUntil returns until when a replica may get new work. A replica with a member
// that is leaving gets none.
func (d *Director) healthyUntil(r *parser.ReplicaRef) time.Time {
	for _, m := range r.Members {
		if d.Board.IsLeaving(m.VM, m.BootID) {
			return time.Time{}
		}
	}
	return d.Verifier.Replica(r)
}

func (d *Director) updatePicker(name string, list []*picker.Replica) {
	p, _ := d.pickers.Get(name)
	if sameReplicas(p.Replicas(), list) {
		p.Refresh()
		return
	}
	closeMissing(p, list)
	p.Replace(list)
}

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
