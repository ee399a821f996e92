// Package planner decides which VMs form which replicas in one data centre.
//
// Plan computes new assignments, one per fabric domain, from the deployments, the
// current assignments and the observed state of the VMs. It has no side effects.
// A VM stays in its replica until one of the following holds: the VM has reported
// that it unloaded the model, it reports a new boot identity, or the platform no
// longer lists it and it has been silent for longer than Timing.ForgetAfter.
//
// There are three ways to repair a replica with missing members: replace them by
// spare VMs of the same domain, release another broken replica so that its VMs
// become spares, or wait until the missing VMs return. Plan chooses the one with
// the lowest expected cost, computed from the deployment's weights for group
// downtime and stranded accelerators.
//
// # Usage
//
//	out := planner.Plan(in)
//	for name, a := range out.Changed {
//		// Write a only if the stored version is still the one that was read.
//	}
package planner
