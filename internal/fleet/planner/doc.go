// Package planner decides which VMs form which replicas in one data centre.
//
// Plan is a pure function from what is desired and observed to new assignments,
// one for each fabric domain. It never lets a VM leave a replica before the VM
// has confirmed that it unloaded, has a new boot identity, or has been absent
// from the platform's list and silent for ForgetAfter.
//
// A broken replica is repaired with a spare VM of its domain, by releasing
// another broken replica whose VMs then become spares, or by waiting for the
// missing VM, whichever has the lowest expected price. Prices come from the
// deployment's weights for group downtime and stranded accelerators.
//
// # Usage
//
//	out := planner.Plan(in)
//	for name, a := range out.Changed {
//		// write a conditionally at the version it was read at
//	}
package planner
